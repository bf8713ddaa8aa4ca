package online

import (
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/fairshare"
	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

const (
	// overShareTarget is the fraction of the target within which a first event must be
	// expected if the request exceeds its tenant's share of the slots.
	overShareTarget = 0.35
	// protectedRetryFactor is the largest fairshare.Standing.Factor of a tenant with which
	// retries of its callers are not refused.
	protectedRetryFactor = 2
	// causeOverShare is the cause of a refusal in the log.
	causeOverShare = "over its share of the slots"
)

// overShareInputs are the inputs to the decision whether a request is refused because its
// tenant is over its share of the slots. It is refused only while the service is full and
// the request would have to wait. Of a tenant's requests, the fraction that its share has
// room for is not refused by this rule.
type overShareInputs struct {
	refusalInputs
	// verdict is the state of the tenant and of the service.
	verdict fairshare.Verdict
	// freeSlot is set if the best runner has a free slot.
	freeSlot bool
	// random is a random number from 0 to 1. Requests for which it is below verdict.Within
	// have room in the share.
	random float64
}

// serviceFull reports whether the service is full by what this node or its zone knows. A
// node has few of the zone's requests, so the absence of refusals here says little.
func (o *overShareInputs) serviceFull() bool {
	return o.full || o.verdict.Full || o.waited+o.expected > o.allowed()
}

// refused reports whether the request is refused. A route without a target refuses none.
func (o *overShareInputs) refused() bool {
	switch {
	case o.verdict.State != fairshare.Over || o.sent || o.suspect || o.freeSlot || o.target <= 0:
		return false
	case !o.firstAttempt && o.verdict.Factor <= protectedRetryFactor:
		return false
	case !o.serviceFull() || o.random < o.verdict.Within:
		return false
	}
	return o.waited+o.expected > time.Duration(overShareTarget*float64(o.target))
}

// updateVerdict sets verdict by the newest digest.
func (s *activeRequest) updateVerdict(service string, now time.Time) {
	verdict, known := s.FairShares.Verdict(service, s.request.tenantName(), s.request.Route.Priority, now)
	if known {
		s.verdict = &verdict
	} else {
		s.verdict = nil
	}
}

// refuseIfOverShare returns an error with a retry delay if the request is to be refused (see
// overShareInputs). choice is the best runner.
func (s *activeRequest) refuseIfOverShare(service string, choice runnerset.Choice) error {
	if s.verdict == nil {
		return nil
	}
	now := time.Now()
	inputs := overShareInputs{
		refusalInputs: s.refusalInputs(service, choice, now), verdict: *s.verdict,
		freeSlot: choice.HasFreeSlot(), random: rand.Float64(),
	}
	if !inputs.refused() {
		return nil
	}
	s.FairShares.RecordRefusal()
	s.lastCause = causeOverShare
	caller := retryafter.Caller{TimeLeft: s.request.Deadline.Sub(now), FirstAttemptTimeout: s.usualTimeout}
	return result.New(result.Saturated, "all runners of service %s are full, and the tenant is over its share of the slots", service).
		WithRetryAfter(s.overSharePlanners.refuse(service, now, caller))
}

// shareLogFields returns the tenant's share and use for the log; nothing if they are unknown.
func (s *activeRequest) shareLogFields() []any {
	if s.verdict == nil {
		return nil
	}
	return s.verdict.LogFields()
}
