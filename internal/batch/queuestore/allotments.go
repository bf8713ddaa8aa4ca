package queuestore

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// The leader of a shard grants allotments, which are shares of a tenant's request rate
// limit, for all tenants whose names ShardOf maps to the shard. The leader's
// allotment.Keeper tracks the granted allotments in memory only: a leadership that starts
// or resumes has an empty keeper.

func (n *StorageNode) newAllotmentKeeper() *allotment.Keeper {
	return allotment.NewKeeper(time.Now(), n.Tolerance)
}

// serveAllotment handles the claims and credit requests of nodes that admit tenants'
// requests. All tenants of a message must map to the same shard.
func (n *StorageNode) serveAllotment(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.AllotmentRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	tenant := request.Tenant
	if tenant == "" && len(request.Claims) > 0 {
		tenant = request.Claims[0].Tenant
	}
	s, err := n.localShardOf(tenant)
	if err != nil {
		return err
	}
	reply := &wirev1.AllotmentReply{}
	var refused error
	if err := s.RunInLoop(ctx, func() { refused = s.grantAllotments(&request, reply) }); err != nil {
		return err
	}
	if refused != nil {
		return refused
	}
	// Another node may lead the shard by now; only the current leader may grant.
	if err := s.confirmBatched(ctx); err != nil {
		return err
	}
	return stream.Send(reply)
}

// grantAllotments adds the grants for all claims and credits of a request to the reply. It
// returns an error if this replica is not the serving leader, if a claim is stale, or if
// credits are requested for an unknown tenant.
func (s *shard) grantAllotments(request *wirev1.AllotmentRequest, reply *wirev1.AllotmentReply) error {
	l := s.leader
	if l == nil || !l.suspendedAt.IsZero() || !s.Replica.Serving() {
		return s.notLed()
	}
	now := time.Now()
	holder := allotment.HolderID{Node: request.Node, Incarnation: request.Incarnation}
	for _, requested := range request.Claims {
		claim := allotment.Claim{Tenant: requested.Tenant, Held: requested.Held, Wanted: requested.Wanted, Spare: requested.Spare}
		grant, err := s.renewShare(now, holder, request.Number, claim)
		if err != nil {
			return err
		}
		reply.Grants = append(reply.Grants, &wirev1.AllotmentGrant{Tenant: claim.Tenant, Share: grant.Share, Spare: grant.Spare})
	}
	if request.Credits == 0 {
		return nil
	}
	limit, known := s.node.TenantLimit(request.Tenant)
	if !known {
		return result.New(result.NotReady, "tenant %q is not known here yet", request.Tenant)
	}
	granted, wait := l.allotments.Credits(now, request.Tenant, limit, int(request.Credits))
	reply.Credits, reply.WaitMs = uint32(granted), uint32(wait.Milliseconds())
	if granted < int(request.Credits) {
		state := l.allotments.State(request.Tenant)
		klog.InfoS("credit request of a tenant not fully granted", "tenant", request.Tenant, "shard", s.ID, "node", request.Node, "wanted", request.Credits, "given", granted,
			"rate", limit.Rate, "burst", limit.Burst, "lent", state.InUse, "holders", state.Holders, "retryAfterMs", reply.WaitMs, "keeperMs", now.Sub(l.allotments.Started()).Milliseconds())
	}
	return nil
}

// renewShare processes one claim. The claim of an unknown tenant releases the allotment.
func (s *shard) renewShare(now time.Time, holder allotment.HolderID, number uint64, claim allotment.Claim) (allotment.Grant, error) {
	limit, known := s.node.TenantLimit(claim.Tenant)
	if !known {
		claim.Wanted = 0 // the tenant has been removed
	}
	grant, valid := s.leader.allotments.Renew(now, holder, number, limit, claim)
	if !valid {
		return grant, result.New(result.StaleEpoch, "a later message of node %s came before", holder.Node)
	}
	return grant, nil
}
