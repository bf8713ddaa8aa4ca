// Package retryafter computes retry delays for callers that are refused because no slot is
// free, and distinguishes first attempts from retries. An edge runs one Planner for each
// service.
//
// The package keeps in memory how long periods of saturation last and which timeouts callers
// state. It has no dependencies, does no I/O and reads no clock.
package retryafter

import "time"

const (
	// initialSaturation is the assumed duration of a saturated period before one has been
	// observed.
	initialSaturation = time.Second
	// saturationSampleWeight is the weight of a new sample in the moving average.
	saturationSampleWeight = 0.3
	// maxGap is the longest time between two requests without a free slot that belong to the
	// same saturated period.
	maxGap = 300 * time.Millisecond
	// minSaturation and maxSaturation limit a sample, which may stem from a single request
	// or an outage.
	minSaturation = 200 * time.Millisecond
	maxSaturation = 5 * time.Second
	// minSpread is the shortest period over which the retries of callers are spread.
	minSpread = 500 * time.Millisecond
	// maxWaitFraction limits the retry delay to a part of the caller's remaining time.
	maxWaitFraction = 0.3
	// minWaitFraction of the usual timeout is the shortest retry delay. After a shorter
	// delay, a retry could not be distinguished from a first attempt (see IsFirstAttempt).
	minWaitFraction = 1.5 * (1 - firstAttemptFraction)
	// minWait is the shortest retry delay in any case.
	minWait = 50 * time.Millisecond
)

// Planner tracks the saturation of one service on one node. It is not safe for concurrent
// use.
type Planner struct {
	// saturation is the moving average of the duration of saturated periods.
	saturation time.Duration
	// saturatedSince and last are the times of the first and last request without a free
	// slot in the latest saturated period; zero before the first one.
	saturatedSince, last time.Time
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner { return &Planner{saturation: initialSaturation} }

// Caller describes a refused caller.
type Caller struct {
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// UsualTimeout is the timeout that callers of the same route usually state.
	UsualTimeout time.Duration
}

// Refuse records a request that found no free slot and returns the retry delay for its
// caller; random is between 0 and 1. The delay points past the current saturation and leaves
// the caller most of its time, but is long enough for the retry to be recognized as one.
func (p *Planner) Refuse(now time.Time, random float64, caller Caller) time.Duration {
	p.recordSaturated(now)
	shortest := time.Duration(minWaitFraction * float64(caller.UsualTimeout))
	longest := time.Duration(maxWaitFraction * float64(caller.TimeLeft))
	return max(minWait, shortest, p.retryDelay(now, random, longest))
}

// Saturated reports whether requests currently find no free slot.
func (p *Planner) Saturated(now time.Time) bool { return !p.last.IsZero() && now.Sub(p.last) <= maxGap }

// recordSaturated records a request that found no free slot.
func (p *Planner) recordSaturated(now time.Time) {
	if p.saturatedSince.IsZero() || now.Sub(p.last) > maxGap {
		p.addSample()
		p.saturatedSince = now
	}
	p.last = now
}

// addSample adds the duration of the latest saturated period, which has ended, to the moving
// average.
func (p *Planner) addSample() {
	if p.saturatedSince.IsZero() {
		return
	}
	sample := min(max(p.last.Sub(p.saturatedSince), minSaturation), maxSaturation)
	p.saturation += time.Duration(saturationSampleWeight * float64(sample-p.saturation))
}

// retryDelay returns a delay of at most bound until a random time after the expected end of
// the current saturation. The random part is as long as the saturation, so that refused
// callers do not return together.
func (p *Planner) retryDelay(now time.Time, random float64, bound time.Duration) time.Duration {
	remaining := max(0, p.saturation-now.Sub(p.saturatedSince))
	jitter := max(minSpread, p.saturation)
	if remaining+jitter > bound {
		// The bound comes before the end of the saturation: spread the retries over the last
		// part of the bound.
		jitter = min(jitter, bound/2)
		remaining = max(0, bound-jitter)
	}
	return min(bound, remaining+time.Duration(random*float64(jitter)))
}
