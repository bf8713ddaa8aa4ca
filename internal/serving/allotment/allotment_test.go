package allotment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// No window exceeds the limit and its tolerance, despite lost and late messages, partitions,
// stalls, restarts and changes of the keeper.
func TestNoWindowExceedsLimitAndTolerance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := RateLimit{Rate: rapid.SampledFrom([]float64{3, 40, 400}).Draw(rt, "rate")}
		limit.Steady = rapid.Bool().Draw(rt, "steady")
		limit.Burst = limit.Rate * rapid.SampledFrom([]float64{0, 1, 3}).Draw(rt, "burst")
		f := newFleet(rapid.IntRange(1, 25).Draw(rt, "nodes"), limit)
		for range 25 { // seconds, with one event in each
			f.step(rt)
			load := rapid.SampledFrom([]float64{0.2, 0.8, 2, 4}).Draw(rt, "load")
			activeNodes := rapid.IntRange(1, len(f.nodes)).Draw(rt, "few")
			f.runSecond(load, activeNodes)
			if problem := f.checkLeases(); problem != "" {
				rt.Fatal(problem)
			}
		}
		if float64(f.maxInWindow()) > f.allowedInWindow(limit) {
			rt.Fatalf("%d requests in a window, allowed are %.1f", f.maxInWindow(), f.allowedInWindow(limit))
		}
	})
}

// A tenant below its limit is not refused, on one node or on many.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	for _, nodes := range []int{1, 3, 25} {
		is := is.New(t)
		f := settledFleet(nodes, RateLimit{Rate: 40, Burst: 40})
		f.run(3, 0.3, nodes)
		is.Equal(f.run(20, 0.8, nodes), 0.0)
	}
}

// A tenant that sends twice its limit gets nearly the whole limit, but no more.
func TestTenantAboveLimitGetsItsLimit(t *testing.T) {
	is := is.New(t)
	f := settledFleet(5, RateLimit{Rate: 40, Burst: 40})
	f.run(5, 2, 5)
	refused := f.run(20, 2, 5)
	is.True(refused > 0.4)
	is.True(refused < 0.55)
}

// Traffic that moves to other nodes is admitted there within a second.
func TestTrafficMovesToOtherNodes(t *testing.T) {
	is := is.New(t)
	f := settledFleet(6, RateLimit{Rate: 40, Burst: 40})
	f.run(10, 0.6, 3)
	f.nodes[0], f.nodes[1], f.nodes[2], f.nodes[3], f.nodes[4], f.nodes[5] = f.nodes[3], f.nodes[4], f.nodes[5], f.nodes[0], f.nodes[1], f.nodes[2]
	f.run(1, 0.6, 3)
	is.Equal(f.run(10, 0.6, 3), 0.0)
}

// Nodes continue with their shares until the leases expire if the keeper does not respond.
func TestSharesOutlastUnresponsiveKeeper(t *testing.T) {
	is := is.New(t)
	f := settledFleet(3, RateLimit{Rate: 40, Burst: 40})
	f.run(10, 0.4, 3)
	for _, n := range f.nodes {
		n.partitioned = true
	}
	is.Equal(f.run(6, 0.4, 3), 0.0)
	f.run(2, 0.4, 3)
	is.Equal(f.run(3, 0.4, 3), 1.0) // a partitioned node has only its share
}

// Nodes hold no shares of a small limit; each has a spare request while the keeper is
// unavailable.
func TestSmallTenantHasNoShares(t *testing.T) {
	is := is.New(t)
	f := settledFleet(8, RateLimit{Rate: 5, Burst: 5})
	is.Equal(f.run(20, 0.8, 8), 0.0)
	is.Equal(f.keeper.State(testTenant).InUse, 0.0)
	for _, n := range f.nodes {
		n.partitioned = true
	}
	f.run(5, 0.8, 8)
	is.Equal(f.requests-f.refused, 8)
}

// A new keeper grants credits from its pool at once and extends existing shares.
func TestNewKeeperGrantsAtOnce(t *testing.T) {
	is := is.New(t)
	f := settledFleet(3, RateLimit{Rate: 40, Burst: 40})
	f.run(10, 0.6, 3)
	f.keeper = NewKeeper(f.now, tolerance)
	is.Equal(f.run(10, 0.6, 3), 0.0)
}

// A lowered limit applies at once, whichever nodes hold shares.
func TestLoweredLimitAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	f := settledFleet(8, RateLimit{Rate: 80, Burst: 80})
	f.run(10, 1, 8)
	f.limit = RateLimit{Rate: 5, Burst: 5}
	f.sent = nil
	f.run(15, 16, 8)
	is.True(float64(f.maxInWindow()) <= f.allowedInWindow(f.limit))
}

// The keeper rejects claims that arrive out of order or from an earlier process of a node.
func TestLateAndOldClaimsAreRejected(t *testing.T) {
	is := is.New(t)
	k := NewKeeper(time.Unix(0, 0), tolerance)
	now := time.Unix(100, 0)
	_, valid := k.Renew(now, HolderID{"n", 2}, 5, RateLimit{Rate: 40, Burst: 40}, Claim{Tenant: testTenant, Wanted: 0.3})
	is.True(valid)
	for _, late := range []struct {
		incarnation, number uint64
	}{{2, 5}, {2, 4}, {1, 9}} {
		_, valid = k.Renew(now, HolderID{"n", late.incarnation}, late.number, RateLimit{Rate: 40, Burst: 40}, Claim{Tenant: testTenant})
		is.True(!valid)
	}
	is.Equal(k.State(testTenant).InUse, 0.3)
	_, valid = k.Renew(now, HolderID{"n", 3}, 1, RateLimit{Rate: 40, Burst: 40}, Claim{Tenant: testTenant})
	is.True(valid)
	is.Equal(k.State(testTenant).InUse, 0.0)
}

