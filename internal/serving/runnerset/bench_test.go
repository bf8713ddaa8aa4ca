package runnerset

import (
	"fmt"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// fleetRecords are runners of one service, evenly in five zones.
func fleetRecords(count int) []Record {
	var records []Record
	for i := range count {
		records = append(records, Record{ID: fmt.Sprint("i-", i), Service: "s", Zone: fmt.Sprint("z", i%5), Slots: 8})
	}
	return records
}

// drawn returns what an edge of a fleet with so many runners knows.
func drawn(count int) ([]Record, subset.Totals) {
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

// sets are those of a node that knows all runners, and of one that knows its draw, at
// half of the whole fleet, at its size, and at twice that.
func sets(b *testing.B, run func(b *testing.B, s *Set)) {
	for _, count := range []int{subset.FullListLimit, 5000, 10_000, 20_000} {
		known, totals := drawn(count)
		b.Run(fmt.Sprint("all/", count), func(b *testing.B) {
			s := New()
			s.Replace(fleetRecords(count), 1, time.Now())
			run(b, s)
		})
		b.Run(fmt.Sprint("draw/", count), func(b *testing.B) {
			s := New()
			s.Select(known, totals, 1, time.Now())
			run(b, s)
		})
	}
}

// BenchmarkPick is one choice.
func BenchmarkPick(b *testing.B) {
	sets(b, func(b *testing.B, s *Set) {
		for b.Loop() {
			s.Pick(&Criteria{Service: "s", Zone: "z0", Prompt: Prompt{Tokens: 200}}, time.Now())
		}
	})
}

// BenchmarkChange is one runner that comes and goes.
func BenchmarkChange(b *testing.B) {
	sets(b, func(b *testing.B, s *Set) {
		record := Record{ID: "new", Service: "s", Zone: "z0", Slots: 8}
		for revision := int64(2); b.Loop(); revision += 2 {
			s.ApplyChanges([]Record{record}, nil, revision, time.Now())
			s.ApplyChanges(nil, []string{"new"}, revision+1, time.Now())
		}
	})
}

// What a choice reads does not grow with the runners of a fleet.
func TestChoiceReadsADraw(t *testing.T) {
	for _, count := range []int{10_000, 20_000} {
		known, totals := drawn(count)
		s := New()
		s.Select(known, totals, 1, time.Now())
		choice := s.Pick(&Criteria{Service: "s", Zone: "z0"}, time.Now())
		if choice.Candidates != len(known) || len(known) > 2*(64+16)+64 {
			t.Fatalf("%d runners: a choice among %d of %d known", count, choice.Candidates, len(known))
		}
	}
}

// Choices that find no free slot are counted, so that a node may ask for more runners.
func TestFullChoicesAreCounted(t *testing.T) {
	s := New()
	s.Replace([]Record{{ID: "a", Service: "s", Zone: "z", Slots: 1}}, 1, time.Now())
	criteria := &Criteria{Service: "s", Zone: "z"}
	first := s.Pick(criteria, time.Now())
	if full := s.TakeFullChoices(); full != 0 {
		t.Fatalf("%d choices found no slot at an empty runner", full)
	}
	s.Begin(first.Runner, Prompt{}, false, time.Now())
	s.Pick(criteria, time.Now())
	if full := s.TakeFullChoices(); full != 1 {
		t.Fatalf("%d choices found no slot at a full runner, want 1", full)
	}
}
