package relay

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/rpc"
)

// Nodes tells which nodes there are.
type Nodes interface {
	Self() *wirev1.NodeRecord
	Count() int
	Disks() []*wirev1.NodeRecord
}

// Follower takes the changes that nodes with disks pass on.
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
	// retryMost as long as none lives, as when the store is down for all.
	retryLeast = 100 * time.Millisecond
	retryMost  = 1600 * time.Millisecond
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
		if address != "" {
			err := f.follow(ctx, slot, address)
			if ctx.Err() != nil {
				return
			}
			klog.InfoS("source of the store's changes left", "address", address, "revision", f.Merge.Revision(), "err", err)
			f.leave(slot, address)
		}
		wait = min(2*wait, retryMost)
		if address == "" || f.Live() {
			wait = retryLeast
		}
		pause(ctx, wait)
	}
}

// choose picks a source that no other slot has: of this node's zone first, each
// node in an order of its own, silent ones last.
func (f *Follower) choose(slot int) string {
	self := f.Nodes.Self()
	disks := f.Nodes.Disks()
	now := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	rank := func(node *wirev1.NodeRecord) int {
		rank := 0
		if node.Zone != self.Zone {
			rank++
		}
		if now.Sub(f.silent[node.Address]) < silentTime {
			rank += 2
		}
		return rank
	}
	sort.SliceStable(disks, func(i, j int) bool {
		if one, other := rank(disks[i]), rank(disks[j]); one != other {
			return one < other
		}
		return order(self.NodeId, disks[i].NodeId) < order(self.NodeId, disks[j].NodeId)
	})
	for _, node := range disks {
		if !f.taken(slot, node.Address) {
			f.sources[slot] = source{address: node.Address}
			return node.Address
		}
	}
	return ""
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
// does not answer it.
func (f *Follower) follow(ctx context.Context, slot int, address string) error {
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
