package queueclient

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// shardNode simulates a storage node with one queue shard.
type shardNode struct {
	leads, knows, confirms atomic.Bool
	submissions            atomic.Int64
}

func (n *shardNode) serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer("b", "c", &rpc.Counters{})
	server.Handle(wirev1.Method_METHOD_QUEUE_READ, func(_ context.Context, stream *rpc.ServerStream) error {
		if !n.leads.Load() {
			return result.New(result.NotLeader, "not led here")
		}
		return stream.Send(&wirev1.QueueReadReply{Found: n.knows.Load()})
	})
	server.Handle(wirev1.Method_METHOD_QUEUE_SUBMIT, func(_ context.Context, stream *rpc.ServerStream) error {
		n.submissions.Add(1)
		if !n.leads.Load() {
			return result.New(result.NotLeader, "not led here")
		}
		if !n.confirms.Load() {
			n.knows.Store(true) // the job is accepted without confirmation
			return result.New(result.CommitUnknown, "not confirmed")
		}
		return stream.Send(&wirev1.QueueSubmitReply{})
	})
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

func submitTo(client *ShardClient, within time.Duration) (*wirev1.QueueSubmitReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return client.Submit(ctx, &wirev1.QueueSubmitRequest{Job: &wirev1.QueueJob{Id: "j", Host: "h"}})
}

// A job is sent only to the leader, and is not sent if the leader already has the job.
func TestJobsGoToTheLeaderOnly(t *testing.T) {
	is := is.New(t)
	follower, leader := &shardNode{}, &shardNode{}
	leader.leads.Store(true)
	leader.confirms.Store(true)
	client := clientOf(t, follower.serve(t), leader.serve(t))
	reply, err := submitTo(client, 20*time.Second)
	is.NoErr(err)
	is.True(!reply.Known)
	is.Equal(follower.submissions.Load(), int64(0))
	is.Equal(leader.submissions.Load(), int64(1))
	leader.knows.Store(true)
	reply, err = submitTo(client, 20*time.Second)
	is.NoErr(err)
	is.True(reply.Known)
	is.Equal(leader.submissions.Load(), int64(1))
}

// After an unconfirmed submission, a read finds the accepted job, which is not sent
// again.
func TestUnconfirmedJobIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	leader := &shardNode{}
	leader.leads.Store(true)
	client := clientOf(t, leader.serve(t))
	reply, err := submitTo(client, 20*time.Second)
	is.NoErr(err)
	is.True(reply.Known)
	is.Equal(leader.submissions.Load(), int64(1))
}

// Without a leader the error says that the job was not accepted; after an unconfirmed
// submission the error says that the outcome is unknown.
func TestErrorSaysWhetherTheJobMayBeAccepted(t *testing.T) {
	is := is.New(t)
	_, err := submitTo(clientOf(t, (&shardNode{}).serve(t)), 300*time.Millisecond)
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)

	leader := &shardNode{}
	leader.leads.Store(true)
	client := clientOf(t, leader.serve(t))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	go func() {
		eventually.Assert(t, "the leader has a submission", func() bool { return leader.submissions.Load() > 0 }, func() any { return leader.submissions.Load() })
		leader.leads.Store(false) // the node loses its leadership right after the submission
	}()
	_, err = client.Submit(ctx, &wirev1.QueueSubmitRequest{Job: &wirev1.QueueJob{Id: "j", Host: "h"}})
	is.True(err == nil || result.CodeOf(err).Entry().Ran == result.RanUnknown)
}

// The outcome remains unknown if an unconfirmed submission is followed by a rejection.
func TestRejectionAfterUnconfirmedSubmissionIsUnknown(t *testing.T) {
	is := is.New(t)
	var submissions atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := rpc.NewServer("b", "c", &rpc.Counters{})
	server.Handle(wirev1.Method_METHOD_QUEUE_READ, func(_ context.Context, stream *rpc.ServerStream) error {
		return stream.Send(&wirev1.QueueReadReply{})
	})
	server.Handle(wirev1.Method_METHOD_QUEUE_SUBMIT, func(context.Context, *rpc.ServerStream) error {
		if submissions.Add(1) == 1 {
			return result.New(result.CommitUnknown, "not confirmed")
		}
		return result.New(result.TenantTokens, "too many")
	})
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	_, err = submitTo(clientOf(t, listener.Addr().String()), 300*time.Millisecond)
	is.True(submissions.Load() > 1)
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanUnknown)
}
