package online

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// attempt is one attempt at one runner.
type attempt struct {
	runner   *runnerset.Runner
	inFlight *runnerset.InFlight
	// silenceTimer ends the attempt when the runner was silent for too long.
	silenceTimer *time.Timer
	// firstEvent is when its first event came; zero before.
	firstEvent time.Time
	// silenced: it was ended from here, since its runner was silent for too long.
	silenced atomic.Bool
}

// send sends the request to a runner. It reports whether to try another.
func (s *serving) send(ctx context.Context, choice runnerset.Choice) (bool, error) {
	runner := choice.Runner
	started := time.Now()
	inFlight := s.Runners.Begin(runner, s.request.Prompt, false, started)
	defer inFlight.End()
	defer s.beginTrial(runner)()
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.current = &attempt{runner: runner, inFlight: inFlight}
	s.current.silenceTimer = s.watchSilence(cancel, s.current)
	defer s.current.silenceTimer.Stop()
	answer, err := s.Client.Do(attemptContext, s.call(runner))
	if err != nil {
		inFlight.RecordDelay(time.Now())
		again, err := s.notAnswered(ctx, err)
		s.logAttempt(choice, started, err, again)
		return again, err
	}
	// Whatever closing reports, the answer was read whole or is given up.
	defer func() { _ = answer.Body.Close() }()
	s.noteRun()
	runner.RecordLoad(answer.Load, time.Now())
	again, err := s.passOn(ctx, answer)
	s.logAttempt(choice, started, err, again)
	return again, err
}

// noteRun records that a runner may have run the request.
func (s *serving) noteRun() {
	s.history.runs++
	s.admission = nil
}

// watchSilence ends an attempt that may be repeated when its runner is silent.
func (s *serving) watchSilence(cancel context.CancelCauseFunc, current *attempt) *time.Timer {
	return time.AfterFunc(maxSilence(s.request.Route.Target), func() {
		if s.request.Route.MayRepeat() {
			current.silenced.Store(true)
			cancel(exchange.ErrUnresponsive)
		}
	})
}

func (s *serving) call(runner *runnerset.Runner) *exchange.Call {
	serves := runner.AcceptsWork
	if !runner.AcceptsWork() {
		serves = runner.RecentlyRemoved
	}
	admitted := s.admission
	current := func() bool { return serves() && admitted.Valid() }
	call := &exchange.Call{
		ID: s.request.ID, Method: s.request.Method, URI: s.request.URI, Host: s.request.Host,
		Headers: s.request.Headers, Body: s.request.Body, Tenant: s.request.tenantName(),
		RunnerID: runner.ID, Address: runner.Address, Service: runner.Service,
		Remaining: time.Until(s.request.Deadline), ResumeAfter: s.request.ResumeAfter, MaySend: current,
	}
	if s.history.answerBegun {
		call.ResumeAfter = s.lastEvent
	}
	return call
}

// notAnswered takes an attempt that got no answer. It reports whether to try another
// runner.
func (s *serving) notAnswered(ctx context.Context, err error) (bool, error) {
	s.lastCause = err.Error()
	var notRun *exchange.NotRunError
	if errors.As(err, &notRun) {
		return s.notRun(ctx, notRun)
	}
	s.noteRun()
	if ctx.Err() != nil {
		return false, s.ended(ctx)
	}
	s.current.runner.RecordFailure(time.Now())
	s.noteEnding(ctx)
	if s.history.mayRunAgain(s.request.Route) {
		return true, nil
	}
	return false, result.New(result.OutcomeUnknown, "the runner was lost after the request was sent: %v", err)
}

// notRun takes an attempt that surely did not run.
func (s *serving) notRun(ctx context.Context, notRun *exchange.NotRunError) (bool, error) {
	runner := s.current.runner
	s.history.notRun++
	runner.RecordLoad(notRun.Load, time.Now())
	if notRun.Absent() {
		runner.RecordFailure(time.Now())
	}
	if ctx.Err() != nil {
		return false, s.ended(ctx)
	}
	if s.history.mayAskAnother() {
		return true, nil
	}
	return false, s.history.noneTook(result.Saturated, "%d runners did not take it, the last: %s",
		s.history.notRun, notRun.Reason)
}

// movedOn counts attempts that ended without an answer for the caller, whose
// request goes on at another runner.
const movedOn = "moved_on"

// logAttempt counts and logs how an attempt ended. The cause of one that goes on
// elsewhere is no error of the request.
func (s *serving) logAttempt(choice runnerset.Choice, started time.Time, err error, again bool) {
	outcome, counted := "done", result.CodeOf(err).String()
	switch {
	case err != nil:
		outcome = err.Error()
	case again:
		outcome, counted = s.lastCause, movedOn
	}
	s.attempts.WithLabelValues(counted).Inc()
	revision, since := s.Runners.Revision()
	klog.InfoS("attempt", slices.Concat(
		[]any{
			"id", s.request.ID, "fingerprint", s.fingerprint,
			"runner", choice.Runner.ID, "zone", choice.Runner.Zone, "load", int(choice.Load),
		},
		choice.Sources.LogFields(),
		[]any{
			"unread", int(choice.Unread), "costMs", choice.Cost.Milliseconds(), "candidates", choice.Candidates,
			"list", revision, "listAgeMs", time.Since(since).Milliseconds(),
			"ms", time.Since(started).Milliseconds(), "again", again, "outcome", outcome,
		},
	)...)
}
