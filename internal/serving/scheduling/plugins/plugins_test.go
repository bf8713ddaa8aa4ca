package plugins

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"
)

func drawCandidates(t *rapid.T) []framework.Candidate {
	candidates := make([]framework.Candidate, rapid.IntRange(1, 12).Draw(t, "count"))
	for i := range candidates {
		capacity := rapid.IntRange(1, 32).Draw(t, "capacity")
		candidates[i] = framework.Candidate{
			ID: fmt.Sprint("c", i), Capacity: capacity,
			Load:     rapid.IntRange(0, capacity+2).Draw(t, "load"),
			Affinity: rapid.Uint64().Draw(t, "affinity"),
			Leaving:  rapid.Bool().Draw(t, "leaving"),
		}
	}
	return candidates
}

func ownerScheduler() *framework.Scheduler {
	return &framework.Scheduler{
		Filters: []framework.Filter{Available{}, WithFreeSlots{}},
		Scorers: []framework.WeightedScorer{{Scorer: LeastLoad{}, Weight: 1}, {Scorer: PrefixAffinity{}, Weight: 0.5}},
		Picker:  SampledBest{Samples: 2},
	}
}

func TestChosenIsNeverLeavingFullOrExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		request := &framework.Request{Now: time.Unix(0, 0), PrefixHash: 1, Excluded: []string{"c0"}}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		possible := 0
		for _, candidate := range candidates {
			if !candidate.Leaving && candidate.ID != "c0" && candidate.Load < candidate.Capacity {
				possible++
			}
		}
		chosen, found := ownerScheduler().Choose(request, append([]framework.Candidate(nil), candidates...), random)
		if found != (possible > 0) {
			t.Fatalf("found %v with %d possible", found, possible)
		}
		if found && (chosen.Leaving || chosen.ID == "c0" || chosen.Load >= chosen.Capacity) {
			t.Fatalf("chose %+v", chosen)
		}
	})
}

func TestOverloadedCandidateHasNoAffinity(t *testing.T) {
	is := is.New(t)
	request := &framework.Request{PrefixHash: 1}
	candidates := []framework.Candidate{
		{ID: "favourite", Capacity: 10, Load: 9, Affinity: 9},
		{ID: "idle", Capacity: 10, Load: 0, Affinity: 1},
	}
	scores := make([]float64, 2)
	PrefixAffinity{}.Score(request, candidates, scores)
	is.Equal(scores, []float64{0, 0}) // 0.9 is more than 0.25 above the average of 0.45

	candidates[0].Load = 1
	PrefixAffinity{}.Score(request, candidates, scores)
	is.Equal(scores, []float64{1, 0})
}

func TestEjectedCandidateIsLastResort(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	request := &framework.Request{Now: now}
	ejected := framework.Candidate{ID: "aside", Capacity: 1, EjectedUntil: now.Add(time.Second)}
	good := framework.Candidate{ID: "good", Capacity: 1}
	kept := Available{}.Filter(request, []framework.Candidate{ejected, good})
	is.Equal(len(kept), 1)
	is.Equal(kept[0].ID, "good")
	kept = Available{}.Filter(request, []framework.Candidate{ejected})
	is.Equal(kept[0].ID, "aside")
}

func BenchmarkChooseAmongOwners(b *testing.B) {
	scheduler := ownerScheduler()
	random := rand.New(rand.NewPCG(1, 1))
	candidates := make([]framework.Candidate, 24)
	for i := range candidates {
		candidates[i] = framework.Candidate{ID: fmt.Sprint("n", i), Capacity: 300, Load: i * 10, Affinity: random.Uint64()}
	}
	request := &framework.Request{PrefixHash: 7}
	working := make([]framework.Candidate, len(candidates))
	b.ReportAllocs()
	for b.Loop() {
		copy(working, candidates)
		scheduler.Choose(request, working, random)
	}
}
