package allotment

import "time"

const (
	// maxSharedPart is the part of a limit that may be leased as shares; the rest belongs to
	// the pool. While a new keeper waits for earlier leases to expire, a tenant has only the
	// pool's part and the shares that holders report. While no keeper is available, a tenant
	// has only its shares.
	maxSharedPart = 0.5
	// minBurstForShares is the smallest burst, in requests, of a limit that is leased as
	// shares.
	minBurstForShares = 40
	// minRequestsPerShare is the smallest burst, in requests, of a share.
	minRequestsPerShare = 2
	// demandHeadroom is the factor by which the claimed share exceeds the demand.
	// demandMargin is added to that, in requests per second, since low rates vary more.
	demandHeadroom = 1.25
	demandMargin   = 0.2
	// maxRetryAfter limits the retry delay, since later load cannot be predicted.
	maxRetryAfter = 3 * time.Second
	// maxPoolPause limits how long a node regards the pool as empty.
	maxPoolPause = 100 * time.Millisecond
)

// usesShares reports whether shares of the limit are leased at all. The requests of a
// smaller tenant are spread too thinly over the nodes to use shares. Without shares, a new
// keeper can grant the whole limit at once, since its predecessor cannot have leased any of
// it.
func (l RateLimit) usesShares() bool { return l.Burst >= minBurstForShares }

// allLeasesKnown reports whether a keeper knows every lease of a limit: either all leases of
// earlier keepers have expired (settled), or the limit has not been leased for at least
// LeaseTTL.
func allLeasesKnown(limit RateLimit, settled bool) bool {
	return settled || limit.Steady && !limit.usesShares()
}

// initialPoolPart returns the part of a limit that belongs to a new keeper's pool:
// everything that an earlier keeper cannot have leased.
func initialPoolPart(limit RateLimit) float64 {
	if allLeasesKnown(limit, false) {
		return 1
	}
	return 1 - maxSharedPart
}

// shareRequest is the input for computing a holder's share. All values are fractions of the
// whole limit.
type shareRequest struct {
	// wanted is the share that the holder claims, inUse the largest share that it may be
	// using.
	wanted, inUse float64
	// wantedByAll is the sum of the claims of all holders, inUseByOthers the sum of the
	// shares that the others may be using.
	wantedByAll, inUseByOthers float64
	// settled reports that all leases of earlier keepers have expired.
	settled bool
}

// grantableShare returns the share that a holder gets with its next lease. A holder gets the
// share that it claims if all claims fit into maxSharedPart, else a proportional part; never
// more than is certainly free. A keeper that is not settled does not know all leases and
// only extends the share that the holder has. A share below minRequestsPerShare is not
// granted, since its credit would mostly stay unused.
func grantableShare(limit RateLimit, request shareRequest) float64 {
	share := request.wanted
	if !limit.usesShares() {
		return 0
	}
	if request.wantedByAll > maxSharedPart {
		share *= maxSharedPart / request.wantedByAll
	}
	free := max(0, maxSharedPart-request.inUseByOthers)
	if !request.settled {
		free = request.inUse
	}
	share = min(share, free)
	if share*limit.Burst < minRequestsPerShare {
		return 0
	}
	return share
}

// wantedShare returns the share that a node claims for its demand, in requests per second.
// It exceeds the demand to absorb variations, and is 0 without demand.
func wantedShare(demand float64, limit RateLimit) float64 {
	if demand <= 0 || limit.Rate <= 0 {
		return 0
	}
	return min(1, (demandHeadroom*demand+demandMargin)/limit.Rate)
}

// grantsSpare reports whether a holder gets a spare request with its next lease. A holder
// with demand keeps the spare request that it has. Another one gets a spare request if fewer
// than maxSpares holders may have one and the keeper knows all of these (settled).
func grantsSpare(claim Claim, settled bool, spares, maxSpares int) bool {
	if claim.Wanted <= 0 {
		return false
	}
	return claim.Spare || settled && spares < maxSpares
}

// retryQueue is a virtual queue of refused callers. until is when the last of them is
// expected back.
type retryQueue struct{ until time.Time }

// next returns the retry delay for the first of several refused callers: the time until
// earlier refused callers are served and credit for one more request has accrued. level is
// the pool's credit in requests, rate its refill rate in requests per second, above 0.
// Separate delays keep callers from returning all at once and being refused again.
func (q *retryQueue) next(now time.Time, level, rate float64, refused int) time.Duration {
	if q.until.Before(now) {
		q.until = now
	}
	wait := q.until.Sub(now) + time.Duration((1-level)/rate*float64(time.Second))
	q.until = q.until.Add(time.Duration(float64(refused) / rate * float64(time.Second)))
	if q.until.Sub(now) > maxRetryAfter {
		q.until = now
	}
	return min(wait, maxRetryAfter)
}

// poolPause returns how long a node does not ask an empty pool again, given the delay that
// the keeper stated.
func poolPause(wait time.Duration) time.Duration { return min(wait, maxPoolPause) }
