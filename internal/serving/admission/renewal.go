package admission

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

// renewTimeout limits a call that renews shares; it is shorter than the renewal interval.
const renewTimeout = 800 * time.Millisecond

// Run renews shares until the context ends. It then cancels the calls to keepers, waits until
// they have ended, and returns. A random delay at the start spreads the renewals of nodes that
// started together.
func (c *Controller) Run(ctx context.Context) {
	var renewals tasks.Group
	defer renewals.Wait()
	defer c.keeperRequests.Wait()
	defer c.cancelRequests()
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(allotment.RenewInterval)):
	}
	ticker := time.NewTicker(allotment.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.renewAll(ctx, &renewals)
		}
	}
}

// renewAll starts to renew all shares, with one message for each shard, and does not wait for
// the replies.
func (c *Controller) renewAll(ctx context.Context, renewals *tasks.Group) {
	for _, tenants := range c.tenantsByShard() {
		renewals.Go(func() { c.renewShares(ctx, tenants) })
	}
}

// tenantsByShard groups the tenants that have an allowance by their keepers' shards. It drops
// idle allowances, and leaves out tenants whose shard is unknown.
func (c *Controller) tenantsByShard() map[uint32][]string {
	now := c.now()
	groups := map[uint32][]string{}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, a := range c.allowances {
		a.mutex.Lock()
		idle := a.Idle(now) && !a.requesting
		a.mutex.Unlock()
		if idle {
			delete(c.allowances, name)
			continue
		}
		if shard, found := c.keepers.ShardOf(name); found {
			groups[shard] = append(groups[shard], name)
		}
	}
	return groups
}

// renewShares renews the shares of tenants that have the same keeper. Tenants without a limit
// claim no share. A renewal times out before the next renewal for the same keeper starts.
func (c *Controller) renewShares(ctx context.Context, tenants []string) {
	sort.Strings(tenants)
	request := &wirev1.AllotmentRequest{Node: c.holderID.Node, Incarnation: c.holderID.Incarnation, Number: c.requestNumber.Add(1)}
	sent := c.now()
	for _, name := range tenants {
		limit, found := c.limit(name)
		a := c.allowance(name)
		a.mutex.Lock()
		claim := a.Claim(sent, name, limit)
		a.mutex.Unlock()
		if !found || limit.Rate <= 0 {
			claim.Wanted = 0
		}
		request.Claims = append(request.Claims, &wirev1.AllotmentClaim{
			Tenant: name, Held: claim.Held, Wanted: claim.Wanted, Spare: claim.Spare,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := c.keepers.Allot(ctx, tenants[0], request)
	if err != nil {
		klog.InfoS("failed to renew shares of rate limits", "tenants", len(tenants), "first", tenants[0],
			"ms", c.now().Sub(sent).Milliseconds(), "err", err)
		return
	}
	for _, grant := range reply.Grants {
		c.applyGrant(grant, sent)
	}
}

// applyGrant applies the grant for a claim that was sent at the given time.
func (c *Controller) applyGrant(grant *wirev1.AllotmentGrant, sent time.Time) {
	limit, found := c.limit(grant.Tenant)
	if !found {
		limit = allotment.RateLimit{}
	}
	a := c.allowance(grant.Tenant)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ApplyGrant(c.now(), sent, limit, allotment.Grant{Share: grant.Share, Spare: grant.Spare})
}
