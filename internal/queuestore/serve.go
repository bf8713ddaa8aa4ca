package queuestore

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/queue"
	"cobaltramp.example/cobaltramp/internal/result"
	"cobaltramp.example/cobaltramp/internal/rpc"
)

// retryAfter is when a refused submission may fit.
const retryAfter = 500 * time.Millisecond

// diskFullAfter is when a submission may fit that the disk had no room for.
const diskFullAfter = time.Second

// serving finds the shard of a job's host if this node may lead it.
func (n *Node) serving(host string) (*shard, error) {
	layout := n.Layouts.Current()
	if layout == nil {
		return nil, result.New(result.NotReady, "no queue layout is known yet")
	}
	id := ShardOf(host, len(layout.Shards))
	if s := n.shard(id); s != nil {
		return s, nil
	}
	return nil, result.New(result.NotLeader, "shard %d is not here", id)
}

// ShardOf returns the shard of a host's jobs: all jobs of a route are in one,
// so that its limit of waiting tokens is exact.
func ShardOf(host string, shards int) uint32 { return uint32(weight(0, host) % uint64(shards)) }

// serveSubmit takes a job. A job taken before is known whatever the limit is.
func (n *Node) serveSubmit(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueSubmitRequest
	if err := stream.Request(&request); err != nil {
		return err
	}
	s, err := n.serving(request.Job.Host)
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
	klog.InfoS("job submission", "job", request.Job.Id, "shard", s.id, "items", len(request.Job.Items), "outcome", outcome, "err", err)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

func (s *shard) take(ctx context.Context, request *wirev1.QueueSubmitRequest) (*wirev1.QueueSubmitReply, error) {
	job := request.Job
	tokens := uint64(0)
	size := 0
	for _, item := range job.Items {
		tokens += item.Tokens
		size += len(item.Body)
	}
	known, err := s.reserve(ctx, request, tokens, size)
	if err != nil {
		return nil, err
	}
	if known {
		if err := s.confirm(ctx); err != nil {
			return nil, err
		}
		return &wirev1.QueueSubmitReply{Known: true}, nil
	}
	job.AcceptedUnixMs = time.Now().UnixMilli()
	applied, err := s.submit(ctx, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Accept{Accept: job}})
	_ = s.ask(s.node.context, func() { s.unreserve(job.Route, tokens) })
	if err != nil {
		return nil, err
	}
	return &wirev1.QueueSubmitReply{Known: applied.Known}, nil
}

// reserve counts a submission against its route's limit until it is applied.
// It reports true for a job that is known already.
func (s *shard) reserve(ctx context.Context, request *wirev1.QueueSubmitRequest, tokens uint64, size int) (bool, error) {
	job := request.Job
	var known bool
	var refused error
	err := s.ask(ctx, func() {
		l := s.leader
		if l == nil || !l.suspended.IsZero() || !s.replica.Serving() {
			refused = result.New(result.NotLeader, "shard %d is not led here", s.id)
			return
		}
		if _, known = l.taken[job.Id]; known {
			return
		}
		waiting := l.table.Waiting(job.Route) + l.accepting[job.Route]
		if limit := request.MaxWaitingTokens; limit > 0 && waiting+tokens > limit {
			refused = result.New(result.TenantTokens, "%d tokens wait on route %s, the job has %d, allowed are %d", waiting, job.Route, tokens, limit).After(retryAfter)
			return
		}
		if !s.node.DB.Fits(size) {
			refused = result.New(result.StoreFull, "%d bytes of the disk are taken, the job has %d", s.node.DB.Used(), size).After(diskFullAfter)
			return
		}
		l.accepting[job.Route] += tokens
	})
	if err != nil {
		return false, err
	}
	return known, refused
}

func (s *shard) unreserve(route string, tokens uint64) {
	if l := s.leader; l != nil && l.accepting[route] >= tokens {
		l.accepting[route] -= tokens
	}
}

// serveRead answers what a job has listed, for sure or not at all.
func (n *Node) serveRead(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueReadRequest
	if err := stream.Request(&request); err != nil {
		return err
	}
	s, err := n.serving(request.Host)
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
		err := s.ask(ctx, func() {
			if s.leader != nil {
				changed = s.leader.watch(request.JobId)
			}
		})
		if err != nil {
			return nil, err
		}
		if err := s.confirm(ctx); err != nil {
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
	view := s.store.Snapshot()
	defer view.Close()
	record, err := queue.Record(view, request.JobId)
	if err != nil || record == nil {
		return &wirev1.QueueReadReply{}, err
	}
	results, err := queue.Results(view, request.JobId, request.Since, int(request.MaxBytes))
	return &wirev1.QueueReadReply{Found: true, Total: uint32(len(record.Items)), Results: results}, err
}

func (n *Node) serveItem(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueItemRequest
	if err := stream.Request(&request); err != nil {
		return err
	}
	s, err := n.serving(request.Host)
	if err != nil {
		return err
	}
	if err := s.confirm(ctx); err != nil {
		return err
	}
	reply, err := s.itemBody(&request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

func (s *shard) itemBody(request *wirev1.QueueItemRequest) (*wirev1.QueueItemReply, error) {
	view := s.store.Snapshot()
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

func (n *Node) serveEnd(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueEndRequest
	if err := stream.Request(&request); err != nil {
		return err
	}
	s, err := n.serving(request.Host)
	if err != nil {
		return err
	}
	applied, err := s.submit(ctx, &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: request.JobId}})
	klog.InfoS("job end", "job", request.JobId, "shard", s.id, "err", err)
	if err != nil {
		return err
	}
	return stream.Send(&wirev1.QueueEndReply{Found: applied.Record != nil})
}
