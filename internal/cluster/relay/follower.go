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

// Nodes are the nodes of the fleet, as this one knows them.
type Nodes interface {
	Self() *wirev1.NodeRecord
	Count() int
	Disks() []*wirev1.NodeRecord
	// Large reports whether the fleet is so large that nodes know parts of it.
	Large() bool
	// Generation rises with each change of the nodes.
	Generation() uint64
	// InContactWithin reports whether a node answered this one, or asked it, within a
	// time, and Unresponsive whether it left the last question unanswered.
	InContactWithin(node string, now time.Time, within time.Duration) bool
	Unresponsive(node string) bool
}

// Follower takes the changes that other nodes pass on. In a fleet of some hundred
// nodes one node with a disk in each zone follows the store, and all others follow
// two such nodes.
//
// In a large fleet nodes form a tree. At level 0 one node with a disk in each zone
// follows the store. At level 1 the zone's other relays, which come next in the
// order of its nodes with disks, follow those of level 0. At level 2 all other
// nodes follow a relay of their zone; there are as many relays as it takes for each
// to have about fanOut followers. A node passes on only to a higher level, so no
// two follow each other. A change is two hops from every node, of which one crosses
// a zone's border where the zone's own source at level 0 has fallen out.
type Follower struct {
	Nodes  Nodes
	Pool   *rpc.Pool
	Merger *Merger
	// Interest returns the runners that this node wants to know in a large fleet.
	Interest func() subset.Interest
	// Lost reports whether the store does not answer this node; nil stands for never.
	Lost   func() bool
	Timing FollowTiming

	order atomic.Pointer[zoneOrder]

	mutex   sync.Mutex
	sources [wantedSources]sourceState
	// failed is when a source last failed, by address.
	failed    map[string]time.Time
	isolation isolation
}

const (
	// wantedSources is how many nodes pass changes on to one node at once, and
	// wantedSourcesInLarge how many in a large fleet: there a node gets a selection, and
	// only one source can say what has left it.
	wantedSources        = 2
	wantedSourcesInLarge = 1
	// minRetry is the pause before the next source is asked; it doubles up to maxRetry as
	// long as none answers, as when the store is down for all or fewer nodes follow it
	// than are wanted.
	minRetry = 100 * time.Millisecond
	maxRetry = 1600 * time.Millisecond
	// maxIdle is how long a node of a small fleet, or one that follows the store for
	// others, waits before it looks again whether it needs a source; just after its
	// start it looks as often as it would ask.
	maxIdle = time.Second
	// maxDirectNodes is up to how many nodes each follows the store itself: the
	// store's calls are few then, and no other node is needed.
	maxDirectNodes = 16
)

// HeartbeatInterval is how often a source says that it lives.
func (f *Follower) HeartbeatInterval() time.Duration { return f.Timing.orDefault().Heartbeat }

// Run takes changes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var running tasks.Group
	for slot := range wantedSources {
		running.Go(func() { f.runSlot(ctx, slot) })
	}
	running.Wait()
}

// runSlot keeps a source for one slot.
func (f *Follower) runSlot(ctx context.Context, slot int) {
	wait, idle := minRetry, minRetry
	for ctx.Err() == nil {
		if !f.wantsSource(slot) {
			pause.For(ctx, idle)
			idle = min(2*idle, maxIdle)
			continue
		}
		address := f.choose(slot)
		answered := false
		if address != "" {
			err := f.follow(ctx, slot, address, func() { answered = true })
			if ctx.Err() != nil {
				return
			}
			klog.InfoS("source of the store's changes left", "address", address, "revision", f.Merger.Revision(), "err", err)
			f.leave(slot, address, !errors.Is(err, errOtherInterest) && !errors.Is(err, errBehind))
		}
		wait = min(2*wait, maxRetry)
		if address == "" || answered {
			wait = minRetry
		}
		pause.For(ctx, wait)
	}
}

// Wanted reports whether the fleet is so large that the store is to be followed
// through others.
func (f *Follower) Wanted() bool { return f.Nodes.Large() || f.Nodes.Count() > maxDirectNodes }

// UsesRelay reports whether this node has no need to follow the store itself:
// another one does so for its zone, and a source has said lately that the store
// answers it.
func (f *Follower) UsesRelay() bool { return f.Wanted() && !f.followsForZone() && f.Live() }

// InTree reports whether this node takes the store's changes from others in a large
// fleet, or is to.
func (f *Follower) InTree() bool { return f.Nodes.Large() && f.Level() > 0 }

// followsForZone reports whether this node follows the store for its zone: no node with
// a disk that comes before it is known to live.
func (f *Follower) followsForZone() bool {
	if f.Nodes.Large() {
		return f.Level() == 0
	}
	self := f.Nodes.Self()
	if self.DiskId == "" {
		return false
	}
	now := time.Now()
	for _, node := range f.Nodes.Disks() {
		before := node.Zone == self.Zone && node.NodeId != self.NodeId && followWeight(node) > followWeight(self)
		if before && f.Nodes.InContactWithin(node.NodeId, now, f.Timing.orDefault().Alive) {
			return false
		}
	}
	return true
}

// wantsSource reports whether a slot is to have a source.
func (f *Follower) wantsSource(slot int) bool {
	if f.Nodes.Large() {
		return slot < wantedSourcesInLarge && (f.Level() > 0 || f.turnedAway())
	}
	return f.Wanted()
}

// turnedAway reports whether the store does not answer this node, which follows it for
// a zone. It then takes the changes of who does so for another: that is at level 0 as
// well, but no two can follow each other, since who is turned away says so and is left.
func (f *Follower) turnedAway() bool { return f.Lost != nil && f.Lost() }
