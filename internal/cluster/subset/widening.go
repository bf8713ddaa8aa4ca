package subset

import "time"

const (
	// maxFactor limits the growth of a subset, and with it the memory for known runners
	// and the time to choose a runner: eight times as many runners are some 500 for an edge
	// and 2,000 for a node with a disk, which takes 1.5 ms of a core to choose among them.
	maxFactor = 8
	// shrinkAfter is the time after which the factor is halved if no request lacked a free
	// slot meanwhile. It is longer than the usual pause between load peaks.
	shrinkAfter = 10 * time.Second
)

// Scaler adapts the size of a node's subset to demand. Its factor doubles, up to
// maxFactor, with each update for which a request found no free slot among the runners that
// the node knows. It halves, down to 1, after each shrinkAfter in which every request found a
// free slot. The zero value has the factor 1. It is not safe for concurrent use.
type Scaler struct {
	factor int // zero means 1
	// periodStart is the time from which shrinkAfter is counted: the last update with a
	// missing free slot, or the end of the last period of shrinkAfter without one.
	periodStart time.Time
}

// Factor returns the factor, between 1 and maxFactor, by which to multiply the minimum
// numbers of runners in the default interest.
func (s *Scaler) Factor() int { return max(1, s.factor) }

// Update adjusts the factor and reports whether it changed. noFreeSlot is true if a request
// found no free slot since the last call.
func (s *Scaler) Update(noFreeSlot bool, now time.Time) bool {
	before := s.Factor()
	switch {
	case noFreeSlot:
		s.factor, s.periodStart = min(maxFactor, 2*before), now
	case now.Sub(s.periodStart) >= shrinkAfter:
		s.factor, s.periodStart = max(1, before/2), now
	}
	return s.Factor() != before
}
