package listwatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// longestDelay returns the longest of many pauses after the last failure, and shortestDelay
// the shortest.
func longestDelay(reflector *Reflector) time.Duration {
	var longest time.Duration
	for range 1000 {
		longest = max(longest, reflector.retryDelay())
	}
	return longest
}

func shortestDelay(reflector *Reflector) time.Duration {
	shortest := time.Hour
	for range 1000 {
		shortest = min(shortest, reflector.retryDelay())
	}
	return shortest
}

var (
	errRefused    = trace.Wrap(ports.ErrUnavailable, "status 503")
	errUnanswered = trace.Wrap(ports.ErrOutcomeUnknown, "timeout")
)

// newFailingReflector returns a reflector whose calls have been refused for a while.
func newFailingReflector(relays *relay.Follower) *Reflector {
	reflector := New(Options{Contact: NewStoreContact(), Merger: relay.NewMerger(discardSink{}), Relays: relays})
	for range 5 {
		reflector.recordResult(errRefused)
	}
	return reflector
}

// After an outage of the store, the first call on a connection that went silent during the
// outage must be followed at once by a call on a new one.
func TestFirstCallWithoutResponseIsRetriedAtOnce(t *testing.T) {
	is := is.New(t)
	reflector := newFailingReflector(nil)
	is.True(shortestDelay(reflector) >= minRetry)
	reflector.recordResult(errUnanswered)
	is.True(longestDelay(reflector) < minRetry)
	reflector.recordResult(errUnanswered) // the store does not answer on a new connection either
	is.True(shortestDelay(reflector) >= minRetry)
	reflector.recordResult(errRefused)
	reflector.recordResult(errUnanswered) // another connection went silent
	is.True(longestDelay(reflector) < minRetry)
}

// A node that watches the store for its zone must not pause for as long as the many nodes that
// rely on it, since all of them wait for it after an outage.
func TestZoneWatcherRetriesSoonerThanItsFollowers(t *testing.T) {
	is := is.New(t)
	fleetOf := func(self *wirev1.NodeRecord) *relay.Follower {
		directory := peers.NewDirectory(self)
		for i := range 20 {
			directory.Put(&wirev1.NodeRecord{NodeId: fmt.Sprint("edge-", i), Zone: self.Zone, Incarnation: 1})
		}
		return &relay.Follower{Nodes: directory}
	}
	watcher := newFailingReflector(fleetOf(&wirev1.NodeRecord{NodeId: "s1", Zone: "z", DiskId: "disk-1", Incarnation: 1}))
	is.True(longestDelay(watcher) <= maxRetry)
	follower := newFailingReflector(fleetOf(&wirev1.NodeRecord{NodeId: "edge", Zone: "z", Incarnation: 1}))
	is.True(shortestDelay(follower) >= relayedRetryFactor*minRetry)
}
