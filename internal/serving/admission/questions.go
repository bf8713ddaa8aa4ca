package admission

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/forwardtrace"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

// creditRequestTimeout limits a call that requests credits from a keeper, including the search
// for a new leader. Requests that wait for the reply may time out sooner.
const creditRequestTimeout = 600 * time.Millisecond

// requestCredits requests credits from a tenant's keeper until no request is waiting. Each
// call covers all requests that are waiting when it starts. While calls to the keeper are
// paused, it refuses the waiting requests instead.
func (c *Controller) requestCredits(a *allowance, tenant string, limit allotment.RateLimit) {
	for {
		a.mutex.Lock()
		waiting := a.waiting
		a.waiting = nil
		if len(waiting) == 0 {
			a.requesting = false
			a.mutex.Unlock()
			return
		}
		a.mutex.Unlock()
		sent := c.now()
		if c.keeperPaused(tenant, sent) {
			refuseAll(waiting)
			continue
		}
		reply, forwardedBy, err := c.requestCreditsOnce(tenant, len(waiting))
		a.mutex.Lock()
		if err != nil {
			c.refuseAfterFailure(tenant, sent, waiting, err)
		} else {
			c.distribute(a, tenant, limit, sent, waiting, reply, forwardedBy)
		}
		a.mutex.Unlock()
	}
}

// requestCreditsOnce calls a keeper. It also returns the addresses of the forwarders through
// which the keeper was called.
func (c *Controller) requestCreditsOnce(tenant string, count int) (*wirev1.AllotmentReply, string, error) {
	ctx, cancel := context.WithTimeout(c.requestContext, creditRequestTimeout)
	defer cancel()
	ctx, forwarded := forwardtrace.With(ctx)
	reply, err := c.keepers.Allot(ctx, tenant, &wirev1.AllotmentRequest{
		Node: c.holderID.Node, Incarnation: c.holderID.Incarnation, Number: c.requestNumber.Add(1), Tenant: tenant, Credits: uint32(count),
	})
	return reply, forwarded.String(), err
}

// refuseAfterFailure refuses the waiting requests after a failed call to their keeper, and
// pauses calls to the keeper.
func (c *Controller) refuseAfterFailure(tenant string, sent time.Time, waiting []chan creditResult, err error) {
	now := c.now()
	pause := c.pauseKeeper(tenant, now)
	klog.InfoS("call to the keeper of a tenant's limit failed", "tenant", tenant, "waiting", len(waiting),
		"ms", now.Sub(sent).Milliseconds(), "pauseMs", pause.Milliseconds(), "err", err)
	refuseAll(waiting)
}

// distribute gives the credits of a reply, and credits that the share has accrued meanwhile,
// to the waiting requests in order of arrival. It refuses the remaining requests. The caller
// holds the allowance's mutex.
func (c *Controller) distribute(
	a *allowance, tenant string, limit allotment.RateLimit, sent time.Time, waiting []chan creditResult, reply *wirev1.AllotmentReply,
	forwardedBy string,
) {
	now := c.now()
	a.AddPoolCredits(sent, int(reply.Credits))
	wait := time.Duration(reply.WaitMs) * time.Millisecond
	if int(reply.Credits) < len(waiting) {
		a.RecordPoolEmpty(now, wait)
	}
	for _, results := range waiting {
		credit, ok := a.AcquireCredit(now, limit)
		if ok {
			results <- creditResult{credit: credit, forwardedBy: forwardedBy}
		} else {
			results <- creditResult{err: overLimit(tenant, limit, wait), forwardedBy: forwardedBy}
		}
	}
}

// refuseAll refuses requests whose keeper is unavailable.
func refuseAll(waiting []chan creditResult) {
	for _, results := range waiting {
		results <- creditResult{err: keeperUnavailable()}
	}
}

// pauseKeeper pauses credit requests to a tenant's keeper after a failed call and returns the
// length of the pause. If the keeper's shard is unknown, there is no pause to record.
func (c *Controller) pauseKeeper(tenant string, now time.Time) time.Duration {
	pause := keeperPause()
	if shard, found := c.keepers.ShardOf(tenant); found {
		c.pausedUntil.Store(shard, now.Add(pause))
	}
	return pause
}

// keeperPaused reports whether credit requests to a tenant's keeper are paused or the keeper's
// shard is unknown.
func (c *Controller) keeperPaused(tenant string, now time.Time) bool {
	shard, found := c.keepers.ShardOf(tenant)
	if !found {
		return true
	}
	until, paused := c.pausedUntil.Load(shard)
	return paused && now.Before(until.(time.Time))
}
