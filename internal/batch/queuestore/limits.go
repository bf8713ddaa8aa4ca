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

// The limit of an account, which is a tenant with a route, applies to the tokens of
// unfinished items ("waiting tokens") over all shards. The leader of ledgerShard keeps the
// ledger (queue.Ledger), to which the leaders of all shards report their waiting tokens.
// Before a leader accepts a job that raises the waiting tokens of its shard above the shard's
// local allowance (queue.LocalAllowance), it asks the ledger. The ledger is kept in memory
// only; a new ledger grants nothing until the leader of every shard has reported.

// ledgerShard is the shard whose leader keeps the ledger.
const ledgerShard = 0

const (
	// reportCheckInterval is the time between checks for a changed number of waiting
	// tokens. A leader reports at a check if the number has changed or if
	// maxReportInterval has passed since its last periodic report.
	reportCheckInterval = 200 * time.Millisecond
	maxReportInterval   = time.Second
	// ledgerCallTimeout bounds one call to one candidate for keeping the ledger.
	ledgerCallTimeout = 300 * time.Millisecond
	// ledgerRetryTimeout is the time after which a submission does not repeat a failed
	// request to the ledger, and ledgerRetryInterval the delay before a repetition.
	ledgerRetryTimeout  = 700 * time.Millisecond
	ledgerRetryInterval = 40 * time.Millisecond
)

// waitingReportLoop reports the waiting tokens of the shards led here until the context ends.
// With a single shard no reports are needed.
func (n *StorageNode) waitingReportLoop(ctx context.Context) {
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

// reportWaiting reports the waiting tokens of a shard that is led here if their number has
// changed or maxReportInterval has passed. It must not be called on the shard's goroutine.
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

// scheduleReport makes the next check report even if nothing has changed. It is called when
// a report failed or the ledger is incomplete.
func (s *shard) scheduleReport() {
	if s.leader != nil {
		s.leader.reportedAt = time.Time{}
	}
}

// totalWaiting returns the number of waiting tokens of all accounts.
func (l *leadership) totalWaiting() uint64 {
	totalWaiting := uint64(0)
	for _, tokens := range l.waiting() {
		totalWaiting += tokens
	}
	return totalWaiting
}

// waiting returns the shard's waiting tokens by account, including those of submissions that
// are reserved but not applied yet.
func (l *leadership) waiting() map[queue.TokenAccount]uint64 {
	waiting := l.table.WaitingByAccount()
	for account, tokens := range l.pendingTokens {
		waiting[account] += tokens
	}
	return waiting
}

// nextReport returns a report of the waiting tokens with a new number. The shard must have a
// leadership.
func (s *shard) nextReport() *wirev1.QueueReserveRequest {
	l := s.leader
	l.reportNumber++
	request := &wirev1.QueueReserveRequest{Shard: s.ID, Epoch: l.epoch, Number: l.reportNumber}
	for account, tokens := range l.waiting() {
		request.Waiting = append(request.Waiting, &wirev1.RouteTokens{Tenant: account.Tenant, Route: account.Route, Tokens: tokens})
	}
	return request
}

// callLedger sends a report, which may include a request for tokens, to the node that keeps
// the ledger. It tries the candidates until one accepts the report or responds that it keeps
// the ledger but cannot grant tokens yet.
func (n *StorageNode) callLedger(ctx context.Context, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
	var lastErr error = result.New(result.NotReady, "no ledger of waiting tokens is known")
	for _, member := range n.ledgerCandidates() {
		reply, err := n.callLedgerAt(ctx, member, request)
		if err == nil {
			n.recordLedgerDisk(member)
			return reply, nil
		}
		lastErr = err
		if result.Is(err, result.NotReady) {
			n.recordLedgerDisk(member)
			break // the node leads ledgerShard, but its ledger is incomplete or it knows no layout
		}
	}
	return nil, lastErr
}

// callLedgerAt sends a report to the node of a member of ledgerShard.
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

// ledgerCandidates returns the members of ledgerShard, beginning with the disk of the node
// that was last known to keep the ledger.
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

// recordLedgerDisk records that the node with the given disk keeps the ledger.
func (n *StorageNode) recordLedgerDisk(member string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ledgerDisk != member {
		klog.InfoS("disk of the ledger of waiting tokens changed", "disk", member, "before", n.ledgerDisk)
		n.ledgerDisk = member
	}
}

// serveReserve handles the reports and token requests of shard leaders on other nodes.
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

// reserveLocally processes a report, and decides on the token request in it if there is one.
// It fails unless this node keeps the ledger. The reply to a token request that fails because
// the ledger is incomplete is NotReady.
func (n *StorageNode) reserveLocally(ctx context.Context, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
	s := n.shard(ledgerShard)
	if s == nil {
		return nil, n.notHere(ledgerShard)
	}
	reply := &wirev1.QueueReserveReply{}
	var refused error
	if err := s.RunInLoop(ctx, func() { refused = s.reserveInLedger(request, reply) }); err != nil {
		return nil, err
	}
	if refused != nil || !reply.Granted {
		return reply, refused
	}
	// Another node may lead ledgerShard by now; only its current leader may grant tokens.
	return reply, s.Confirm(ctx)
}

// reserveInLedger records a report in the ledger, which it creates if there is none, and
// fills in the reply. A request without a route is a report without a token request. The
// report already counts the requested tokens; they are released if they are not granted.
func (s *shard) reserveInLedger(request *wirev1.QueueReserveRequest, reply *wirev1.QueueReserveReply) error {
	l := s.leader
	if l == nil || !l.suspendedAt.IsZero() || !s.Replica.Serving() {
		return s.notLed()
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
