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
			p.recordRefusal(now)
			bound := time.Duration(rapid.IntRange(0, 4000).Draw(t, "bound")) * time.Millisecond
			wait := p.boundedDelay(now, rapid.Float64Range(0, 1).Draw(t, "draw"), bound)
			if wait < 0 || wait > bound {
				t.Fatalf("retry delay of %s, bound is %s", wait, bound)
			}
			if p.averageDuration < minSample || p.averageDuration > maxSample {
				t.Fatalf("average duration of saturated periods is %s", p.averageDuration)
			}
		}
	})
}

// simulatePeaks records saturated periods of the given length, each followed by an idle
// period.
func simulatePeaks(p *Planner, now time.Time, count int, length time.Duration) time.Time {
	for range count {
		for at := time.Duration(0); at <= length; at += 20 * time.Millisecond {
			p.recordRefusal(now.Add(at))
		}
		now = now.Add(length + 3*time.Second)
	}
	return now
}

// The planner estimates the duration of saturated periods and spreads the retries over the
// time after the current period.
func TestCallersReturnAfterSaturation(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	now := simulatePeaks(p, time.Unix(1000, 0), 20, 2*time.Second)
	p.recordRefusal(now)
	is.True(p.averageDuration > 1800*time.Millisecond && p.averageDuration <= 2*time.Second)
	const bound = 10 * time.Second
	is.True(p.boundedDelay(now, 0, bound) >= 1800*time.Millisecond) // at the start: the whole duration
	later := now.Add(1500 * time.Millisecond)
	for at := now; at.Before(later); at = at.Add(100 * time.Millisecond) {
		p.recordRefusal(at)
	}
	is.True(p.boundedDelay(later, 0, bound) < 600*time.Millisecond) // later: the remaining duration
	is.True(p.boundedDelay(later, 1, bound)-p.boundedDelay(later, 0, bound) >= 1800*time.Millisecond)
}

// Callers that cannot wait until the end of the saturated period get different delays.
func TestShortDelaysAreSpread(t *testing.T) {
	is := is.New(t)
	p := NewPlanner()
	now := simulatePeaks(p, time.Unix(1000, 0), 20, 4*time.Second)
	p.recordRefusal(now)
	const bound = 1500 * time.Millisecond
	is.True(p.boundedDelay(now, 1, bound) <= bound)
	is.True(p.boundedDelay(now, 1, bound)-p.boundedDelay(now, 0, bound) >= 500*time.Millisecond)
}

// A service counts as saturated until maxGap has passed since its latest refusal.
func TestSaturatedUntilGap(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := NewPlanner()
	is.True(!p.Saturated(now))
	p.recordRefusal(now)
	is.True(p.Saturated(now.Add(maxGap)))
	is.True(!p.Saturated(now.Add(maxGap + 1)))
}
