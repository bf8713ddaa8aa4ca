package allotment

import "time"

// HolderID identifies one process of a node that holds shares. A lower incarnation is taken
// to be an earlier process of the node.
type HolderID struct {
	Node        string
	Incarnation uint64
}

// Claim is a holder's renewal request for one tenant.
type Claim struct {
	Tenant string
	// Held is the share that the holder uses now, Wanted the share that it needs for its
	// traffic. Both are fractions of the whole limit, from 0 to 1.
	Held, Wanted float64
	// Spare reports that the holder has a spare request.
	Spare bool
}

// Grant is a lease that lasts for LeaseTTL from when the claim was sent. Share is a fraction
// of the whole limit; Spare reports that the holder has a spare request.
type Grant struct {
	Share float64
	Spare bool
}

// Keeper leases shares of tenants' limits and grants credits from the remaining pool. It is
// not safe for concurrent use.
type Keeper struct {
	started         time.Time
	tolerance       Tolerance
	tenants         map[string]*tenantAllocation
	lastExpiryCheck time.Time
}

// tenantAllocation is a keeper's state for one tenant.
type tenantAllocation struct {
	holders map[string]*holderLease
	// limit is the limit as of the last refill, and poolPart the fraction of it that belongs
	// to the pool since then.
	limit    RateLimit
	poolPart float64
	pool     bucket
	// retries schedules the retries of refused callers.
	retries retryQueue
	// granted and refused count the credits of the pool that were requested since the state
	// of the tenant was created.
	granted, refused uint64
}

// holderLease is the lease of one node on a part of a tenant's limit.
type holderLease struct {
	// incarnation and number are taken from the holder's last message.
	incarnation uint64
	number      uint64
	// inUse is the largest share that the holder may be using, wanted the share that it last
	// claimed.
	inUse, wanted float64
	// spare reports that the holder may have a spare request. After the holder has returned
	// it, the spare request still counts until spareEnds.
	spare     bool
	spareEnds time.Time
	// expires is when the lease ends at the keeper.
	expires time.Time
}

// NewKeeper returns a keeper that knows no leases of earlier keepers.
func NewKeeper(now time.Time, tolerance Tolerance) *Keeper {
	return &Keeper{started: now, tolerance: tolerance, tenants: map[string]*tenantAllocation{}, lastExpiryCheck: now}
}

// Started returns when the keeper started.
func (k *Keeper) Started() time.Time { return k.started }

// settled reports whether all leases of earlier keepers have expired.
func (k *Keeper) settled(now time.Time) bool { return now.Sub(k.started) > LeaseTTL+leaseSlack }

// tenant returns the state of a tenant, and creates it if missing.
func (k *Keeper) tenant(name string, limit RateLimit) *tenantAllocation {
	state := k.tenants[name]
	if state == nil {
		state = &tenantAllocation{holders: map[string]*holderLease{}, limit: limit, poolPart: initialPoolPart(limit), pool: bucket{updated: k.started}}
		k.tenants[name] = state
	}
	return state
}

// refill adds the credit that the pool has accrued until now, then recomputes the pool's
// part of the limit, and lowers the pool's level to its new maximum. The pool's part is
// everything that is not leased, or 1 - maxSharedPart while the keeper may not know all
// leases.
func (k *Keeper) refill(t *tenantAllocation, now time.Time, limit RateLimit) {
	t.pool.fill(now, t.poolPart*t.limit.Rate, k.maxPool(t.poolPart, t.limit))
	t.limit, t.poolPart = limit, 1-maxSharedPart
	if allLeasesKnown(limit, k.settled(now)) {
		t.poolPart = 1
		for _, h := range t.holders {
			t.poolPart -= h.inUse
		}
	}
	t.pool.level = min(t.pool.level, k.maxPool(t.poolPart, limit))
}

// maxPool returns the maximum level of the pool, in requests; at least 1.
func (k *Keeper) maxPool(part float64, limit RateLimit) float64 {
	return max(1, part*limit.Burst+k.tolerance.poolSlack())
}

