package runnerset

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Criteria are the requirements of a request on the choice of its runner.
type Criteria struct {
	Service string
	// Zone is the zone of this node.
	Zone   string
	Prompt Prompt
	// Bytes is the size of the request; traffic to another zone costs more per byte.
	Bytes int
	// Excluded holds the IDs of runners that must not be chosen, for instance because
	// they were tried already.
	Excluded map[string]bool
	// Batch limits the choice for a batch item, for which there may be no runner; nil
	// for an online request.
	Batch *BatchLimits
}

// Choice is a chosen runner, with the estimates that led to it.
type Choice struct {
	// Runner is nil if no runner may be used.
	Runner *Runner
	// Cost is the expected time to the first event plus the surcharges of
	// candidate.cost.
	Cost time.Duration
	// FirstEvent is the expected time to the first event without surcharges.
	FirstEvent time.Duration
	// Suspect is set if the runner is ejected or overdue and was chosen only because
	// there is no better one; FirstEvent is then unreliable.
	Suspect bool
	// Load is the estimated number of requests at the runner, and Unread the estimated
	// number of prompt tokens that it has not yet processed.
	Load   float64
	Unread float64
	// Sources are the reports from which Load was estimated.
	Sources LoadSources
	// Candidates is the number of runners that could have been chosen.
	Candidates int
}

// Pick returns the runner with the lowest cost (see candidate.cost), or a choice without
// a runner if none may be used. If no listed runner of the service accepts work, an
// online request may go to a recently removed one.
func (s *Set) Pick(criteria *Criteria, now time.Time) Choice {
	choice := s.pickAmong(criteria, now, (*Runner).AcceptsWork)
	if choice.Runner == nil && criteria.Batch == nil && !slices.ContainsFunc(s.Service(criteria.Service), (*Runner).AcceptsWork) {
		choice = s.pickAmong(criteria, now, (*Runner).RecentlyRemoved)
	}
	if choice.Runner == nil || choice.Load+1 > choice.Runner.slots() {
		s.fullChoices.Add(1)
	}
	return choice
}

func (s *Set) pickAmong(criteria *Criteria, now time.Time, usable func(*Runner) bool) Choice {
	best := Choice{}
	list := s.Service(criteria.Service)
	typical := typicalSlowness(list)
	anyReported := s.refreshZoneUtilizations(list, now)
	candidates := 0
	for _, runner := range list {
		if !usable(runner) || criteria.Excluded[runner.ID] {
			continue
		}
		// Batch items have to be preempted as soon as online requests arrive, so they go
		// to runners whose load other nodes report to this node, if there are any.
		if criteria.Batch != nil && anyReported && !s.receivesReports(runner) {
			continue
		}
		choice, fits := runner.evaluate(criteria, now, typical)
		if !fits {
			continue
		}
		candidates++
		if best.Runner == nil || choice.Cost < best.Cost {
			best = choice
		}
	}
	best.Candidates = candidates
	if best.Runner != nil {
		best.Sources = best.Runner.loadSources(now)
	}
	return best
}

// evaluate computes the cost of the runner. It returns false if the runner must not get
// the batch item.
func (r *Runner) evaluate(criteria *Criteria, now time.Time, typical float64) (Choice, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.candidate(criteria, now)
	if criteria.Batch != nil && !criteria.Batch.allow(&c) {
		return Choice{}, false
	}
	expected := expectedFirstEvent(r.model, c.load, c.slots, r.prefixes.uncached(criteria.Prompt))
	c.expected = time.Duration(float64(expected) * max(1, relativeSlowness(r.slowness, typical)))
	return Choice{
		Runner: r, Load: c.load.running, Unread: c.load.unread,
		FirstEvent: c.expected, Suspect: c.suspect(), Cost: c.cost(rand.Float64()),
	}, true
}

// candidate collects the state of the runner that the cost depends on, except for the
// expected time to the first event. The caller holds the mutex.
func (r *Runner) candidate(criteria *Criteria, now time.Time) candidate {
	return candidate{
		load: r.estimate(now), slots: r.slots(),
		overdue: r.longestOverdue(now), ejected: r.ejection.active(now),
		nonHome:   criteria.Batch != nil && criteria.Batch.Home != nil && !criteria.Batch.Home(&r.Record),
		otherZone: r.Zone != criteria.Zone, bytes: criteria.Bytes,
		unreported: !r.set.receivesReports(r),
		cold:       now.Before(r.ColdUntil),
	}
}

// typicalSlowness returns the harmonic mean of the runners' slowness, which gives more
// weight to fast runners.
func typicalSlowness(list []*Runner) float64 {
	sum, count := 0.0, 0
	for _, runner := range list {
		runner.mutex.Lock()
		if runner.slowness > 0 {
			sum += 1 / runner.slowness
			count++
		}
		runner.mutex.Unlock()
	}
	if count == 0 {
		return 0
	}
	return float64(count) / sum
}
