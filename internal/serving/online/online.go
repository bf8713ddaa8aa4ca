// Package online serves callers' requests on an edge: it chooses a runner, sends the
// request, passes the answer on, and tries again elsewhere where that cannot run work
// twice that must not. A request is answered at once when it is given up.
//
// It owns the requests in progress, and what it learns for refusals (retryafter). It
// relies on runnerset for the choice of a runner, on admission for the tenant's limit,
// on quarantine for requests that crash runners, and on exchange for the transport.
//
// The rules, each without I/O or clock: retry.go (whether a request is sent once more
// and what its caller learns when it is given up) and refusal.go (whether it is
// refused because all runners are full). serving.go and attempt.go carry them out.
package online

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Forwarder serves requests.
type Forwarder struct {
	Zone    string
	Runners *runnerset.Set
	Client  exchange.CallSender
	// Gate admits tenants' requests within their limits; nil admits all.
	Gate *admission.Controller
	// Quarantine knows the requests that crash runners; nil knows none.
	Quarantine quarantine.Guard
	// listWait is how long a request waits for a runner to be listed.
	listWait    time.Duration
	planners    planners
	statedTimes retryafter.CallerTimeouts
	requests    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	firstEvent  prometheus.Histogram
}

// New returns a forwarder.
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

// Serve answers a request. On a *result.Error the caller has got nothing yet; ErrCut
// means that an answer was begun.
func (f *Forwarder) Serve(ctx context.Context, request *CallerRequest, responder Responder) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	s := &serving{
		Forwarder: f, request: request, fingerprint: request.fingerprint(), responder: responder,
		tried: map[string]bool{}, lastEvent: max(0, request.ResumeAfter),
		usuallyStated: f.statedTimes.Record(request.Route.Name, request.Stated, request.Received),
	}
	err := s.serve(ctx)
	s.admission.Return()
	s.logEnd(err)
	return err
}
