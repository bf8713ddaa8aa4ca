package online

import (
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

const (
	// maxNotRun is the number of attempts that did not run after which no further runner
	// is tried.
	maxNotRun = 5
	// retryDelay is the delay after which a caller may retry if no runner has accepted
	// its request.
	retryDelay = 250 * time.Millisecond
	// idleFactor and minIdleTime determine the idle timeout; see idleTimeout.
	idleFactor  = 5
	minIdleTime = 900 * time.Millisecond
)

// history is the state of a request after its attempts so far. It decides whether the
// request is retried, and which error its caller gets otherwise. An attempt that did not
// run may be followed by another, up to maxNotRun in all. An attempt that may have run is
// followed by another only if the route allows repeated runs, and only up to the route's
// number of attempts. The caller gets an error that says "not run" only if no runner can
// have run the request.
type history struct {
	// runs is the number of attempts that may have run, and notRun the number of
	// attempts that certainly did not.
	runs, notRun int
	// responseStarted is set once a part of the response has been sent to the caller.
	responseStarted bool
}

// attempts returns the number of attempts.
func (h *history) attempts() int { return h.runs + h.notRun }

// mayHaveRun reports whether a runner may have run the request.
func (h *history) mayHaveRun() bool { return h.runs > 0 }

// mayRunAgain reports whether the route allows one more run of the request.
func (h *history) mayRunAgain(route *catalog.Route) bool {
	return route.MayRepeat() && h.runs < route.Attempts
}

// mayTryAnother reports whether another runner is tried after one that did not run the
// request.
func (h *history) mayTryAnother() bool { return h.notRun < maxNotRun }

// mayReplace reports whether another runner is tried instead of relaying a response with
// this status, which must be a failure of the runner. The route must allow one more run.
func (h *history) mayReplace(route *catalog.Route, status int) bool {
	return isRunnerFailure(status) && h.mayRunAgain(route)
}

// isRunnerFailure reports whether a status is a failure of the runner: a server error other
// than 504, which means that the deadline has passed.
func isRunnerFailure(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
}

// mayContinue reports whether the request is retried at another runner after its
// response broke off. The route must allow one more run, and must be resumable if a part
// of the response was sent to the caller.
func (h *history) mayContinue(route *catalog.Route) bool {
	return h.mayRunAgain(route) && (!h.responseStarted || route.Resumable)
}

// idleTimeout returns how long the runner of a repeatable request may send nothing before
// the request is retried at another runner. target is the route's target.
func idleTimeout(target time.Duration) time.Duration { return max(minIdleTime, idleFactor*target) }

// noRunnerError returns the caller's error if no runner is left to try: an error with the
// code, or OutcomeUnknown if the request may have run.
func (h *history) noRunnerError(code result.Code, format string, args ...any) error {
	if h.mayHaveRun() {
		return result.New(result.OutcomeUnknown, "it may have run: "+format, args...)
	}
	return result.New(code, format, args...).WithRetryAfter(retryDelay)
}

// deadlineError returns the caller's error if the deadline has passed.
func (h *history) deadlineError() error {
	if h.mayHaveRun() {
		return result.New(result.DeadlineExceeded, "the deadline passed while running")
	}
	return result.New(result.DeadlineTooClose, "the deadline passed before a runner took it")
}

// admissionError returns the caller's error if the tenant's rate limit admits no further
// attempt: the given refusal, or OutcomeUnknown if the request may have run.
func (h *history) admissionError(refusal error) error {
	if h.mayHaveRun() {
		return result.New(result.OutcomeUnknown, "it may have run, and can't be sent again: %v", refusal)
	}
	return refusal
}
