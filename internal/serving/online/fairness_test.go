package online

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/serving/fairshare"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// fairDigest is a source of the digest bigAndSmall.
type fairDigest struct{}

// bigAndSmall has a tenant "small" under its share, and a tenant "big" so far over its own that
// none of its requests has room.
var bigAndSmall = &wirev1.ZoneLoadDigest{
	Loads: []*wirev1.ServiceZoneLoad{{Service: "s", Zone: "z", Slots: 100, Running: 605, ArrivalsPerSecond: 305}},
	Tenants: []*wirev1.TenantLoad{
		{Service: "s", Tenant: "big", InFlight: 600, ArrivalsPerSecond: 500},
		{Service: "s", Tenant: "small", InFlight: 5, ArrivalsPerSecond: 5},
	},
}

func (fairDigest) Newest(time.Time) (*wirev1.ZoneLoadDigest, time.Duration, bool) {
	return bigAndSmall, 0, true
}

// busyForwarder returns a forwarder with full runners and fair shares, and a target of which
// half passes until the expected first event of a request.
func busyForwarder(runners *fakeRunners) (*Forwarder, time.Duration) {
	forwarder := fullForwarder(runners, 5)
	weight := func(string) float64 { return 1 }
	forwarder.FairShares = fairshare.NewShares("z", fairshare.NewCounter(time.Now()), fairDigest{}, weight, prometheus.NewRegistry())
	choice := forwarder.Runners.Pick(&runnerset.Criteria{Service: "s", Zone: "z"}, time.Now())
	return forwarder, 2 * choice.FirstEvent
}

func tenantRequest(tenant string, target time.Duration) *CallerRequest {
	request := targetedRequest(5 * time.Second)
	request.Tenant = &catalog.Tenant{Name: tenant}
	request.Route.Target = target
	return request
}

// While the service is full, a request of a tenant over its share is refused at once as not
// run, with a retry delay. A tenant under its share is served, even if its request is late.
func TestOverShareIsRefusedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runners := &fakeRunners{}
		forwarder, target := busyForwarder(runners)
		err := forwarder.Serve(context.Background(), tenantRequest("big", target), &recorder{})
		is.True(result.Is(err, result.Saturated))
		is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
		wait := result.FromError(err).RetryAfter
		is.True(wait >= 50*time.Millisecond && wait <= 1500*time.Millisecond)
		is.Equal(runners.runs, 0)
		is.True(!forwarder.planners.full("s", time.Now())) // other tenants' limit is as before

		for _, request := range []*CallerRequest{tenantRequest("small", target), tenantRequest("small", target/10), tenantRequest("", target)} {
			is.NoErr(forwarder.Serve(context.Background(), request, &recorder{}))
		}
		is.Equal(runners.runs, 3)
		forwarder.FairShares = nil
		is.NoErr(forwarder.Serve(context.Background(), tenantRequest("big", target), &recorder{}))
	})
}

// The tenant's rate limit is checked before its share, and a request that is refused for the
// share costs no credit.
func TestRateLimitPrecedesShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runners := &fakeRunners{}
		forwarder, target := busyForwarder(runners)
		keeper := &limitedKeeper{left: 1}
		limit := func(string) (allotment.RateLimit, bool) { return allotment.RateLimit{Rate: 1, Burst: 1}, true }
		forwarder.Admission = admission.New(keeper, limit, longLived, allotment.HolderID{Node: "n", Incarnation: 1}, prometheus.NewRegistry())
		request := func() *CallerRequest {
			request := tenantRequest("big", target)
			request.Tenant.RatePerSecond, request.Tenant.Burst = 1, 1
			return request
		}
		is.True(result.Is(forwarder.Serve(context.Background(), request(), &recorder{}), result.Saturated))
		is.True(result.Is(forwarder.Serve(context.Background(), request(), &recorder{}), result.Saturated))
		is.Equal(keeper.granted, 1) // the second request has the credit of the first
		forwarder.FairShares = nil
		is.NoErr(forwarder.Serve(context.Background(), request(), &recorder{}))
		is.True(result.Is(forwarder.Serve(context.Background(), request(), &recorder{}), result.TenantRate))
	})
}

