// Package limits holds tenants to their rates, concurrency and tokens on one node.
//
// It owns what the node has admitted of each tenant, in memory. Each node enforces
// its share of a limit; package quota divides the shares among the nodes by demand,
// without a message per request. The plain node runs both; the edge and the storage
// node use packages admission and allotment, which never let a limit be exceeded by
// more than the users allow.
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

// TenantLimits are a tenant's limits as the bundle states them; zero fields are
// unlimited.
type TenantLimits struct {
	RequestsPerSecond float64
	// Burst is how many requests may come at once; 0 is those of a second.
	Burst int
	// Concurrent is how many requests may run at once.
	Concurrent      int
	TokensPerMinute int
}

const secondsPerMinute = 60

// TenantLimiter is one tenant's state on this node.
type TenantLimiter struct {
	mutex    sync.Mutex
	limit    TenantLimits
	share    float64
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
}

// NewTenantLimiter returns the state of a tenant held to share (0 to 1] of its limit.
func NewTenantLimiter(limit TenantLimits, share float64) *TenantLimiter {
	t := &TenantLimiter{
		requests: rate.NewLimiter(rate.Inf, 0),
		tokens:   rate.NewLimiter(rate.Inf, 0),
	}
	t.apply(limit, share)
	return t
}

// Update replaces limit and share if they changed; what is running stays.
func (t *TenantLimiter) Update(limit TenantLimits, share float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.limit != limit || t.share != share {
		t.apply(limit, share)
	}
}

func (t *TenantLimiter) apply(limit TenantLimits, share float64) {
	t.limit, t.share = limit, share
	setRate(t.requests, limit.RequestsPerSecond*share, burstOf(limit, share))
	setRate(t.tokens, float64(limit.TokensPerMinute)*share/secondsPerMinute, float64(limit.TokensPerMinute)*share)
}

func burstOf(limit TenantLimits, share float64) float64 {
	if limit.Burst > 0 {
		return float64(limit.Burst) * share
	}
	return limit.RequestsPerSecond * share
}

func setRate(limiter *rate.Limiter, perSecond, burst float64) {
	if perSecond <= 0 {
		limiter.SetLimit(rate.Inf)
		return
	}
	limiter.SetBurst(max(1, int(burst+0.5)))
	limiter.SetLimit(rate.Limit(perSecond))
}

// Admit takes one request, or returns the error that refuses it with the time
// to come back. An admitted request must be released.
func (t *TenantLimiter) Admit(now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if allowed := concurrentShare(t.limit.Concurrent, t.share); allowed > 0 && t.running >= allowed {
		return result.New(result.TenantConcurrency, "%d requests are in flight here, allowed: %d", t.running, allowed).WithRetryAfter(time.Second)
	}
	if !t.tokens.AllowN(now, 0) || (t.tokens.Limit() != rate.Inf && t.tokens.TokensAt(now) <= 0) {
		wait := waitFor(t.tokens, now)
		return result.New(result.TenantTokens, "the tenant's tokens per minute are spent").WithRetryAfter(wait)
	}
	if !t.requests.AllowN(now, 1) {
		return result.New(result.TenantRate, "more than %g requests per second", t.limit.RequestsPerSecond).WithRetryAfter(waitFor(t.requests, now))
	}
	t.running++
	return nil
}

func waitFor(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	if missing <= 0 || limiter.Limit() <= 0 {
		return time.Millisecond
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

func concurrentShare(concurrent int, share float64) int {
	if concurrent <= 0 {
		return 0
	}
	return max(1, int(float64(concurrent)*share+0.5))
}

// Release ends an admitted request and charges the tokens it generated. Tokens
// are charged afterwards, so a tenant may overshoot by what is in flight.
func (t *TenantLimiter) Release(now time.Time, tokens int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running--
	if t.tokens.Limit() == rate.Inf {
		return
	}
	for tokens > 0 {
		chunk := min(tokens, t.tokens.Burst())
		t.tokens.ReserveN(now, chunk)
		tokens -= chunk
	}
}

// Limiters holds all tenants' states, made when first asked for.
type Limiters struct {
	byTenant sync.Map // name → *TenantLimiter
}

// Tenant returns the tenant's state with the given limits and share in force.
func (l *Limiters) Tenant(name string, limit TenantLimits, share float64) *TenantLimiter {
	if known, found := l.byTenant.Load(name); found {
		tenant := known.(*TenantLimiter)
		tenant.Update(limit, share)
		return tenant
	}
	limiter, _ := l.byTenant.LoadOrStore(name, NewTenantLimiter(limit, share))
	return limiter.(*TenantLimiter)
}
