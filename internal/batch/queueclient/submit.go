package queueclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// Submit submits a job. An error with code CommitUnknown means that the job may have
// been accepted.
//
// A job may be large, so it is sent only to the leader, and only if the leader doesn't
// have the job yet. A small read call before the submission finds this out and locates
// the leader.
func (c *ShardClient) Submit(ctx context.Context, request *wirev1.QueueSubmitRequest) (*wirev1.QueueSubmitReply, error) {
	job := request.Job
	unknown := false
	for {
		known, err := c.Read(ctx, &wirev1.QueueReadRequest{JobId: job.Id, Host: job.Host, MaxBytes: 1})
		if err != nil {
			return nil, c.unavailableError(unknown, err)
		}
		if known.Found {
			return &wirev1.QueueSubmitReply{Known: true}, nil
		}
		sent := c.submitToLeader(ctx, request)
		if sent.err == nil {
			return sent.reply.(*wirev1.QueueSubmitReply), nil
		}
		if final(sent.err) && !unknown {
			return nil, sent.err
		}
		// After an attempt with an unknown outcome, even a rejection doesn't mean that
		// the job was not accepted: the first attempt may still be in progress.
		unknown = unknown || sent.unknown
		klog.InfoS("job submission not confirmed", "job", job.Id, "address", sent.address, "unknown", unknown, "err", sent.err)
		if !sleep(ctx, roundDelay) {
			return nil, c.unavailableError(unknown, sent.err)
		}
	}
}

// minTransferBytesPerSecond is the minimum expected transfer rate to a leader. It extends
// the timeout of large submissions, because links between nodes are slow and shared.
const minTransferBytesPerSecond = 1 << 20

// submitToLeader sends a job to the last known leader of the job's shard.
func (c *ShardClient) submitToLeader(ctx context.Context, request *wirev1.QueueSubmitRequest) callResult {
	addresses := c.candidates(request.Job.Id)
	if len(addresses) == 0 {
		return callResult{err: result.New(result.StoreUnavailable, "no storage node is known")}
	}
	transfer := time.Duration(float64(proto.Size(request)) / minTransferBytesPerSecond * float64(time.Second))
	sent := c.attempt(ctx, addresses[0], wirev1.Method_METHOD_QUEUE_SUBMIT, transfer, request, &wirev1.QueueSubmitReply{})
	if sent.err != nil && !final(sent.err) {
		c.forgetLeader(request.Job.Id, addresses[0])
	}
	return sent
}
