package runnerset

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Criteria are what a request asks of the choice.
type Criteria struct {
	Service string
	// Zone of this node.
	Zone   string
	Prompt Prompt
	// Bytes of the request, which cost more between zones.
	Bytes int
	// Excluded runners were tried already, or must not be used.
	Excluded map[string]bool
	// Batch bounds the choice for a batch item, which may find no runner; nil for an
	// online request.
	Batch *BatchLimits
}

// Choice is a picked runner and why.
type Choice struct {
	// Runner is nil if none may be used.
	Runner *Runner
	// Cost is the expected time to the first event with surcharges.
	Cost time.Duration
	// FirstEvent is the expected time to the first event alone.
	FirstEvent time.Duration
	// Suspect: the runner is ejected or overdue and used for want of a better one,
	// so that FirstEvent says little.
	Suspect bool
	// Load is the estimate of the requests there, Unread of the prompt tokens.
	Load   float64
	Unread float64
	// Sources are the parts of Load.
	Sources LoadSources
	// Candidates that could have been picked.
	Candidates int
}

// Pick chooses the runner with the lowest cost (see candidate.cost); the choice has
// none if none may be used. Online requests of a service of which no listed runner
// takes work may go to one removed lately.
func (s *Set) Pick(criteria *Criteria, now time.Time) Choice {
	choice := s.pickAmong(criteria, now, (*Runner).AcceptsWork)
	if choice.Runner == nil && criteria.Batch == nil && !slices.ContainsFunc(s.Service(criteria.Service), (*Runner).AcceptsWork) {
		choice = s.pickAmong(criteria, now, (*Runner).StillServes)
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
	anyReported := s.updateNeighbourhoods(list, now)
	candidates := 0
	for _, runner := range list {
		if !usable(runner) || criteria.Excluded[runner.ID] {
			continue
		}
		// A node that holds items at a runner has to learn at once of online requests
		// there: items go only to runners whose users report to it, if there are any.
		if criteria.Batch != nil && anyReported && !s.receivesReports(runner) {
			continue
		}
		choice, fits := runner.weigh(criteria, now, typical)
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

// weigh works out the cost of a runner. It reports false for a batch item that the
// runner may not get.
func (r *Runner) weigh(criteria *Criteria, now time.Time, typical float64) (Choice, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	c := r.candidate(criteria, now)
	if criteria.Batch != nil && !criteria.Batch.allow(&c) {
		return Choice{}, false
	}
	expected := expectedFirstEvent(r.model, c.load, c.slots, r.kept.missing(criteria.Prompt))
	c.expected = time.Duration(float64(expected) * max(1, relativeSlowness(r.slowness, typical)))
	return Choice{
		Runner: r, Load: c.load.running, Unread: c.load.unread,
		FirstEvent: c.expected, Suspect: c.suspect(), Cost: c.cost(rand.Float64()),
	}, true
}

// candidate collects what the choice reads of the runner, but for the expected time to
// the first event. The mutex is held.
func (r *Runner) candidate(criteria *Criteria, now time.Time) candidate {
	return candidate{
		load: r.estimate(now), slots: r.slots(),
		overdue: r.longestOverdue(now), ejected: r.ejection.active(now),
		away:      criteria.Batch != nil && criteria.Batch.Home != nil && !criteria.Batch.Home(&r.Record),
		otherZone: r.Zone != criteria.Zone, bytes: criteria.Bytes,
		unreported: !r.set.receivesReports(r),
		cold:       now.Before(r.ColdUntil),
	}
}

// typicalSlowness is the harmonic mean over the runners: it leans to the fast.
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
