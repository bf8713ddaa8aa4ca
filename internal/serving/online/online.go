// Package online serves callers' requests on an edge: it chooses a runner, sends the
// request, and relays the response. A failed attempt is retried at another runner, unless
// the request may have run and its route forbids another run. A request that can't be
// served gets an error after a short wait at most, and is not queued.
//
// The package owns the requests in progress, and the retry times of refused callers (see
// retryafter). It uses runnerset for the choice of a runner, admission for the tenant's
// rate limit, quarantine for requests that crash runners, and exchange for the
// transport.
//
// Three files hold the rules, which use no I/O and get the time from their callers:
// retry.go (whether a request is retried, and which error its caller gets), the type
// refusalInputs in refusal.go (whether a request is refused because all runners are
// full), and the type overShareInputs in fairness.go (whether it is refused because its
// tenant is over its share). The other files apply the rules.
package online

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/app/membudget"
	"cobaltramp.example/cobaltramp/internal/app/schedlag"
	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/fairshare"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Forwarder serves requests by forwarding them to runners.
type Forwarder struct {
	// Zone is the zone of this node.
	Zone    string
	Runners *runnerset.Set
	Client  exchange.CallSender
	// Admission enforces the tenants' rate limits; nil admits all requests.
	Admission *admission.Controller
	// Quarantine tracks the requests that crash runners; nil disables the quarantine.
	Quarantine quarantine.Guard
	// Zones draws the requests that may be sent to another zone; nil draws none.
	Zones ZoneBalancer
	// FairShares compares tenants' requests to their shares of the slots; nil disables
	// refusals of tenants over their share.
	FairShares *fairshare.Shares
	// Origins knows at which software version the streams of callers began; nil resumes a
	// caller's stream at any version.
	Origins StreamOrigins
	// SchedulingDelay measures how long this node was not run at a time; nil counts as no
	// delays.
	SchedulingDelay *schedlag.Monitor
	// Overloaded reports whether this node turns new connections away because it has too
	// little processor time; nil means never.
	Overloaded func() bool
	// Memory bounds the memory of all responses in progress; nil sets no limit.
	Memory *membudget.Budget
	// listWait is how long a request without attempts waits for a usable runner to be
	// listed.
	listWait time.Duration
	planners planners
	// overSharePlanners schedules the retries of callers whose tenant is over its share.
	// These refusals don't make the service count as full for other tenants.
	overSharePlanners planners
	callerTimeouts    retryafter.CallerTimeouts
	requests          *prometheus.CounterVec
	attempts          *prometheus.CounterVec
	firstEvent        prometheus.Histogram
}

// New returns a forwarder and registers its metrics.
func New(zone string, runners *runnerset.Set, client exchange.CallSender, registry prometheus.Registerer) *Forwarder {
	f := &Forwarder{
		Zone: zone, Runners: runners, Client: client, listWait: maxListWait,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_requests_total", Help: "Online requests by outcome.",
		}, []string{"outcome"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_attempts_total", Help: "Sends to runners by outcome.",
		}, []string{"outcome"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cobaltramp_first_event_seconds", Help: "Time to the first event or answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.6, 14),
		}),
	}
	registry.MustRegister(f.requests, f.attempts, f.firstEvent)
	return f
}

// Serve serves a request until its deadline at the latest. It returns nil if the response
// was relayed completely, a *result.Error if nothing was sent to the caller, and ErrCut if
// the response was started and could not be finished.
func (f *Forwarder) Serve(ctx context.Context, request *CallerRequest, responder Responder) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	defer f.FairShares.Begin(request.Route.ServiceFor(request.ID), request.tenantName(), request.Route.Priority)()
	s := &activeRequest{
		Forwarder: f, request: request, work: request.work(), responder: responder,
		service: request.Route.ServiceFor(request.ID),
		tried:   map[string]bool{}, lastEvent: max(0, request.ResumeAfter),
		usualTimeout: f.callerTimeouts.Record(request.Route.Name, request.StatedTimeout, request.Received),
	}
	err := s.serve(ctx)
	s.admission.Return()
	s.logEnd(err)
	return err
}
