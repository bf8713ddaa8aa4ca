package runnerset

import (
	"fmt"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// fleetRecords returns the runners of one service, spread evenly over five zones.
func fleetRecords(count int) []Record {
	var records []Record
	for i := range count {
		records = append(records, Record{ID: fmt.Sprint("i-", i), Service: "s", Zone: fmt.Sprint("z", i%5), Slots: 8})
	}
	return records
}

// subsetRecords returns the runners in the subset of an edge, for a fleet of the given
// size, and the totals of the fleet.
func subsetRecords(count int) ([]Record, subset.Totals) {
	index := subset.NewIndex[Record]()
	for _, record := range fleetRecords(count) {
		index.Put(subset.ListedRunner[Record]{ID: record.ID, ServiceZone: subset.ServiceZone{Service: "s", Zone: record.Zone}, Value: record})
	}
	var known []Record
	for _, entry := range index.Select(subset.Compute(subset.DefaultInterest("edge-1", "z0", false), index.Totals())) {
		known = append(known, entry.Value)
	}
	return known, index.Totals()
}

// benchmarkSets runs a benchmark on sets with the whole fleet and on sets with the subset
// of an edge, for fleets of different sizes.
func benchmarkSets(b *testing.B, run func(b *testing.B, s *Set)) {
	for _, count := range []int{subset.FullListLimit, 5000, 10_000, 20_000} {
		known, totals := subsetRecords(count)
		b.Run(fmt.Sprint("all/", count), func(b *testing.B) {
			s := New()
			s.Replace(fleetRecords(count), 1, time.Now())
			run(b, s)
		})
		b.Run(fmt.Sprint("subset/", count), func(b *testing.B) {
			s := New()
			s.Select(known, totals, 1, time.Now())
			run(b, s)
		})
	}
}

func BenchmarkPick(b *testing.B) {
	benchmarkSets(b, func(b *testing.B, s *Set) {
		for b.Loop() {
			s.Pick(&Criteria{Service: "s", Zone: "z0", Prompt: Prompt{Tokens: 200}}, time.Now())
		}
	})
}

// BenchmarkChange measures adding and removing one runner.
func BenchmarkChange(b *testing.B) {
	benchmarkSets(b, func(b *testing.B, s *Set) {
		record := Record{ID: "new", Service: "s", Zone: "z0", Slots: 8}
		for revision := int64(2); b.Loop(); revision += 2 {
			s.ApplyChanges([]Record{record}, nil, revision, time.Now())
			s.ApplyChanges(nil, []string{"new"}, revision+1, time.Now())
		}
	})
}

// A node that knows a subset of the fleet chooses among its subset only, whose size does
// not grow with the fleet.
func TestPickReadsOnlyTheSubset(t *testing.T) {
	for _, count := range []int{10_000, 20_000} {
		known, totals := subsetRecords(count)
		s := New()
		s.Select(known, totals, 1, time.Now())
		choice := s.Pick(&Criteria{Service: "s", Zone: "z0"}, time.Now())
		if choice.Candidates != len(known) || len(known) > 2*(64+16)+64 {
			t.Fatalf("%d runners: chose among %d candidates of %d known runners", count, choice.Candidates, len(known))
		}
	}
}

// Choices that find no free slot are counted, so that a node can enlarge its subset.
func TestPicksWithoutFreeSlotAreCounted(t *testing.T) {
	s := New()
	s.Replace([]Record{{ID: "a", Service: "s", Zone: "z", Slots: 1}}, 1, time.Now())
	criteria := &Criteria{Service: "s", Zone: "z"}
	first := s.Pick(criteria, time.Now())
	if full := s.DrainFullChoices(); full != 0 {
		t.Fatalf("%d choices found no slot at an empty runner", full)
	}
	s.Begin(first.Runner, Prompt{}, false, time.Now())
	s.Pick(criteria, time.Now())
	if full := s.DrainFullChoices(); full != 1 {
		t.Fatalf("%d choices found no slot at a full runner, want 1", full)
	}
}
