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

// attempt is one attempt to serve the request at a runner.
type attempt struct {
	runner   *runnerset.Runner
	inFlight *runnerset.InFlight
	// began is when the attempt began, and after is the ID of the last event that the caller had
	// received then; 0 if it had received none.
	began time.Time
	after int64
	// idle cancels the attempt if the route allows the request to be repeated. It runs from
	// the start of the attempt, and starts again after each event of a stream has been written
	// to the caller.
	idle *idleWatch
	// firstEvent is when the first event, or the response if it is not a stream,
	// arrived; zero before.
	firstEvent time.Time
	// survived is set once recordSurvival has reported the attempt.
	survived bool
	// idleTimedOut is set if idle has ended the attempt.
	idleTimedOut atomic.Bool
	// lastCheck is the last check before the request was written; nil before.
	lastCheck atomic.Pointer[sendCheck]
}

// sendCheck is what was known when a request was about to be written to its runner.
type sendCheck struct {
	at time.Time
	// revision is the revision of the list of runners, and contentsAge is the time since the
	// list was known to be current.
	revision    int64
	contentsAge time.Duration
}

// noteCheck records the last check before the request is written.
func (a *attempt) noteCheck(runners *runnerset.Set) {
	revision, _ := runners.Revision()
	a.lastCheck.Store(&sendCheck{at: time.Now(), revision: revision, contentsAge: runners.ContentsAge()})
}

// checkFields returns the last check for the log; all are -1 if the attempt ended before it.
func (a *attempt) checkFields() []any {
	check := a.lastCheck.Load()
	if check == nil {
		return []any{"writeMs", -1, "writeList", -1, "writeListAgeMs", -1}
	}
	return []any{"writeMs", check.at.Sub(a.began).Milliseconds(), "writeList", check.revision, "writeListAgeMs", check.contentsAge.Milliseconds()}
}

// send makes one attempt: it sends the request to a runner and relays the response. It
// reports whether to try another runner.
func (s *activeRequest) send(ctx context.Context, choice runnerset.Choice) (bool, error) {
	runner := choice.Runner
	started := time.Now()
	inFlight := s.Runners.BeginChosen(&choice, s.request.Prompt, started)
	defer inFlight.End()
	defer s.beginTrial(runner)()
	attemptContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.current = &attempt{runner: runner, inFlight: inFlight, began: started, after: s.lastEvent}
	s.current.idle = s.watchIdle(cancel, s.current)
	defer s.endIdleWatch(s.current)
	s.recordOrigin(ctx, runner)
	response, err := s.Client.Do(attemptContext, s.call(runner))
	if err != nil {
		inFlight.RecordDelay(time.Now())
		again, err := s.handleSendError(ctx, err)
		s.logAttempt(choice, started, err, again)
		return again, err
	}
	// The response has been read completely or abandoned, so an error of Close has no
	// consequence.
	defer func() { _ = response.Body.Close() }()
	s.recordRun()
	runner.RecordLoad(response.Load, time.Now())
	again, err := s.relay(ctx, response)
	s.logAttempt(choice, started, err, again)
	return again, err
}

// recordRun records that a runner may have run the request, and drops the admission,
// which permits only one run.
func (s *activeRequest) recordRun() {
	s.history.runs++
	s.admission = nil
}

// watchIdle starts attempt.idle.
func (s *activeRequest) watchIdle(cancel context.CancelCauseFunc, current *attempt) *idleWatch {
	lastChance := func() bool { return isLastChance(s.Runners, current.runner) }
	return startIdleWatch(idleTimeout(s.request.Route.Target), lastChance, func() {
		if s.request.Route.MayRepeat() {
			current.idleTimedOut.Store(true)
			cancel(exchange.ErrUnresponsive)
		}
	})
}

// endIdleWatch stops the watch of an attempt, and records whether it has ended the attempt.
// Connections to other runners may have gone silent together with the one of the attempt, so
// that the next attempts use new connections.
func (s *activeRequest) endIdleWatch(ended *attempt) {
	ended.idle.stop()
	if ended.idleTimedOut.Load() {
		s.needsNewConnection = true
		s.lostRunner = ended.runner.ID
	}
}

