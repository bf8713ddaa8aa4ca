package relay

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Guards against requests to runners that have left: a source that sends heartbeats, but has not known for long whether it
// holds all that the store holds, must not keep its followers.
func TestOutdatedSourceIsNotLive(t *testing.T) {
	is := is.New(t)
	merger := NewMerger(&recordingSink{values: map[string]int64{}})
	merger.Reset(nil, 5)
	age := make(chan time.Duration)
	follower := startEdge(t, merger, func(_ int, send func(*wirev1.FollowReply)) {
		send(&wirev1.FollowReply{Selection: true, Revision: 6, AgeMs: uint64((<-age).Milliseconds())})
	})
	for range 3 { // the follower leaves the source, and tries it again
		age <- defaultMaxAge + time.Second
		is.True(!follower.HasSource())
	}
	age <- time.Second
	eventually.Require(t, "the source is live once it is current", follower.HasSource)
}

// Guards against requests to runners that have left: heartbeats of a source with outdated contents must not renew the
// contents of its follower, also if these are newer than the source's.
func TestAgeOfContentsGrowsWithoutCurrentReplies(t *testing.T) {
	is := is.New(t)
	follower := &Follower{Timing: FollowTiming{HeartbeatTimeout: time.Minute, MaxAge: 100 * time.Millisecond}}
	follower.sources[0].address = "source"
	follower.confirm(0, 40*time.Millisecond)
	is.True(follower.HasSource())
	for started := time.Now(); time.Since(started) < 80*time.Millisecond; time.Sleep(time.Millisecond) {
		follower.confirm(0, time.Hour)
	}
	is.True(!follower.HasSource())
}

// chainNode is a node of a chain in which each node follows the one before it.
type chainNode struct {
	mirror *Mirror
	// currentAt is when the contents were known to be all that the store held.
	currentAt atomic.Int64
	// alwaysCurrent is set if they always are.
	alwaysCurrent bool
}

func (n *chainNode) renew(age time.Duration) { n.currentAt.Store(time.Now().Add(-age).UnixNano()) }

func (n *chainNode) age() time.Duration {
	if n.alwaysCurrent {
		return 0
	}
	return time.Since(time.Unix(0, n.currentAt.Load()))
}

// serve starts the source of a node and returns its address.
func (n *chainNode) serve(t *testing.T, name string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(name, "c", &rpc.Counters{})
	source := &Source{Mirror: n.mirror, Lost: func() bool { return false }, Age: n.age, Timing: chainTiming}
	server.Handle(wirev1.Method_METHOD_FOLLOW, source.Serve)
	go func() { _ = server.Serve(listener, nil) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

// follow makes a node follow the source at an address.
func (n *chainNode) follow(t *testing.T, name, address string) {
	t.Helper()
	pool := rpc.NewPool(name, "c", nil, &rpc.Counters{})
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: name, Zone: "z0", Incarnation: 1})
	directory.MarkLarge()
	directory.Put(&wirev1.NodeRecord{NodeId: "source-of-" + name, Zone: "z0", Address: address, DiskId: "d", Incarnation: 1})
	follower := &Follower{Nodes: directory, Pool: pool, Merger: NewMerger(n.mirror), Confirmed: n.renew, Timing: chainTiming}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		pool.Close()
	})
	go follower.Run(ctx)
}

var chainTiming = FollowTiming{Heartbeat: 20 * time.Millisecond, HeartbeatTimeout: time.Minute, MaxAge: time.Hour, AliveTimeout: time.Minute}

// The age of a node's contents is counted from the store, not from the last hop.
func TestAgesAddUpAlongTheTree(t *testing.T) {
	is := is.New(t)
	const ageAtTheStore = 5 * time.Second
	first := &chainNode{mirror: NewMirror(nil)}
	first.mirror.Reset([]ports.Value{{Key: "config", Revision: 3}}, 3)
	first.renew(ageAtTheStore)
	address := first.serve(t, "node-0")
	for hop := 1; hop <= 3; hop++ {
		next := &chainNode{mirror: NewMirror(nil)}
		name := fmt.Sprint("node-", hop)
		next.follow(t, name, address)
		eventually.Require(t, name+" holds the contents", func() bool { return next.currentAt.Load() != 0 })
		is.True(next.age() >= ageAtTheStore)
		address = next.serve(t, name)
	}
}

