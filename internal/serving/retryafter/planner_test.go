package retryafter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// Retry delays are neither negative nor longer than the bound.
func TestRetryDelaysAreWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := NewPlanner()
		for range rapid.IntRange(1, 200).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			p.recordSaturated(now)
			bound := time.Duration(rapid.IntRange(0, 4000).Draw(t, "bound")) * time.Millisecond
			wait := p.retryDelay(now, rapid.Float64Range(0, 1).Draw(t, "draw"), bound)
			if wait < 0 || wait > bound {
				t.Fatalf("retry delay of %s, bound is %s", wait, bound)
			}
			if p.saturation < minSaturation || p.saturation > maxSaturation {
				t.Fatalf("average saturation is %s", p.saturation)
			}
		}
	})
}

// simulatePeaks records saturated periods of the given length, each followed by an idle
// period.
func simulatePeaks(p *Planner, now time.Time, count int, length time.Duration) time.Time {
	for range count {
		for at := time.Duration(0); at <= length; at += 20 * time.Millisecond {
			p.recordSaturated(now.Add(at))
		}
		now = now.Add(length + 3*time.Second)
	}
	return now
}

// The planner learns the duration of saturation and spreads the retries over the time after
// it.
func TestCallersReturnAfterSaturation(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	now := simulatePeaks(p, time.Unix(1000, 0), 20, 2*time.Second)
	p.recordSaturated(now)
	is.True(p.saturation > 1800*time.Millisecond && p.saturation <= 2*time.Second)
	const bound = 10 * time.Second
	is.True(p.retryDelay(now, 0, bound) >= 1800*time.Millisecond) // at the start: the whole duration
	later := now.Add(1500 * time.Millisecond)
	for at := now; at.Before(later); at = at.Add(100 * time.Millisecond) {
		p.recordSaturated(at)
	}
	is.True(p.retryDelay(later, 0, bound) < 600*time.Millisecond) // later: the remaining duration
	is.True(p.retryDelay(later, 1, bound)-p.retryDelay(later, 0, bound) >= 1800*time.Millisecond)
}

// Callers that cannot wait until the end of the saturation get different delays.
func TestShortDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	now := simulatePeaks(p, time.Unix(1000, 0), 20, 4*time.Second)
	p.recordSaturated(now)
	const bound = 1500 * time.Millisecond
	is.True(p.retryDelay(now, 1, bound) <= bound)
	is.True(p.retryDelay(now, 1, bound)-p.retryDelay(now, 0, bound) >= 500*time.Millisecond)
}

// A service is saturated until no request has lacked a slot for longer than maxGap.
func TestSaturatedUntilGap(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := NewPlanner()
	is.True(!p.Saturated(now))
	p.recordSaturated(now)
	is.True(p.Saturated(now.Add(maxGap)))
	is.True(!p.Saturated(now.Add(maxGap + 1)))
}
