package zoneload

import (
	"math"
	"time"
)

const (
	// holdWindow is the time constant with which earlier digests lose weight. It covers
	// several peaks.
	holdWindow = 20 * time.Second
	// minHoldTime and minHoldRequests are the time and the number of ended requests after
	// which the estimate is used.
	minHoldTime     = 5 * time.Second
	minHoldRequests = 50
	// minHold is the lower bound of the estimate.
	minHold = 10 * time.Millisecond
)

// holdEstimate estimates the time for which a request of a service occupies a slot, from
// successive digests by Little's law: the mean number of requests in slots divided by the
// requests that end a second. Edges that receive the same digests have nearly the same
// estimate, and arrivals that the storage nodes do not see have no effect on plans, since
// they are missing in the estimate, too.
type holdEstimate struct {
	// covered is the time for which there were digests.
	covered time.Duration
	// busy is the sum of the times for which slots were occupied, in seconds, and ended
	// the number of requests that ended. Earlier digests have less weight in both.
	busy, ended float64
	// at, zones, online and inSlots describe the last digest: its time, the number of its
	// zones with valid figures, and the sums of their online requests with and without
	// those that wait for a slot.
	at              time.Time
	zones           int
	online, inSlots float64
}

// observe adds a digest. The time since the last digest does not count if digests were
// missing or the number of valid zones has changed since.
func (h *holdEstimate) observe(zones []ZoneLoad, now time.Time) {
	valid, online, inSlots, arrivals := 0, 0.0, 0.0, 0.0
	for i := range zones {
		zone := &zones[i]
		if !zone.valid() {
			continue
		}
		valid++
		online += zone.online()
		inSlots += min(zone.online(), zone.Slots)
		arrivals += zone.Arrivals
	}
	elapsed := now.Sub(h.at)
	if valid == h.zones && elapsed > 0 && elapsed < digestLifetime {
		keep := math.Exp(-elapsed.Seconds() / holdWindow.Seconds())
		h.busy = keep*h.busy + (h.inSlots+inSlots)/2*elapsed.Seconds()
		h.ended = keep*h.ended + arrivals*elapsed.Seconds() - (online - h.online)
		h.covered += elapsed
	}
	h.at, h.zones, h.online, h.inSlots = now, valid, online, inSlots
}

// value returns the estimate, and false if there were too few digests or requests.
func (h *holdEstimate) value() (time.Duration, bool) {
	if h.covered < minHoldTime || h.ended < minHoldRequests {
		return 0, false
	}
	return max(minHold, time.Duration(h.busy/h.ended*float64(time.Second))), true
}