// Each condition of a refusal for the tenant's share is necessary.
func TestOverShareRules(t *testing.T) {
	const target = time.Second
	over := fairshare.Verdict{Standing: fairshare.Standing{State: fairshare.Over, Factor: 2, Within: 0.25}, AnyOver: true, Full: true}
	refusedInputs := func() *overShareInputs {
		return &overShareInputs{
			refusalInputs: refusalInputs{firstAttempt: true, target: target, expected: 351 * time.Millisecond},
			verdict:       over, random: 0.25,
		}
	}
	for _, test := range []struct {
		name    string
		change  func(*overShareInputs)
		refused bool
	}{
		{"over the share of a full service", func(*overShareInputs) {}, true},
		{"in time", func(o *overShareInputs) { o.expected = 350 * time.Millisecond }, false},
		{"a free slot", func(o *overShareInputs) { o.freeSlot = true }, false},
		{"within the share", func(o *overShareInputs) { o.random = 0.24 }, false},
		{"at the share", func(o *overShareInputs) { o.verdict.State = fairshare.At }, false},
		{"service not full", func(o *overShareInputs) { o.verdict.Full = false }, false},
		{"refused recently", func(o *overShareInputs) { o.verdict.Full, o.full = false, true }, true},
		{"late", func(o *overShareInputs) { o.verdict.Full, o.expected = false, 2*target }, true},
		{"retry", func(o *overShareInputs) { o.firstAttempt = false }, false},
		{"retry at more than double the share", func(o *overShareInputs) { o.firstAttempt, o.verdict.Factor = false, 2.1 }, true},
		{"already sent", func(o *overShareInputs) { o.sent = true }, false},
		{"suspect runner", func(o *overShareInputs) { o.suspect = true }, false},
		{"no target", func(o *overShareInputs) { o.target = 0 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			inputs := refusedInputs()
			test.change(inputs)
			is.New(t).Equal(inputs.refused(), test.refused)
		})
	}
}

// Whatever the inputs are: no request that may have run is refused, nothing is refused for
// fairness while a slot is free or the first event is expected early, and a tenant under its
// share is not refused while another is over its own.
func TestOverShareProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inputs := &overShareInputs{
			refusalInputs: refusalInputs{
				sent: rapid.Bool().Draw(t, "sent"), suspect: rapid.Bool().Draw(t, "suspect"),
				firstAttempt: rapid.Bool().Draw(t, "first attempt"), full: rapid.Bool().Draw(t, "full"),
				target:   time.Duration(rapid.IntRange(0, 1000).Draw(t, "target")) * time.Millisecond,
				expected: time.Duration(rapid.IntRange(0, 2000).Draw(t, "expected")) * time.Millisecond,
			},
			verdict: fairshare.Verdict{
				Standing: fairshare.Standing{
					State:  rapid.SampledFrom([]fairshare.State{fairshare.Under, fairshare.At, fairshare.Over}).Draw(t, "state"),
					Factor: rapid.Float64Range(0, 10).Draw(t, "factor"), Within: rapid.Float64Range(0, 1).Draw(t, "within"),
				},
				AnyOver: rapid.Bool().Draw(t, "any over"), Full: rapid.Bool().Draw(t, "zone full"),
			},
			freeSlot: rapid.Bool().Draw(t, "free slot"), random: rapid.Float64Range(0, 1).Draw(t, "random"),
		}
		inputs.protected = inputs.verdict.Protected()
		early := inputs.expected <= time.Duration(overShareTarget*float64(inputs.target))
		if inputs.refused() && (inputs.sent || inputs.freeSlot || early || inputs.verdict.State != fairshare.Over) {
			t.Fatalf("refused for its tenant's share: %+v", inputs)
		}
		full := inputs.refusalInputs
		if full.refused() && (full.sent || inputs.verdict.State == fairshare.Under && inputs.verdict.AnyOver) {
			t.Fatalf("refused because the service is full: %+v", inputs)
		}
	})
}
