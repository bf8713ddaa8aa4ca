package online

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/fairshare"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/shutdown"
)

const (
	// maxListWait is the value of Forwarder.listWait.
	maxListWait = 400 * time.Millisecond
	// admitShare is the share of a route's target for which a request may wait for its
	// admission; the wait is clamped to minAdmitTimeout and maxAdmitTimeout. A caller
	// that is refused later would have no time left to retry.
	admitShare      = 0.25
	minAdmitTimeout = 40 * time.Millisecond
	maxAdmitTimeout = 250 * time.Millisecond
)

// activeRequest is a request in progress.
type activeRequest struct {
	*Forwarder
	request *CallerRequest
	// work identifies the request and the parts of its prompt for the quarantine.
	work *quarantine.Work
	// usualTimeout is the longest timeout that callers of the route have stated
	// recently; see retryafter.CallerTimeouts.
	usualTimeout time.Duration
	responder    Responder
	history      history
	// service is the service that serves the request.
	service string
	// recorded is the last record of the origin of a stream that this request begins.
	recorded streamRecord
	// tried holds the IDs of the runners of earlier attempts.
	tried map[string]bool
	// needsNewConnection is set after an attempt that its idle watch has ended.
	needsNewConnection bool
	// lostRunner is the ID of the runner of the last attempt that ended with its connection, or by
	// its idle watch; empty if there is none, or if the runner was permitted again.
	lostRunner string
	// lastEvent is the ID of the last event that the caller has received, at first by
	// CallerRequest.ResumeAfter; 0 if it has received none.
	lastEvent int64
	// softwareVersion is the version of the runner that wrote the events which the caller has
	// received; empty if it has received none.
	softwareVersion string
	// admission permits the next run; nil if it was used by a run, not yet granted, or
	// is not needed.
	admission *admission.Admission
	// firstEventAfter is the time from the arrival of the request to the first event, or
	// to the response if it is not a stream; 0 before.
	firstEventAfter time.Duration
	// crossing is the probability with which requests of the service were sent to other
	// zones when the zone was drawn; 0 if none was drawn.
	crossing float64
	// verdict is how the tenant's requests compare to its share of the slots; nil if unknown.
	verdict *fairshare.Verdict
	// lastCause is the cause of the last failure, for the log.
	lastCause string
	// current is the latest attempt; nil before the first.
	current *attempt
}

// serve makes attempts until one of them ends the request.
func (s *activeRequest) serve(ctx context.Context) error {
	defer s.returnTrials()
	if err := s.resolveOrigin(ctx); err != nil {
		return err
	}
	for {
		if err := s.checkQuarantine(); err != nil {
			return s.cutIfStarted(err)
		}
		choice, err := s.chooseRunner(ctx)
		if err != nil {
			return s.cutIfStarted(err)
		}
		if err := s.admit(ctx); err != nil {
			return s.cutIfStarted(err)
		}
		if err := s.refuseIfOverShare(choice.Runner.Service, choice); err != nil {
			return s.cutIfStarted(err)
		}
		again, err := s.send(ctx, choice)
		if !again {
			return s.cutIfStarted(err)
		}
		s.tried[choice.Runner.ID] = true
		if err := s.checkVersion(ctx); err != nil {
			return s.cutIfStarted(err)
		}
		if ctx.Err() != nil {
			return s.cutIfStarted(s.contextError(ctx))
		}
	}
}

// chooseRunner picks a runner. If there is no usable runner and the request has had no
// attempt, it waits for up to listWait until a usable runner is listed. It returns an
// error if no runner is left or the request is refused because all runners are full.
func (s *activeRequest) chooseRunner(ctx context.Context) (runnerset.Choice, error) {
	criteria := &runnerset.Criteria{
		Service: s.service, SoftwareVersion: s.softwareVersion, Zone: s.Zone, Prompt: s.request.Prompt, Bytes: len(s.request.Body), Excluded: s.tried,
	}
	s.drawZone(criteria)
	until := time.Now().Add(s.listWait)
	for {
		changed := s.Runners.Changed()
		choice := s.pickRunner(criteria)
		if choice.Runner == nil && s.permitLostRunner() {
			choice = s.pickRunner(criteria)
		}
		if choice.Runner != nil {
			return choice, s.refuseIfFull(s.service, choice)
		}
		if s.versionGone() {
			return choice, s.history.noRunnerError(result.StreamNotResumed, "no runner of software version %q of service %s is left", s.softwareVersion, s.service)
		}
		wait := time.Until(until)
		if wait <= 0 || s.history.notRun > 0 || s.history.mayHaveRun() {
			return choice, s.history.noRunnerError(result.NoRunner, "no runner of service %s is left to try", s.service)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return choice, s.contextError(ctx)
		}
	}
}

// permitLostRunner permits one more attempt at the runner that was lost, and reports whether there
// is one. Only the connection may have been lost, and a stream that has begun can go on at few other
// runners.
func (s *activeRequest) permitLostRunner() bool {
	if s.softwareVersion == "" || s.lostRunner == "" {
		return false
	}
	delete(s.tried, s.lostRunner)
	s.lostRunner = ""
	return true
}

// admit acquires the admission for an attempt, unless an earlier attempt that did not run
// has left an admission that is still valid.
func (s *activeRequest) admit(ctx context.Context) error {
	if s.Admission == nil || s.admission != nil && s.admission.Valid() {
		return nil
	}
	timeout := time.Duration(admitShare * float64(s.request.Route.Target))
	timeout = min(max(timeout, minAdmitTimeout), maxAdmitTimeout)
	admitted, err := s.Admission.Admit(ctx, s.request.ID, s.request.Tenant, timeout)
	if err != nil {
		s.lastCause = err.Error()
		if ctx.Err() != nil {
			return s.contextError(ctx)
		}
		return s.history.admissionError(err)
	}
	s.admission = admitted
	return nil
}

// cutIfStarted returns ErrCut in place of an error if the response has been started, and
// err otherwise.
func (s *activeRequest) cutIfStarted(err error) error {
	if err != nil && s.history.responseStarted {
		s.lastCause = err.Error()
		return ErrCut
	}
	return err
}

// contextError returns the caller's error for a context that has ended: the node stops, the
// caller has left, or the deadline has passed.
func (s *activeRequest) contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), shutdown.ErrEnded) {
		return s.history.noRunnerError(result.Draining, "the node stops")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return s.history.deadlineError()
	}
	return result.New(result.CallerGone, "the caller left")
}

// logEnd counts and logs the outcome of the request.
func (s *activeRequest) logEnd(err error) {
	outcome := "served"
	if err != nil {
		outcome = "cut"
		if !errors.Is(err, ErrCut) {
			outcome = result.CodeOf(err).String()
		}
	}
	s.requests.WithLabelValues(outcome).Inc()
	klog.InfoS("request ended", append([]any{"id", s.request.ID, "fingerprint", s.work.Fingerprint, "route", s.request.Route.Name,
		"tenant", s.request.tenantName(), "catalog", s.request.Version, "outcome", outcome,
		"runs", s.history.runs, "notRun", s.history.notRun, "events", s.lastEvent,
		"firstMs", s.firstEventAfter.Milliseconds(), "ms", time.Since(s.request.Received).Milliseconds(),
		"cause", s.lastCause, "forwardedBy", s.admission.ForwardedBy()}, s.shareLogFields()...)...)
}
