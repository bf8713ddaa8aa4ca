package listwatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// Changes that follow each other are coalesced for longer; a change after a pause
// passes soon. Right after a start all are coalesced for long, and never so long that
// a leaving runner is left alone too late.
func TestChangesAreCoalesced(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	const drain = 3 * time.Second
	burstPause := time.Duration(coalescingShare * float64(drain))
	is.True(burstPause < drain/2 && startCoalescing < drain/2)
	is.Equal(newCoalescer(start, drain).pauseAfter(start), startCoalescing)
	is.Equal(newCoalescer(start, 0).burstPause, defaultCoalescing)
	coalescer := newCoalescer(start.Add(-settleTime), drain)
	for _, step := range []struct{ at, want time.Duration }{
		{0, minCoalescing}, {100 * time.Millisecond, burstPause}, {600 * time.Millisecond, burstPause},
		{2 * time.Second, minCoalescing}, {5 * time.Second, minCoalescing},
	} {
		is.Equal(coalescer.pauseAfter(start.Add(step.at)), step.want)
	}
}

// A watch never waits so long that the store forgets what came since.
func TestWatchesEndWithinTheHistory(t *testing.T) {
	is := is.New(t)
	is.Equal(WatchTimeoutWithin(0), maxWatchTimeout)
	is.Equal(WatchTimeoutWithin(time.Hour), maxWatchTimeout)
	for _, history := range []time.Duration{time.Second, 10 * time.Second, 20 * time.Second} {
		is.True(WatchTimeoutWithin(history) < history)
	}
}

// discard takes what a store holds and keeps nothing.
type discard struct{}

func (discard) Reset([]ports.Value, int64)      {}
func (discard) Apply([]ports.WatchEvent, int64) {}
func (discard) Select(relay.Selection, int64)   {}

// A node that knows nothing waits for a peer's answer before it lists the store, for a
// while.
func TestFirstListWaitsForAPeer(t *testing.T) {
	is := is.New(t)
	waiting := New(Options{Merger: relay.NewMerger(discard{}), PeerAnswered: func() bool { return false }})
	now := waiting.started
	is.True(waiting.waitsForPeer(now))
	is.True(!waiting.waitsForPeer(now.Add(peerTimeout))) // nobody answers: it asks the store
	waiting.PeerAnswered = func() bool { return true }
	is.True(!waiting.waitsForPeer(now))
	waiting.PeerAnswered = nil // none is asked
	is.True(!waiting.waitsForPeer(now))
}
