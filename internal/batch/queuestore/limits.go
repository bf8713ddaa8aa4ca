package queuestore

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Limits of waiting tokens apply to the sum over all shards. The leader of ledgerShard keeps
// a ledger of the tokens that wait in each shard, and the other leaders ask it before they
// accept a job of a limited route. The ledger is soft state: a new one grants nothing until
// the leader of every shard has reported.

// ledgerShard is the shard whose leader keeps the ledger.
const ledgerShard = 0

const (
	// reportCheckInterval is the time between checks for changed totals, and
	// maxReportInterval the maximum time between two reports.
	reportCheckInterval = 200 * time.Millisecond
	maxReportInterval   = time.Second
	// ledgerCallTimeout bounds one call to a node that may keep the ledger.
	ledgerCallTimeout = 300 * time.Millisecond
	// ledgerRetryTimeout is how long a submission retries its request to the ledger, and
	// ledgerRetryInterval the time between two tries.
	ledgerRetryTimeout  = 700 * time.Millisecond
	ledgerRetryInterval = 40 * time.Millisecond
)

// reportLoop periodically reports the waiting tokens of the shards led here.
func (n *StorageNode) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if n.shardCount() < 2 {
			continue
		}
		for _, s := range n.allShards() {
			s.reportWaiting(ctx)
		}
	}
}

// reportWaiting reports the waiting tokens of a shard that is led here if their total has
// changed or maxReportInterval has passed.
func (s *shard) reportWaiting(ctx context.Context) {
	var request *wirev1.QueueReserveRequest
	err := s.RunInLoop(ctx, func() {
		l := s.leader
		if l == nil || !l.suspendedAt.IsZero() || !s.Replica.Serving() {
			return
		}
		now := time.Now()
		if totalWaiting := l.totalWaiting(); totalWaiting != l.reportedTotal || now.Sub(l.reportedAt) >= maxReportInterval {
			l.reportedTotal, l.reportedAt = totalWaiting, now
			request = s.nextReport()
		}
	})
	if err != nil || request == nil {
		return
	}
	reply, err := s.node.callLedger(ctx, request)
	if err != nil || reply.Incomplete {
		s.runIfRunning(s.scheduleReport)
	}
}

// scheduleReport makes the next check report unconditionally, because the ledger may be new.
func (s *shard) scheduleReport() {
	if s.leader != nil {
		s.leader.reportedAt = time.Time{}
	}
}

// totalWaiting returns the number of tokens that wait on all routes.
func (l *leadership) totalWaiting() uint64 {
	totalWaiting := uint64(0)
	for _, tokens := range l.waiting() {
		totalWaiting += tokens
	}
	return totalWaiting
}

// waiting returns the waiting tokens by account, including pending submissions.
func (l *leadership) waiting() map[queue.TokenAccount]uint64 {
	waiting := l.table.WaitingByAccount()
	for account, tokens := range l.pendingTokens {
		waiting[account] += tokens
	}
	return waiting
}

// nextReport returns a new report of the waiting tokens. The shard must be led here.
func (s *shard) nextReport() *wirev1.QueueReserveRequest {
	l := s.leader
	l.reportNumber++
	request := &wirev1.QueueReserveRequest{Shard: s.ID, Epoch: l.epoch, Number: l.reportNumber}
	for account, tokens := range l.waiting() {
		request.Waiting = append(request.Waiting, &wirev1.RouteTokens{Tenant: account.Tenant, Route: account.Route, Tokens: tokens})
	}
	return request
}

// callLedger sends a report or a request for tokens to the node that keeps the ledger.
func (n *StorageNode) callLedger(ctx context.Context, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
	var last error = result.New(result.NotReady, "no ledger of waiting tokens is known")
	for _, member := range n.ledgerCandidates() {
		reply, err := n.callLedgerAt(ctx, member, request)
		if err == nil {
			n.recordLedgerDisk(member)
			return reply, nil
		}
		last = err
		if result.Is(err, result.NotReady) {
			n.recordLedgerDisk(member)
			break // this node keeps the ledger, but the ledger is incomplete
		}
	}
	return nil, last
}