// Renew processes a claim and returns the grant. number increases with each message of a
// holder. Renew returns false for a message that arrived twice, out of order, or from an
// earlier process of the node; the caller must not reply with the grant.
func (k *Keeper) Renew(now time.Time, holder HolderID, number uint64, limit RateLimit, claim Claim) (Grant, bool) {
	k.removeExpired(now)
	t := k.tenant(claim.Tenant, limit)
	k.refill(t, now, limit)
	defer func() { k.refill(t, now, limit) }()
	h := t.holders[holder.Node]
	if h != nil && (holder.Incarnation < h.incarnation || holder.Incarnation == h.incarnation && number <= h.number) {
		return Grant{}, false
	}
	if h == nil {
		h = &holderLease{}
		t.holders[holder.Node] = h
	}
	h.incarnation, h.number, h.wanted = holder.Incarnation, number, claim.Wanted
	// The claim replaces the recorded state even if that is larger: the holder has confirmed
	// a smaller share, or a new process of the node has started without a share.
	h.recordSpare(claim.Spare, now, k.tolerance)
	h.inUse, h.expires = claim.Held, now.Add(LeaseTTL+leaseSlack)
	grant := Grant{Share: k.shareFor(t, h, now), Spare: grantsSpare(claim, k.settled(now), t.spareCount(now), k.tolerance.maxSpares())}
	h.inUse = max(claim.Held, grant.Share)
	h.recordSpare(claim.Spare || grant.Spare, now, k.tolerance)
	if h.inUse == 0 && h.wanted == 0 && !h.hasSpare(now) {
		delete(t.holders, holder.Node)
	}
	return grant, true
}

// recordSpare records whether the holder may have a spare request. A returned spare request
// counts for another window plus the lifetime of a credit, since the holder may just have
// sent it.
func (h *holderLease) recordSpare(spare bool, now time.Time, tolerance Tolerance) {
	if h.spare && !spare {
		h.spareEnds = now.Add(tolerance.Window + tolerance.CreditLife())
	}
	h.spare = spare
}

func (h *holderLease) hasSpare(now time.Time) bool { return h.spare || now.Before(h.spareEnds) }

// shareFor returns the share to grant to a holder.
func (k *Keeper) shareFor(t *tenantAllocation, h *holderLease, now time.Time) float64 {
	request := shareRequest{wanted: h.wanted, inUse: h.inUse, settled: k.settled(now)}
	for _, other := range t.holders {
		request.wantedByAll += other.wanted
		if other != h {
			request.inUseByOthers += other.inUse
		}
	}
	return grantableShare(t.limit, request)
}

// spareCount returns the number of holders that may have a spare request.
func (t *tenantAllocation) spareCount(now time.Time) int {
	count := 0
	for _, h := range t.holders {
		if h.hasSpare(now) {
			count++
		}
	}
	return count
}

// Credits grants up to wanted credits from the pool. wait is the retry delay for the first
// caller that gets none; it is 0 if all credits are granted or the pool is not refilled.
func (k *Keeper) Credits(now time.Time, tenant string, limit RateLimit, wanted int) (granted int, wait time.Duration) {
	k.removeExpired(now)
	t := k.tenant(tenant, limit)
	k.refill(t, now, limit)
	rate := t.poolPart * limit.Rate
	for granted < wanted && t.pool.take() {
		granted++
	}
	t.granted += uint64(granted)
	if granted == wanted || rate <= 0 {
		return granted, 0
	}
	t.refused += uint64(wanted - granted)
	return granted, t.retries.next(now, t.pool.level, rate, wanted-granted)
}

// expiryCheckInterval is the minimum time between two checks for expired leases.
const expiryCheckInterval = 250 * time.Millisecond

// removeExpired removes expired leases, and the state of tenants that have no holders and a
// full pool. It does nothing if the last check is less than expiryCheckInterval ago.
func (k *Keeper) removeExpired(now time.Time) {
	if now.Sub(k.lastExpiryCheck) < expiryCheckInterval {
		return
	}
	k.lastExpiryCheck = now
	for name, t := range k.tenants {
		k.refill(t, now, t.limit)
		if len(t.holders) == 0 && t.pool.level >= k.maxPool(t.poolPart, t.limit) {
			delete(k.tenants, name) // a new pool would have refilled to the same level
			continue
		}
		for node, h := range t.holders {
			if now.After(h.expires) {
				h.inUse, h.wanted = 0, 0
				h.recordSpare(false, now, k.tolerance)
				if !h.hasSpare(now) {
					delete(t.holders, node)
				}
			}
		}
	}
}

// TenantState is a summary of a keeper's state for one tenant.
type TenantState struct {
	Holders int
	// InUse is the sum of the shares that may be in use, as a fraction of the limit.
	InUse float64
	// Granted and Refused count the credits of the pool that were requested since the state
	// of the tenant was created.
	Granted, Refused uint64
}

// State returns the state of a tenant, or the zero value if the keeper has none for it.
func (k *Keeper) State(tenant string) TenantState {
	t := k.tenants[tenant]
	if t == nil {
		return TenantState{}
	}
	state := TenantState{Holders: len(t.holders), Granted: t.granted, Refused: t.refused}
	for _, h := range t.holders {
		state.InUse += h.inUse
	}
	return state
}