// Refused callers get different retry delays.
func TestRetryDelaysDiffer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	k := NewKeeper(now, tolerance)
	seen := map[time.Duration]bool{}
	for range 10 {
		given, wait := k.Credits(now, testTenant, RateLimit{Rate: 20, Burst: 20}, 1)
		is.Equal(given, 0)
		is.True(wait > 0 && wait <= maxRetryAfter)
		seen[wait] = true
	}
	is.Equal(len(seen), 10)
}

// An idle tenant's allowance and the keeper's state for it are dropped.
func TestIdleAllowanceIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, RateLimit{Rate: 40, Burst: 40})
	f.run(5, 0.5, 1)
	is.True(!f.nodes[0].allowance.Idle(f.now))
	f.run(demandWindowSeconds+2, 0, 1)
	is.True(f.nodes[0].allowance.Idle(f.now))
	f.now = f.now.Add(2 * LeaseTTL) // its lease and its spare request have expired
	f.keeper.removeExpired(f.now)
	is.Equal(f.keeper.State(testTenant).Holders, 0)
	f.keeper.removeExpired(f.now.Add(2 * expiryCheckInterval))
	is.Equal(len(f.keeper.tenants), 0)
}

// The pool of a new keeper starts empty and has only the part that cannot be leased until
// earlier leases have expired.
func TestPoolOfANewKeeper(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{Rate: 100, Burst: 300}
	start := time.Unix(100, 0)
	k := NewKeeper(start, tolerance)
	given, _ := k.Credits(start, testTenant, limit, 1000)
	is.Equal(given, 0)
	total := 0
	for at := start; at.Sub(start) < LeaseTTL; at = at.Add(100 * time.Millisecond) {
		given, _ = k.Credits(at, testTenant, limit, 1000)
		total += given
	}
	is.True(float64(total) <= (1-maxSharedPart)*limit.Rate*LeaseTTL.Seconds())
	later := start.Add(2 * LeaseTTL)
	k.Credits(later, testTenant, limit, 1000)
	given, _ = k.Credits(later.Add(time.Second), testTenant, limit, 1000)
	is.True(given >= int(0.9*limit.Rate)) // then everything that is not leased
}

// An expired credit can neither be spent nor returned.
func TestCreditsExpire(t *testing.T) {
	is := is.New(t)
	f := settledFleet(1, RateLimit{Rate: 40, Burst: 40})
	f.run(12, 0.2, 1)
	allowance := f.nodes[0].allowance
	credit, ok := allowance.AcquireCredit(f.now, f.limit)
	is.True(ok)
	is.True(credit.Valid(f.now))
	is.True(!credit.Valid(f.now.Add(tolerance.CreditLife())))
	allowance.AddPoolCredits(f.now, 1)
	allowance.bucket.level = 0
	_, ok = allowance.AcquireCredit(f.now.Add(tolerance.CreditLife()), RateLimit{})
	is.True(!ok)
	allowance.Return(f.now.Add(tolerance.CreditLife()), RateLimit{}, credit)
	is.Equal(allowance.bucket.level, 0.0) // not returned either
}

// A spare request that a holder returns is not granted to another holder within the same
// window, since the first holder may just have sent it.
func TestReturnedSpareIsNotGrantedWithinWindow(t *testing.T) {
	is := is.New(t)
	limit := RateLimit{Rate: 5, Burst: 5}
	start := time.Unix(100, 0)
	k := NewKeeper(start, tolerance)
	now := start.Add(2 * LeaseTTL)
	claim := func(node string, spare bool, wanted float64) bool {
		grant, valid := k.Renew(now, HolderID{node, 1}, uint64(now.UnixNano()), limit, Claim{Tenant: testTenant, Wanted: wanted, Spare: spare})
		is.True(valid)
		return grant.Spare
	}
	for i := range tolerance.maxSpares() {
		is.True(claim(fmt.Sprint("n", i), false, 0.1))
	}
	now = now.Add(time.Second)
	is.True(!claim("n0", true, 0)) // idle: gives up its spare request
	is.True(!claim("other", false, 0.1))
	now = now.Add(time.Second)
	is.True(!claim("n0", false, 0))
	is.True(!claim("other", false, 0.1))
	now = now.Add(tolerance.Window + tolerance.CreditLife())
	for i := 1; i < tolerance.maxSpares(); i++ {
		is.True(claim(fmt.Sprint("n", i), true, 0.1))
	}
	is.True(claim("other", false, 0.1))
}

// A new keeper grants the whole limit of a small tenant at once, from an empty pool, but not
// if the limit has just become small.
func TestNewKeeperOfASmallTenant(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	for _, steady := range []bool{true, false} {
		k := NewKeeper(start, tolerance)
		limit := RateLimit{Rate: 20, Burst: 20, Steady: steady}
		given, _ := k.Credits(start, testTenant, limit, 100)
		is.Equal(given, 0)
		given, _ = k.Credits(start.Add(time.Second), testTenant, limit, 100)
		if steady {
			is.Equal(given, 20)
		} else {
			is.Equal(given, 10)
		}
	}
}

// A node drops its share when the tenant's limit becomes too small for shares.
func TestShareIsDroppedWhenLimitBecomesSmall(t *testing.T) {
	is := is.New(t)
	f := settledFleet(1, RateLimit{Rate: 80, Burst: 80})
	f.run(10, 0.5, 1)
	allowance := f.nodes[0].allowance
	is.True(allowance.share > 0)
	f.limit = RateLimit{Rate: 10, Burst: 10}
	is.Equal(allowance.Claim(f.now, testTenant, f.limit).Held, 0.0)
}
