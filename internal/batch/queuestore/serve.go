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

// tokenLimitRetryAfter is the retry delay sent to callers whose submission exceeds the limit
// of waiting tokens.
const tokenLimitRetryAfter = 500 * time.Millisecond

// diskFullRetryAfter is the retry delay sent to callers whose submission does not fit on a
// disk.
const diskFullRetryAfter = time.Second

// localShardOf returns the local replica of the shard of a job or tenant, given by job ID or
// tenant name, and ends the shard's idle state. The replica need not be the leader.
func (n *StorageNode) localShardOf(name string) (*shard, error) {
	layout := n.Layouts.Current()
	if layout == nil {
		return nil, result.New(result.NotReady, "no queue layout is known yet")
	}
	id := ShardOf(name, len(layout.Shards))
	if s := n.shard(id); s != nil {
		s.wakeUp()
		return s, nil
	}
	return nil, n.notHere(id)
}

// ShardOf returns the shard of a key, which is a job ID or a tenant name. shards is the number
// of shards in the layout, at least 1. The result depends on nothing else, so every node finds
// the same shard.
func ShardOf(key string, shards int) uint32 { return uint32(placement.Weight(0, key) % uint64(shards)) }

// serveSubmit handles the submission of a job. A job that was accepted before is not accepted
// again; its submission succeeds regardless of limits and of its contents.
func (n *StorageNode) serveSubmit(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueSubmitRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.localShardOf(request.Job.Id)
	if err != nil {
		return err
	}
	reply, err := s.submit(ctx, &request)
	outcome := "taken"
	if err != nil {
		outcome = result.CodeOf(err).String()
	} else if reply.Known {
		outcome = "known"
	}
	n.metrics.jobs.WithLabelValues(outcome).Inc()
	klog.InfoS("job submission processed", "job", request.Job.Id, "shard", s.ID, "items", len(request.Job.Items), "outcome", outcome, "err", err)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

// submit checks the limits for a job, proposes the job, and waits until it is applied.
func (s *shard) submit(ctx context.Context, request *wirev1.QueueSubmitRequest) (*wirev1.QueueSubmitReply, error) {
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
	if err := s.reserveOverAllShards(ctx, &want); err != nil {
		s.releaseReservation(&want)
		return nil, err
	}
	job.AcceptedUnixMs = time.Now().UnixMilli()
	command := &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: job}}
	applied, err := s.ProposeWithCallback(ctx, command, func() { s.releaseReservation(&want) })
	if err != nil {
		return nil, err
	}
	return &wirev1.QueueSubmitReply{Known: applied.AlreadyAccepted}, nil
}

// reservation is the share of a submission in the leader's pending tokens and bytes, until the
// outcome of the submission is known.
type reservation struct {
	account queue.TokenAccount
	tokens  uint64
	bytes   int
	// limit bounds the account's waiting tokens over all shards; 0 means no limit.
	limit uint64
	// withinLocalAllowance reports that the account's tokens waiting in this shard,
	// including this submission, do not exceed the shard's local allowance, so that the
	// ledger need not be asked.
	withinLocalAllowance bool
	// reservedBy is the leadership that counts the reservation. leadershipLost is set when
	// a request to the ledger finds that the leadership has been dropped.
	reservedBy     *leadership
	leadershipLost bool
}

// reserve checks a submission against its account's limit in this shard and the disks' free
// space, and counts it there until releaseReservation. It returns true, and reserves nothing,
// if the job has been accepted before.
func (s *shard) reserve(ctx context.Context, job string, want *reservation) (bool, error) {
	var known bool
	var refused error
	err := s.RunInLoop(ctx, func() {
		l := s.leader
		if l == nil || !l.suspendedAt.IsZero() || !s.Replica.Serving() {
			refused = s.notLed()
			return
		}
		if _, known = l.acceptedAt[job]; known {
			return
		}
		waiting := l.table.Waiting(want.account) + l.pendingTokens[want.account]
		if want.limit > 0 && waiting+want.tokens > want.limit {
			refused = tooManyTokens(want, waiting)
			return
		}
		if !s.fits(want.bytes + l.pendingBytes) {
			refused = result.New(result.StoreFull, "a disk of shard %d has no room: %d bytes come, the job has %d", s.ID, l.pendingBytes, want.bytes).WithRetryAfter(diskFullRetryAfter)
			return
		}
		want.reservedBy = l
		want.withinLocalAllowance = waiting+want.tokens <= queue.LocalAllowance(want.limit, s.node.Tolerance.Overrun, s.node.shardCount())
		l.pendingTokens[want.account] += want.tokens
		l.pendingBytes += want.bytes
	})
	if err != nil {
		return false, err
	}
	return known, refused
}

