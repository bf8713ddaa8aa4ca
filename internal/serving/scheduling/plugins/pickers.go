package plugins

import (
	"math/rand/v2"

	"cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"
)

// Best picks the candidate with the highest score, and breaks ties at random.
type Best struct{}

var _ framework.Picker = Best{}

// Pick implements framework.Picker.
func (Best) Pick(_ *framework.Request, _ []framework.Candidate, scores []float64, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(scores); i++ {
		switch {
		case scores[i] > scores[best]:
			best, ties = i, 1
		case scores[i] == scores[best]:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// SampledBest picks the candidate with the highest score among the candidate with the highest
// affinity and a few random candidates. Sampling prevents many nodes with the same outdated
// view from choosing the same owner (Mitzenmacher 2001).
type SampledBest struct {
	// Samples is the number of random candidates. A candidate may be drawn more than once.
	Samples int
}

var _ framework.Picker = SampledBest{}

// Pick implements framework.Picker.
func (s SampledBest) Pick(_ *framework.Request, candidates []framework.Candidate, scores []float64, random *rand.Rand) int {
	best := 0
	for i := range candidates {
		if candidates[i].Affinity > candidates[best].Affinity {
			best = i
		}
	}
	for range s.Samples {
		sampled := random.IntN(len(candidates))
		if scores[sampled] > scores[best] {
			best = sampled
		}
	}
	return best
}
