package online

import (
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

const (
	// maxNotRun bounds the number of runners that are tried without one running the
	// request.
	maxNotRun = 5
	// retryDelay is the retry delay for a caller whose request was accepted by no
	// runner.
	retryDelay = 250 * time.Millisecond
	// idleFactor, a multiple of the route's target, and minIdleTime set how long a
	// runner may send nothing before a repeatable request is moved to another runner.
	idleFactor  = 5
	minIdleTime = 900 * time.Millisecond
)

// history is the state of a request after its attempts so far. It decides whether the
// request is retried, and which error its caller gets otherwise. A request that no
// runner has accepted may always be retried. A request that a runner may have worked on
// is retried only if its route allows repeated runs, and only as often as the route
// allows. The caller gets "not run" only if no runner can have run the request.
type history struct {
	// runs counts the runners that may have worked on the request, and notRun those that
	// certainly have not.
	runs, notRun int
	// responseStarted is set once a part of the response has been sent to the caller.
	responseStarted bool
}

// mayHaveRun reports whether a runner may have worked on the request.
func (h *history) mayHaveRun() bool { return h.runs > 0 }

// mayRunAgain reports whether the route allows one more run of the request.
func (h *history) mayRunAgain(route *catalog.Route) bool {
	return route.MayRepeat() && h.runs < route.Attempts
}

// mayTryAnother reports whether another runner is tried after one that did not run the
// request.
func (h *history) mayTryAnother() bool { return h.notRun < maxNotRun }

// mayReplace reports whether another runner is tried instead of relaying a response with
// this status: a server error, unless the runner reports that the deadline has passed.
func (h *history) mayReplace(route *catalog.Route, status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && h.mayRunAgain(route)
}

// mayContinue reports whether the request is retried at another runner after its
// response broke off. If a part of the response was sent to the caller, that requires a
// resumable route.
func (h *history) mayContinue(route *catalog.Route) bool {
	return h.mayRunAgain(route) && (!h.responseStarted || route.Resumable)
}

// idleTimeout returns how long a runner may send nothing, by the route's target.
func idleTimeout(target time.Duration) time.Duration { return max(minIdleTime, idleFactor*target) }

// noRunnerError returns the caller's error if no runner is left to try.
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
// attempt.
func (h *history) admissionError(refusal error) error {
	if h.mayHaveRun() {
		return result.New(result.OutcomeUnknown, "it may have run, and can't be sent again: %v", refusal)
	}
	return refusal
}
