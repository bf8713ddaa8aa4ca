package runnerset

import "time"

const (
	// minEjection and maxEjection bound the duration of an ejection.
	minEjection = 400 * time.Millisecond
	maxEjection = 6 * time.Second
	// maxEjectionDoublings is the largest number of doublings of minEjection, before the
	// result is limited to maxEjection.
	maxEjectionDoublings = 4
	// overdueFactor and failedFactor are multiples of the expected time to the first
	// event. A first event that has not arrived within the first multiple is overdue; a
	// request that ends without a first event after the second multiple counts as a
	// failure of the runner.
	overdueFactor = 4
	failedFactor  = 8
	// minRunnersPerItemEjection is the number of runners of a service for each that may be
	// ejected for errors of batch items. Otherwise many items that fail everywhere would
	// eject all runners of the service.
	minRunnersPerItemEjection = 4
)

// ejection is the outlier ejection of one runner. The first failure ejects the runner
// for minEjection, and each further consecutive failure for twice as long as the one
// before, up to maxEjection; a first event ends the ejection. An ejected runner gets no
// batch items, and online requests only if the cost of every other runner is even higher
// (see ejectedCost). Without the ejection, a failing runner would appear idle and attract
// requests.
type ejection struct {
	consecutiveFailures int
	until               time.Time
	// failedItem identifies the item of the last error response to a batch item since the
	// last first event; empty if there was none.
	failedItem string
}

// fail records a failure at the given time.
func (e *ejection) fail(now time.Time) {
	e.consecutiveFailures++
	length := minEjection << min(e.consecutiveFailures-1, maxEjectionDoublings)
	e.until = now.Add(min(length, maxEjection))
}

// failItem records an error response to a batch item at the given time. The error may be the
// fault of the item, so that only errors of different items in succession count as failures
// of the runner.
func (e *ejection) failItem(item string, now time.Time) {
	if e.failedItem != "" && e.failedItem != item {
		e.fail(now)
	}
	e.failedItem = item
}

// end ends the ejection and resets the count of failures.
func (e *ejection) end() { *e = ejection{} }

// active reports whether the runner is ejected at the given time.
func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// stalled reports whether the runner appears to have failed or dropped a request that
// waits for its first event. There are two signs: the runner has sent this node no event
// of any request since then, although a full runner still sends events of its running
// requests; or it has started a request that was sent later, although runners start
// requests in the order of arrival. sent is when the waiting request was sent, lastEvent
// is the time of the runner's last event to this node (zero if there is none), and
// newestStarted is the latest send time among this node's requests whose first event has
// arrived (zero if there is none).
func stalled(sent, lastEvent, newestStarted time.Time) bool {
	unresponsive := lastEvent.IsZero() || lastEvent.Before(sent)
	return unresponsive || newestStarted.After(sent)
}

// firstEventOverdue reports whether a request has waited for its first event for so long
// that its runner should be avoided if it is also stalled.
func firstEventOverdue(waited, expected time.Duration) bool { return waited > overdueFactor*expected }

// firstEventFailed reports whether a request that ended without a first event has waited
// for so long that it counts as a failure of its runner if it is also stalled.
func firstEventFailed(waited, expected time.Duration) bool { return waited > failedFactor*expected }
