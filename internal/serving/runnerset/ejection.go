package runnerset

import "time"

const (
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 400 * time.Millisecond
	maxEjection = 6 * time.Second
	// maxEjectionDoublings bounds the exponent of the backoff.
	maxEjectionDoublings = 4
	// overdueFactor and failedFactor are multiples of the expected time to the first
	// event: beyond the first, the event is overdue, and beyond the second, the wait
	// counts as a failure of the runner.
	overdueFactor = 4
	failedFactor  = 8
)

// ejection is the outlier ejection of one runner. The first failure ejects the runner
// for minEjection, and each further consecutive failure for twice as long, up to
// maxEjection; a first event ends the ejection. An ejected runner gets no batch items,
// and online requests only if there is no other runner: a failing runner appears idle,
// and would otherwise attract work.
type ejection struct {
	failures int // in a row
	until    time.Time
}

// fail records a failure at the given time.
func (e *ejection) fail(now time.Time) {
	e.failures++
	length := minEjection << min(e.failures-1, maxEjectionDoublings)
	e.until = now.Add(min(length, maxEjection))
}

// end ends the ejection, since the runner has sent a first event.
func (e *ejection) end() { *e = ejection{} }

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// stalled reports whether the delay of a request's first event is the runner's fault.
// That is so if the runner has sent this node no event since the request was sent (a
// runner that is merely full still sends events of its running requests), or if it has
// started a request that was sent later, since runners start requests in the order of
// arrival. lastEvent is the time of the runner's last event to this node (zero if there
// is none), and newestStarted the latest send time of the requests whose first event has
// arrived.
func stalled(sent, lastEvent, newestStarted time.Time) bool {
	unresponsive := lastEvent.IsZero() || lastEvent.Before(sent)
	return unresponsive || newestStarted.After(sent)
}

// firstEventOverdue reports whether a request has waited so long for its first event
// that its runner should be avoided.
func firstEventOverdue(waited, expected time.Duration) bool { return waited > overdueFactor*expected }

// firstEventFailed reports whether a request that ended without a first event has waited
// so long that it counts as a failure of the runner.
func firstEventFailed(waited, expected time.Duration) bool { return waited > failedFactor*expected }
