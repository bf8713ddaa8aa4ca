package listwatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// The delay is longer during a burst and at startup than after a single change. It stays
// below half of the drain time, so that nodes learn of a leaving runner before it stops
// accepting requests.
func TestCoalescingDelays(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	const drain = 3 * time.Second
	burstDelay := time.Duration(coalescingShare * float64(drain))
	is.True(burstDelay < drain/2 && startupCoalescing < drain/2)
	is.Equal(newCoalescer(start, drain).delayAfter(start), startupCoalescing)
	is.Equal(newCoalescer(start, 0).burstDelay, defaultCoalescing)
	coalescer := newCoalescer(start.Add(-startupPeriod), drain)
	for _, step := range []struct{ at, want time.Duration }{
		{0, minCoalescing}, {100 * time.Millisecond, burstDelay}, {600 * time.Millisecond, burstDelay},
		{2 * time.Second, minCoalescing}, {5 * time.Second, minCoalescing},
	} {
		is.Equal(coalescer.delayAfter(start.Add(step.at)), step.want)
	}
}

// A watch ends before the store compacts the revision from which it started.
func TestWatchTimeoutIsShorterThanHistory(t *testing.T) {
	is := is.New(t)
	is.Equal(WatchTimeoutWithin(0), maxWatchTimeout)
	is.Equal(WatchTimeoutWithin(time.Hour), maxWatchTimeout)
	for _, history := range []time.Duration{time.Second, 10 * time.Second, 20 * time.Second} {
		is.True(WatchTimeoutWithin(history) < history)
	}
}

// discardSink is a sink that discards the contents of the store.
type discardSink struct{}

func (discardSink) Reset([]ports.Value, int64)      {}
func (discardSink) Apply([]ports.WatchEvent, int64) {}
func (discardSink) Select(relay.Selection, int64)   {}

// A node without contents waits up to peerTimeout for a peer's answer before it lists the
// store.
func TestFirstListWaitsForPeer(t *testing.T) {
	is := is.New(t)
	waiting := New(Options{Merger: relay.NewMerger(discardSink{}), PeerAnswered: func() bool { return false }})
	now := waiting.started
	is.True(waiting.waitsForPeer(now))
	is.True(!waiting.waitsForPeer(now.Add(peerTimeout))) // no peer has answered: the node lists the store
	waiting.PeerAnswered = func() bool { return true }
	is.True(!waiting.waitsForPeer(now))
	waiting.PeerAnswered = nil // the node does not wait for peers
	is.True(!waiting.waitsForPeer(now))
}