// tooManyTokens returns the error for a submission over the limit. waiting is the number of
// tokens that wait without the submission.
func tooManyTokens(want *reservation, waiting uint64) error {
	return result.New(result.TenantTokens, "%d tokens wait on route %s of tenant %q, the job has %d, allowed are %d", waiting, want.account.Route, want.account.Tenant, want.tokens, want.limit).WithRetryAfter(tokenLimitRetryAfter)
}

// reserveOverAllShards asks the ledger whether a submission fits within the limit over all
// shards. It does not ask if there is no limit, the submission is within the local allowance
// or there is a single shard. While the ledger is unavailable or incomplete, it retries until
// ledgerRetryTimeout has passed, the context has ended or the leadership has been dropped.
func (s *shard) reserveOverAllShards(ctx context.Context, want *reservation) error {
	if want.limit == 0 || want.withinLocalAllowance || s.node.shardCount() < 2 {
		return nil
	}
	for until := time.Now().Add(ledgerRetryTimeout); ; time.Sleep(ledgerRetryInterval) {
		reply, err := s.requestTokens(ctx, want)
		if err == nil && !reply.Granted {
			return tooManyTokens(want, reply.Waiting)
		}
		if err == nil {
			return nil
		}
		if time.Now().After(until) || ctx.Err() != nil || want.leadershipLost {
			return result.New(result.StoreUnavailable, "the limit of route %s can't be asked for: %v", want.account.Route, err)
		}
	}
}

// requestTokens sends one token request to the ledger. Each request carries a new report,
// because the ledger may have released the tokens of an earlier request.
func (s *shard) requestTokens(ctx context.Context, want *reservation) (*wirev1.QueueReserveReply, error) {
	var request *wirev1.QueueReserveRequest
	err := s.RunInLoop(ctx, func() {
		if s.leader == want.reservedBy {
			request = s.nextReport()
		}
	})
	if err != nil {
		return nil, err
	}
	if request == nil {
		want.leadershipLost = true
		return nil, result.New(result.NotLeader, "shard %d is not led here any more", s.ID)
	}
	request.Tenant, request.Route, request.Tokens, request.Limit = want.account.Tenant, want.account.Route, want.tokens, want.limit
	return s.node.callLedger(ctx, request)
}

// releaseReservation releases the reservation of a submission that was applied, refused or
// lost. It must not be called on the shard's goroutine.
func (s *shard) releaseReservation(want *reservation) {
	s.runIfRunning(func() {
		want.reservedBy.pendingTokens[want.account] -= want.tokens
		want.reservedBy.pendingBytes -= want.bytes
	})
}

// serveRead handles a request for the results of a job.
func (n *StorageNode) serveRead(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueReadRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.localShardOf(request.JobId)
	if err != nil {
		return err
	}
	reply, err := s.read(ctx, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

// read returns the results of a job from position Since on, after confirming leadership. If
// there are none, it waits for up to the time that the request allows, unless the job does not
// exist or Since is not below the number of its items.
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
		reply, err := s.readResults(request)
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

// readResults reads the results of a job from the local state. Found is false in the reply if
// the job does not exist. Any goroutine may call it.
func (s *shard) readResults(request *wirev1.QueueReadRequest) (*wirev1.QueueReadReply, error) {
	view := s.Store.Snapshot()
	defer view.Close()
	record, err := queue.Record(view, request.JobId)
	if err != nil || record == nil || queue.EndedEarly(record) {
		return &wirev1.QueueReadReply{}, err
	}
	results, err := queue.Results(view, request.JobId, request.Since, int(request.MaxBytes))
	return &wirev1.QueueReadReply{Found: true, Total: uint32(len(record.Items)), Results: results}, err
}

// serveItem handles a request for the body of an item.
func (n *StorageNode) serveItem(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueItemRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.localShardOf(request.JobId)
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

// itemBody reads the body of an item from the local state. Found is false in the reply if the
// job or the item does not exist, and if the body has been deleted because the item has a
// result or the job was ended. Any goroutine may call it.
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

// serveEnd ends a job, so that its unfinished items are not run.
func (n *StorageNode) serveEnd(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueEndRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	s, err := n.localShardOf(request.JobId)
	if err != nil {
		return err
	}
	command := &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: request.JobId}, ProposedUnixMs: time.Now().UnixMilli()}
	applied, err := s.ProposeAndWait(ctx, command)
	if err != nil {
		klog.InfoS("job end failed", "job", request.JobId, "shard", s.ID, "err", err)
		return err
	}
	klog.InfoS("job end", "job", request.JobId, "shard", s.ID, "known", applied.Record != nil)
	return stream.Send(&wirev1.QueueEndReply{Found: applied.Record != nil})
}
