// Package framework defines the extension points with which a plain node chooses a candidate
// for a request: an owner node (module serving.router) or one of its own runners (module
// serving.owner). A Scheduler runs filters, then scorers, then the picker; package plugins
// provides the implementations.
//
// Plugins may modify the slice of candidates; the caller of Choose passes a private copy. They
// are called concurrently, and must not block, do I/O, or retain candidates.
package framework

import (
	"math/rand/v2"
	"time"
)

// Request describes the request to be scheduled.
type Request struct {
	// PrefixHash is the hash of the beginning of the prompt; 0 means that the request has no
	// prefix to be matched.
	PrefixHash uint64
	// Excluded lists the ids of candidates that must not be chosen, since they were already
	// tried.
	Excluded []string
	Now      time.Time
}

// Candidate is a possible destination of the request.
type Candidate struct {
	ID string
	// Capacity is the number of online streams of the request's model that the candidate
	// can run.
	Capacity int
	// Load is the last known number of online streams of the request's model.
	Load int
	// Batch is the last known number of batch streams of the request's model, which online
	// work would preempt.
	Batch int
	// Affinity is the candidate's rendezvous weight for the request's prefix.
	Affinity uint64
	// EjectedUntil is set after failures. Until that time, the candidate is chosen only if no
	// other candidate is available.
	EjectedUntil time.Time
	// Leaving candidates accept no new work.
	Leaving bool
}

// Utilization returns the load as a fraction of capacity, which may exceed 1; or 1 for a
// candidate without capacity.
func (c *Candidate) Utilization() float64 {
	if c.Capacity <= 0 {
		return 1
	}
	return float64(c.Load) / float64(c.Capacity)
}

// Filter returns the candidates that may be chosen. If there are none, the caller of Choose
// refuses the request or tries other nodes.
type Filter interface {
	Filter(request *Request, candidates []Candidate) []Candidate
}

// Scorer sets the score of each candidate, from 0 (worst) to 1 (best). scores has the same
// length and order as candidates.
type Scorer interface {
	Score(request *Request, candidates []Candidate, scores []float64)
}

// Picker returns the index of the chosen candidate. There is at least one candidate; scores
// contains the weighted sums of the scorers.
type Picker interface {
	Pick(request *Request, candidates []Candidate, scores []float64, random *rand.Rand) int
}

// WeightedScorer is a scorer with its weight in the total score.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Scheduler runs the filters, then the scorers, then the picker.
type Scheduler struct {
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// Choose returns the chosen candidate, or false if the filters removed all candidates. It may
// overwrite the slice of candidates.
func (s *Scheduler) Choose(request *Request, candidates []Candidate, random *rand.Rand) (Candidate, bool) {
	for _, filter := range s.Filters {
		candidates = filter.Filter(request, candidates)
	}
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	total := make([]float64, len(candidates))
	scores := make([]float64, len(candidates))
	for _, weighted := range s.Scorers {
		weighted.Scorer.Score(request, candidates, scores)
		for i := range total {
			total[i] += weighted.Weight * scores[i]
		}
	}
	return candidates[s.Picker.Pick(request, candidates, total, random)], true
}
