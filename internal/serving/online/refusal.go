package online

import (
	"math/rand/v2"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// fullTargetShare of its target is when the first event of a request must be expected
// at the latest while its service is full: what is expected is the median of what
// comes, so that half of those admitted at the whole target would be late.
const fullTargetShare = 0.7

// refusalInputs are what decides whether a request is refused because all runners
// are full. A request that cannot have its first event within its target would take a
// slot from one that can: it is refused at once, as not run, and its caller learns
// when to come back. A caller that comes back is late, so that as long as there are
// free slots nobody is refused that may be in time; while there are none, requests are
// refused sooner, or those admitted wait just as long as is allowed.
//
// Never refused: a request that was sent already; one whose expected time says little,
// since its best runner is suspect; and a caller that was refused before, which would
// not come a third time.
type refusalInputs struct {
	// sent: a runner may have worked on the request.
	sent bool
	// suspect: see runnerset.Choice.
	suspect bool
	// firstTry: the caller has not come before, as far as that shows.
	firstTry bool
	// full: requests of the service have lately found no free slot.
	full bool
	// target is the route's time to a first event; 0 for none.
	target time.Duration
	// waited is the time since the request came, expected that from now until its
	// first event at the best runner.
	waited, expected time.Duration
}

// allowed returns how long after its arrival a request may expect its first event.
func (r *refusalInputs) allowed() time.Duration {
	if r.full {
		return time.Duration(fullTargetShare * float64(r.target))
	}
	return r.target
}

// refused reports whether the request is refused.
func (r *refusalInputs) refused() bool {
	if r.sent || r.suspect || !r.firstTry {
		return false
	}
	allowed := r.allowed()
	return allowed > 0 && r.waited+r.expected > allowed
}

// refuseIfFull refuses a request that would be late at the best runner, if its caller
// can come back.
func (s *serving) refuseIfFull(service string, choice runnerset.Choice) error {
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
	caller := retryafter.Caller{TimeLeft: s.request.Deadline.Sub(now), UsualTimeout: s.usuallyStated}
	return result.New(result.Saturated, "all runners of service %s are full: the first event is expected in %d ms, allowed are %d ms",
		service, choice.FirstEvent.Milliseconds(), inputs.allowed().Milliseconds()).WithRetryAfter(s.planners.refuse(service, now, caller))
}

// planners are the return times of refused callers, by service.
type planners struct {
	mutex     sync.Mutex
	byService map[string]*retryafter.Planner
}

// of returns the planner of a service. The mutex is held.
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

// full reports whether requests of a service find no free slot at present.
func (p *planners) full(service string, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(service).Saturated(now)
}

// refuse records that a service has no free slot, and returns when a caller should
// come back.
func (p *planners) refuse(service string, now time.Time, caller retryafter.Caller) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.of(service).Refuse(now, rand.Float64(), caller)
}
