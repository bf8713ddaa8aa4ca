package relay

import "time"

const (
	// lostReportTTL is how long a source's report of a lost store remains valid. It is
	// longer than the pause before the next source is tried.
	lostReportTTL = 4 * time.Second
	// maxLostDuration is how long a node makes no calls to the store while its sources
	// report that the store does not answer them. Outages are usually shorter. If all
	// nodes called the store during an outage, they would overload it when it comes back.
	maxLostDuration = 30 * time.Second
)

// isolation measures how long a node has been isolated: it has no live source, and no
// source has recently reported that the store does not answer.
type isolation struct {
	since time.Time // zero while it is not isolated
	// lastLostReport is when a source last reported that the store does not answer it.
	// firstLostReport is the first such report since a source was last live.
	lastLostReport, firstLostReport time.Time
}

// confirm records that a source is live.
func (i *isolation) confirm() { i.firstLostReport = time.Time{} }

// reportLost records that a source reported that the store does not answer it.
func (i *isolation) reportLost(now time.Time) {
	i.lastLostReport = now
	if i.firstLostReport.IsZero() {
		i.firstLostReport = now
	}
}

// duration returns how long the node has been isolated; 0 if it is not isolated at now.
func (i *isolation) duration(hasLiveSource bool, now time.Time) time.Duration {
	storeIsDown := !i.lastLostReport.IsZero() && now.Sub(i.lastLostReport) < lostReportTTL && now.Sub(i.firstLostReport) < maxLostDuration
	switch {
	case hasLiveSource:
		i.since, i.firstLostReport = time.Time{}, time.Time{}
		return 0
	case storeIsDown:
		i.since = time.Time{}
		return 0
	case i.since.IsZero():
		i.since = now
	}
	return now.Sub(i.since)
}
