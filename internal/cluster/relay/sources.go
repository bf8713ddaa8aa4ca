package relay

import (
	"context"
	"time"

	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// sourceState is the state of a source that this node follows.
type sourceState struct {
	address string
	zone    string
	// confirmedAt is when this node last received a reply that reported no lost store and
	// left the merger with the requested contents: all runners or a selection.
	confirmedAt time.Time
	// currentAt is the latest time at which the contents that this node holds from the source
	// were known to be all that the store held.
	currentAt time.Time
	// interest is the interest sent in the request; the zero value stands for all runners.
	// stop ends the stream; it is nil before the stream is opened.
	interest subset.Interest
	stop     context.CancelFunc
}

// failedSourceBackoff is how long a failed source ranks below all other candidates.
const failedSourceBackoff = 3 * time.Second

// HasSource reports whether this node has a live source.
func (f *Follower) HasSource() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.liveSource(time.Now()) != nil
}

// liveSource returns the first live source, or nil if there is none. The mutex is held.
func (f *Follower) liveSource(now time.Time) *sourceState {
	for slot := range f.sources {
		if source := &f.sources[slot]; f.isLive(source, now) {
			return source
		}
	}
	return nil
}

// Sources returns the addresses of the live sources.
func (f *Follower) Sources() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	var live []string
	for slot := range f.sources {
		if f.isLive(&f.sources[slot], now) {
			live = append(live, f.sources[slot].address)
		}
	}
	return live
}

// isLive reports whether a source was confirmed within the last HeartbeatTimeout, and its
// contents are not older than MaxAge. The mutex is held.
func (f *Follower) isLive(source *sourceState, now time.Time) bool {
	timing := f.Timing.orDefault()
	return source.address != "" && now.Sub(source.confirmedAt) < timing.HeartbeatTimeout && now.Sub(source.currentAt) <= timing.MaxAge
}

// chooseSource assigns the best candidate that no other slot uses to a slot, and returns
// its address. The address is empty if there is no such candidate.
func (f *Follower) chooseSource(slot int) string {
	self := f.Nodes.Self()
	list := candidates(f.Nodes.Disks(), self)
	if f.Nodes.Large() {
		list = f.treeCandidates(f.Level())
	}
	now := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var best *candidate
	for _, next := range list {
		next.failed = now.Sub(f.failed[next.node.Address]) < failedSourceBackoff
		if next.node.NodeId != self.NodeId && !f.usedByOtherSlot(slot, next.node.Address) && (best == nil || next.preferredTo(best)) {
			best = next
		}
	}
	if best == nil {
		return ""
	}
	f.sources[slot] = sourceState{address: best.node.Address, zone: best.node.Zone}
	return best.node.Address
}

// usedByOtherSlot reports whether a slot other than the given one follows an address. The
// mutex is held.
func (f *Follower) usedByOtherSlot(slot int, address string) bool {
	for other, source := range f.sources {
		if other != slot && source.address == address {
			return true
		}
	}
	return false
}

// dropSource clears a slot. If failed is true it records that the source failed.
func (f *Follower) dropSource(slot int, address string, failed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failed == nil {
		f.failed = map[string]time.Time{}
	}
	if failed {
		f.failed[address] = time.Now()
	}
	f.sources[slot] = sourceState{}
}

// confirm records that this node holds the contents of a slot's source, which are of the given
// age. Contents that are too old do not end an isolation.
func (f *Follower) confirm(slot int, age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now, source := time.Now(), &f.sources[slot]
	source.confirmedAt = now
	if current := now.Add(-age); current.After(source.currentAt) {
		source.currentAt = current
	}
	if f.isLive(source, now) {
		f.isolation.confirm()
	}
}

// reportLost records that a source reported that the store does not answer it.
func (f *Follower) reportLost() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.isolation.reportLost(time.Now())
}

// IsolatedFor returns how long this node has been isolated (see isolation).
func (f *Follower) IsolatedFor() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	return f.isolation.duration(f.liveSource(now) != nil, now)
}
