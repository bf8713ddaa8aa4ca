// Package admission admits tenants' requests on one node within the node's part of their
// request rate limits (package allotment). Shares are renewed in the background. Only a
// request for which the node holds no credit contacts the tenant's keeper; concurrent
// requests share one call.
//
// The package owns the node's allowances and its calls to keepers. It reads the limits from
// the current configuration (package catalog) and reaches keepers, which are the leaders of
// queue shards, through a client (package queueclient). The edge runs a Controller after
// package authn has identified the tenant; the storage node uses LimitOf for the tenants
// whose keeper it runs. The plain node uses packages limits and quota instead.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/boottime"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

// KeeperClient calls the keepers of tenants' limits.
type KeeperClient interface {
	// Allot sends a request to the keeper of a tenant.
	Allot(ctx context.Context, tenant string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error)
	// ShardOf returns the shard whose leader is the keeper of the tenant's limit; false if
	// it is unknown.
	ShardOf(tenant string) (uint32, bool)
}

// LimitOf returns a function that looks up tenants' limits in the current configuration.
func LimitOf(catalogs *catalog.Holder) func(tenant string) (allotment.RateLimit, bool) {
	return func(name string) (allotment.RateLimit, bool) {
		held := catalogs.Current()
		if held == nil {
			return allotment.RateLimit{}, false
		}
		tenant := held.Tenant(name)
		if tenant == nil {
			return allotment.RateLimit{}, false
		}
		limit := limitOf(tenant)
		limit.Steady = catalogs.Age(time.Now()) >= allotment.LeaseTTL
		return limit, true
	}
}

func limitOf(tenant *catalog.Tenant) allotment.RateLimit {
	return allotment.RateLimit{Rate: tenant.RatePerSecond, Burst: tenant.Burst}
}

// Controller admits requests on one node.
type Controller struct {
	keepers       KeeperClient
	limit         func(tenant string) (allotment.RateLimit, bool)
	tolerance     allotment.Tolerance
	holderID      allotment.HolderID
	requestNumber atomic.Uint64
	// now includes the time for which the machine was suspended, since leases expire by the
	// keeper's clock, which keeps running.
	now      func() time.Time
	outcomes *prometheus.CounterVec

	// pausedUntil maps a shard to the time until which its leader is not called.
	pausedUntil sync.Map

	// keeperRequests are the goroutines that call keepers. Run cancels their context when it
	// ends.
	keeperRequests tasks.Group
	requestContext context.Context
	cancelRequests context.CancelFunc

	mutex      sync.Mutex
	allowances map[string]*allowance
}

// allowance is the node's part of one tenant's limit.
type allowance struct {
	mutex sync.Mutex
	*allotment.Allowance
	// requesting reports that a credit request to the keeper is in flight. waiting are the
	// requests that wait for the next reply.
	requesting bool
	waiting    []chan creditResult
}

// creditResult is the result of a credit request for one of the waiting requests.
type creditResult struct {
	credit allotment.Credit
	err    error
}

