package subset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// fleetIndex returns an index of runners of one service, spread evenly over zones.
func fleetIndex(runners, zones int) *Index[int] {
	index := NewIndex[int]()
	for i := range runners {
		index.Put(ListedRunner[int]{ID: fmt.Sprint("i-", i), ServiceZone: ServiceZone{"s", fmt.Sprint("z", i%zones)}, Value: i})
	}
	return index
}

// A subset contains all runners up to FullListLimit. With more runners it contains about
// the wanted number to twice the wanted number, whatever the size of the fleet.
func TestSubsetSizeIsBounded(t *testing.T) {
	for _, size := range []int{12, 100, FullListLimit, 1000, 10_000, 20_000, 40_000} {
		is := is.New(t)
		index := fleetIndex(size, 5)
		largest, smallest := 0, size
		for node := range 200 {
			interest := DefaultInterest(fmt.Sprint("edge-", node), "z1", false)
			known := len(index.Select(Compute(interest, index.Totals())))
			largest, smallest = max(largest, known), min(smallest, known)
		}
		t.Logf("%d runners: a node knows %d to %d", size, smallest, largest)
		if size <= FullListLimit {
			is.Equal(smallest, size)
			continue
		}
		const tolerance = 40 // positions are random
		is.True(largest <= 2*(minNearEdge+minFar)+tolerance)
		is.True(smallest >= minNearEdge+minFar-tolerance)
	}
}

// Subsets cover the runners evenly: nearly every runner of a zone is known to two or more
// nodes of the zone, and a node still knows enough runners after a tenth of all is lost.
func TestSubsetsOverlap(t *testing.T) {
	const zones, edgesOfZone = 5, 167
	for _, size := range []int{10_000, 20_000} {
		is := is.New(t)
		index := fleetIndex(size, zones)
		edges := edgesOfZone * size / 10_000
		knownBy := map[string]int{}
		for node := range edges {
			subset := Compute(DefaultInterest(fmt.Sprint("edge-", node), "z0", false), index.Totals())
			remaining := 0
			for _, entry := range index.Select(subset) {
				if entry.ServiceZone.Zone == "z0" {
					knownBy[entry.ID]++
				}
				if entry.Value%10 != 0 {
					remaining++
				}
			}
			is.True(remaining >= minNearEdge/2)
		}
		poorlyKnown := 0
		for id := range index.byID {
			if index.byID[id].ServiceZone.Zone == "z0" && knownBy[id] < 2 {
				poorlyKnown++
			}
		}
		share := float64(poorlyKnown) / float64(size/zones)
		t.Logf("%d runners, %d edges in a zone: %.3f of its runners known to fewer than two", size, edges, share)
		is.True(share < 0.08)
	}
}

// A subset computed with twice the wanted numbers contains the smaller subset. Runners of
// other zones make up for a zone with too few, and a service with few runners is in the
// subset completely.
func TestWiderSubsetContainsSmallerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := NewIndex[int]()
		for zone := range 4 {
			for i := range rapid.IntRange(0, 900).Draw(t, "runners") {
				index.Put(ListedRunner[int]{ID: fmt.Sprint("z", zone, "-", i), ServiceZone: ServiceZone{"s", fmt.Sprint("z", zone)}})
			}
		}
		for i := range 3 {
			index.Put(ListedRunner[int]{ID: fmt.Sprint("rare-", i), ServiceZone: ServiceZone{"rare", "z3"}})
		}
		interest := DefaultInterest("edge-1", "z0", rapid.Bool().Draw(t, "disk"))
		subset, wider := Compute(interest, index.Totals()), Compute(interest.Scaled(2), index.Totals())
		known, rare := 0, 0
		for id, entry := range index.byID {
			knows := subset.Contains(entry.ServiceZone, PositionOf(id))
			if knows && !wider.Contains(entry.ServiceZone, PositionOf(id)) {
				t.Fatalf("the wider subset lacks %s", id)
			}
			if knows && entry.ServiceZone.Service == "rare" {
				rare++
			}
			if knows {
				known++
			}
		}
		if rare != 3 {
			t.Fatalf("%d of 3 runners of a small service are in the subset", rare)
		}
		if total := index.Len() - 3; known-rare < min(total, interest.Near+interest.Far)/3 {
			t.Fatalf("%d of %d runners are in the subset", known-rare, total)
		}
	})
}

