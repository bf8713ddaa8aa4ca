// Package allotment enforces tenants' request rates across many nodes without a message for
// each request. A tenant never exceeds its limit by more than the configured tolerance, even
// if nodes are partitioned, suspended or restarted. The package is pure decision logic.
//
// Each tenant has one keeper, which owns the tenant's whole limit. The keeper leases shares
// of up to half of the limit to nodes, which are called holders. A node admits requests from
// its share without contacting the keeper, and may use the share until the lease expires,
// even while the keeper is unavailable. The rest of the limit is a pool from which the keeper
// grants single credits on request. A credit is the right to send one request, and has to be
// spent before it expires.
//
// The following invariants keep the requests in every sliding window within the limit and
// its tolerance:
//   - The shares that may be in use add up to at most maxSharedPart. The keeper counts
//     a share until its holder has confirmed a smaller one or the lease has expired at
//     the keeper, which is later than at the holder.
//   - A new keeper does not know which shares its predecessor leased. Until a full
//     lease has passed it grants no holder more than the share that the holder reports,
//     and its pool starts empty.
//   - An added share starts without credit. A holder whose share shrinks loses the credit
//     above the burst of the remaining share.
//   - An admitted request has to be sent before its credit expires, which is CreditLife
//     after the credit was acquired from a share or requested from the pool, or earlier.
//   - Spare requests, which nodes may send while the keeper is unavailable, count
//     against the tolerance. A holder sends at most one spare request in each window,
//     and the number of holders with a spare request is bounded.
//
// The rules for granting shares and for the retry delays of refused callers are in
// decision.go; Keeper and Allowance hold the state. A storage node that leads a shard runs
// the Keeper of the tenants whose names map to the shard (package queuestore). An edge runs
// an Allowance for each tenant (package admission). The plain node divides limits by packages
// limits and quota instead. See docs/design/tenant-quotas.md.
package allotment

import "time"

const (
	// LeaseTTL is how long a share may be used without a renewal. It outlasts a network
	// partition of a few seconds.
	LeaseTTL = 7 * time.Second
	// leaseSlack is the time by which a lease lasts longer at the keeper than at the holder.
	// It allows for clocks that run at different speeds.
	leaseSlack = 200 * time.Millisecond
	// RenewInterval is the time between two renewals by a holder.
	RenewInterval = time.Second
)

// RateLimit is the request rate limit of a tenant. A rate of 0 means unlimited.
type RateLimit struct {
	// Rate is in requests per second. Burst is the capacity of the token bucket, in
	// requests.
	Rate, Burst float64
	// Steady reports that the limit has not changed for at least LeaseTTL, as far as this
	// node knows. Only keepers use it.
	Steady bool
}

// Tolerance is the amount by which a limit may be exceeded in any window.
type Tolerance struct {
	Window time.Duration
	// Overrun is a fraction of the requests that the limit allows in a window, Slack a
	// number of requests. The tolerance is the sum of both.
	Overrun float64
	Slack   int
}

const (
	// creditLifeFraction is the fraction of the overrun that is reserved for the lifetime of
	// credits: a credit that is spent just before it expires counts in a later window.
	creditLifeFraction = 0.8
	// minCreditLife is the shortest lifetime of a credit. It leaves enough time to reach a
	// runner if little or no overrun is allowed.
	minCreditLife = 50 * time.Millisecond
	// spareSlackFraction is the part of the slack that is granted as spare requests, one for
	// each holder. poolSlackFraction is the part that the pool may contain above its burst,
	// since requests of small tenants arrive in clusters. The remainder covers requests that
	// are being sent when a machine is suspended.
	spareSlackFraction = 0.5
	poolSlackFraction  = 0.4
)

// CreditLife returns how long a credit is valid after it was requested from the pool or
// acquired from a share. A credit from a share, and a spare request, also expire with the
// lease.
func (t Tolerance) CreditLife() time.Duration {
	return max(minCreditLife, time.Duration(creditLifeFraction*t.Overrun*float64(t.Window)))
}

// maxSpares returns how many holders of a tenant may have a spare request.
func (t Tolerance) maxSpares() int { return int(spareSlackFraction * float64(t.Slack)) }

// poolSlack returns the credit, in requests, that the pool may contain above its burst.
func (t Tolerance) poolSlack() float64 { return poolSlackFraction * float64(t.Slack) }

// bucket is a token bucket for a part of a limit. Unlike in rate.Limiter, the capacity may be
// fractional. The zero value is empty and starts to fill with the first call of fill.
type bucket struct {
	level   float64
	updated time.Time
}

// fill adds the credit that has accrued since the last update, at a rate in requests per
// second, and limits the level to maxLevel.
func (b *bucket) fill(now time.Time, rate, maxLevel float64) {
	if passed := now.Sub(b.updated).Seconds(); passed > 0 && !b.updated.IsZero() {
		b.level += passed * rate
	}
	if b.updated.IsZero() || now.After(b.updated) {
		b.updated = now
	}
	b.level = min(b.level, maxLevel)
}

// take removes the credit for one request and returns true, or returns false if the bucket
// does not contain enough.
func (b *bucket) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
