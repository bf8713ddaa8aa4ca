package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Nodes lists the nodes of the fleet that this node knows.
type Nodes interface {
	// Self returns the record of this node.
	Self() *wirev1.NodeRecord
	// Count returns the number of nodes that this node knows.
	Count() int
	// Disks returns the records of the nodes with disks.
	Disks() []*wirev1.NodeRecord
	// Large reports whether the fleet is so large that a node knows only some of the
	// others.
	Large() bool
	// Generation increases with each change of the list of nodes.
	Generation() uint64
	// InContactWithin reports whether a node sent this node a request or a response
	// within the given time before now.
	InContactWithin(node string, now time.Time, within time.Duration) bool
	// Unresponsive reports whether a node left this node's last request unanswered.
	Unresponsive(node string) bool
}

// Follower receives the store's changes from other nodes, which are called sources. Up to
// maxDirectNodes nodes, every node watches the store and has no sources. In a fleet of a
// few hundred nodes, one node with a disk in each zone watches the store, and every node
// follows up to two of these nodes. A node that watches the store also follows others.
//
// In a large fleet the nodes form a tree of three levels. At level 0, one node with a
// disk in each zone watches the store. At level 1, the other relays of the zone, which
// are the next nodes with disks in the order of watchWeight, follow nodes of level 0. At
// level 2, all other nodes follow a relay of their zone. The number of relays is such
// that each has about fanOut followers. A node follows only nodes of lower levels, except
// that a node at level 0 without contact to the store follows the node at level 0 of
// another zone. While nodes with disks are alive, each node is at most two hops from a
// node that watches the store. A node prefers sources of its own zone.
type Follower struct {
	Nodes  Nodes
	Pool   *rpc.Pool
	Merger *Merger
	// Interest returns the node's interest, which determines its subset of the runners in
	// a large fleet. If it is nil, the node receives all runners.
	Interest func() subset.Interest
	// Lost reports whether this node has lost contact with the store, as StoreContact.Lost
	// of package listwatch does. A node that watches the store for its zone has contact
	// only if the store itself answers. Nil means that the node always has contact.
	Lost func() bool
	// Confirmed is called when a live source has shown that this node's contents were all that
	// the store held the given time ago; nil if nobody needs to know.
	Confirmed func(age time.Duration)
	// Timing is the timing of heartbeats; the zero value stands for TimingWithin(0).
	Timing FollowTiming

	cachedPosition atomic.Pointer[treePosition]

	mutex   sync.Mutex
	sources [wantedSources]sourceState
	// failed holds the time of the last failure of each source, by address.
	failed    map[string]time.Time
	isolation isolation
}

const (
	// wantedSources is the number of sources that a node follows at a time. In a large
	// fleet it is wantedSourcesInLargeFleet: a node there receives a selection, and only
	// the source of that selection knows which runners have left it.
	wantedSources             = 2
	wantedSourcesInLargeFleet = 1
	// minRetry is the pause before the next source is chosen, if no candidate was found or
	// the previous source sent an up-to-date reply. After each source that sent none, the
	// pause doubles, up to maxRetry.
	minRetry = 100 * time.Millisecond
	maxRetry = 1600 * time.Millisecond
	// maxIdle limits the interval at which a node that needs no source checks whether it
	// needs one. The interval starts at minRetry, doubles with each such check and is never
	// reset.
	maxIdle = time.Second
	// maxDirectNodes is the largest number of nodes at which every node watches the store
	// itself.
	maxDirectNodes = 16
)

// HeartbeatInterval returns the interval at which sources send heartbeats, which are
// replies without changes.
func (f *Follower) HeartbeatInterval() time.Duration { return f.Timing.orDefault().Heartbeat }

// Run receives changes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var running tasks.Group
	for slot := range wantedSources {
		running.Go(func() { f.runSlot(ctx, slot) })
	}
	running.Wait()
}

// runSlot finds and follows sources for one slot until the context ends.
func (f *Follower) runSlot(ctx context.Context, slot int) {
	wait, idle := minRetry, minRetry
	for ctx.Err() == nil {
		if !f.needsSource(slot) {
			pause.For(ctx, idle)
			idle = min(2*idle, maxIdle)
			continue
		}
		address := f.chooseSource(slot)
		answered := false
		if address != "" {
			err := f.follow(ctx, slot, address, func() { answered = true })
			if ctx.Err() != nil {
				return
			}
			klog.InfoS("stream from relay source ended", "address", address, "revision", f.Merger.Revision(), "err", err)
			f.dropSource(slot, address, !errors.Is(err, errInterestChanged) && !errors.Is(err, errSourceBehind))
		}
		wait = min(2*wait, maxRetry)
		if address == "" || answered {
			wait = minRetry
		}
		pause.For(ctx, wait)
	}
}

// NeedsRelays reports whether the fleet is too large for every node to watch the store
// itself.
func (f *Follower) NeedsRelays() bool { return f.Nodes.Large() || f.Nodes.Count() > maxDirectNodes }

// ReliesOnRelays reports whether another node watches the store for this node's zone.
func (f *Follower) ReliesOnRelays() bool { return f.NeedsRelays() && !f.watchesForZone() }

// UsesRelay reports whether this node does not need to watch the store itself: another
// node watches it for the zone, and this node has a live source.
func (f *Follower) UsesRelay() bool { return f.ReliesOnRelays() && f.HasSource() }

// InTree reports whether this node has to receive the store's changes from other nodes of
// a large fleet.
func (f *Follower) InTree() bool { return f.Nodes.Large() && f.Level() > 0 }

// watchesForZone reports whether this node watches the store for its zone: it has a disk,
// and no node of the zone with a disk and a higher watchWeight is alive. In a large fleet
// isAlive determines which nodes are alive; in a smaller fleet a node is alive if it was in
// contact within AliveTimeout.
func (f *Follower) watchesForZone() bool {
	if f.Nodes.Large() {
		return f.Level() == 0
	}
	self := f.Nodes.Self()
	if self.DiskId == "" {
		return false
	}
	now := time.Now()
	for _, node := range f.Nodes.Disks() {
		precedes := node.Zone == self.Zone && node.NodeId != self.NodeId && watchWeight(node) > watchWeight(self)
		if precedes && f.Nodes.InContactWithin(node.NodeId, now, f.Timing.orDefault().AliveTimeout) {
			return false
		}
	}
	return true
}

// needsSource reports whether a slot needs a source. In a large fleet only the first
// wantedSourcesInLargeFleet slots do, and at level 0 only without contact to the store.
func (f *Follower) needsSource(slot int) bool {
	if f.Nodes.Large() {
		return slot < wantedSourcesInLargeFleet && (f.Level() > 0 || f.storeUnavailable())
	}
	return f.NeedsRelays()
}

// storeUnavailable reports whether this node has no contact with the store. A node at
// level 0 then follows the node at level 0 of another zone. If that node has no contact
// either, it reports this in its first reply, and this node leaves it.
func (f *Follower) storeUnavailable() bool { return f.Lost != nil && f.Lost() }