func (n *StorageNode) callLedgerAt(ctx context.Context, member string, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerCallTimeout)
	defer cancel()
	if member == n.DB.DiskID() {
		return n.reserveLocally(ctx, request)
	}
	record, known := n.Directory.Disk(member)
	if !known {
		return nil, result.New(result.PeerUnreachable, "disk %s is not known", member)
	}
	reply := &wirev1.QueueReserveReply{}
	return reply, n.Pool.Call(ctx, record.Address, rpc.ClassControl, wirev1.Method_METHOD_QUEUE_RESERVE, request, reply)
}

// ledgerCandidates returns the members of ledgerShard, beginning with the last known
// keeper of the ledger.
func (n *StorageNode) ledgerCandidates() []string {
	layout := n.Layouts.Current()
	if layout == nil {
		return nil
	}
	members := layout.Shards[ledgerShard].Members
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !slices.Contains(members, n.ledgerDisk) {
		return members
	}
	list := []string{n.ledgerDisk}
	for _, member := range members {
		if member != n.ledgerDisk {
			list = append(list, member)
		}
	}
	return list
}

func (n *StorageNode) recordLedgerDisk(member string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ledgerDisk != member {
		klog.InfoS("disk of the ledger of waiting tokens changed", "disk", member, "before", n.ledgerDisk)
		n.ledgerDisk = member
	}
}

// serveReserve serves reports and requests for tokens from the leaders of other shards.
func (n *StorageNode) serveReserve(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueReserveRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	reply, err := n.reserveLocally(ctx, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

// reserveLocally processes a report, and decides on the submission in it if there is one.
// It fails unless this node keeps the ledger.
func (n *StorageNode) reserveLocally(ctx context.Context, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
	s := n.shard(ledgerShard)
	if s == nil {
		return nil, result.New(result.NotLeader, "shard %d is not here", ledgerShard)
	}
	reply := &wirev1.QueueReserveReply{}
	var refused error
	if err := s.RunInLoop(ctx, func() { refused = s.reserveInLedger(request, reply) }); err != nil {
		return nil, err
	}
	if refused != nil || !reply.Granted {
		return reply, refused
	}
	// Another node may keep the ledger by now; only the current keeper may grant.
	return reply, s.Confirm(ctx)
}

func (s *shard) reserveInLedger(request *wirev1.QueueReserveRequest, reply *wirev1.QueueReserveReply) error {
	l := s.leader
	if l == nil || !l.suspendedAt.IsZero() || !s.Replica.Serving() {
		return result.New(result.NotLeader, "shard %d is not led here", s.ID)
	}
	shards := s.node.shardCount()
	if shards == 0 {
		return result.New(result.NotReady, "no queue layout is known yet")
	}
	if l.ledger == nil {
		l.ledger = queue.NewLedger(shards)
	}
	waiting := map[queue.TokenAccount]uint64{}
	for _, reported := range request.Waiting {
		waiting[queue.TokenAccount{Tenant: reported.Tenant, Route: reported.Route}] = reported.Tokens
	}
	if !l.ledger.Report(request.Shard, request.Epoch, request.Number, waiting) {
		return result.New(result.NotLeader, "shard %d has a newer leader", request.Shard)
	}
	reply.Incomplete = !l.ledger.AllReported()
	if request.Route == "" {
		return nil
	}
	account := queue.TokenAccount{Tenant: request.Tenant, Route: request.Route}
	if reply.Incomplete {
		l.ledger.Release(request.Shard, request.Epoch, request.Number, account, request.Tokens)
		return result.New(result.NotReady, "not every shard has reported what waits there")
	}
	sum := l.ledger.Waiting(account)
	reply.Granted = sum <= request.Limit
	reply.Waiting = sum - min(sum, request.Tokens)
	if !reply.Granted {
		l.ledger.Release(request.Shard, request.Epoch, request.Number, account, request.Tokens)
	}
	return nil
}
