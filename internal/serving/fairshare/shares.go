package fairshare

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

const (
	// digestLifetime is the age from which a digest is no longer used.
	digestLifetime = time.Second
	// returnDelay is how long a tenant has to stay within its share until the log says so.
	returnDelay = time.Second
)

// DigestSource provides the digests of the zones' load that this node receives.
type DigestSource interface {
	// Newest returns the newest digest, its age, and whether there is one that may be used.
	// It returns the same pointer until there is a newer digest, and the digest does not
	// change.
	Newest(now time.Time) (digest *wirev1.ZoneLoadDigest, age time.Duration, usable bool)
}

// Verdict is the standing of a request's tenant, with the state of the service.
type Verdict struct {
	Standing
	// AnyOver is set if some tenant of the service is over its share.
	AnyOver bool
	// Full is set if online requests occupy all slots of the service in the zone.
	Full bool
}

// Protected reports whether the tenant's request is not refused because the service is full:
// the tenant is under its share while another takes more than its own.
func (v *Verdict) Protected() bool { return v.AnyOver && v.State == Under }

// LogFields returns the tenant's share and use for the log.
func (v *Verdict) LogFields() []any {
	return []any{"tenantShare", rounded(v.Share), "tenantUse", rounded(v.Use)}
}

// Shares determines on an edge how tenants' requests compare to their shares. It is safe for
// concurrent use. A nil Shares counts nothing and gives no verdicts.
type Shares struct {
	zone     string
	counter  *Counter
	digests  DigestSource
	weight   func(tenant string) float64
	refusals prometheus.Counter

	mutex sync.Mutex
	// digest is the digest that views are made of.
	digest *wirev1.ZoneLoadDigest
	views  map[string]*serviceView // by service
	// overAt holds the tenants over their share that were logged, with the time of the last
	// digest by which they were.
	overAt map[tenantKey]time.Time
}

// NewShares returns the shares of tenants in this node's zone. weight returns the weight of a
// tenant.
func NewShares(zone string, counter *Counter, digests DigestSource, weight func(tenant string) float64, registry prometheus.Registerer) *Shares {
	s := &Shares{
		zone: zone, counter: counter, digests: digests, weight: weight, overAt: map[tenantKey]time.Time{},
		refusals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cobaltramp_fair_share_refusals_total", Help: "Online requests refused because their tenant was over its share of the slots.",
		}),
	}
	registry.MustRegister(s.refusals)
	return s
}

// WeightIn returns a function for the weights of tenants: their rate limits in the current
// configuration, or 1 without a limit.
func WeightIn(catalogs *catalog.Holder) func(tenant string) float64 {
	return func(name string) float64 {
		if current := catalogs.Current(); current != nil {
			if tenant := current.Tenant(name); tenant.HasRateLimit() {
				return tenant.RatePerSecond
			}
		}
		return 1
	}
}

// Begin counts the arrival of a request; the returned function counts its end. A request
// without a tenant is not counted, so that deployments without tenants report nothing.
func (s *Shares) Begin(service, tenant string, priority int) (end func()) {
	if s == nil || tenant == "" {
		return func() {}
	}
	return s.counter.begin(keyOf(service, tenant, priority))
}

// RecordRefusal counts a request that is refused because its tenant is over its share.
func (s *Shares) RecordRefusal() { s.refusals.Inc() }

// Verdict returns the verdict on a tenant's request, which Begin has counted. It returns false
// if there is none: the request has no tenant, or there is no current digest of the service.
func (s *Shares) Verdict(service, tenant string, priority int, now time.Time) (Verdict, bool) {
	if s == nil || tenant == "" {
		return Verdict{}, false
	}
	view := s.view(service, now)
	if view == nil {
		return Verdict{}, false
	}
	key := keyOf(service, tenant, priority)
	standing := view.standing(key, s.counter.inFlight(key)-1) // the request itself is counted
	return Verdict{Standing: standing, AnyOver: len(view.over) > 0, Full: view.full}, true
}

// view returns the view of a service; nil if there is no current digest of it.
func (s *Shares) view(service string, now time.Time) *serviceView {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refresh(now)
	return s.views[service]
}

// Run follows the digests until the context ends, so that tenants that go over their share or
// return are also logged while there are no requests.
func (s *Shares) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.follow(now)
		}
	}
}

// follow uses the newest digest and logs changes.
func (s *Shares) follow(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refresh(now)
	s.logReturns(now)
}

// refresh replaces the views if there is a newer digest, or if theirs has expired. The caller
// holds the mutex.
func (s *Shares) refresh(now time.Time) {
	digest, age, usable := s.digests.Newest(now)
	if !usable || age >= digestLifetime {
		digest = nil
	}
	if digest == s.digest {
		return
	}
	s.digest = digest
	s.views = s.viewsOf(digest)
	s.logOver(now)
}

// viewsOf returns the views of a digest by service.
func (s *Shares) viewsOf(digest *wirev1.ZoneLoadDigest) map[string]*serviceView {
	views := map[string]*serviceView{}
	if digest == nil {
		return views
	}
	byService := map[string][]*wirev1.TenantLoad{}
	for _, load := range digest.Tenants[:min(len(digest.Tenants), maxRows)] {
		byService[load.Service] = append(byService[load.Service], load)
	}
	for _, load := range digest.Loads {
		if load.Zone != s.zone || len(byService[load.Service]) == 0 {
			continue
		}
		if view := newServiceView(load, byService[load.Service], s.weight, s.views[load.Service]); view != nil {
			views[load.Service] = view
		}
	}
	return views
}

// logOver logs the tenants that went over their share of a full service. The caller holds the
// mutex.
func (s *Shares) logOver(now time.Time) {
	for _, view := range s.views {
		if !view.full {
			continue
		}
		for key, standing := range view.over {
			if _, known := s.overAt[key]; !known {
				klog.InfoS("tenant is over its share of the slots", "service", key.service, "tenant", key.tenant,
					"priority", key.priority, "tenantShare", rounded(standing.Share), "tenantUse", standing.Use, "factor", rounded(standing.Factor))
			}
			s.overAt[key] = now
		}
	}
}

// logReturns logs the tenants that have been within their share for some time. The caller
// holds the mutex.
func (s *Shares) logReturns(now time.Time) {
	for key, at := range s.overAt {
		if s.views[key.service].isOver(key) {
			continue
		}
		if now.Sub(at) >= returnDelay {
			delete(s.overAt, key)
			klog.InfoS("tenant is within its share of the slots again", "service", key.service, "tenant", key.tenant, "priority", key.priority)
		}
	}
}

// rounded returns a value that is not negative with one decimal place, for the log.
func rounded(value float64) float64 { return float64(int(value*10+0.5)) / 10 }
