package online

import (
	"context"
	"maps"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// quarantined refuses a request that crashes runners, with the end of its quarantine as
// the time to come back: before that no node will send it.
func (s *serving) quarantined() error {
	if s.Quarantine == nil {
		return nil
	}
	left, held := s.Quarantine.Held(s.fingerprint)
	if !held {
		return nil
	}
	if s.history.mayHaveRun() {
		return result.New(result.OutcomeUnknown,
			"runners end under this request (fingerprint %v), and it is not sent to another", s.fingerprint).WithRetryAfter(left)
	}
	return result.New(result.Quarantined, "runners end under this request (fingerprint %v)", s.fingerprint).WithRetryAfter(left)
}

// noteEnding reports an attempt that broke off, before the request is sent to another
// runner: if the runner has ended, that counts against the request. An attempt that
// was ended from here says nothing of its runner.
func (s *serving) noteEnding(ctx context.Context) {
	endedHere := ctx.Err() != nil || s.current.silenced.Load()
	if s.Quarantine == nil || endedHere || !quarantine.IsSuspectRun(s.current.firstEvent, time.Now()) {
		return
	}
	s.Quarantine.RecordBrokenRun(s.request.ID, s.fingerprint, s.current.runner.ID, s.current.runner.Address)
}

// noteCompleted records that a runner has answered the whole request.
func (s *serving) noteCompleted() {
	if s.Quarantine != nil {
		s.Quarantine.RecordCompletion(s.fingerprint)
	}
}

// pick chooses a runner. A request under which a runner ended goes to one without
// another such request, if there is one.
func (s *serving) pick(criteria *runnerset.Criteria) runnerset.Choice {
	now := time.Now()
	if s.Quarantine == nil {
		return s.Runners.Pick(criteria, now)
	}
	avoided := s.Quarantine.RunnersToAvoid(s.fingerprint)
	if len(avoided) == 0 {
		return s.Runners.Pick(criteria, now)
	}
	apart := *criteria
	apart.Excluded = avoided
	maps.Copy(apart.Excluded, criteria.Excluded)
	if choice := s.Runners.Pick(&apart, now); choice.Runner != nil {
		return choice
	}
	return s.Runners.Pick(criteria, now)
}

func (s *serving) beginTrial(runner *runnerset.Runner) (end func()) {
	if s.Quarantine == nil {
		return func() {}
	}
	return s.Quarantine.Begin(s.fingerprint, runner.ID)
}
