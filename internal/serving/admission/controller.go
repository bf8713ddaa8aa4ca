// Package admission admits tenants' requests on one node within the node's part of their
// request rate limits (package allotment). Each tenant's limit is divided by its keeper, which
// is the leader of the queue shard to which the tenant's name maps. The node renews its shares
// of the limits in the background. It calls a keeper for a request only if it has no credit
// for the request; concurrent requests of a tenant share one call.
//
// The package owns the node's allowances and its calls to keepers. It reads the limits from
// the current configuration (package catalog) and reaches keepers through a client (package
// queueclient). The edge runs a Controller after package authn has identified the tenant; the
// storage node uses LimitOf for the tenants whose keeper it runs. The plain node uses packages
// limits and quota instead.
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
	// Allot sends a request to the keeper of a tenant. The request may contain claims of
	// other tenants that have the same keeper.
	Allot(ctx context.Context, tenant string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error)
	// ShardOf returns the shard whose leader is the keeper of the tenant's limit; false if
	// it is unknown.
	ShardOf(tenant string) (uint32, bool)
}

// LimitOf returns a function that looks up a tenant's limit in the current configuration. The
// function returns false if the node has no configuration or the tenant is not in it.
func LimitOf(catalogs *catalog.Holder) func(tenant string) (allotment.RateLimit, bool) {
	return func(name string) (allotment.RateLimit, bool) {
		current := catalogs.Current()
		if current == nil {
			return allotment.RateLimit{}, false
		}
		tenant := current.Tenant(name)
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

// Controller admits requests on one node. Run has to be running for it to get shares.
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

	// pausedUntil maps a shard to the time until which its leader is not called for credits.
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
	// requesting reports that requestCredits is running. waiting are the requests that its
	// next call to the keeper covers.
	requesting bool
	waiting    []chan creditResult
}

// creditResult is the result of a credit request for one of the waiting requests.
type creditResult struct {
	credit allotment.Credit
	err    error
	// forwardedBy holds the addresses of the forwarders through which the keeper was called.
	forwardedBy string
}

// New returns the controller for one process of a node. The function limit looks up the
// current limit of a tenant, as LimitOf does.
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
	// forwardedBy is as in creditResult.
	forwardedBy string
}

// ForwardedBy returns the addresses of the peers through which the keeper was called for this
// request; empty if the keeper was called directly or not at all.
func (a *Admission) ForwardedBy() string {
	if a == nil {
		return ""
	}
	return a.forwardedBy
}

// Valid reports whether the request may still be sent; callers check it immediately before
// sending. A nil Admission, for tenants without a limit, is always valid.
func (a *Admission) Valid() bool { return a == nil || a.credit.Valid(a.now()) }

// Return gives the credit back. Callers call it only if the request did not run on any
// runner. On a nil Admission it does nothing.
func (a *Admission) Return() {
	if a == nil {
		return
	}
	a.allowance.mutex.Lock()
	defer a.allowance.mutex.Unlock()
	a.allowance.Allowance.Return(a.now(), a.limit, a.credit)
}

// Values of the outcome label. Spare requests count as outcomePool.
const (
	outcomeShare      = "share"
	outcomePool       = "pool"
	outcomeRefused    = "refused"
	outcomeNoResponse = "keeper_silent"
)

// Admit acquires a credit for a request of a tenant; id is the request's id for the log. If it
// has to call the keeper, it waits for at most maxWait. If the keeper is unavailable, it uses
// the node's spare request if there is one. It returns nil for tenants without a limit. An
// error means that the request must not run, and carries the retry delay.
func (c *Controller) Admit(ctx context.Context, id string, tenant *catalog.Tenant, maxWait time.Duration) (*Admission, error) {
	if !tenant.HasRateLimit() {
		return nil, nil
	}
	limit := limitOf(tenant)
	admission := &Admission{now: c.now, allowance: c.allowance(tenant.Name), limit: limit}
	credit, results, err := c.acquire(admission.allowance, tenant.Name, limit)
	if err == nil && results != nil {
		received := awaitCredit(ctx, results, maxWait)
		credit, admission.forwardedBy, err = received.credit, received.forwardedBy, received.err
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
		c.logRefusal(id, tenant, admission, err)
		return nil, err
	}
	admission.credit = credit
	return admission, nil
}

// acquire returns a credit that the node has, or requests one from the keeper and returns a
// channel for the result. It returns an error at once while the keeper's pool is regarded as
// empty, while calls to the keeper are paused after a failure, if the keeper's shard is
// unknown, and while the node is shutting down.
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
	if !a.requesting && !c.startCreditRequests(a, tenant, limit) {
		a.waiting = nil // contains only this request, since no call was in flight
		return allotment.Credit{}, nil, keeperUnavailable()
	}
	return allotment.Credit{}, results, nil
}

// startCreditRequests starts requestCredits in the background, or returns false if the node
// is shutting down. The caller holds the allowance's mutex.
func (c *Controller) startCreditRequests(a *allowance, tenant string, limit allotment.RateLimit) bool {
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

// awaitCredit waits for the result of one request. The result has the error of an unavailable
// keeper if maxWait passes or the context ends first.
func awaitCredit(ctx context.Context, results <-chan creditResult, maxWait time.Duration) creditResult {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case received := <-results:
		return received
	case <-timer.C:
	case <-ctx.Done():
	}
	return creditResult{err: keeperUnavailable()}
}

// logRefusal logs and counts a request that is not admitted, with this node's view of the
// tenant.
func (c *Controller) logRefusal(id string, tenant *catalog.Tenant, refused *Admission, err error) {
	a := refused.allowance
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
		"shareAgeMs", age.Milliseconds(), "retryAfterMs", result.FromError(err).RetryAfter.Milliseconds(),
		"forwardedBy", refused.forwardedBy)
}

// allowance returns the node's allowance of a tenant, and creates it if missing.
func (c *Controller) allowance(tenant string) *allowance {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	state := c.allowances[tenant]
	if state == nil {
		state = &allowance{Allowance: allotment.NewAllowance(c.now(), c.tolerance)}
		c.allowances[tenant] = state
	}
	return state
}
