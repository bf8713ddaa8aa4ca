package zoneload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func rowsOf(zones ...string) []serviceRow {
	var rows []serviceRow
	for _, zone := range zones {
		rows = append(rows, serviceRow{load: ZoneLoad{Zone: zone}})
	}
	return rows
}

// Each digest moves a probability by at most maxStep, and the sum stays within 1.
func TestProbabilitiesMoveInSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		var state *crossing
		for range rapid.IntRange(1, 12).Draw(t, "digests") {
			first := rapid.Float64Range(0, 1).Draw(t, "first")
			planned := []Share{{"b", first}, {"c", rapid.Float64Range(0, 1-first).Draw(t, "second")}}
			next := state.next(rowsOf("a", "b", "c"), planned, now)
			for _, zone := range []string{"b", "c"} {
				if rise := next.probability(zone, now) - state.probability(zone, now); rise > maxStep+1e-9 {
					t.Fatalf("zone %s rose by %v", zone, rise)
				}
			}
			if total := next.total(now); total > 1+1e-9 {
				t.Fatalf("sum %v", total)
			}
			state = next
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
		}
	})
}

// While one probability falls and others rise, their sum stays within 1.
func TestSumOfProbabilitiesIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var state *crossing
	for range 4 {
		state = state.next(rowsOf("b", "c", "d"), []Share{{"b", 1}}, now)
	}
	is.Equal(state.total(now), 1.0)
	state = state.next(rowsOf("b", "c", "d"), []Share{{"c", 0.5}, {"d", 0.5}}, now)
	is.True(math.Abs(state.total(now)-1) < 1e-9)
	is.Equal(state.probability("c", now), 0.2)
}

// The probability falls to 0 within a second without a digest.
func TestProbabilityFadesWithoutDigests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	state := (*crossing)(nil).next(rowsOf("b"), []Share{{"b", 0.2}}, now)
	is.Equal(state.total(now.Add(fadeStart)), 0.2)
	is.True(math.Abs(state.total(now.Add(700*time.Millisecond))-0.1) < 1e-9)
	is.Equal(state.total(now.Add(time.Second)), 0.0)
	is.True(state.draw(0, now.Add(time.Second)) == nil)
	next := state.next(rowsOf("b"), nil, now.Add(time.Second))
	is.Equal(len(next.targets), 0)
}

// A zone whose row is missing gets nothing at once.
func TestUnknownZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	state := (*crossing)(nil).next(rowsOf("b", "c"), []Share{{"b", 0.2}, {"c", 0.2}}, now)
	state = state.next(rowsOf("c"), []Share{{"b", 0.2}, {"c", 0.2}}, now)
	is.Equal(state.probability("b", now), 0.0)
	is.Equal(state.probability("c", now), 0.2)
}

// A hundred edges that act on the same digest send each zone at most the requests that it
// has free slots for, apart from the random variation of draws.
func TestManyEdgesDoNotOverloadAnEmptyZone(t *testing.T) {
	is := is.New(t)
	const arrivals, seconds = 400, 20
	empty := zoneOf("b", 0)
	zones := []ZoneLoad{zoneOf("a", arrivals), empty, zoneOf("c", 90)}
	planned := Plan(zones, testModel, "a")
	now := time.Now()
	var state *crossing
	for range 4 {
		state = state.next(rowsOf("a", "b", "c"), planned, now)
	}
	random := rand.New(rand.NewPCG(1, 2))
	sent := map[string]float64{}
	for range arrivals * seconds { // the draws of all edges, which have the same state
		if drawn := state.draw(random.Float64(), now); drawn != nil {
			sent[drawn.Zone]++
		}
	}
	limit := func(zone ZoneLoad) float64 { // within the horizon, with four standard deviations
		mean := (zone.Slots - zone.Running) / planHorizon.Seconds() * seconds
		return mean + 4*math.Sqrt(mean)
	}
	is.True(sent["b"] > 0)
	is.True(sent["b"] <= limit(empty))
	is.True(sent["c"] <= limit(zones[2]))
	is.Equal(sent["a"], 0.0)
}
