// Package limits enforces tenants' request rates, concurrency and token rates on one node.
//
// It keeps the state of each tenant in memory. Each node enforces its share of a limit;
// package quota divides the limits among the nodes by demand, without a message for each
// request. The plain node uses both packages. The edge and the storage node use packages
// admission and allotment instead, which limit request rates only and bound the excess over a
// limit by the configured tolerance.
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

// TenantLimits are a tenant's limits on all nodes together, as the bundle sets them. A zero
// field means unlimited, except for Burst.
type TenantLimits struct {
	RequestsPerSecond float64
	// Burst is how many requests may arrive at once; 0 means the requests of one second.
	Burst int
	// Concurrent is how many requests may run at once.
	Concurrent int
	// TokensPerMinute limits the generated tokens, which are charged when requests end.
	TokensPerMinute int
}

const secondsPerMinute = 60

// TenantLimiter enforces one tenant's limits on this node.
type TenantLimiter struct {
	mutex    sync.Mutex
	limit    TenantLimits
	share    float64
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
}

// NewTenantLimiter returns a limiter that allows the given share, in (0, 1], of the limits.
func NewTenantLimiter(limit TenantLimits, share float64) *TenantLimiter {
	t := &TenantLimiter{
		requests: rate.NewLimiter(rate.Inf, 0),
		tokens:   rate.NewLimiter(rate.Inf, 0),
	}
	t.apply(limit, share)
	return t
}

// Update replaces the limits and the share if they have changed. It keeps the count of
// running requests.
func (t *TenantLimiter) Update(limit TenantLimits, share float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.limit != limit || t.share != share {
		t.apply(limit, share)
	}
}

// apply sets the limits and the share. The caller holds the mutex, or is the only user.
func (t *TenantLimiter) apply(limit TenantLimits, share float64) {
	t.limit, t.share = limit, share
	setRate(t.requests, limit.RequestsPerSecond*share, requestBurst(limit, share))
	setRate(t.tokens, float64(limit.TokensPerMinute)*share/secondsPerMinute, float64(limit.TokensPerMinute)*share)
}

func requestBurst(limit TenantLimits, share float64) float64 {
	if limit.Burst > 0 {
		return float64(limit.Burst) * share
	}
	return limit.RequestsPerSecond * share
}

// setRate sets a limiter's rate and its burst, which is at least 1. A rate of 0 means
// unlimited.
func setRate(limiter *rate.Limiter, perSecond, burst float64) {
	if perSecond <= 0 {
		limiter.SetLimit(rate.Inf)
		return
	}
	limiter.SetBurst(max(1, int(burst+0.5)))
	limiter.SetLimit(rate.Limit(perSecond))
}

// Admit admits one request, or returns an error that names the exceeded limit and carries a
// retry delay. The caller has to call Release for each admitted request.
func (t *TenantLimiter) Admit(now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if allowed := concurrencyShare(t.limit.Concurrent, t.share); allowed > 0 && t.running >= allowed {
		return result.New(result.TenantConcurrency, "%d requests are in flight here, allowed: %d", t.running, allowed).WithRetryAfter(time.Second)
	}
	if !t.tokens.AllowN(now, 0) || (t.tokens.Limit() != rate.Inf && t.tokens.TokensAt(now) <= 0) {
		wait := retryDelay(t.tokens, now)
		return result.New(result.TenantTokens, "the tenant's tokens per minute are spent").WithRetryAfter(wait)
	}
	if !t.requests.AllowN(now, 1) {
		return result.New(result.TenantRate, "more than %g requests per second", t.limit.RequestsPerSecond).WithRetryAfter(retryDelay(t.requests, now))
	}
	t.running++
	return nil
}

// retryDelay returns the time until the limiter contains one token, or a millisecond if it
// already does.
func retryDelay(limiter *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - limiter.TokensAt(now)
	if missing <= 0 || limiter.Limit() <= 0 {
		return time.Millisecond
	}
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// concurrencyShare returns this node's share of a limit on concurrent requests, at least 1; 0
// means unlimited.
func concurrencyShare(concurrent int, share float64) int {
	if concurrent <= 0 {
		return 0
	}
	return max(1, int(float64(concurrent)*share+0.5))
}

// Release records the end of an admitted request and charges the tokens that it generated.
// Since tokens are charged at the end, a tenant may exceed its limit by the tokens of its
// running requests; later requests are refused until the excess is made up.
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

// Limiters holds the limiters of all tenants and creates them on first use.
type Limiters struct {
	byTenant sync.Map // name → *TenantLimiter
}

// Tenant returns the tenant's limiter with the given limits and share.
func (l *Limiters) Tenant(name string, limit TenantLimits, share float64) *TenantLimiter {
	if existing, found := l.byTenant.Load(name); found {
		tenant := existing.(*TenantLimiter)
		tenant.Update(limit, share)
		return tenant
	}
	limiter, _ := l.byTenant.LoadOrStore(name, NewTenantLimiter(limit, share))
	return limiter.(*TenantLimiter)
}
