package online

import (
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

const (
	// maxNotRun bounds how many runners are asked that do not take the request.
	maxNotRun = 5
	// retryDelay is when a caller should try again whose request no runner took.
	retryDelay = 250 * time.Millisecond
	// silenceFactor (of the route's target) and minSilence set how long a runner may
	// send nothing before a stream that may go on elsewhere is moved.
	silenceFactor = 5
	minSilence    = 900 * time.Millisecond
)

// history is what has become of a request so far. It decides whether the request is
// sent once more, and what its caller learns when it is given up. A request that no
// runner took may always be sent again; one that a runner may have worked on only if
// its route allows work to run twice, and no more often than the route allows.
// The caller gets "not run" only if no runner can have run it.
type history struct {
	// runs counts the runners that may have worked on it, notRun those that surely
	// have not.
	runs, notRun int
	// answerBegun: the caller has got a part of an answer.
	answerBegun bool
}

// mayHaveRun reports whether a runner may have worked on the request.
func (h *history) mayHaveRun() bool { return h.runs > 0 }

// mayRunAgain reports whether the request may run at one more runner.
func (h *history) mayRunAgain(route *catalog.Route) bool {
	return route.MayRepeat() && h.runs < route.Attempts
}

// mayAskAnother reports whether another runner is asked after one that did not take
// the request.
func (h *history) mayAskAnother() bool { return h.notRun < maxNotRun }

// mayReplace reports whether another runner is tried in place of passing on an
// answer's status: the runner's own failures, but not its report that time is up.
func (h *history) mayReplace(route *catalog.Route, status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout && h.mayRunAgain(route)
}

// mayContinue reports whether the request goes on at another runner after its answer
// broke off: one that the caller has a part of, only if it can be resumed there.
func (h *history) mayContinue(route *catalog.Route) bool {
	return h.mayRunAgain(route) && (!h.answerBegun || route.Resumable)
}

// maxSilence returns how long a runner may send nothing, by the route's target.
func maxSilence(target time.Duration) time.Duration { return max(minSilence, silenceFactor*target) }

// noneTook is what the caller learns when no runner is left to ask.
func (h *history) noneTook(code result.Code, format string, args ...any) error {
	if h.mayHaveRun() {
		return result.New(result.OutcomeUnknown, "it may have run: "+format, args...)
	}
	return result.New(code, format, args...).WithRetryAfter(retryDelay)
}

// deadlinePassed is what the caller learns when time is up.
func (h *history) deadlinePassed() error {
	if h.mayHaveRun() {
		return result.New(result.DeadlineExceeded, "the deadline passed while running")
	}
	return result.New(result.DeadlineTooClose, "the deadline passed before a runner took it")
}

// notAdmitted is what the caller learns when the tenant's limit allows no send.
func (h *history) notAdmitted(refusal error) error {
	if h.mayHaveRun() {
		return result.New(result.OutcomeUnknown, "it may have run, and can't be sent again: %v", refusal)
	}
	return refusal
}
