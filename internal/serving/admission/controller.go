// Package admission admits tenants' requests on one node, within what the node
// holds of their limits on requests a second (package allotment). Shares are
// renewed in the background; only a request for which the node holds nothing
// asks the tenant's keeper, together with others that do.
//
// It owns the node's allowances and its questions to keepers. It relies on the
// configuration in force for the limits (package catalog) and on a client of queue
// shards that reaches the keepers, the leaders of the shards (package queueclient).
// The edge runs it, after package authn has found the tenant; the storage node uses
// LimitOf for the tenants that it keeps. The plain node admits by packages limits and
// quota.
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

// Keepers reaches the keepers of tenants' limits.
type Keepers interface {
	// Allot asks the keeper of a tenant.
	Allot(ctx context.Context, tenant string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error)
	// ShardOf returns the shard whose leader keeps the tenant's limit; false if it is
	// not known.
	ShardOf(tenant string) (uint32, bool)
}

// LimitOf returns tenants' limits by the configuration in force.
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
		limit.Steady = catalogs.Age(time.Now()) >= allotment.Term
		return limit, true
	}
}

func limitOf(tenant *catalog.Tenant) allotment.RateLimit {
	return allotment.RateLimit{Rate: tenant.RatePerSecond, Burst: tenant.Burst}
}

// Controller admits requests.
type Controller struct {
	keepers   Keepers
	limit     func(tenant string) (allotment.RateLimit, bool)
	tolerance allotment.Tolerance
	holder    allotment.HolderID
	number    atomic.Uint64
	// now counts the time in which the machine was suspended: what was lent ends by
	// the keeper's clock, which went on.
	now      func() time.Time
	outcomes *prometheus.CounterVec

	// pausedUntil holds until when the keepers of shards are not asked, by shard.
	pausedUntil sync.Map

	// questions are the goroutines that ask keepers; they end with the lifetime,
	// which Run ends.
	questions tasks.Group
	lifetime  context.Context
	end       context.CancelFunc

	mutex      sync.Mutex
	allowances map[string]*allowance
}

// allowance is what the node holds of one tenant's limit.
type allowance struct {
	mutex sync.Mutex
	*allotment.Allowance
	// asking: a question to the keeper is on its way. waiting are requests that
	// the next answer goes to.
	asking  bool
	waiting []chan settlement
}

// settlement is what the keeper's answer means for one request.
type settlement struct {
	credit allotment.Credit
	err    error
}

// New returns the controller of one life of a node.
func New(
	keepers Keepers, limit func(string) (allotment.RateLimit, bool), tolerance allotment.Tolerance, holder allotment.HolderID,
	registry prometheus.Registerer,
) *Controller {
	lifetime, end := context.WithCancel(context.Background())
	c := &Controller{
		keepers: keepers, limit: limit, tolerance: tolerance, holder: holder,
		allowances: map[string]*allowance{}, now: boottime.Now,
		lifetime: lifetime, end: end,
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_admissions_total", Help: "Requests of limited tenants by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(c.outcomes)
	return c
}

// Admission is the right to send a request of a tenant once.
type Admission struct {
	now       func() time.Time
	allowance *allowance
	limit     allotment.RateLimit
	credit    allotment.Credit
}

// Valid reports whether the request may still be sent. It is asked in the
// moment of sending. No admission is needed without a limit.
func (a *Admission) Valid() bool { return a == nil || a.credit.Valid(a.now()) }

// Return gives the right back: no runner has run the request.
func (a *Admission) Return() {
	if a == nil {
		return
	}
	a.allowance.mutex.Lock()
	defer a.allowance.mutex.Unlock()
	a.allowance.Allowance.Return(a.now(), a.limit, a.credit)
}

// Outcomes that are counted.
const (
	outcomeShare    = "share"
	outcomePool     = "pool"
	outcomeRefused  = "refused"
	outcomeNoAnswer = "keeper_silent"
)

// Admit takes a credit for a request of a tenant, and waits for the keeper no longer
// than maxWait. It returns nil for tenants without a limit. The error says that the
// request is not run, and when to come back.
func (c *Controller) Admit(ctx context.Context, id string, tenant *catalog.Tenant, maxWait time.Duration) (*Admission, error) {
	if !tenant.Limited() {
		return nil, nil
	}
	limit := limitOf(tenant)
	admission := &Admission{now: c.now, allowance: c.allowance(tenant.Name), limit: limit}
	credit, answer, err := c.take(admission.allowance, tenant.Name, limit)
	if err == nil && answer != nil {
		credit, err = await(ctx, answer, maxWait)
	}
	if result.Is(err, result.NotReady) {
		credit, err = admission.allowance.spareFor(err, c.now())
	}
	switch {
	case err == nil && credit.Pooled:
		c.outcomes.WithLabelValues(outcomePool).Inc()
	case err == nil:
		c.outcomes.WithLabelValues(outcomeShare).Inc()
	default:
		c.refused(id, tenant, admission.allowance, err)
		return nil, err
	}
	admission.credit = credit
	return admission, nil
}

// take takes a credit that is held, or has the keeper asked for one: the settlement then
// comes on the channel. It refuses at once while the keeper's pool is known to be
// empty, and while the keeper is not asked since it did not answer.
func (c *Controller) take(a *allowance, tenant string, limit allotment.RateLimit) (allotment.Credit, <-chan settlement, error) {
	now := c.now()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.Note(now)
	if credit, ok := a.Take(now, limit); ok {
		return credit, nil, nil
	}
	if wait, empty := a.PoolEmpty(now); empty {
		return allotment.Credit{}, nil, overLimit(tenant, limit, wait)
	}
	if c.keeperPaused(tenant, now) {
		return allotment.Credit{}, nil, noAnswer()
	}
	answer := make(chan settlement, 1)
	a.waiting = append(a.waiting, answer)
	if !a.asking && !c.startAsking(a, tenant, limit) {
		a.waiting = nil // only this one: the node is ending
		return allotment.Credit{}, nil, noAnswer()
	}
	return allotment.Credit{}, answer, nil
}

// startAsking begins to ask the keeper of a tenant; false if the node is ending. The
// allowance is locked.
func (c *Controller) startAsking(a *allowance, tenant string, limit allotment.RateLimit) bool {
	a.asking = c.questions.Go(func() { c.ask(a, tenant, limit) })
	return a.asking
}

// spareFor takes the spare request in place of a refusal: the keeper does not answer.
func (a *allowance) spareFor(refusal error, now time.Time) (allotment.Credit, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if credit, ok := a.TakeSpare(now); ok {
		return credit, nil
	}
	return allotment.Credit{}, refusal
}

// await waits for the keeper's answer for one request.
func await(ctx context.Context, answer <-chan settlement, maxWait time.Duration) (allotment.Credit, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case received := <-answer:
		return received.credit, received.err
	case <-timer.C:
	case <-ctx.Done():
	}
	return allotment.Credit{}, noAnswer()
}

// refused logs a request that is not admitted, with what is believed here.
func (c *Controller) refused(id string, tenant *catalog.Tenant, a *allowance, err error) {
	outcome := outcomeNoAnswer
	if result.Is(err, result.TenantRate) {
		outcome = outcomeRefused
	}
	c.outcomes.WithLabelValues(outcome).Inc()
	now := c.now()
	a.mutex.Lock()
	share, level := a.Share()
	demand := a.Demand(now)
	age := a.Age(now)
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
