package rpc

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
)

// Idle links must hold little memory: in a large fleet a node has about a thousand links,
// and their buffers would keep the garbage collector busy.
func TestIdleLinksHoldLittleMemory(t *testing.T) {
	is := is.New(t)
	const links, maxBytes = 200, 24 << 10 // bytes for both ends of a link, without goroutine stacks
	received := make(chan struct{}, links)
	address, _ := startServer(t, func(server *Server) {
		server.HandleNotice(wirev1.Method_METHOD_RUNNER_USE, func(string, []byte) { received <- struct{}{} })
	})
	heapInUse := func() uint64 {
		runtime.GC()
		runtime.GC() // a sync.Pool drops its contents in the second collection
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heapInUse()
	for range links {
		pool := NewPool("client", "cluster", nil, &Counters{})
		t.Cleanup(pool.Close)
		pool.Notify(address, ClassControl, wirev1.Method_METHOD_RUNNER_USE, &wirev1.RunnerUses{})
	}
	for range links {
		<-received
	}
	perLink := (heapInUse() - before) / links
	t.Logf("%d bytes per link", perLink)
	is.True(perLink < maxBytes)
}

// Idle links are closed, and a call that coincides with the closing still succeeds.
func TestIdleLinksAreClosed(t *testing.T) {
	is := is.New(t)
	counters := &Counters{}
	pool := NewPool("client", "cluster", nil, counters)
	pool.idleTimeout = time.Millisecond
	t.Cleanup(pool.Close)
	var addresses []string
	for range 20 {
		address, _ := startServer(t, func(server *Server) {
			server.Handle(wirev1.Method_METHOD_PEER_STATE, func(_ context.Context, stream *ServerStream) error {
				return stream.Send(&wirev1.PeerStateReply{})
			})
		})
		addresses = append(addresses, address)
	}
	for range 30 {
		for _, address := range addresses {
			is.NoErr(pool.Call(context.Background(), address, ClassControl, wirev1.Method_METHOD_PEER_STATE, &wirev1.PeerStateRequest{}, &wirev1.PeerStateReply{}))
		}
	}
	eventually.Require(t, "all links are closed", func() bool { return counters.Links.Load() == 0 }, func() any { return counters.Links.Load() })
	is.NoErr(pool.Call(context.Background(), addresses[0], ClassControl, wirev1.Method_METHOD_PEER_STATE, &wirev1.PeerStateRequest{}, &wirev1.PeerStateReply{}))
}

// A link with an open stream is not closed as idle, even if no message arrives.
func TestLinksWithStreamsStayOpen(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	address, _ := startServer(t, func(server *Server) {
		server.Handle(wirev1.Method_METHOD_FOLLOW, func(_ context.Context, stream *ServerStream) error {
			<-release
			return stream.Send(&wirev1.FollowReply{Revision: 7})
		})
	})
	pool := NewPool("client", "cluster", nil, &Counters{})
	pool.idleTimeout = time.Millisecond
	t.Cleanup(pool.Close)
	stream, err := pool.Open(context.Background(), address, ClassControl, wirev1.Method_METHOD_FOLLOW, &wirev1.FollowRequest{})
	is.NoErr(err)
	defer stream.Close()
	for range 20 {
		time.Sleep(time.Millisecond)
		pool.closeIdle()
	}
	close(release)
	reply := &wirev1.FollowReply{}
	is.NoErr(stream.Receive(context.Background(), reply))
	is.Equal(reply.Revision, int64(7))
}

// A call that looked up its peer just before the peer was dropped as idle does not dial
// that peer: the check for idle links would never close the link.
func TestDroppedPeerIsNotDialled(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(*Server) {})
	counters := &Counters{}
	pool := NewPool("client", "cluster", nil, counters)
	t.Cleanup(pool.Close)
	key := peerKey{address, ClassControl}
	dropped := pool.peer(address, ClassControl)
	pool.closeIdle()
	_, err := pool.linkToPeer(context.Background(), key, dropped)
	is.True(errors.Is(err, errPeerDropped))
	is.Equal(counters.Links.Load(), int64(0))
	l, err := pool.link(context.Background(), address, ClassControl)
	is.NoErr(err)
	is.Equal(pool.peers[key].current.Load(), l) // the pool holds the new link
}

// A peer that is dialled while closeIdle checks its old link is not dropped: later checks
// would not find its new link.
func TestPeerDialledDuringIdleCheckStays(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t, func(*Server) {})
	pool := NewPool("client", "cluster", nil, &Counters{})
	t.Cleanup(pool.Close)
	key := peerKey{address, ClassControl}
	_, err := pool.link(context.Background(), address, ClassControl)
	is.NoErr(err)
	pool.mutex.Lock()
	dialled := pool.peers[key]
	pool.dropIfIdle(key, dialled)
	is.Equal(pool.peers[key], dialled)
	pool.mutex.Unlock()
}
