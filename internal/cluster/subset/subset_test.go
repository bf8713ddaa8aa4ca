package subset

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// fleetIndex lists runners of one service, evenly in zones.
func fleetIndex(runners, zones int) *Index[int] {
	index := NewIndex[int]()
	for i := range runners {
		index.Put(ListedRunner[int]{ID: fmt.Sprint("i-", i), ServiceZone: ServiceZone{"s", fmt.Sprint("z", i%zones)}, Value: i})
	}
	return index
}

// What a node knows stays within twice what it wants, at any number of runners, and
// up to AllKnown of them it knows all.
func TestWhatANodeKnowsDoesNotGrow(t *testing.T) {
	for _, size := range []int{12, 100, AllKnown, 1000, 10_000, 20_000, 40_000} {
		is := is.New(t)
		index := fleetIndex(size, 5)
		most, least := 0, size
		for node := range 200 {
			interest := DefaultInterest(fmt.Sprint("edge-", node), "z1", false)
			known := len(index.Select(Compute(interest, index.Totals())))
			most, least = max(most, known), min(least, known)
		}
		t.Logf("%d runners: a node knows %d to %d", size, least, most)
		if size <= AllKnown {
			is.Equal(least, size)
			continue
		}
		const drawn = 40 // positions are drawn: so far from the mean at the most
		is.True(most <= 2*(edgeNear+farKnown)+drawn)
		is.True(least >= edgeNear+farKnown-drawn)
	}
}

// Draws are even and overlap: of all runners of a zone nearly each is known to
// several of its nodes, and the loss of a tenth of the runners, or of the nodes,
// leaves no node and no runner without others.
func TestDrawsOverlap(t *testing.T) {
	const zones, edgesOfZone = 5, 167
	for _, size := range []int{10_000, 20_000} {
		is := is.New(t)
		index := fleetIndex(size, zones)
		edges := edgesOfZone * size / 10_000
		knownBy := map[string]int{}
		for node := range edges {
			draw := Compute(DefaultInterest(fmt.Sprint("edge-", node), "z0", false), index.Totals())
			left := 0
			for _, entry := range index.Select(draw) {
				if entry.ServiceZone.Zone == "z0" {
					knownBy[entry.ID]++
				}
				if entry.Value%10 != 0 {
					left++
				}
			}
			is.True(left >= edgeNear/2) // a tenth of all runners is lost
		}
		alone := 0
		for id := range index.byID {
			if index.byID[id].ServiceZone.Zone == "z0" && knownBy[id] < 2 {
				alone++
			}
		}
		share := float64(alone) / float64(size/zones)
		t.Logf("%d runners, %d edges in a zone: %.3f of its runners known to fewer than two", size, edges, share)
		is.True(share < 0.08)
	}
}

// A draw that grows keeps all that it had; one of a zone without enough runners takes
// others for them; a service with few runners is known whole.
func TestDrawsOfThinZones(t *testing.T) {
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
		draw, wider := Compute(interest, index.Totals()), Compute(interest.Widened(2), index.Totals())
		known, rare := 0, 0
		for id, entry := range index.byID {
			knows := draw.Contains(entry.ServiceZone, PositionOf(id))
			if knows && !wider.Contains(entry.ServiceZone, PositionOf(id)) {
				t.Fatalf("the wider draw lost %s", id)
			}
			if knows && entry.ServiceZone.Service == "rare" {
				rare++
			}
			if knows {
				known++
			}
		}
		if rare != 3 {
			t.Fatalf("%d of 3 runners of a small service are known", rare)
		}
		if total := index.Len() - 3; known-rare < min(total, interest.Near+interest.Far)/3 {
			t.Fatalf("%d of %d runners are known", known-rare, total)
		}
	})
}

// What a selector hands on comes to what the draw selects of all entries.
func TestSelectorFollowsItsDraw(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interest := Interest{Node: "n", Zone: "z0", Near: 20, Far: 5}
		s := NewSelector[int](interest)
		listed, known := map[string]ListedRunner[int]{}, map[string]int{}
		take := func(change DrawChange[int]) {
			if change.Whole {
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
				for _, one := range put {
					listed[one.ID] = one
				}
				take(s.Apply(put, nil))
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
				take(s.Apply(nil, removed))
			},
			"wants": func(t *rapid.T) {
				interest = Interest{Node: "n", Zone: "z0", Near: rapid.IntRange(1, 300).Draw(t, "near"), Far: 5}
				if change, other := s.Want(interest); other {
					take(change)
				}
			},
			"": func(t *rapid.T) {
				draw := Compute(interest, s.Totals())
				count := 0
				for id, one := range listed {
					value, knows := known[id]
					if knows != draw.Contains(one.ServiceZone, PositionOf(id)) || knows && value != one.Value {
						t.Fatalf("%s is known: %v", id, knows)
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

// A draw widens while free slots are missing, up to a bound, and shrinks when none was missing for a
// while.
func TestWidening(t *testing.T) {
	is := is.New(t)
	var w Widening
	now := time.Unix(1000, 0)
	is.Equal(w.Factor(), 1)
	for _, factor := range []int{2, 4, maxFactor, maxFactor} {
		w.Note(true, now)
		is.Equal(w.Factor(), factor)
	}
	is.True(!w.Note(false, now.Add(shrinkAfter/2)))
	is.True(w.Note(false, now.Add(shrinkAfter)))
	is.Equal(w.Factor(), maxFactor/2)
}

// BenchmarkSelect is what a relay works for a node that starts.
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

// BenchmarkPut is what a runner that comes costs a relay.
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
