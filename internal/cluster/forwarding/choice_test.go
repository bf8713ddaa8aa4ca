package forwarding

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

func node(id, zone, disk string) *wirev1.NodeRecord {
	return &wirev1.NodeRecord{NodeId: id, Address: id + ":1", Zone: zone, DiskId: disk}
}

// chosen returns how often each node is chosen in a number of choices.
func chosen(c choice) map[string]int {
	counts := map[string]int{}
	for range 400 {
		counts[chooseForwarder(c)]++
	}
	return counts
}

// Edges of the own zone come first, among them those that reach the target. Equal candidates
// share the load.
func TestChoiceOfForwarders(t *testing.T) {
	is := is.New(t)
	target, self := node("storage-1", "b", "disk"), node("edge-0", "a", "")
	leaving := node("edge-9", "a", "")
	leaving.Leaving = true
	c := choice{
		target: target, self: self, now: start, random: rand.IntN, peers: map[string]*peerState{},
		nodes: []*wirev1.NodeRecord{self, target, leaving, node("storage-2", "a", "disk-2"), node("edge-1", "a", ""), node("edge-2", "a", ""), node("edge-3", "b", ""), node("edge-4", "b", "")},
	}
	counts := chosen(c)
	is.Equal(len(counts), 2)
	is.True(counts["edge-1:1"] > 100 && counts["edge-2:1"] > 100)

	report := func(address string, at time.Time) {
		c.peers[address] = newPeerState()
		c.peers[address].reported, c.peers[address].reportedAt = map[string]bool{target.NodeId: true}, at
	}
	report("edge-2:1", start)
	report("edge-4:1", start)
	is.Equal(chosen(c), map[string]int{"edge-2:1": 400})
	c.used = map[string]bool{"edge-1:1": true, "edge-2:1": true}
	is.Equal(chosen(c), map[string]int{"edge-4:1": 400})
	report("edge-4:1", start.Add(-reportLifetime)) // an old report does not count
	is.Equal(len(chosen(c)), 2)
	c.peers["edge-3:1"] = newPeerState()
	c.peers["edge-3:1"].forwardedAt[target.Address] = start
	is.Equal(chosen(c), map[string]int{"edge-3:1": 400})
	c.peers["edge-3:1"].unreachableUntil[target.Address] = start.Add(time.Millisecond)
	is.Equal(chosen(c), map[string]int{"edge-4:1": 400})
	c.peers["edge-4:1"].unusableUntil = start.Add(time.Millisecond)
	is.Equal(chooseForwarder(c), "")
	c.now = start.Add(time.Millisecond)
	is.True(chooseForwarder(c) != "")
}

// A node that asks alone gets all slots, and half of them while others ask. Rate and bytes are
// bounded.
func TestLimitsOfForwarder(t *testing.T) {
	is := is.New(t)
	l := newLimits()
	acquire := func(asker string, count, bytes int, now time.Time) (acquired int) {
		for range count {
			if l.acquire(asker, bytes, now) {
				acquired++
			}
		}
		return acquired
	}
	is.Equal(acquire("a", 20, 1, start), maxForwardedCalls)
	is.Equal(acquire("b", 1, 1, start), 0)
	for range maxForwardedCalls {
		l.release("a", 1)
	}
	is.Equal(acquire("a", 20, 1, start), maxForwardedCalls/2) // b has asked
	is.Equal(acquire("b", 20, 1, start), maxForwardedCalls/2)
	for range maxForwardedCalls / 2 {
		l.release("a", 1)
		l.release("b", 1)
	}
	later := start.Add(askerLifetime)
	is.Equal(acquire("a", 20, 1, later), maxForwardedCalls) // b has not asked again
	for range maxForwardedCalls {
		l.release("a", 1)
	}
	is.Equal(l.bytes, 0)
	is.Equal(acquire("a", 3, maxForwardedBytes/2, later), 2)
	l.resize(maxForwardedBytes/2, 10)
	is.Equal(acquire("a", 1, maxForwardedBytes/2, later), 0)
	l.release("a", 10)
	l.release("a", maxForwardedBytes/2)
	is.Equal(l.bytes, 0)
	is.Equal(l.calls, 0)

	admitted := 0
	for tick := range 1000 {
		now := later.Add(time.Hour + time.Duration(tick)*time.Millisecond)
		if l.acquire("a", 1, now) {
			admitted++
			l.release("a", 1)
		}
	}
	is.True(admitted <= forwardedPerSecond+forwardedBurst)
}

// slowConnections is a Transport whose dials succeed once they are released.
type slowConnections struct {
	Transport
	release chan struct{}
}

func (s *slowConnections) Connect(ctx context.Context, _ string, _ rpc.Class) error {
	select {
	case <-s.release:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A node that is connected later than a call waits for is reached. Otherwise calls to it would
// be refused although there is a connection.
func TestLateConnectionIsUsed(t *testing.T) {
	is := is.New(t)
	caller, _ := recordingCaller(t)
	transport := &slowConnections{release: make(chan struct{})}
	caller.transport = transport
	forwarder := NewForwarder(caller, nil, prometheus.NewRegistry())
	forwarder.connectTimeout = time.Millisecond
	is.True(!forwarder.connect(context.Background(), "storage-1:1", rpc.ClassOnline))
	is.True(caller.unreachable("storage-1:1", time.Now()))
	forwarder.connectTimeout = longTimeout
	close(transport.release)
	is.True(forwarder.connect(context.Background(), "storage-1:1", rpc.ClassOnline))
}
