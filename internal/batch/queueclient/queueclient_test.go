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

// silentAddress takes connections and says nothing, like a machine that is cut
// off.
func silentAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// serving answers reads with an outcome.
func serving(t *testing.T, answer func() (*wirev1.QueueReadReply, error)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer("b", "c", &rpc.Counters{})
	server.Handle(wirev1.Method_METHOD_QUEUE_READ, func(_ context.Context, stream *rpc.ServerStream) error {
		reply, err := answer()
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

// A leader that falls silent does not keep callers from the one that leads now,
// however many ask at once.
func TestSilentLeaderIsPassedOver(t *testing.T) {
	is := is.New(t)
	live := serving(t, func() (*wirev1.QueueReadReply, error) { return &wirev1.QueueReadReply{Found: true, Total: 3}, nil })
	client := clientOf(t, silentAddress(t), live)
	client.remember("h", client.candidates("h")[0]) // the silent one led
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			reply, err := client.Read(ctx, &wirev1.QueueReadRequest{JobId: "j", Host: "h"})
			if err == nil && reply.Total != 3 {
				err = errors.New("not the reply")
			}
			results <- err
		}()
	}
	for range cap(results) {
		is.NoErr(<-results)
	}
	is.Equal(client.candidates("h")[0], live)
}

// What no node did is reported as not done; what one may have done is not.
func TestWhetherItMayHaveBeenDone(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	notLeader := func() (*wirev1.QueueReadReply, error) { return nil, result.New(result.NotLeader, "no") }
	client := clientOf(t, serving(t, notLeader), serving(t, notLeader))
	_, err := client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)

	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	unsure := func() (*wirev1.QueueReadReply, error) { return nil, result.New(result.CommitUnknown, "perhaps") }
	client = clientOf(t, serving(t, notLeader), serving(t, unsure))
	_, err = client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanUnknown)

	// A node that was silent may have done it, also if all others did not.
	ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	client = clientOf(t, silentAddress(t), serving(t, notLeader))
	_, err = client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanUnknown)
}

// A leader that fell silent does not hold up the next try at the others: one of
// them leads a moment later, long before the silent one is given up.
func TestSilentLeaderHoldsNoRoundUp(t *testing.T) {
	is := is.New(t)
	var asked atomic.Int64
	next := serving(t, func() (*wirev1.QueueReadReply, error) {
		if asked.Add(1) < 3 {
			return nil, result.New(result.NotLeader, "not yet")
		}
		return &wirev1.QueueReadReply{Found: true}, nil
	})
	silent := silentAddress(t)
	client := clientOf(t, silent, next)
	client.remember("h", silent)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err := client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.NoErr(err)
	is.Equal(client.candidates("h"), []string{next, silent})
	is.Equal(asked.Load(), int64(3))
	is.True(!client.silent[silent].IsZero()) // it was not waited for to the end of its try
}

// The last known leader is asked first, whatever it did, and who was silent lately last.
func TestAskingOrder(t *testing.T) {
	now := time.Now()
	silent := map[string]time.Time{"a": now.Add(-time.Second), "b": now.Add(-silentMemory), "c": now}
	is := is.New(t)
	is.Equal(askingOrder([]string{"a", "b", "c", "d"}, "d", silent, now), []string{"d", "b", "a", "c"})
	is.Equal(askingOrder([]string{"a", "b", "c", "d"}, "c", silent, now), []string{"c", "b", "d", "a"})
	is.Equal(askingOrder([]string{"a", "b"}, "", nil, now), []string{"a", "b"})
}
