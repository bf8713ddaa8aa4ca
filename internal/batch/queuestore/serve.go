package queuestore

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/placement"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// retryAfter is when a refused submission may fit.
const retryAfter = 500 * time.Millisecond

// diskFullAfter is when a submission may fit that did not fit on the disk.
const diskFullAfter = time.Second

// serving finds the shard of a job if this node may lead it.
func (n *StorageNode) serving(job string) (*shard, error) {
	layout := n.Layouts.Current()
	if layout == nil {
		return nil, result.New(result.NotReady, "no queue layout is known yet")
	}
	id := ShardOf(job, len(layout.Shards))
	if s := n.shard(id); s != nil {
		s.wakeUp()
		return s, nil
	}
	return nil, result.New(result.NotLeader, "shard %d is not here", id)
}

// ShardOf returns the shard of a job: jobs are spread over all disks, and every
// node finds one by its id alone.
func ShardOf(job string, shards int) uint32 { return uint32(placement.Weight(0, job) % uint64(shards)) }

// serveSubmit takes a job. A job taken before is known whatever the limit is.
func (n *StorageNode) serveSubmit(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueSubmitRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.serving(request.Job.Id)
	if err != nil {
		return err
	}
	reply, err := s.take(ctx, &request)
	outcome := "taken"
	if err != nil {
		outcome = result.CodeOf(err).String()
	} else if reply.Known {
		outcome = "known"
	}
	n.metrics.jobs.WithLabelValues(outcome).Inc()
	klog.InfoS("job submission", "job", request.Job.Id, "shard", s.ID, "items", len(request.Job.Items), "outcome", outcome, "err", err)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

func (s *shard) take(ctx context.Context, request *wirev1.QueueSubmitRequest) (*wirev1.QueueSubmitReply, error) {
	job := request.Job
	want := reservation{account: queue.TokenAccount{Tenant: job.Tenant, Route: job.Route}, limit: request.MaxWaitingTokens}
	for _, item := range job.Items {
		want.tokens += item.Tokens
		want.bytes += len(item.Body)
	}
	known, err := s.reserve(ctx, job.Id, &want)
	if err != nil {
		return nil, err
	}
	if known {
		if err := s.Confirm(ctx); err != nil {
			return nil, err
		}
		return &wirev1.QueueSubmitReply{Known: true}, nil
	}
	if err := s.reserveOverAll(ctx, &want); err != nil {
		s.unreserve(&want)
		return nil, err
	}
	job.AcceptedUnixMs = time.Now().UnixMilli()
	command := &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: job}}
	applied, err := s.ProposeWithCallback(ctx, command, func() { s.unreserve(&want) })
	if err != nil {
		return nil, err
	}
	return &wirev1.QueueSubmitReply{Known: applied.AlreadyAccepted}, nil
}

// reservation is what a submission takes until it is applied or dropped.
type reservation struct {
	account queue.TokenAccount
	tokens  uint64
	bytes   int
	// limit of the account's waiting tokens; 0 is none.
	limit uint64
	// below: what waits here with it is below the shard's floor.
	below bool
	// holder is the leadership that counts it; gone is set when it is no more.
	holder *leadership
	gone   bool
}

// reserve counts a submission against its account's limit and the disks' free
// space until it is applied. It reports true for a job that is known already.
func (s *shard) reserve(ctx context.Context, job string, want *reservation) (bool, error) {
	var known bool
	var refused error
	err := s.RunInLoop(ctx, func() {
		l := s.leader
		if l == nil || !l.suspended.IsZero() || !s.Replica.Serving() {
			refused = result.New(result.NotLeader, "shard %d is not led here", s.ID)
			return
		}
		if _, known = l.taken[job]; known {
			return
		}
		waiting := l.table.Waiting(want.account) + l.accepting[want.account]
		if want.limit > 0 && waiting+want.tokens > want.limit {
			refused = tooManyTokens(want, waiting)
			return
		}
		if !s.fits(want.bytes + l.acceptingBytes) {
			refused = result.New(result.StoreFull, "a disk of shard %d has no room: %d bytes come, the job has %d", s.ID, l.acceptingBytes, want.bytes).WithRetryAfter(diskFullAfter)
			return
		}
		want.holder = l
		want.below = waiting+want.tokens <= queue.LocalAllowance(want.limit, s.node.Tolerance.Overrun, s.node.shardCount())
		l.accepting[want.account] += want.tokens
		l.acceptingBytes += want.bytes
	})
	if err != nil {
		return false, err
	}
	return known, refused
}

func tooManyTokens(want *reservation, waiting uint64) error {
	return result.New(result.TenantTokens, "%d tokens wait on route %s of tenant %q, the job has %d, allowed are %d", waiting, want.account.Route, want.account.Tenant, want.tokens, want.limit).WithRetryAfter(retryAfter)
}

