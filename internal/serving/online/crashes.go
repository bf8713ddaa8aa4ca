package online

import (
	"context"
	"maps"
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// checkQuarantine returns an error if the request is quarantined, which means that every
// node refuses it for a time because runners crashed while they ran it. The error says
// whether the request may have run before, and that the caller may retry when the
// quarantine ends.
func (s *activeRequest) checkQuarantine() error {
	if s.Quarantine == nil {
		return nil
	}
	refusal, quarantined := s.Quarantine.Held(s.work)
	if !quarantined {
		return nil
	}
	s.lastCause = refusal.String()
	if s.history.mayHaveRun() {
		return result.New(result.OutcomeUnknown, "%v, and it is not sent to another", refusal).WithRetryAfter(refusal.Remaining)
	}
	return result.New(result.Quarantined, "%v", refusal).WithRetryAfter(refusal.Remaining)
}

// quarantined reports whether the request is quarantined.
func (s *activeRequest) quarantined() bool {
	if s.Quarantine == nil {
		return false
	}
	_, quarantined := s.Quarantine.Held(s.work)
	return quarantined
}

// run describes the current attempt to the quarantine.
func (s *activeRequest) run() quarantine.Run {
	runner := s.current.runner
	return quarantine.Run{Start: runner.StartID(), Address: runner.Address, Version: runner.SoftwareVersion(), Began: s.current.began, FirstEvent: s.current.firstEvent}
}

// endedWithRunner reports whether a response that has ended was broken off by the end of its
// runner. A response that ends with its connection does not show that itself: it is broken off
// if it has no content, or if the runner's machine says that the runner has ended.
func (s *activeRequest) endedWithRunner(response *exchange.Response, empty bool) bool {
	if !response.EndsWithConnection {
		return false
	}
	runner := s.current.runner
	return empty || s.Quarantine != nil && s.Quarantine.HasEnded(runner.StartID(), runner.Address)
}

// reportBrokenRun reports an attempt that broke off to the quarantine, which counts the
// crash against the request if the runner has crashed. It does not report attempts that
// were cancelled by the caller, the deadline or the idle timeout.
func (s *activeRequest) reportBrokenRun(ctx context.Context) {
	endedHere := ctx.Err() != nil || s.current.idleTimedOut.Load()
	if s.Quarantine == nil || endedHere {
		return
	}
	s.Quarantine.RecordBrokenRun(s.work, s.run())
}

// recordSurvival reports to the quarantine, once for each attempt, that the runner has gone on
// after the time in which requests crash runners.
func (s *activeRequest) recordSurvival() {
	if s.Quarantine == nil || s.current.survived || quarantine.IsSuspectRun(s.current.firstEvent, time.Now()) {
		return
	}
	s.current.survived = true
	s.Quarantine.RecordSurvival(s.work, s.run())
}

// recordCompletion reports to the quarantine that a runner has completed the request with a
// status. An error says nothing about the request: the runner may not have begun to respond
// to it.
func (s *activeRequest) recordCompletion(status int) {
	if s.Quarantine != nil && status < http.StatusMultipleChoices {
		s.Quarantine.RecordCompletion(s.work, s.run())
	}
}

// returnTrials tells the quarantine that the request is not sent any more.
func (s *activeRequest) returnTrials() {
	if s.Quarantine != nil {
		s.Quarantine.ReturnTrials(s.work)
	}
}

// pickRunner picks a runner. A request that is suspected of crashing runners avoids
// runners with another suspect request, unless there is no other runner.
func (s *activeRequest) pickRunner(criteria *runnerset.Criteria) runnerset.Choice {
	now := time.Now()
	if s.Quarantine == nil {
		return s.Runners.Pick(criteria, now)
	}
	avoided := s.Quarantine.RunnersToAvoid(s.work.Fingerprint)
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

// beginTrial reports to the quarantine that an attempt at the runner begins; the returned
// function reports its end.
func (s *activeRequest) beginTrial(runner *runnerset.Runner) (end func()) {
	if s.Quarantine == nil {
		return func() {}
	}
	return s.Quarantine.Begin(s.work.Fingerprint, runner.ID)
}
