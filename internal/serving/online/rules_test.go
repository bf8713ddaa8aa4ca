package online

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

// A request is retried only if its route allows repeated runs, only as often as the
// route says, and after a part of the response only if it is resumable.
func TestRetryRules(t *testing.T) {
	once, stream := routeOf(catalog.Once, false, 3), routeOf(catalog.Streaming, true, 2)
	repeatable := routeOf(catalog.Repeatable, false, 2)
	for _, test := range []struct {
		name                string
		history             history
		route               *catalog.Route
		status              int
		replaced, continued bool
	}{
		{"must not be repeated", history{runs: 1}, once, http.StatusInternalServerError, false, false},
		{"a stream before its first event", history{runs: 1}, stream, http.StatusBadGateway, true, true},
		{"a stream after its first event", history{runs: 1, responseStarted: true}, stream, http.StatusBadGateway, true, true},
		{"repeatable after a part of the response", history{runs: 1, responseStarted: true}, repeatable, http.StatusInternalServerError, true, false},
		{"no attempts left", history{runs: 2}, repeatable, http.StatusInternalServerError, false, false},
		{"deadline passed at the runner", history{runs: 1}, repeatable, http.StatusGatewayTimeout, false, true},
		{"a client error", history{runs: 1}, repeatable, http.StatusNotFound, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.history.mayReplace(test.route, test.status), test.replaced)
			is.Equal(test.history.mayContinue(test.route), test.continued)
		})
	}
}

// Whatever ends a request, its caller gets "not run" only if no runner can have run it.
func TestNotRunIsReportedOnlyWithoutARun(t *testing.T) {
	for runs, ran := range []result.Ran{result.RanNo, result.RanUnknown} {
		is := is.New(t)
		h := history{runs: runs, notRun: maxNotRun}
		is.True(!h.mayTryAnother())
		refusal := result.New(result.TenantRate, "over the limit")
		for _, err := range []error{h.noRunnerError(result.Saturated, "full"), h.deadlineError(), h.admissionError(refusal)} {
			is.Equal(result.CodeOf(err).Entry().Ran, ran)
		}
	}
}

// A request is refused if its first event is expected after the allowed time, which is
// shorter while the service is full; retries and requests that may have run, have a
// suspect runner or have no target are not refused.
func TestRefusalRules(t *testing.T) {
	const target = time.Second
	for _, test := range []struct {
		name    string
		inputs  refusalInputs
		refused bool
	}{
		{"in time", refusalInputs{firstAttempt: true, target: target, waited: 400 * time.Millisecond, expected: 600 * time.Millisecond}, false},
		{"late", refusalInputs{firstAttempt: true, target: target, waited: 401 * time.Millisecond, expected: 600 * time.Millisecond}, true},
		{"late in the target while the service is full", refusalInputs{firstAttempt: true, full: true, target: target, expected: 701 * time.Millisecond}, true},
		{"early in the target while the service is full", refusalInputs{firstAttempt: true, full: true, target: target, expected: 700 * time.Millisecond}, false},
		{"already sent", refusalInputs{sent: true, firstAttempt: true, target: target, expected: time.Minute}, false},
		{"suspect runner", refusalInputs{suspect: true, firstAttempt: true, target: target, expected: time.Minute}, false},
		{"retry", refusalInputs{target: target, expected: time.Minute}, false},
		{"no target", refusalInputs{firstAttempt: true, expected: time.Minute}, false},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(test.inputs.refused(), test.refused) })
	}
}
