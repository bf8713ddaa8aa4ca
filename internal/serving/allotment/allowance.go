package allotment

import "time"

// Credit is the right to send one request of a tenant until the credit expires.
type Credit struct {
	// Pooled reports that the credit does not come from a share: it comes from the keeper's
	// pool or is a spare request.
	Pooled  bool
	expires time.Time
}

// Valid reports whether the request may still be sent.
func (c Credit) Valid(now time.Time) bool { return now.Before(c.expires) }

// Allowance is the part of one tenant's limit that one node holds. It is not safe for
// concurrent use.
type Allowance struct {
	// creditLife is how long a credit is valid; window is the window of the tolerance.
	creditLife time.Duration
	window     time.Duration
	// share is the leased part of the limit, valid until shareExpires.
	share        float64
	shareExpires time.Time
	bucket       bucket
	// spare reports that the node may send one request in each window in addition to its
	// share. lastSpare is when the node last acquired the credit for a spare request, or
	// when the allowance was created if it has not.
	spare     bool
	lastSpare time.Time
	// poolCredits are unused credits from the pool.
	poolCredits []Credit
	// requestCounts contains the number of requests in each of the last seconds, ending with
	// currentSecond, which is the number of whole seconds since start.
	requestCounts [demandWindowSeconds]float64
	currentSecond int64
	start         time.Time
	// poolEmptyUntil is the time until which the pool is regarded as empty.
	poolEmptyUntil time.Time
}

// demandWindowSeconds is the period over which demand is averaged, so that a share covers
// short peaks.
const demandWindowSeconds = 8

// NewAllowance returns the allowance of a node without a share.
func NewAllowance(now time.Time, tolerance Tolerance) *Allowance {
	return &Allowance{creditLife: tolerance.CreditLife(), window: tolerance.Window, start: now, lastSpare: now}
}

// RecordRequest counts an incoming request, whether or not it is admitted.
func (a *Allowance) RecordRequest(now time.Time) {
	a.advance(now)
	a.requestCounts[demandWindowSeconds-1]++
}

// advance shifts the request counts to the current second.
func (a *Allowance) advance(now time.Time) {
	currentSecond := int64(now.Sub(a.start) / time.Second)
	steps := min(currentSecond-a.currentSecond, demandWindowSeconds)
	for range steps {
		copy(a.requestCounts[:], a.requestCounts[1:])
		a.requestCounts[demandWindowSeconds-1] = 0
	}
	if steps > 0 {
		a.currentSecond = currentSecond
	}
}

// Demand returns the average request rate, per second, over the demand window.
func (a *Allowance) Demand(now time.Time) float64 {
	a.advance(now)
	sum := 0.0
	for _, count := range a.requestCounts {
		sum += count
	}
	return sum / demandWindowSeconds
}

// Idle reports whether the node has had no requests of the tenant within the demand window
// and has neither a share nor a spare request, so that the allowance may be dropped. It does
// not check whether the lease has expired; Claim drops an expired lease.
func (a *Allowance) Idle(now time.Time) bool {
	return a.Demand(now) == 0 && a.share == 0 && !a.spare
}

// Claim returns the claim that the node sends to the keeper. It first drops an expired lease.
func (a *Allowance) Claim(now time.Time, tenant string, limit RateLimit) Claim {
	a.fill(now, limit)
	return Claim{Tenant: tenant, Held: a.share, Spare: a.spare, Wanted: wantedShare(a.Demand(now), limit)}
}

// ApplyGrant applies the keeper's reply to a claim. The lease starts when the claim was sent.
func (a *Allowance) ApplyGrant(now, sent time.Time, limit RateLimit, grant Grant) {
	a.fill(now, limit)
	a.share, a.spare = grant.Share, grant.Spare
	a.shareExpires = sent.Add(LeaseTTL)
	a.fill(now, limit)
}

// expire drops the share and the spare request once the lease has expired.
func (a *Allowance) expire(now time.Time) {
	if (a.share > 0 || a.spare) && !now.Before(a.shareExpires) {
		a.share, a.spare, a.bucket = 0, false, bucket{}
	}
}

// fill drops an expired lease, and the share of a limit that is not leased as shares. It then
// adds the credit that the share has accrued.
func (a *Allowance) fill(now time.Time, limit RateLimit) {
	a.expire(now)
	if !limit.usesShares() {
		a.share, a.bucket = 0, bucket{}
	}
	a.bucket.fill(now, a.share*limit.Rate, a.share*limit.Burst)
}

// AcquireCredit returns a credit from the share or, if the share has none, an unused credit
// from the pool.
func (a *Allowance) AcquireCredit(now time.Time, limit RateLimit) (Credit, bool) {
	a.fill(now, limit)
	if a.bucket.take() {
		return Credit{expires: earlier(now.Add(a.creditLife), a.shareExpires)}, true
	}
	for len(a.poolCredits) > 0 {
		credit := a.poolCredits[len(a.poolCredits)-1]
		a.poolCredits = a.poolCredits[:len(a.poolCredits)-1]
		if credit.Valid(now) {
			return credit, true
		}
	}
	return Credit{}, false
}

// AcquireSpare returns a credit for the spare request; callers use it while the keeper is
// unavailable. It returns false if the node has no spare request, and for one window plus the
// lifetime of a credit after the previous spare request or the creation of the allowance.
func (a *Allowance) AcquireSpare(now time.Time) (Credit, bool) {
	a.expire(now)
	if !a.spare || now.Sub(a.lastSpare) < a.window+a.creditLife {
		return Credit{}, false
	}
	a.lastSpare = now
	return Credit{Pooled: true, expires: earlier(now.Add(a.creditLife), a.shareExpires)}, true
}

// AddPoolCredits adds credits from the pool that were requested at the given time.
func (a *Allowance) AddPoolCredits(requestedAt time.Time, count int) {
	for range count {
		a.poolCredits = append(a.poolCredits, Credit{Pooled: true, expires: requestedAt.Add(a.creditLife)})
	}
}

// Return puts back a credit whose request did not run on any runner. It drops an expired
// credit.
func (a *Allowance) Return(now time.Time, limit RateLimit, credit Credit) {
	if !credit.Valid(now) {
		return
	}
	if credit.Pooled {
		a.poolCredits = append(a.poolCredits, credit)
		return
	}
	a.fill(now, limit)
	a.bucket.level = min(a.bucket.level+1, a.share*limit.Burst)
}

// RecordPoolEmpty records that the pool was empty. The pool is regarded as empty for the time
// after which the keeper expects credit again, but at most for maxPoolPause.
func (a *Allowance) RecordPoolEmpty(now time.Time, wait time.Duration) {
	a.poolEmptyUntil = now.Add(poolPause(wait))
}

// PoolEmpty reports whether the pool is regarded as empty, and for how much longer.
func (a *Allowance) PoolEmpty(now time.Time) (time.Duration, bool) {
	return a.poolEmptyUntil.Sub(now), now.Before(a.poolEmptyUntil)
}

// GrantAge returns the time since the node requested its latest grant; 0 if it has received
// none.
func (a *Allowance) GrantAge(now time.Time) time.Duration {
	if a.shareExpires.IsZero() {
		return 0
	}
	return LeaseTTL - a.shareExpires.Sub(now)
}

// Share returns the share and the credit that it has accrued, as of the last call that
// updated them.
func (a *Allowance) Share() (share, level float64) { return a.share, a.bucket.level }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
