package queueclient

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const layoutText = `{"shards":[{"generation":1,"members":["disk-a","disk-b"],"copies":2}]}`

// unresponsiveAddress returns an address at which connections are accepted but no request
// gets a response.
func unresponsiveAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// serveReads starts a server that responds to reads with the result of respond.
func serveReads(t *testing.T, respond func() (*wirev1.QueueReadReply, error)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer("b", "c", &rpc.Counters{})
	server.Handle(wirev1.Method_METHOD_QUEUE_READ, func(_ context.Context, stream *rpc.ServerStream) error {
		reply, err := respond()
		if err != nil {
			return err
		}
		return stream.Send(reply)
	})
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

func clientOf(t *testing.T, addresses ...string) *ShardClient {
	t.Helper()
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "edge"})
	for i, address := range addresses {
		name := string(rune('a' + i))
		directory.Put(&wirev1.NodeRecord{NodeId: name, Address: address, DiskId: "disk-" + name, Incarnation: 1})
	}
	layouts := queuestore.NewLayouts()
	layouts.UpdateIfNewer(queuestore.LayoutKey, []byte(layoutText), 1, "test")
	pool := rpc.NewPool("edge", "c", nil, &rpc.Counters{})
	t.Cleanup(pool.Close)
	return New(directory, layouts, pool)
}

// After the known leader becomes unresponsive, many concurrent callers reach the new
// leader.
func TestUnresponsiveLeaderIsReplaced(t *testing.T) {
	is := is.New(t)
	live := serveReads(t, func() (*wirev1.QueueReadReply, error) { return &wirev1.QueueReadReply{Found: true, Total: 3}, nil })
	client := clientOf(t, unresponsiveAddress(t), live)
	client.recordLeader("h", client.candidates("h")[0]) // the unresponsive node was the leader
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			reply, err := client.Read(ctx, &wirev1.QueueReadRequest{JobId: "j", Host: "h"})
			if err == nil && reply.Total != 3 {
				err = errors.New("unexpected reply")
			}
			results <- err
		}()
	}
	for range cap(results) {
		is.NoErr(<-results)
	}
	is.Equal(client.candidates("h")[0], live)
}

// The error says that the request was not executed only if no node may have executed it.
func TestErrorSaysWhetherTheCallMayHaveRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	notLeader := func() (*wirev1.QueueReadReply, error) { return nil, result.New(result.NotLeader, "no") }
	client := clientOf(t, serveReads(t, notLeader), serveReads(t, notLeader))
	_, err := client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)

	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	unsure := func() (*wirev1.QueueReadReply, error) { return nil, result.New(result.CommitUnknown, "perhaps") }
	client = clientOf(t, serveReads(t, notLeader), serveReads(t, unsure))
	_, err = client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanUnknown)

	// A node that received the request and does not respond may have executed it, even if no
	// other node has.
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	received, testEnded := make(chan struct{}, 1), make(chan struct{})
	unanswering := serveReads(t, func() (*wirev1.QueueReadReply, error) {
		received <- struct{}{}
		<-testEnded
		return nil, result.New(result.Internal, "the test has ended")
	})
	t.Cleanup(func() { close(testEnded) })
	client = clientOf(t, unanswering, serveReads(t, notLeader))
	_, err = client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.Equal(len(received), 1)
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanUnknown)
}

// An unresponsive leader does not delay the following rounds of calls, in which another
// node becomes the leader.
func TestUnresponsiveLeaderDoesNotDelayRetries(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	next := serveReads(t, func() (*wirev1.QueueReadReply, error) {
		if calls.Add(1) < 3 {
			return nil, result.New(result.NotLeader, "not yet")
		}
		return &wirev1.QueueReadReply{Found: true}, nil
	})
	unresponsive := unresponsiveAddress(t)
	client := clientOf(t, unresponsive, next)
	client.recordLeader("h", unresponsive)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.NoErr(err)
	is.Equal(client.candidates("h"), []string{next, unresponsive})
	is.Equal(calls.Load(), int64(3))
	is.True(!client.unresponsive[unresponsive].IsZero()) // the round ended before the attempt timed out
}

// The last known leader is called first, even if it was recently unresponsive, and other
// recently unresponsive nodes are called last.
func TestCallOrder(t *testing.T) {
	now := time.Now()
	unresponsive := map[string]time.Time{"a": now.Add(-time.Second), "b": now.Add(-unresponsivePenalty), "c": now}
	is := is.New(t)
	is.Equal(callOrder([]string{"a", "b", "c", "d"}, "d", unresponsive, now), []string{"d", "b", "a", "c"})
	is.Equal(callOrder([]string{"a", "b", "c", "d"}, "c", unresponsive, now), []string{"c", "b", "d", "a"})
	is.Equal(callOrder([]string{"a", "b"}, "", nil, now), []string{"a", "b"})
}
