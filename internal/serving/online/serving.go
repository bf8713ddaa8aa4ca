package online

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

const (
	// maxListWait is how long a request waits for a usable runner to be listed.
	maxListWait = 400 * time.Millisecond
	// admitShare is the share of a route's target that a request may wait for its
	// tenant's rate limit, bounded by minAdmitTimeout and maxAdmitTimeout. A caller that
	// is refused later would have no time left to retry.
	admitShare      = 0.25
	minAdmitTimeout = 40 * time.Millisecond
	maxAdmitTimeout = 250 * time.Millisecond
)

// activeRequest is a request in progress.
type activeRequest struct {
	*Forwarder
	request *CallerRequest
	// fingerprint identifies the content of the request.
	fingerprint quarantine.Fingerprint
	// usuallyStated is how long callers of the route usually state that they will wait.
	usuallyStated time.Duration
	responder     Responder
	history       history
	// tried holds the IDs of the runners that the request was sent to.
	tried map[string]bool
	// lastEvent is the ID of the last event that was sent to the caller.
	lastEvent int64
	// admission permits the next attempt; nil if none was granted or none is needed.
	admission *admission.Admission
	// firstEventAfter is the time to the first event or response; 0 before.
	firstEventAfter time.Duration
	// lastCause is the cause of the last failure, for the log.
	lastCause string
	// current is the attempt in progress.
	current *attempt
}

func (s *activeRequest) serve(ctx context.Context) error {
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
		again, err := s.send(ctx, choice)
		if !again {
			return s.cutIfStarted(err)
		}
		s.tried[choice.Runner.ID] = true
		if ctx.Err() != nil {
			return s.cutIfStarted(s.contextError(ctx))
		}
	}
}

// chooseRunner picks a runner. If there is none, it waits a short time for one to be
// listed.
func (s *activeRequest) chooseRunner(ctx context.Context) (runnerset.Choice, error) {
	service := s.request.Route.ServiceFor(s.request.ID)
	criteria := &runnerset.Criteria{
		Service: service, Zone: s.Zone, Prompt: s.request.Prompt, Bytes: len(s.request.Body), Excluded: s.tried,
	}
	until := time.Now().Add(s.listWait)
	for {
		changed := s.Runners.Changed()
		choice := s.pickRunner(criteria)
		if choice.Runner != nil {
			return choice, s.refuseIfFull(service, choice)
		}
		wait := time.Until(until)
		if wait <= 0 || s.history.notRun > 0 || s.history.mayHaveRun() {
			return choice, s.history.noRunnerError(result.NoRunner, "no runner of service %s is left to try", service)
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

// admit acquires the admission for an attempt. An attempt that did not run leaves the
// admission to the next.
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

// cutIfStarted returns ErrCut in place of an error if the response has been started.
func (s *activeRequest) cutIfStarted(err error) error {
	if err != nil && s.history.responseStarted {
		s.lastCause = err.Error()
		return ErrCut
	}
	return err
}

// contextError returns the caller's error for a context that has ended: the caller has
// left, or the deadline has passed.
func (s *activeRequest) contextError(ctx context.Context) error {
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
	klog.InfoS("request ended", "id", s.request.ID, "fingerprint", s.fingerprint, "route", s.request.Route.Name,
		"tenant", s.request.tenantName(), "catalog", s.request.Version, "outcome", outcome,
		"runs", s.history.runs, "notRun", s.history.notRun, "events", s.lastEvent,
		"firstMs", s.firstEventAfter.Milliseconds(), "ms", time.Since(s.request.Received).Milliseconds(),
		"cause", s.lastCause)
}