// New returns the controller for one process of a node.
func New(
	keepers KeeperClient, limit func(string) (allotment.RateLimit, bool), tolerance allotment.Tolerance, holderID allotment.HolderID,
	registry prometheus.Registerer,
) *Controller {
	requestContext, cancelRequests := context.WithCancel(context.Background())
	c := &Controller{
		keepers: keepers, limit: limit, tolerance: tolerance, holderID: holderID,
		allowances: map[string]*allowance{}, now: boottime.Now,
		requestContext: requestContext, cancelRequests: cancelRequests,
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_admissions_total", Help: "Requests of limited tenants by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(c.outcomes)
	return c
}

// Admission is the permission to send one request of a tenant.
type Admission struct {
	now       func() time.Time
	allowance *allowance
	limit     allotment.RateLimit
	credit    allotment.Credit
}

// Valid reports whether the request may still be sent; callers check it immediately before
// sending. A nil Admission, for tenants without a limit, is always valid.
func (a *Admission) Valid() bool { return a == nil || a.credit.Valid(a.now()) }

// Return gives the credit back if the request did not run on any runner.
func (a *Admission) Return() {
	if a == nil {
		return
	}
	a.allowance.mutex.Lock()
	defer a.allowance.mutex.Unlock()
	a.allowance.Allowance.Return(a.now(), a.limit, a.credit)
}

// Values of the outcome label.
const (
	outcomeShare      = "share"
	outcomePool       = "pool"
	outcomeRefused    = "refused"
	outcomeNoResponse = "keeper_silent"
)

// Admit acquires a credit for a request of a tenant and waits for the keeper for at most
// maxWait. It returns nil for tenants without a limit. An error means that the request must
// not run, and carries the retry delay.
func (c *Controller) Admit(ctx context.Context, id string, tenant *catalog.Tenant, maxWait time.Duration) (*Admission, error) {
	if !tenant.HasRateLimit() {
		return nil, nil
	}
	limit := limitOf(tenant)
	admission := &Admission{now: c.now, allowance: c.allowance(tenant.Name), limit: limit}
	credit, results, err := c.acquire(admission.allowance, tenant.Name, limit)
	if err == nil && results != nil {
		credit, err = awaitCredit(ctx, results, maxWait)
	}
	if result.Is(err, result.NotReady) {
		credit, err = admission.allowance.acquireSpareOr(err, c.now())
	}
	switch {
	case err == nil && credit.Pooled:
		c.outcomes.WithLabelValues(outcomePool).Inc()
	case err == nil:
		c.outcomes.WithLabelValues(outcomeShare).Inc()
	default:
		c.logRefusal(id, tenant, admission.allowance, err)
		return nil, err
	}
	admission.credit = credit
	return admission, nil
}

// acquire returns a credit that the node holds, or requests one from the keeper; then the
// result arrives on the channel. It refuses at once while the keeper's pool is known to be
// empty, and while calls to the keeper are paused after a failure.
func (c *Controller) acquire(a *allowance, tenant string, limit allotment.RateLimit) (allotment.Credit, <-chan creditResult, error) {
	now := c.now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.RecordRequest(now)
	if credit, ok := a.AcquireCredit(now, limit); ok {
		return credit, nil, nil
	}
	if wait, empty := a.PoolEmpty(now); empty {
		return allotment.Credit{}, nil, overLimit(tenant, limit, wait)
	}
	if c.keeperPaused(tenant, now) {
		return allotment.Credit{}, nil, keeperUnavailable()
	}
	results := make(chan creditResult, 1)
	a.waiting = append(a.waiting, results)
	if !a.requesting && !c.startRequest(a, tenant, limit) {
		a.waiting = nil // only this request: the node is shutting down
		return allotment.Credit{}, nil, keeperUnavailable()
	}
	return allotment.Credit{}, results, nil
}

// startRequest starts to request credits from a tenant's keeper; it returns false if the
// node is shutting down. The caller holds the allowance's mutex.
func (c *Controller) startRequest(a *allowance, tenant string, limit allotment.RateLimit) bool {
	a.requesting = c.keeperRequests.Go(func() { c.requestCredits(a, tenant, limit) })
	return a.requesting
}

// acquireSpareOr returns the spare request's credit if there is one, else the given refusal.
func (a *allowance) acquireSpareOr(refusal error, now time.Time) (allotment.Credit, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if credit, ok := a.AcquireSpare(now); ok {
		return credit, nil
	}
	return allotment.Credit{}, refusal
}

// awaitCredit waits for the keeper's reply for one request.
func awaitCredit(ctx context.Context, results <-chan creditResult, maxWait time.Duration) (allotment.Credit, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case received := <-results:
		return received.credit, received.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return allotment.Credit{}, keeperUnavailable()
}

// logRefusal logs and counts a request that is not admitted, with this node's view of the
// tenant.
func (c *Controller) logRefusal(id string, tenant *catalog.Tenant, a *allowance, err error) {
	outcome := outcomeNoResponse
	if result.Is(err, result.TenantRate) {
		outcome = outcomeRefused
	}
	c.outcomes.WithLabelValues(outcome).Inc()
	now := c.now()
	a.mutex.Lock()
	share, level := a.Share()
	demand := a.Demand(now)
	age := a.GrantAge(now)
	a.mutex.Unlock()
	klog.InfoS("request not admitted", "id", id, "tenant", tenant.Name, "outcome", outcome,
		"rate", tenant.RatePerSecond, "burst", tenant.Burst, "share", share, "credit", level, "demandHere", demand,
		"shareAgeMs", age.Milliseconds(), "retryAfterMs", result.FromError(err).RetryAfter.Milliseconds())
}

func (c *Controller) allowance(tenant string) *allowance {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	held := c.allowances[tenant]
	if held == nil {
		held = &allowance{Allowance: allotment.NewAllowance(c.now(), c.tolerance)}
		c.allowances[tenant] = held
	}
	return held
}
