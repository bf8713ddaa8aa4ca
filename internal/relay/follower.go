package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/ownership"
	"cobaltramp.example/cobaltramp/internal/rpc"
)

// Nodes tells which nodes there are.
type Nodes interface {
	Self() *wirev1.NodeRecord
	Count() int
	Disks() []*wirev1.NodeRecord
	// HeardWithin reports whether a node answered this one within a time.
	HeardWithin(node string, now time.Time, within time.Duration) bool
}

// Follower takes the changes that other nodes pass on. In a large fleet one node
// with a disk in each zone follows the store, and all others follow such nodes.
type Follower struct {
	Nodes Nodes
	Pool  *rpc.Pool
	Merge *Merge

	mutex   sync.Mutex
	sources [sourcesWanted]source
	silent  map[string]time.Time
}

// source is a node whose changes are taken.
type source struct {
	address string
	// heard is when it last said that the store answers it.
	heard time.Time
}

const (
	// sourcesWanted is how many nodes pass changes on to one node at once.
	sourcesWanted = 2
	// silenceTime without a sign of life makes a source silent, and silentTime is
	// how long it is asked last then.
	silenceTime = 3 * lifeInterval
	silentTime  = 3 * time.Second
	openTimeout = 500 * time.Millisecond
	// retryLeast is the pause before the next source is asked; it doubles up to
	// retryMost as long as none tells anything, as when the store is down for all
	// or fewer nodes follow it than are wanted.
	retryLeast = 100 * time.Millisecond
	retryMost  = 1600 * time.Millisecond
	// heardTime is how long a node with a disk that was heard counts as alive;
	// such nodes ask each other once a second.
	heardTime = 2500 * time.Millisecond
	// directNodes is up to how many nodes each follows the store itself: the
	// store's calls are few then, and no other node is needed.
	directNodes = 16
)

// Run takes changes until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for slot := range sourcesWanted {
		go f.runSlot(ctx, slot)
	}
	<-ctx.Done()
}

// Wanted reports whether the fleet is so large that the store is to be followed
// through others.
func (f *Follower) Wanted() bool { return f.Nodes.Count() > directNodes }

// Relieved reports whether this node has no need to follow the store itself:
// another one does so for its zone, and a source has said lately that the store
// answers it.
func (f *Follower) Relieved() bool { return f.Wanted() && !f.leads() && f.Live() }

// leads reports whether this node follows the store for its zone: no node with a
// disk that comes before it is known to live.
func (f *Follower) leads() bool {
	self := f.Nodes.Self()
	if self.DiskId == "" {
		return false
	}
	now := time.Now()
	for _, node := range f.Nodes.Disks() {
		before := node.Zone == self.Zone && node.NodeId != self.NodeId && followWeight(node) > followWeight(self)
		if before && f.Nodes.HeardWithin(node.NodeId, now, heardTime) {
			return false
		}
	}
	return true
}

// followWeight orders the nodes of a zone by who follows the store.
func followWeight(node *wirev1.NodeRecord) uint64 { return ownership.PairWeight("store", node.NodeId) }

// Live reports whether a source has said lately that the store answers it.
func (f *Follower) Live() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for _, one := range f.sources {
		if one.address != "" && now.Sub(one.heard) < silenceTime {
			return true
		}
	}
	return false
}

func (f *Follower) runSlot(ctx context.Context, slot int) {
	wait := retryLeast
	for ctx.Err() == nil {
		address := ""
		if f.Wanted() {
			address = f.choose(slot)
		}
		told := false
		if address != "" {
			err := f.follow(ctx, slot, address, func() { told = true })
			if ctx.Err() != nil {
				return
			}
			klog.InfoS("source of the store's changes left", "address", address, "revision", f.Merge.Revision(), "err", err)
			f.leave(slot, address)
		}
		wait = min(2*wait, retryMost)
		if address == "" || told {
			wait = retryLeast
		}
		pause(ctx, wait)
	}
}

// choose picks a source that no other slot has: one that follows the store for
// its zone, this node's zone first, silent ones last.
func (f *Follower) choose(slot int) string {
	self := f.Nodes.Self()
	now := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *candidate
	for _, next := range candidates(f.Nodes.Disks(), self) {
		next.silent = now.Sub(f.silent[next.node.Address]) < silentTime
		if next.node.NodeId != self.NodeId && !f.taken(slot, next.node.Address) && (best == nil || next.before(best)) {
			best = next
		}
	}
	if best == nil {
		return ""
	}
	f.sources[slot] = source{address: best.node.Address}
	return best.node.Address
}

// candidate is a node that may be a source.
type candidate struct {
	node   *wirev1.NodeRecord
	silent bool
	// place is how many of its zone come before it in following the store.
	place int
	far   bool
	order uint64
}

// candidates ranks nodes with disks, as seen from a node.
func candidates(disks []*wirev1.NodeRecord, self *wirev1.NodeRecord) []*candidate {
	disks = slices.Clone(disks)
	slices.SortFunc(disks, func(a, b *wirev1.NodeRecord) int { return cmp.Compare(followWeight(b), followWeight(a)) })
	places := map[string]int{}
	list := make([]*candidate, 0, len(disks))
	for _, node := range disks {
		list = append(list, &candidate{node: node, place: places[node.Zone], far: node.Zone != self.Zone, order: order(self.NodeId, node.NodeId)})
		places[node.Zone]++
	}
	return list
}

// before orders candidates: the first is asked first.
func (c *candidate) before(other *candidate) bool {
	switch {
	case c.silent != other.silent:
		return other.silent
	case c.place != other.place:
		return c.place < other.place
	case c.far != other.far:
		return other.far
	default:
		return c.order < other.order
	}
}

func (f *Follower) taken(slot int, address string) bool {
	for other, one := range f.sources {
		if other != slot && one.address == address {
			return true
		}
	}
	return false
}

func order(self, node string) uint64 { return xxhash.Sum64String(self + "/" + node) }

func (f *Follower) leave(slot int, address string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.silent == nil {
		f.silent = map[string]time.Time{}
	}
	f.silent[address] = time.Now()
	f.sources[slot] = source{}
}

// follow takes a source's changes until it falls silent, or says that the store
// does not answer it. It calls heard for each reply of a source that follows the
// store.
func (f *Follower) follow(ctx context.Context, slot int, address string, heard func()) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening := time.AfterFunc(openTimeout, cancel)
	defer opening.Stop()
	stream, err := f.Pool.Open(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_FOLLOW, &wirev1.FollowRequest{After: f.Merge.Revision()})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		opening.Reset(silenceTime)
		reply := &wirev1.FollowReply{}
		if err := stream.Receive(ctx, reply); err != nil {
			return err
		}
		deliver(reply, f.Merge)
		if reply.Lost {
			return errLost
		}
		f.note(slot)
		heard()
	}
}

func (f *Follower) note(slot int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sources[slot].heard = time.Now()
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
