package runnerset

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Criteria are the requirements of a request on the choice of its runner.
type Criteria struct {
	Service string
	// SoftwareVersion limits the choice to runners of this version, because the request
	// resumes output of this version; empty if there is none.
	SoftwareVersion string
	// Zone is the zone of this node.
	Zone   string
	Prompt Prompt
	// Bytes is the size of the request; traffic to another zone costs more per byte.
	Bytes int
	// Excluded holds the IDs of runners that must not be chosen, for instance because
	// they were tried already.
	Excluded map[string]bool
	// Batch limits the choice for a batch item: if no runner is within the limits, none
	// is chosen. It is nil for an online request.
	Batch *BatchLimits
	// Target is the zone to which an online request is to be sent under the conditions of
	// TargetZone; nil if there is none.
	Target *TargetZone
}

// Choice is a chosen runner, with the estimates that led to it.
type Choice struct {
	// Runner is nil if no runner may be used.
	Runner *Runner
	// Cost is the result of candidate.cost: the expected time to the first event plus
	// surcharges.
	Cost time.Duration
	// FirstEvent is the expected time to the first event without surcharges.
	FirstEvent time.Duration
	// Suspect is set if the runner is ejected, or a first event of this node's requests
	// there is overdue; FirstEvent is then unreliable.
	Suspect bool
	// Load is the estimated number of requests at the runner, and Unread the number of
	// prompt tokens that it has not yet processed, both without the new request.
	Load   float64
	Unread float64
	// Sources are the requests and reports from which Load was estimated.
	Sources LoadSources
	// Candidates is the number of runners whose costs were compared, or the length of
	// TargetZone.Free if the runner was chosen from it.
	Candidates int
	// namedLoad is the load by the digest if the runner was chosen from TargetZone.Free;
	// nil otherwise.
	namedLoad *load
}

// HasFreeSlot reports whether the chosen runner is estimated to have a free slot.
func (c *Choice) HasFreeSlot() bool { return c.Load+1 <= c.Runner.slots() }

// Pick returns the runner with the lowest cost (see candidate.cost), or a choice without
// a runner if none may be used. If no listed runner of the service accepts work, or none of the
// required software version that is not excluded, an online request may go to a runner of
// Criteria.lastResort. A request with a target zone goes
// there under the conditions of TargetZone.
func (s *Set) Pick(criteria *Criteria, now time.Time) Choice {
	choice := s.pick(criteria, now)
	if criteria.Target == nil || criteria.Target.inTime(&choice) {
		return choice
	}
	if target := s.pickInTarget(criteria, now); target.Runner != nil && (choice.Runner == nil || target.Cost < choice.Cost) {
		return target
	}
	return choice
}

// pick implements Pick without regard to the target zone.
func (s *Set) pick(criteria *Criteria, now time.Time) Choice {
	choice := s.pickAmong(criteria, now, (*Runner).AcceptsWork)
	if choice.Runner == nil && criteria.Batch == nil && !s.anyIsLeft(criteria) {
		choice = s.pickAmong(criteria, now, criteria.lastResort())
	}
	if choice.Runner == nil || choice.Load+1 > choice.Runner.slots() {
		s.fullChoices.Add(1)
	}
	return choice
}

// anyIsLeft reports whether a runner of the service accepts work. For a stream that can go on at one
// software version only, those of other versions and those that were tried do not count.
func (s *Set) anyIsLeft(criteria *Criteria) bool {
	if criteria.SoftwareVersion == "" {
		return s.anyAcceptsWork(criteria.Service, func(*Runner) bool { return true })
	}
	return s.anyAcceptsWork(criteria.Service, func(runner *Runner) bool {
		return criteria.allowsVersion(runner) && !criteria.Excluded[runner.ID]
	})
}

// anyAcceptsWork reports whether a runner of the service accepts work, among those that match.
func (s *Set) anyAcceptsWork(service string, matches func(*Runner) bool) bool {
	return slices.ContainsFunc(s.Service(service), func(runner *Runner) bool { return runner.AcceptsWork() && matches(runner) })
}

// VersionAcceptsWork reports whether a runner of the service and software version accepts work.
func (s *Set) VersionAcceptsWork(service, version string) bool {
	return s.anyAcceptsWork(service, func(runner *Runner) bool { return runner.SoftwareVersion() == version })
}

// allowsVersion reports whether the software version of a runner is as required.
func (c *Criteria) allowsVersion(runner *Runner) bool {
	return c.SoftwareVersion == "" || c.SoftwareVersion == runner.SoftwareVersion()
}

// lastResort returns which runners may get an online request if none that accepts work is
// suitable. A stream that can go on at one software version only may also be sent to a runner
// that has just begun to leave.
func (c *Criteria) lastResort() func(*Runner) bool {
	if c.SoftwareVersion == "" {
		return (*Runner).RecentlyRemoved
	}
	return (*Runner).RecentlyWithdrawn
}

// pickAmong returns the runner with the lowest cost among the runners of the service for
// which usable returns true.
func (s *Set) pickAmong(criteria *Criteria, now time.Time, usable func(*Runner) bool) Choice {
	best := Choice{}
	list := s.Service(criteria.Service)
	typical := typicalSlowness(list)
	anyReported := s.refreshZoneUtilizations(list, now)
	candidates := 0
	for _, runner := range list {
		if !usable(runner) || criteria.Excluded[runner.ID] || !criteria.allowsVersion(runner) {
			continue
		}
		// Batch items are preempted when other nodes report online requests, so they go
		// only to reported runners if the service has any.
		if criteria.Batch != nil && anyReported && !s.receivesReports(runner) {
			continue
		}
		choice, allowed := runner.evaluate(criteria, now, typical)
		if !allowed {
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

// evaluate computes the cost of the runner; typical is the result of typicalSlowness. It
// returns false if the request is a batch item and the runner is not within its limits.
func (r *Runner) evaluate(criteria *Criteria, now time.Time, typical float64) (Choice, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.evaluateCandidate(r.candidate(criteria, now), criteria, now, typical)
}

// evaluateCandidate implements evaluate for the state of the runner. The caller holds the
// mutex.
func (r *Runner) evaluateCandidate(c candidate, criteria *Criteria, now time.Time, typical float64) (Choice, bool) {
	contention := r.contention.estimate(now)
	c.contended = criteria.Batch != nil && contention.value >= contendedThreshold
	if criteria.Batch != nil && !criteria.Batch.allow(&c) {
		return Choice{}, false
	}
	expected := expectedFirstEvent(r.model, c.load, c.slots, r.prefixes.uncached(criteria.Prompt))
	c.expected = time.Duration(float64(expected.at(contention.value)) * max(1, relativeSlowness(r.slowness, typical)))
	c.memoryWait = r.memoryWait(criteria, c.load)
	return Choice{
		Runner: r, Load: c.load.running, Unread: c.load.unread,
		FirstEvent: c.expected, Suspect: c.suspect(), Cost: c.cost(rand.Float64()),
	}, true
}

// candidate returns the state of the runner that the cost depends on; the caller sets the
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

// typicalSlowness returns the harmonic mean of the slowness of all runners that have a
// sample, or 0 if none has. This mean gives more weight to fast runners.
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