// stallingSink is a sink that stands still while it applies the first contents.
type stallingSink struct {
	recordingSink
	stallFor time.Duration
	stalled  bool
}

func (s *stallingSink) Reset(values []ports.Value, revision int64) {
	if !s.stalled {
		s.stalled = true
		time.Sleep(s.stallFor)
	}
	s.recordingSink.Reset(values, revision)
}

// Guards against lists that count as current though they are behind: heartbeats that lay unread while the follower
// stood still show what their source held when they were sent.
func TestHeartbeatThatIsReadLateCountsFromItsSending(t *testing.T) {
	is := is.New(t)
	source := &chainNode{mirror: NewMirror(nil)}
	source.mirror.Reset([]ports.Value{{Key: "config", Revision: 3}}, 3)
	source.alwaysCurrent = true
	const stall = 400 * time.Millisecond
	pool := rpc.NewPool("follower", "c", nil, &rpc.Counters{})
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "follower", Zone: "z0", Incarnation: 1})
	directory.MarkLarge()
	directory.Put(&wirev1.NodeRecord{NodeId: "source", Zone: "z0", Address: source.serve(t, "source"), DiskId: "d", Incarnation: 1})
	ages := make(chan time.Duration, 64)
	sink := &stallingSink{recordingSink: recordingSink{values: map[string]int64{}}, stallFor: stall}
	follower := &Follower{Nodes: directory, Pool: pool, Merger: NewMerger(sink), Timing: chainTiming, Confirmed: func(age time.Duration) { ages <- age }}
	ctx, cancel := context.WithCancel(t.Context())
	defer pool.Close()
	defer cancel()
	go follower.Run(ctx)
	is.True(<-ages >= stall)   // the contents, which were being applied
	is.True(<-ages >= stall/2) // the first heartbeat, which lay unread
	eventually.Require(t, "heartbeats that are read at once", func() bool { return <-ages < stall/4 })
}

// Whatever the delays of replies and the difference of the clocks: no reply counts as younger than it is,
// and one that is as fast as the fastest counts as little older.
func TestDelayOfRepliesIsNotUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delays := rapid.Custom(func(t *rapid.T) time.Duration {
			if rapid.IntRange(0, 3).Draw(t, "slow") == 0 {
				return time.Duration(rapid.IntRange(0, 6000).Draw(t, "delay ms")) * time.Millisecond
			}
			return time.Millisecond
		})
		now := time.Unix(1000, 0)
		difference := time.Duration(rapid.IntRange(-1_000_000, 1_000_000).Draw(t, "difference ms")) * time.Millisecond
		clock, arrival := newSourceClock(now), now
		opening := delays.Draw(t, "opening")
		now = now.Add(opening)
		for range rapid.IntRange(1, 300).Draw(t, "replies") {
			delay := delays.Draw(t, "delay")
			reply := &wirev1.FollowReply{ClockMs: uint64(now.Add(difference).UnixMilli())}
			if arrives := now.Add(delay); arrives.After(arrival) {
				arrival = arrives // replies arrive in their order
			}
			got, want := clock.delayOf(reply, arrival), arrival.Sub(now)
			if got < want-2*time.Millisecond { // the fastest reply took one, and readings are in whole ones
				t.Fatalf("a reply that took %s counts as %s", want, got)
			}
			if got > want+opening+2*time.Millisecond {
				t.Fatalf("a reply that took %s counts as %s, the stream was opened in %s", want, got, opening)
			}
			now = now.Add(300 * time.Millisecond)
		}
	})
}
