package online

import (
	"context"
	"maps"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// checkQuarantine returns an error if the request is quarantined because it crashes
// runners. The caller may retry when the quarantine ends; until then every node refuses
// the request.
func (s *activeRequest) checkQuarantine() error {
	if s.Quarantine == nil {
		return nil
	}
	remaining, quarantined := s.Quarantine.Held(s.fingerprint)
	if !quarantined {
		return nil
	}
	if s.history.mayHaveRun() {
		return result.New(result.OutcomeUnknown,
			"runners end under this request (fingerprint %v), and it is not sent to another", s.fingerprint).WithRetryAfter(remaining)
	}
	return result.New(result.Quarantined, "runners end under this request (fingerprint %v)", s.fingerprint).WithRetryAfter(remaining)
}

// reportBrokenRun reports an attempt that broke off, before the request is sent to
// another runner: if the runner has crashed, the crash counts against the request.
// Attempts that were cancelled by the caller, the deadline or the idle timeout are not
// reported.
func (s *activeRequest) reportBrokenRun(ctx context.Context) {
	endedHere := ctx.Err() != nil || s.current.idleTimedOut.Load()
	if s.Quarantine == nil || endedHere || !quarantine.IsSuspectRun(s.current.firstEvent, time.Now()) {
		return
	}
	s.Quarantine.RecordBrokenRun(s.request.ID, s.fingerprint, s.current.runner.ID, s.current.runner.Address)
}

// recordCompletion records that a runner has completed the request.
func (s *activeRequest) recordCompletion() {
	if s.Quarantine != nil {
		s.Quarantine.RecordCompletion(s.fingerprint)
	}
}

// pickRunner picks a runner. A request that is suspected of crashing a runner is kept
// away from runners with another such request, if possible.
func (s *activeRequest) pickRunner(criteria *runnerset.Criteria) runnerset.Choice {
	now := time.Now()
	if s.Quarantine == nil {
		return s.Runners.Pick(criteria, now)
	}
	avoided := s.Quarantine.RunnersToAvoid(s.fingerprint)
	if len(avoided) == 0 {
		return s.Runners.Pick(criteria, now)
	}
	separated := *criteria
	separated.Excluded = avoided
	maps.Copy(separated.Excluded, criteria.Excluded)
	if choice := s.Runners.Pick(&separated, now); choice.Runner != nil {
		return choice
	}
	return s.Runners.Pick(criteria, now)
}

func (s *activeRequest) beginTrial(runner *runnerset.Runner) (end func()) {
	if s.Quarantine == nil {
		return func() {}
	}
	return s.Quarantine.Begin(s.fingerprint, runner.ID)
}
