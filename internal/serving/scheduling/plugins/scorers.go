package plugins

import "cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"

// LeastLoad prefers candidates with low utilization.
type LeastLoad struct{}

var _ framework.Scorer = LeastLoad{}

// Score implements framework.Scorer.
func (LeastLoad) Score(_ *framework.Request, candidates []framework.Candidate, scores []float64) {
	for i := range candidates {
		scores[i] = 1 - min(1, candidates[i].Utilization())
	}
}

// LeastPreemption prefers candidates with a large fraction of free slots, used by neither
// online nor batch work, so that fewer batch streams are preempted.
type LeastPreemption struct{}

var _ framework.Scorer = LeastPreemption{}

// Score implements framework.Scorer.
func (LeastPreemption) Score(_ *framework.Request, candidates []framework.Candidate, scores []float64) {
	for i := range candidates {
		capacity := max(1, candidates[i].Capacity)
		used := float64(candidates[i].Load+candidates[i].Batch) / float64(capacity)
		scores[i] = 1 - min(1, used)
	}
}

// PrefixAffinity prefers the candidate with the highest affinity, so that requests with the
// same prefix go to the candidate that has the prefix in its cache. It prefers no candidate if
// the request has no prefix, or if the utilization of that candidate exceeds the average by
// more than affinitySlack (consistent hashing with bounded loads, Mirrokni, Thorup,
// Zadimoghaddam 2016).
type PrefixAffinity struct{}

var _ framework.Scorer = PrefixAffinity{}

// affinitySlack is a fraction of the candidate's capacity.
const affinitySlack = 0.25

// Score implements framework.Scorer.
func (PrefixAffinity) Score(request *framework.Request, candidates []framework.Candidate, scores []float64) {
	preferred := -1
	average := 0.0
	for i := range candidates {
		scores[i] = 0
		average += candidates[i].Utilization() / float64(len(candidates))
		if preferred < 0 || candidates[i].Affinity > candidates[preferred].Affinity {
			preferred = i
		}
	}
	if request.PrefixHash != 0 && candidates[preferred].Utilization() <= average+affinitySlack {
		scores[preferred] = 1
	}
}
