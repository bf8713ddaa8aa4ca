package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// startEdge starts the follower of an edge in a large fleet with one relay, and returns
// it. The relay calls answer with the number of the stream.
func startEdge(t *testing.T, merger *Merger, answer func(stream int, send func(*wirev1.FollowReply))) *Follower {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	streams := 0
	server := rpc.NewServer("relay", "c", &rpc.Counters{})
	server.Handle(wirev1.Method_METHOD_FOLLOW, func(ctx context.Context, stream *rpc.ServerStream) error {
		streams++
		answer(streams, func(reply *wirev1.FollowReply) { _ = stream.Send(reply) })
		for ctx.Err() == nil {
			_ = stream.Send(&wirev1.FollowReply{})
			pause.For(ctx, 5*time.Millisecond)
		}
		return nil
	})
	go func() { _ = server.Serve(listener, nil) }()
	pool := rpc.NewPool("edge", "c", nil, &rpc.Counters{})
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "edge", Zone: "z0", Incarnation: 1})
	directory.MarkLarge()
	directory.Put(&wirev1.NodeRecord{NodeId: "relay", Zone: "z0", Address: listener.Addr().String(), DiskId: "d", Incarnation: 1})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		pool.Close()
		server.Close()
	})
	follower := &Follower{
		Nodes: directory, Pool: pool, Merger: merger, Timing: FollowTiming{Heartbeat: 5 * time.Millisecond, HeartbeatTimeout: time.Minute, AliveTimeout: time.Minute},
		Interest: func() subset.Interest { return subset.DefaultInterest("edge", "z0", false) },
	}
	go follower.Run(ctx)
	return follower
}

// The first selection from a source may be older than the revision that the node has read
// from the store. The node then requests it again, and does not count the source as live
// until it holds a selection.
func TestOutdatedSelectionIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	node := &recordingSink{values: map[string]int64{}}
	merger := NewMerger(node)
	merger.Reset([]ports.Value{{Key: "config", Revision: 4}}, 5)
	follower := startEdge(t, merger, func(stream int, send func(*wirev1.FollowReply)) {
		if stream == 1 {
			merger.Apply(nil, 20) // the node reads from the store in the meantime
			send(&wirev1.FollowReply{Selection: true, Revision: 10})
			send(&wirev1.FollowReply{Revision: 21, Items: []*wirev1.StoredItem{{Key: "config", Revision: 21}}})
			return
		}
		send(&wirev1.FollowReply{Selection: true, Revision: 22, Items: []*wirev1.StoredItem{{Key: "config", Revision: 21}}})
	})
	eventually.Require(t, "the node receives changes from the source", follower.HasSource)
	is.True(merger.Partial())
	is.Equal(merger.Revision(), int64(22))
	is.Equal(node.values["config"], int64(21))
}

// A source that is behind the node's revision, and therefore sends no update yet, is not
// live.
func TestSourceThatIsBehindIsNotLive(t *testing.T) {
	is := is.New(t)
	merger := NewMerger(&recordingSink{values: map[string]int64{}})
	merger.Reset(nil, 5)
	caughtUp := make(chan struct{})
	follower := startEdge(t, merger, func(_ int, send func(*wirev1.FollowReply)) {
		for range 3 {
			send(&wirev1.FollowReply{})
		}
		<-caughtUp
		send(&wirev1.FollowReply{Selection: true, Revision: 6})
	})
	for range 20 {
		is.True(!follower.HasSource())
		time.Sleep(time.Millisecond)
	}
	close(caughtUp)
	eventually.Require(t, "the source is live", follower.HasSource)
}

// While its sources report that the store does not answer them, a node is not isolated
// and leaves the store alone, until maxLostDuration has passed. A node whose sources
// report nothing is isolated.
func TestStoreOutageDoesNotCountAsIsolation(t *testing.T) {
	is := is.New(t)
	merger := NewMerger(&recordingSink{values: map[string]int64{}})
	merger.Reset(nil, 5)
	follower := startEdge(t, merger, func(_ int, send func(*wirev1.FollowReply)) {
		send(&wirev1.FollowReply{Lost: true})
	})
	eventually.Require(t, "the source has received two requests", func() bool {
		follower.mutex.Lock()
		defer follower.mutex.Unlock()
		return follower.isolation.lastLostReport.After(follower.isolation.firstLostReport)
	})
	is.Equal(follower.IsolatedFor(), time.Duration(0))
	is.True(!follower.HasSource())
	follower.mutex.Lock()
	follower.isolation.firstLostReport = time.Now().Add(-maxLostDuration)
	follower.mutex.Unlock()
	follower.IsolatedFor()
	time.Sleep(time.Millisecond)
	is.True(follower.IsolatedFor() > 0) // the outage has lasted for maxLostDuration

	isolated := startEdge(t, NewMerger(&recordingSink{}), func(int, func(*wirev1.FollowReply)) {})
	_ = isolated.IsolatedFor()
	time.Sleep(time.Millisecond)
	is.True(isolated.IsolatedFor() > 0)
}
