package subset

import "time"

const (
	// maxFactor limits the growth of a subset, and with it the memory for known runners
	// and the time to choose one.
	maxFactor = 8
	// shrinkAfter is the time without a missing free slot after which the factor is
	// halved. It is longer than the pause between two load peaks, so that the subset
	// does not have to grow again in each peak.
	shrinkAfter = 10 * time.Second
)

// Scaler adapts the size of a node's subset to demand. Its factor doubles, up to
// maxFactor, while the node finds no free slot among the runners it knows, and halves
// after each shrinkAfter in which it always found one. It is not safe for concurrent use.
type Scaler struct {
	factor int
	// lastChange is the last time a free slot was missing or the factor was halved.
	lastChange time.Time
}

// Factor returns the factor by which to multiply the default subset size; it is at least 1.
func (s *Scaler) Factor() int { return max(1, s.factor) }

// Update adjusts the factor and reports whether it changed. noFreeSlot tells whether a
// request found no free slot since the last call.
func (s *Scaler) Update(noFreeSlot bool, now time.Time) bool {
	before := s.Factor()
	switch {
	case noFreeSlot:
		s.factor, s.lastChange = min(maxFactor, 2*before), now
	case now.Sub(s.lastChange) >= shrinkAfter:
		s.factor, s.lastChange = max(1, before/2), now
	}
	return s.Factor() != before
}
