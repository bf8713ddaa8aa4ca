package queueclient

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// Submit submits a job and retries until a leader accepts or rejects it or the context
// ends. An error with code CommitUnknown means that the job may have been accepted.
//
// Because a job may be large, each attempt first reads the job's results with a small
// call. The read locates the leader and finds out whether the leader already has the job.
// The job is then sent to a single node, normally the leader.
func (c *ShardClient) Submit(ctx context.Context, request *wirev1.QueueSubmitRequest) (*wirev1.QueueSubmitReply, error) {
	job := request.Job
	outcomeUnknown := false
	for {
		existing, err := c.Read(ctx, &wirev1.QueueReadRequest{JobId: job.Id, Host: job.Host, MaxBytes: 1})
		if err != nil {
			return nil, c.unavailableError(outcomeUnknown, err)
		}
		if existing.Found {
			return &wirev1.QueueSubmitReply{Known: true}, nil
		}
		submission := c.submitToLeader(ctx, request)
		if submission.err == nil {
			return submission.reply.(*wirev1.QueueSubmitReply), nil
		}
		if final(submission.err) && !outcomeUnknown {
			return nil, submission.err
		}
		// After an attempt with an unknown outcome, a rejection is not final: the
		// earlier attempt may still be in progress and accept the job.
		outcomeUnknown = outcomeUnknown || submission.outcomeUnknown
		klog.InfoS("job submission not confirmed; it is retried until the request ends", "job", job.Id, "address", submission.address, "unknown", outcomeUnknown, "err", submission.err)
		if !sleep(ctx, roundDelay) {
			return nil, c.unavailableError(outcomeUnknown, submission.err)
		}
	}
}

// minTransferBytesPerSecond is the minimum expected transfer rate to a leader. The timeout
// of a submission is extended by its size divided by this rate.
const minTransferBytesPerSecond = 1 << 20

// submitToLeader sends a job to the last known leader of the job's shard, or to the first
// candidate if no leader is known. It forgets the leader if the attempt fails without a
// final error.
func (c *ShardClient) submitToLeader(ctx context.Context, request *wirev1.QueueSubmitRequest) callResult {
	addresses := c.candidates(request.Job.Id)
	if len(addresses) == 0 {
		return callResult{err: result.New(result.StoreUnavailable, "no storage node is known")}
	}
	transferTime := time.Duration(float64(proto.Size(request)) / minTransferBytesPerSecond * float64(time.Second))
	submission := c.attempt(ctx, addresses[0], wirev1.Method_METHOD_QUEUE_SUBMIT, transferTime, request, &wirev1.QueueSubmitReply{})
	if submission.err != nil && !final(submission.err) {
		c.forgetLeader(request.Job.Id, addresses[0])
	}
	return submission
}
