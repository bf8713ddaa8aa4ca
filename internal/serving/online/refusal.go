package online

import (
	"math/rand/v2"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// saturatedTargetShare is the share of the target within which a first event must be
// expected while the service is full. The expected time is a median, so half of the
// requests that were expected exactly at the target would be late.
const saturatedTargetShare = 0.7

// refusalInputs are the inputs to the decision whether a request is refused because all
// runners are full. A request whose first event would miss its target would take a slot
// from a request that can still meet its own. It is refused immediately, as not run, and
// its caller learns when to retry. A caller that retries gets its response late, so
// while there are free slots only requests that would miss the target are refused.
// Without free slots the bound is stricter, since otherwise every admitted request would
// wait up to the limit.
//
// A request is never refused if it was sent already, if its expected time is unreliable
// because its best runner is suspect, or if its caller was refused before, since callers
// retry only once.
type refusalInputs struct {
	// sent is set if a runner may have worked on the request.
	sent bool
	// suspect is runnerset.Choice.Suspect.
	suspect bool
	// firstTry is set unless the request appears to be a retry of the caller.
	firstTry bool
	// full is set if recent requests of the service found no free slot.
	full bool
	// target is the route's target for the time to the first event; 0 if it has none.
	target time.Duration
	// waited is the time since the request arrived, and expected the time from now to
	// its first event at the best runner.
	waited, expected time.Duration
}

// allowed returns the longest acceptable time from the arrival of the request to its
// first event.
func (r *refusalInputs) allowed() time.Duration {
	if r.full {
		return time.Duration(saturatedTargetShare * float64(r.target))
	}
	return r.target
}

func (r *refusalInputs) refused() bool {
	if r.sent || r.suspect || !r.firstTry {
		return false
	}
	allowed := r.allowed()
	return allowed > 0 && r.waited+r.expected > allowed
}

// refuseIfFull refuses a request that would miss its target at the best runner, if its
// caller can retry.
func (s *activeRequest) refuseIfFull(service string, choice runnerset.Choice) error {
	now := time.Now()
	inputs := refusalInputs{
		sent: s.history.mayHaveRun(), suspect: choice.Suspect,
		firstTry: retryafter.IsFirstAttempt(s.request.Stated, s.usuallyStated),
		full:     s.planners.full(service, now), target: s.request.Route.Target,
		waited: now.Sub(s.request.Received), expected: choice.FirstEvent,
	}
	if !inputs.refused() {
		return nil
	}
	caller := retryafter.Caller{TimeLeft: s.request.Deadline.Sub(now), FirstAttemptTimeout: s.usuallyStated}
	return result.New(result.Saturated, "all runners of service %s are full: the first event is expected in %d ms, allowed are %d ms",
		service, choice.FirstEvent.Milliseconds(), inputs.allowed().Milliseconds()).WithRetryAfter(s.planners.refuse(service, now, caller))
}

// planners holds the planner of each service, which schedules the retries of refused
// callers.
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

// full reports whether requests of a service currently find no free slot.
func (p *planners) full(service string, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(service).Saturated(now)
}

// refuse records that a service has no free slot, and returns the delay after which the
// caller should retry.
func (p *planners) refuse(service string, now time.Time, caller retryafter.Caller) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(service).PlanRetry(now, rand.Float64(), caller)
}
