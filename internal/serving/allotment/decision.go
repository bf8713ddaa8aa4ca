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
	// minRequestsPerShare is the smallest burst, in requests, of a share that is granted.
	minRequestsPerShare = 2
	// demandHeadroom is the factor by which the claimed share exceeds the demand.
	// demandMargin is added to that, in requests per second, since low rates vary more.
	demandHeadroom = 1.25
	demandMargin   = 0.2
	// maxRetryAfter limits the retry delay that a keeper returns, since later load cannot be
	// predicted.
	maxRetryAfter = 3 * time.Second
	// maxPoolPause limits how long a node regards the pool as empty.
	maxPoolPause = 100 * time.Millisecond
)

// usesShares reports whether shares of the limit are leased, which requires a burst of at
// least minBurstForShares. The requests of smaller tenants are spread too thinly over the
// nodes to use shares.
func (l RateLimit) usesShares() bool { return l.Burst >= minBurstForShares }

// allLeasesKnown reports whether a keeper knows every lease of a limit: either all leases of
// earlier keepers have expired (settled), or the limit has been too small for shares for at
// least LeaseTTL.
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
	// wanted is the share that the holder claims, inUse the share that it reports to use.
	wanted, inUse float64
	// wantedByAll is the sum of the claims of all holders, inUseByOthers the sum of the
	// shares that the others may be using.
	wantedByAll, inUseByOthers float64
	// settled reports that all leases of earlier keepers have expired.
	settled bool
}

// grantableShare returns the share that a holder gets with its next lease. A holder gets the
// share that it claims if all claims fit into maxSharedPart, else a proportional part; never
// more than the other holders leave free. A keeper that is not settled does not know all
// leases, and grants at most the share that the holder reports to use. The result is 0 if the
// limit is not leased as shares, or if the burst of the share would be below
// minRequestsPerShare.
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

// wantedShare returns the share, as a fraction of the limit, that a node claims for a demand
// in requests per second. The share exceeds the demand to absorb variations, but is at most
// the whole limit. It is 0 without demand or without a limit.
func wantedShare(demand float64, limit RateLimit) float64 {
	if demand <= 0 || limit.Rate <= 0 {
		return 0
	}
	return min(1, (demandHeadroom*demand+demandMargin)/limit.Rate)
}

// grantsSpare reports whether a holder gets a spare request with its next lease. A holder
// that claims no share gets none. Otherwise, a holder keeps the spare request that it has; a
// holder without a spare request gets one if the keeper is settled and fewer than maxSpares
// holders may have one.
func grantsSpare(claim Claim, settled bool, spares, maxSpares int) bool {
	if claim.Wanted <= 0 {
		return false
	}
	return claim.Spare || settled && spares < maxSpares
}

// retryQueue is a virtual queue of refused callers. until is when the last of them is
// expected back.
type retryQueue struct{ until time.Time }

// next returns the retry delay for the first of several callers that are refused together:
// the time until credit has accrued for all earlier refused callers and for one more request,
// but at most maxRetryAfter. It adds the callers to the queue; a queue that becomes longer
// than maxRetryAfter starts again empty. level is the pool's credit in requests, rate its
// refill rate in requests per second, above 0.
func (q *retryQueue) next(now time.Time, level, rate float64, callers int) time.Duration {
	if q.until.Before(now) {
		q.until = now
	}
	wait := q.until.Sub(now) + time.Duration((1-level)/rate*float64(time.Second))
	q.until = q.until.Add(time.Duration(float64(callers) / rate * float64(time.Second)))
	if q.until.Sub(now) > maxRetryAfter {
		q.until = now
	}
	return min(wait, maxRetryAfter)
}

// poolPause returns how long a node sends no requests to an empty pool, given the delay that
// the keeper returned.
func poolPause(wait time.Duration) time.Duration { return min(wait, maxPoolPause) }
