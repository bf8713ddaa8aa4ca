package online

import (
	"math/rand/v2"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// fullTargetShare is the share of the target within which a first event must be expected
// while the service is full. It is below 1 because many requests take longer than
// expected.
const fullTargetShare = 0.7

// minNodeDelay is the delay of this node from which on the times that it measures say little
// about the runners. It is far longer than the delays of a node that has processor time left.
const minNodeDelay = 40 * time.Millisecond

// refusalInputs are the inputs to the decision whether a request is refused because all
// runners are full. A request whose first event is expected after the target would take a
// slot from a request that can still meet its target. It is refused immediately, as not
// run, and its caller learns when to retry. While the service is full, the limit is
// stricter (see fullTargetShare).
//
// A request is never refused if it may have run already, if its expected time is
// unreliable because its best runner is suspect, or if it appears to be a retry, since
// callers retry only once, or resumes a stream. Nor is it if this node is short of processor
// time: the node then measures its own delays as those of the runners. If it is short for some
// moments only, that holds while the best runner has a free slot.
type refusalInputs struct {
	// sent is set if a runner may have worked on the request.
	sent bool
	// suspect is runnerset.Choice.Suspect.
	suspect bool
	// firstAttempt is set unless the request appears to be a retry by the caller, or resumes a
	// stream, which can go to the runners of one software version only.
	firstAttempt bool
	// full is set if a request of the service was refused recently.
	full bool
	// protected is set if the tenant is under its share of the slots while another tenant
	// is over its own; see fairshare.Verdict.
	protected bool
	// target is the route's target for the time to the first event; 0 if it has none.
	target time.Duration
	// nodeDelay is how long this node recently was not run at a time, and sustainedDelay how
	// long it was again and again. overloaded is set while the node turns new connections away.
	// freeSlot is set if the best runner has a free slot.
	nodeDelay, sustainedDelay time.Duration
	overloaded, freeSlot      bool
	// waited is the time since the request arrived, and expected is the expected time
	// from now to its first event at the best runner.
	waited, expected time.Duration
}

// allowed returns the longest acceptable time from the arrival of the request to its
// first event.
func (r *refusalInputs) allowed() time.Duration {
	if r.full {
		return time.Duration(fullTargetShare * float64(r.target))
	}
	return r.target
}

// refused reports whether the request is refused. A route without a target refuses none.
func (r *refusalInputs) refused() bool {
	if r.sent || r.suspect || !r.firstAttempt || r.protected || r.nodeIsSlow() {
		return false
	}
	allowed := r.allowed()
	return allowed > 0 && r.waited+r.expected > allowed
}

// nodeIsSlow reports whether this node is too short of processor time to judge the runners.
func (r *refusalInputs) nodeIsSlow() bool {
	return r.overloaded || r.sustainedDelay >= minNodeDelay || r.nodeDelay >= minNodeDelay && r.freeSlot
}

// refusalInputs returns the inputs to the decision whether the request is refused. choice is
// the best runner.
func (s *activeRequest) refusalInputs(service string, choice runnerset.Choice, now time.Time) refusalInputs {
	return refusalInputs{
		sent: s.history.mayHaveRun(), suspect: choice.Suspect,
		firstAttempt: !s.resumes() && retryafter.IsFirstAttempt(s.request.StatedTimeout, s.usualTimeout),
		full:         s.planners.full(service, now), target: s.request.Route.Target,
		protected: s.verdict != nil && s.verdict.Protected(),
		nodeDelay: s.SchedulingDelay.Recent(), sustainedDelay: s.SchedulingDelay.Sustained(),
		overloaded: s.Overloaded != nil && s.Overloaded(), freeSlot: choice.Runner != nil && choice.HasFreeSlot(),
		waited: now.Sub(s.request.Received), expected: choice.FirstEvent,
	}
}

// refuseIfFull returns an error with a retry delay if the request is to be refused (see
// refusalInputs). choice is the best runner.
func (s *activeRequest) refuseIfFull(service string, choice runnerset.Choice) error {
	now := time.Now()
	s.updateVerdict(service, now)
	inputs := s.refusalInputs(service, choice, now)
	if !inputs.refused() {
		return nil
	}
	caller := retryafter.Caller{TimeLeft: s.request.Deadline.Sub(now), FirstAttemptTimeout: s.usualTimeout}
	return result.New(result.Saturated, "all runners of service %s are full: the first event is expected in %d ms, allowed are %d ms",
		service, choice.FirstEvent.Milliseconds(), inputs.allowed().Milliseconds()).WithRetryAfter(s.planners.refuse(service, now, caller))
}

// planners holds the planners of all services. A planner schedules the retries of the
// callers that its service has refused. The zero value is ready to use and safe for
// concurrent use.
type planners struct {
	mutex     sync.Mutex
	byService map[string]*retryafter.Planner
}

// of returns the planner of a service, and creates it if missing. The caller holds the
// mutex.
func (p *planners) of(service string) *retryafter.Planner {
	if p.byService == nil {
		p.byService = map[string]*retryafter.Planner{}
	}
	planner := p.byService[service]
	if planner == nil {
		planner = retryafter.NewPlanner()
		p.byService[service] = planner
	}
	return planner
}

// full reports whether a request of a service was refused recently.
func (p *planners) full(service string, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(service).Saturated(now)
}

// refuse records that a request of a service is refused, and returns the delay after
// which its caller should retry.
func (p *planners) refuse(service string, now time.Time, caller retryafter.Caller) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(service).PlanRetry(now, rand.Float64(), caller)
}
