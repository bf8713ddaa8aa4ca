package relay

import "time"

const (
	// lostReportTTL is how long a source's report of a lost store (FollowReply.Lost) remains
	// valid. It is longer than the pause before the next source is tried.
	lostReportTTL = 4 * time.Second
	// maxLostDuration is how long, from the first report of a lost store, such reports keep
	// a node from counting as isolated. An isolated node soon calls the store itself, and
	// calls from all nodes would overload a store that comes back.
	maxLostDuration = 30 * time.Second
)

// isolation measures how long a node has been isolated. A node is isolated if it has no
// live source, and either no source has reported a lost store within lostReportTTL or the
// first such report since a source was last live is older than maxLostDuration. The
// Follower's mutex protects the fields.
type isolation struct {
	since time.Time // the start of the isolation; zero while the node is not isolated
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
// The isolation starts with the first call that finds the node isolated.
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
