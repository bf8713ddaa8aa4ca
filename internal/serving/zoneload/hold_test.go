package zoneload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// observePeaks adds digests of two zones whose requests hold their slots for a time, with
// peaks of 2.8 s every 6.6 s.
func observePeaks(estimate *holdEstimate, hold, duration time.Duration, mean float64, start time.Time) {
	const step = 10 * time.Millisecond
	loads := []ZoneLoad{zoneOf("a", 0), zoneOf("b", 0)}
	for at := time.Duration(0); at < duration; at += step {
		arrivals := 0.38 * mean
		if at%(6600*time.Millisecond) < 2800*time.Millisecond {
			arrivals = 1.84 * mean
		}
		for i := range loads {
			zone := &loads[i]
			zone.Running += (arrivals - min(zone.Running, zone.Slots)/hold.Seconds()) * step.Seconds()
			zone.Arrivals += step.Seconds() / arrivalSmoothing.Seconds() * (arrivals - zone.Arrivals)
		}
		if at%digestInterval == 0 {
			estimate.observe(loads, start.Add(at))
		}
	}
}

// The estimate is near the actual time under peaks, also while requests wait for slots.
func TestHoldIsEstimatedUnderPeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimate := &holdEstimate{}
		hold := time.Duration(rapid.IntRange(200, 2000).Draw(t, "hold")) * time.Millisecond
		duration := time.Duration(rapid.IntRange(8, 60).Draw(t, "duration")) * time.Second
		capacity := 96 / hold.Seconds()
		observePeaks(estimate, hold, duration, rapid.Float64Range(0.3, 0.9).Draw(t, "load")*capacity, time.Now())
		value, known := estimate.value()
		if !known || math.Abs(value.Seconds()/hold.Seconds()-1) > 0.15 {
			t.Fatalf("estimate %v (%v), hold %v", value, known, hold)
		}
	})
}

// A digest with invalid figures of a zone does not change the estimate: the zone's requests
// have not ended.
func TestHoldIgnoresInvalidZones(t *testing.T) {
	is := is.New(t)
	estimate, now := &holdEstimate{}, time.Now()
	steady := []ZoneLoad{zoneOf("a", 80), zoneOf("b", 80)}
	invalid := []ZoneLoad{zoneOf("a", 80), zoneOf("b", math.NaN())}
	for i := range 100 {
		loads := steady
		if i%10 == 9 {
			loads = invalid
		}
		now = now.Add(digestInterval)
		estimate.observe(loads, now)
	}
	value, known := estimate.value()
	is.True(known)
	is.True(math.Abs(value.Seconds()-1) < 0.01)
}

// There is no estimate before minHoldTime, and times without digests do not count.
func TestHoldIsUnknownWithoutDigests(t *testing.T) {
	is := is.New(t)
	estimate, now := &holdEstimate{}, time.Now()
	observePeaks(estimate, time.Second, 4*time.Second, 50, now)
	_, known := estimate.value()
	is.True(!known)
	for i := range 20 {
		estimate.observe([]ZoneLoad{zoneOf("a", 90)}, now.Add(time.Duration(i)*time.Minute))
	}
	_, known = estimate.value()
	is.True(!known)
	is.True(estimate.covered < 4*time.Second)
}
