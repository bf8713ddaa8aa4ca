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

// edgeOf returns an edge of a large fleet whose only relay answers as given, by the
// number of the stream.
func edgeOf(t *testing.T, merge *Merger, answer func(stream int, send func(*wirev1.FollowReply))) *Follower {
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
		Nodes: directory, Pool: pool, Merger: merge, Timing: FollowTiming{Heartbeat: 5 * time.Millisecond, HeartbeatTimeout: time.Minute, Alive: time.Minute},
		Interest: func() subset.Interest { return subset.DefaultInterest("edge", "z0", false) },
	}
	go follower.Run(ctx)
	return follower
}

// A node that has followed the store itself may be past the selection that a source
// sends first. It asks again; until it holds a selection the source does not count as
// one that keeps it up to date, since what that sends next would be left out.
func TestSelectionThatComesTooLateIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	node := &selected{values: map[string]int64{}}
	merge := NewMerger(node)
	merge.Reset([]ports.Value{{Key: "config", Revision: 4}}, 5)
	follower := edgeOf(t, merge, func(stream int, send func(*wirev1.FollowReply)) {
		if stream == 1 {
			merge.Apply(nil, 20) // what the store itself has returned meanwhile
			send(&wirev1.FollowReply{Selection: true, Revision: 10})
			send(&wirev1.FollowReply{Revision: 21, Items: []*wirev1.StoredItem{{Key: "config", Revision: 21}}})
			return
		}
		send(&wirev1.FollowReply{Selection: true, Revision: 22, Items: []*wirev1.StoredItem{{Key: "config", Revision: 21}}})
	})
	eventually.Require(t, "the node takes its changes from the source", follower.Live)
	is.True(merge.Partial())
	is.Equal(merge.Revision(), int64(22))
	is.Equal(node.values["config"], int64(21))
}

// A source that is behind what a node holds, and so sends nothing yet, does not count
// as one that keeps it up to date.
func TestSourceThatIsBehindDoesNotCount(t *testing.T) {
	is := is.New(t)
	merge := NewMerger(&selected{values: map[string]int64{}})
	merge.Reset(nil, 5)
	caughtUp := make(chan struct{})
	follower := edgeOf(t, merge, func(_ int, send func(*wirev1.FollowReply)) {
		for range 3 {
			send(&wirev1.FollowReply{})
		}
		<-caughtUp
		send(&wirev1.FollowReply{Selection: true, Revision: 6})
	})
	for range 20 {
		is.True(!follower.Live())
		time.Sleep(time.Millisecond)
	}
	close(caughtUp)
	eventually.Require(t, "it counts", follower.Live)
}

// While sources answer and say that the store does not answer them, a node leaves the
// store alone: it is down for all, and would return to all nodes at once. A node whose sources say
// nothing is alone.
func TestOutageOfTheStoreIsolatesNobody(t *testing.T) {
	is := is.New(t)
	merge := NewMerger(&selected{values: map[string]int64{}})
	merge.Reset(nil, 5)
	follower := edgeOf(t, merge, func(_ int, send func(*wirev1.FollowReply)) {
		send(&wirev1.FollowReply{Lost: true})
	})
	eventually.Require(t, "the source was asked twice", func() bool {
		follower.mutex.Lock()
		defer follower.mutex.Unlock()
		return follower.isolation.lost.After(follower.isolation.lostSince)
	})
	is.Equal(follower.IsolatedFor(), time.Duration(0))
	is.True(!follower.Live())
	follower.mutex.Lock()
	follower.isolation.lostSince = time.Now().Add(-maxLostTime)
	follower.mutex.Unlock()
	follower.IsolatedFor()
	time.Sleep(time.Millisecond)
	is.True(follower.IsolatedFor() > 0) // so long no outage lasts

	silent := edgeOf(t, NewMerger(&selected{}), func(int, func(*wirev1.FollowReply)) {})
	_ = silent.IsolatedFor()
	time.Sleep(time.Millisecond)
	is.True(silent.IsolatedFor() > 0)
}