// call returns the call of an attempt at a runner. It may be sent only while the runner
// accepts work (or was recently removed, if it was chosen as such), the admission is valid and
// the request is not quarantined. After a part of the response, the runner is asked to resume after the last event
// that was sent to the caller.
func (s *activeRequest) call(runner *runnerset.Runner) *exchange.Call {
	usable := runner.AcceptsWork
	if !runner.AcceptsWork() {
		usable = runner.RecentlyWithdrawn
	}
	admitted, current := s.admission, s.current
	maySend := func() bool {
		current.noteCheck(s.Runners)
		return usable() && admitted.Valid() && !s.quarantined()
	}
	call := &exchange.Call{
		ID: s.request.ID, Method: s.request.Method, URI: s.request.URI, Host: s.request.Host,
		Headers: s.request.Headers, Body: s.request.Body, Tenant: s.request.tenantName(),
		RunnerID: runner.ID, RunnerVersion: runner.SoftwareVersion(), Address: runner.Address, Service: runner.Service,
		Remaining: time.Until(s.request.Deadline), ResumeAfter: s.request.ResumeAfter, MaySend: maySend,
		NewConnection: s.needsNewConnection, Attempt: s.history.attempts() + 1, CallerAddress: s.request.Address,
	}
	if s.history.responseStarted {
		call.ResumeAfter = s.lastEvent
	}
	return call
}

// handleSendError handles an attempt that got no response. Unless err is a NotRunError,
// the request may have run. handleSendError reports whether to try another runner.
func (s *activeRequest) handleSendError(ctx context.Context, err error) (bool, error) {
	s.lastCause = err.Error()
	var notRun *exchange.NotRunError
	if errors.As(err, &notRun) {
		return s.notRun(ctx, notRun)
	}
	s.recordRun()
	if ctx.Err() != nil {
		return false, s.contextError(ctx)
	}
	s.current.runner.RecordFailure(time.Now())
	s.reportBrokenRun(ctx)
	if s.history.mayRunAgain(s.request.Route) {
		return true, nil
	}
	return false, result.New(result.OutcomeUnknown, "the runner was lost after the request was sent: %v", err)
}

// notRun handles an attempt that did not run and will not run. It reports whether
// to try another runner.
func (s *activeRequest) notRun(ctx context.Context, notRun *exchange.NotRunError) (bool, error) {
	runner := s.current.runner
	s.history.notRun++
	runner.RecordLoad(notRun.Load, time.Now())
	if notRun.Absent() {
		runner.RecordFailure(time.Now())
	}
	if ctx.Err() != nil {
		return false, s.contextError(ctx)
	}
	if s.history.mayTryAnother() {
		return true, nil
	}
	return false, s.history.noRunnerError(result.Saturated, "%d runners did not take it, the last: %s",
		s.history.notRun, notRun.Reason)
}

// movedOn is the outcome, in the metric, of attempts that did not complete the response
// and whose request is to be retried at another runner.
const movedOn = "moved_on"

// logAttempt counts and logs the outcome of an attempt. err is nil if the request is to be
// retried (again is set); the cause is then lastCause.
func (s *activeRequest) logAttempt(choice runnerset.Choice, started time.Time, err error, again bool) {
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
			"id", s.request.ID, "fingerprint", s.work.Fingerprint,
			"runner", choice.Runner.ID, "version", choice.Runner.SoftwareVersion(), "zone", choice.Runner.Zone, "crossing", s.crossingPercent(), "load", int(choice.Load),
		},
		choice.Sources.LogFields(),
		[]any{
			"unread", int(choice.Unread), "parts", s.request.Prompt.PartNames(), "costMs", choice.Cost.Milliseconds(), "candidates", choice.Candidates,
			"list", revision, "listAgeMs", time.Since(since).Milliseconds(), "resumes", s.request.Resumes, "from", s.current.after, "after", s.lastEvent,
			"ms", time.Since(started).Milliseconds(), "again", again, "outcome", outcome,
		},
		s.current.checkFields(),
	)...)
}