// reserveOverAll asks the ledger of waiting tokens whether a submission fits, and
// waits a moment for one that knows enough.
func (s *shard) reserveOverAll(ctx context.Context, want *reservation) error {
	if want.limit == 0 || want.below || s.node.shardCount() < 2 {
		return nil
	}
	for until := time.Now().Add(ledgerWaitLimit); ; time.Sleep(ledgerPause) {
		reply, err := s.askLedgerForTokens(ctx, want)
		if err == nil && !reply.Granted {
			return tooManyTokens(want, reply.Waiting)
		}
		if err == nil {
			return nil
		}
		if time.Now().After(until) || ctx.Err() != nil || want.gone {
			return result.New(result.StoreUnavailable, "the limit of route %s can't be asked for: %v", want.account.Route, err)
		}
	}
}

// askLedgerForTokens asks once. Each question has a report of its own: what the ledger
// took of the one before may be given back already.
func (s *shard) askLedgerForTokens(ctx context.Context, want *reservation) (*wirev1.QueueReserveReply, error) {
	var request *wirev1.QueueReserveRequest
	err := s.RunInLoop(ctx, func() {
		if s.leader == want.holder {
			request = s.report()
		}
	})
	if err != nil {
		return nil, err
	}
	if request == nil {
		want.gone = true
		return nil, result.New(result.NotLeader, "shard %d is not led here any more", s.ID)
	}
	request.Tenant, request.Route, request.Tokens, request.Limit = want.account.Tenant, want.account.Route, want.tokens, want.limit
	return s.node.askLedger(ctx, request)
}

// unreserve gives back what a submission that is applied or dropped had taken.
func (s *shard) unreserve(want *reservation) {
	s.runIfRunning(func() {
		want.holder.accepting[want.account] -= want.tokens
		want.holder.acceptingBytes -= want.bytes
	})
}

// serveRead answers what a job has listed, for sure or not at all.
func (n *StorageNode) serveRead(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueReadRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.serving(request.JobId)
	if err != nil {
		return err
	}
	reply, err := s.read(ctx, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

// read returns results, waiting for one as long as the request allows.
func (s *shard) read(ctx context.Context, request *wirev1.QueueReadRequest) (*wirev1.QueueReadReply, error) {
	until := time.Now().Add(time.Duration(request.WaitMs) * time.Millisecond)
	for {
		var changed <-chan struct{}
		err := s.RunInLoop(ctx, func() {
			if s.leader != nil {
				changed = s.leader.watch(request.JobId)
			}
		})
		if err != nil {
			return nil, err
		}
		if err := s.Confirm(ctx); err != nil {
			return nil, err
		}
		reply, err := s.lookUp(request)
		if err != nil {
			return nil, err
		}
		wait := time.Until(until)
		if !reply.Found || len(reply.Results) > 0 || wait <= 0 || changed == nil || request.Since >= reply.Total {
			return reply, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (s *shard) lookUp(request *wirev1.QueueReadRequest) (*wirev1.QueueReadReply, error) {
	view := s.Store.Snapshot()
	defer view.Close()
	record, err := queue.Record(view, request.JobId)
	if err != nil || record == nil {
		return &wirev1.QueueReadReply{}, err
	}
	results, err := queue.Results(view, request.JobId, request.Since, int(request.MaxBytes))
	return &wirev1.QueueReadReply{Found: true, Total: uint32(len(record.Items)), Results: results}, err
}

func (n *StorageNode) serveItem(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueItemRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.serving(request.JobId)
	if err != nil {
		return err
	}
	if err := s.Confirm(ctx); err != nil {
		return err
	}
	reply, err := s.itemBody(&request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

func (s *shard) itemBody(request *wirev1.QueueItemRequest) (*wirev1.QueueItemReply, error) {
	view := s.Store.Snapshot()
	defer view.Close()
	record, err := queue.Record(view, request.JobId)
	if err != nil || record == nil {
		return &wirev1.QueueItemReply{}, err
	}
	for number, info := range record.Items {
		if info.Id != request.ItemId {
			continue
		}
		item, err := queue.Item(view, request.JobId, uint32(number))
		if err != nil || item == nil {
			return &wirev1.QueueItemReply{}, err
		}
		return &wirev1.QueueItemReply{Found: true, Body: item.Body}, nil
	}
	return &wirev1.QueueItemReply{}, nil
}

func (n *StorageNode) serveEnd(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueEndRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.serving(request.JobId)
	if err != nil {
		return err
	}
	applied, err := s.ProposeAndWait(ctx, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: request.JobId}})
	klog.InfoS("job end", "job", request.JobId, "shard", s.ID, "err", err)
	if err != nil {
		return err
	}
	return stream.Send(&wirev1.QueueEndReply{Found: applied.Record != nil})
}
