// Package retryafter computes retry delays for callers that are refused because no slot is
// free, and distinguishes first attempts from retries. An edge runs one Planner for each
// service.
//
// A service is saturated while requests for it are refused because none of its runners has a
// free slot. The package keeps in memory how long saturated periods last and which timeouts
// callers state. It has no dependencies, does no I/O and reads no clock.
package retryafter

import "time"

const (
	// initialDuration is the assumed duration of a saturated period until the end of the first
	// one has been observed.
	initialDuration = time.Second
	// sampleWeight is the weight of a new sample in the moving average.
	sampleWeight = 0.3
	// maxGap is the longest time between two successive refusals that count as the same
	// saturated period.
	maxGap = 300 * time.Millisecond
	// minSample and maxSample limit the duration that one saturated period adds to the
	// average. Without them, a period with a single refusal would count as 0, and an outage
	// would raise the average for a long time.
	minSample = 200 * time.Millisecond
	maxSample = 5 * time.Second
	// minSpread is the shortest period over which the retries of callers are spread, unless
	// the limit on the retry delay is below twice this value.
	minSpread = 500 * time.Millisecond
	// maxWaitFraction limits the retry delay to a fraction of the caller's remaining time.
	// The minimums below take precedence.
	maxWaitFraction = 0.3
	// minWaitFraction of the timeout of first attempts is the shortest retry delay. It is
	// 1.5 times the shortest delay after which IsFirstAttempt recognizes a retry.
	minWaitFraction = 1.5 * (1 - firstAttemptFraction)
	// minWait is the shortest retry delay for callers with short or no timeouts.
	minWait = 50 * time.Millisecond
)

// Planner tracks the saturation of one service on one node. It is not safe for concurrent
// use.
type Planner struct {
	// averageDuration is the moving average of the durations of saturated periods.
	averageDuration time.Duration
	// start and end delimit the latest saturated period: they are the times of its first and
	// last refusal. Both are zero until a request is refused.
	start, end time.Time
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner { return &Planner{averageDuration: initialDuration} }

// Caller describes a refused caller.
type Caller struct {
	// TimeLeft is the time until the caller's deadline; it may be negative.
	TimeLeft time.Duration
	// FirstAttemptTimeout is the timeout of first attempts on the caller's route, as returned
	// by CallerTimeouts.Record; 0 if callers state none.
	FirstAttemptTimeout time.Duration
}

// PlanRetry records that a request is refused because no slot is free, and returns the retry
// delay for its caller. The parameter random is a random number from 0 to 1.
//
// The delay normally ends after the expected end of the saturated period. It is limited to
// maxWaitFraction of the caller's remaining time, but is always at least minWait and at least
// minWaitFraction of the timeout of first attempts, even if the caller has less time left.
func (p *Planner) PlanRetry(now time.Time, random float64, caller Caller) time.Duration {
	p.recordRefusal(now)
	shortest := time.Duration(minWaitFraction * float64(caller.FirstAttemptTimeout))
	longest := time.Duration(maxWaitFraction * float64(caller.TimeLeft))
	return max(minWait, shortest, p.boundedDelay(now, random, longest))
}

// Saturated reports whether a request has been refused within the last maxGap.
func (p *Planner) Saturated(now time.Time) bool { return !p.end.IsZero() && now.Sub(p.end) <= maxGap }

// recordRefusal extends the current saturated period to now, or starts a new period if the
// latest refusal is more than maxGap ago.
func (p *Planner) recordRefusal(now time.Time) {
	if p.start.IsZero() || now.Sub(p.end) > maxGap {
		p.addSample()
		p.start = now
	}
	p.end = now
}

// addSample adds the duration of the latest saturated period, if there is one, to the moving
// average. The caller has determined that the period is over.
func (p *Planner) addSample() {
	if p.start.IsZero() {
		return
	}
	sample := min(max(p.end.Sub(p.start), minSample), maxSample)
	p.averageDuration += time.Duration(sampleWeight * float64(sample-p.averageDuration))
}

// boundedDelay returns a retry delay of at most bound. The delay ends at a random time within
// a spread period, so that refused callers do not retry together. The spread period starts at
// the expected end of the current saturated period and lasts for the average duration, but
// at least minSpread.
func (p *Planner) boundedDelay(now time.Time, random float64, bound time.Duration) time.Duration {
	remaining := max(0, p.averageDuration-now.Sub(p.start))
	spread := max(minSpread, p.averageDuration)
	if remaining+spread > bound {
		// The spread period would end after the bound. It is shortened to at most half of the
		// bound, and moved so that it ends at the bound.
		spread = min(spread, bound/2)
		remaining = max(0, bound-spread)
	}
	return min(bound, remaining+time.Duration(random*float64(spread)))
}