// A node that applies all changes of a selector in turn knows exactly the listed runners in
// its subset.
func TestSelectorChangesMatchSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interest := Interest{Node: "n", Zone: "z0", Near: 20, Far: 5}
		s := NewSelector[int](interest)
		listed, known := map[string]ListedRunner[int]{}, map[string]int{}
		apply := func(change Change[int]) {
			if change.Full {
				known = map[string]int{}
			}
			for _, entry := range change.Put {
				known[entry.ID] = entry.Value
			}
			for _, id := range change.Removed {
				delete(known, id)
			}
		}
		entry := func(i int) ListedRunner[int] {
			return ListedRunner[int]{ID: fmt.Sprint("r", i), ServiceZone: ServiceZone{"s", fmt.Sprint("z", i%3)}, Value: rapid.Int().Draw(t, "value")}
		}
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"starts": func(t *rapid.T) {
				var put []ListedRunner[int]
				for range rapid.IntRange(1, 400).Draw(t, "count") {
					put = append(put, entry(next))
					next++
				}
				for _, runner := range put {
					listed[runner.ID] = runner
				}
				apply(s.Apply(put, nil))
			},
			"ends": func(t *rapid.T) {
				var removed []string
				for id := range listed {
					if len(removed) < 50 {
						removed = append(removed, id)
					}
				}
				for _, id := range removed {
					delete(listed, id)
				}
				apply(s.Apply(nil, removed))
			},
			"wants": func(t *rapid.T) {
				interest = Interest{Node: "n", Zone: "z0", Near: rapid.IntRange(1, 300).Draw(t, "near"), Far: 5}
				if change, changed := s.SetInterest(interest); changed {
					apply(change)
				}
			},
			"": func(t *rapid.T) {
				subset := Compute(interest, s.Totals())
				count := 0
				for id, runner := range listed {
					value, knows := known[id]
					if knows != subset.Contains(runner.ServiceZone, PositionOf(id)) || knows && value != runner.Value {
						t.Fatalf("%s is known: %v; the subset says otherwise, or its value is outdated", id, knows)
					}
					if knows {
						count++
					}
				}
				if count != len(known) {
					t.Fatalf("%d runners are known that are not listed", len(known)-count)
				}
			},
		})
	})
}

// The factor doubles up to maxFactor while free slots are missing, and is halved once none
// was missing for shrinkAfter.
func TestScalerDoublesAndHalves(t *testing.T) {
	is := is.New(t)
	var scaler Scaler
	now := time.Unix(1000, 0)
	is.Equal(scaler.Factor(), 1)
	for _, factor := range []int{2, 4, maxFactor, maxFactor} {
		scaler.Update(true, now)
		is.Equal(scaler.Factor(), factor)
	}
	is.True(!scaler.Update(false, now.Add(shrinkAfter/2)))
	is.True(scaler.Update(false, now.Add(shrinkAfter)))
	is.Equal(scaler.Factor(), maxFactor/2)
}

// BenchmarkSelect measures the work of a relay for a node that starts.
func BenchmarkSelect(b *testing.B) {
	for _, size := range []int{1000, 10_000, 20_000} {
		index := fleetIndex(size, 5)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				index.Select(Compute(DefaultInterest(fmt.Sprint("edge-", i), "z1", false), index.Totals()))
			}
		})
	}
}

// BenchmarkPut measures the cost of adding and removing a runner at a relay.
func BenchmarkPut(b *testing.B) {
	for _, size := range []int{1000, 10_000, 20_000} {
		index := fleetIndex(size, 5)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("new-", i)
				index.Put(ListedRunner[int]{ID: id, ServiceZone: ServiceZone{"s", "z1"}})
				index.Remove(id)
			}
		})
	}
}
