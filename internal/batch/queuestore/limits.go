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

// Limits of waiting tokens hold over all shards. The leader of one shard keeps a
// ledger of what waits in each: every other leader asks it before it takes a job of a
// limited route. The ledger is soft state: a new one lets nothing in before every
// shard's leader has reported what waits there.

// ledgerShard is the shard whose leader keeps the ledger.
const ledgerShard = 0

const (
	// reportInterval is how often leaders look whether there is something to report,
	// and maxReportInterval the time after which they report in any case.
	reportInterval    = 200 * time.Millisecond
	maxReportInterval = time.Second
	// ledgerTimeout bounds one question to a node that may have the ledger.
	ledgerTimeout = 300 * time.Millisecond
	// ledgerWaitLimit is how long a submission waits for a ledger that knows
	// enough, and ledgerPause the time between two questions.
	ledgerWaitLimit = 700 * time.Millisecond
	ledgerPause     = 40 * time.Millisecond
)

// limitsLoop reports to the ledger what waits in the shards led here.
func (n *StorageNode) limitsLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
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

// reportWaiting reports what waits in a shard, if it is led here and has changed.
func (s *shard) reportWaiting(ctx context.Context) {
	var request *wirev1.QueueReserveRequest
	err := s.RunInLoop(ctx, func() {
		l := s.leader
		if l == nil || !l.suspended.IsZero() || !s.Replica.Serving() {
			return
		}
		now := time.Now()
		if sum := l.sum(); sum != l.reportedSum || now.Sub(l.reportedAt) >= maxReportInterval {
			l.reportedSum, l.reportedAt = sum, now
			request = s.report()
		}
	})
	if err != nil || request == nil {
		return
	}
	reply, err := s.node.askLedger(ctx, request)
	if err != nil || reply.Incomplete {
		s.runIfRunning(s.reportAgain)
	}
}

// reportAgain has what waits reported at the next look: the ledger may be new.
func (s *shard) reportAgain() {
	if s.leader != nil {
		s.leader.reportedAt = time.Time{}
	}
}

// sum of the tokens that wait on all routes.
func (l *leadership) sum() uint64 {
	sum := uint64(0)
	for _, tokens := range l.waiting() {
		sum += tokens
	}
	return sum
}

// waiting returns the tokens that wait, those on their way included.
func (l *leadership) waiting() map[queue.TokenAccount]uint64 {
	waiting := l.table.WaitingByAccount()
	for account, tokens := range l.accepting {
		waiting[account] += tokens
	}
	return waiting
}

// report makes the next report of a shard that is led here.
func (s *shard) report() *wirev1.QueueReserveRequest {
	l := s.leader
	l.reports++
	request := &wirev1.QueueReserveRequest{Shard: s.ID, Epoch: l.epoch, Number: l.reports}
	for account, tokens := range l.waiting() {
		request.Waiting = append(request.Waiting, &wirev1.RouteTokens{Tenant: account.Tenant, Route: account.Route, Tokens: tokens})
	}
	return request
}

// askLedger sends a report or a question to whoever has the ledger.
func (n *StorageNode) askLedger(ctx context.Context, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
	var last error = result.New(result.NotReady, "no ledger of waiting tokens is known")
	for _, member := range n.ledgerCandidates() {
		reply, err := n.askMember(ctx, member, request)
		if err == nil {
			n.noteLedgerDisk(member)
			return reply, nil
		}
		last = err
		if result.Is(err, result.NotReady) {
			n.noteLedgerDisk(member)
			break // it has the ledger, and does not know enough yet
		}
	}
	return nil, last
}

func (n *StorageNode) askMember(ctx context.Context, member string, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	if member == n.DB.DiskID() {
		return n.reserveHere(ctx, request)
	}
	record, known := n.Directory.Disk(member)
	if !known {
		return nil, result.New(result.PeerUnreachable, "disk %s is not known", member)
	}
	reply := &wirev1.QueueReserveReply{}
	return reply, n.Pool.Call(ctx, record.Address, rpc.ClassControl, wirev1.Method_METHOD_QUEUE_RESERVE, request, reply)
}

// ledgerCandidates lists the members that may have the ledger, the one that
// did last first.
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

func (n *StorageNode) noteLedgerDisk(member string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.ledgerDisk != member {
		klog.InfoS("ledger of waiting tokens found", "disk", member, "before", n.ledgerDisk)
		n.ledgerDisk = member
	}
}

// serveReserve answers other leaders.
func (n *StorageNode) serveReserve(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueReserveRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	reply, err := n.reserveHere(ctx, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

// reserveHere takes a report and decides on the submission it names, if this
// node has the ledger.
func (n *StorageNode) reserveHere(ctx context.Context, request *wirev1.QueueReserveRequest) (*wirev1.QueueReserveReply, error) {
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
	// Only who still has the ledger may let a job in.
	return reply, s.Confirm(ctx)
}

func (s *shard) reserveInLedger(request *wirev1.QueueReserveRequest, reply *wirev1.QueueReserveReply) error {
	l := s.leader
	if l == nil || !l.suspended.IsZero() || !s.Replica.Serving() {
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
