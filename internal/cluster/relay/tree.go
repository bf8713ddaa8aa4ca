package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
)

const (
	// fanOut is about how many nodes a relay passes changes on to in a large fleet: a
	// start of all, some 50 KB each, is 3 MB for a relay. Two hops of it reach zones
	// of 4,000 nodes.
	fanOut = 64
	// minRelays is how many relays a zone has at least, with the node of level 0: one may
	// be lost without a wait.
	minRelays = 3
	// leafLevel is that of the nodes that pass nothing on.
	leafLevel = 2
	// maxWatched bounds the nodes that a node asks whether they live.
	maxWatched = 12
)

// followWeight orders the nodes of a zone by who follows the store.
func followWeight(node *wirev1.NodeRecord) uint64 { return ownership.NodeWeight("store", node.NodeId) }

// inOrder returns nodes with disks in the order in which they follow the store.
func inOrder(disks []*wirev1.NodeRecord) []*wirev1.NodeRecord {
	type weighed struct {
		node   *wirev1.NodeRecord
		weight uint64
	}
	list := make([]weighed, len(disks))
	for i, node := range disks {
		list[i] = weighed{node, followWeight(node)}
	}
	slices.SortFunc(list, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	ordered := make([]*wirev1.NodeRecord, len(list))
	for i := range list {
		ordered[i] = list[i].node
	}
	return ordered
}

// candidate is a node that may be a source.
type candidate struct {
	node *wirev1.NodeRecord
	// failed lately as a source.
	failed bool
	// place is how many of its zone come before it in following the store.
	place int
	// far: of another zone.
	far   bool
	order uint64
}

// candidates ranks nodes with disks, as seen from a node.
func candidates(disks []*wirev1.NodeRecord, self *wirev1.NodeRecord) []*candidate {
	places := map[string]int{}
	list := make([]*candidate, 0, len(disks))
	for _, node := range inOrder(disks) {
		list = append(list, &candidate{
			node: node, place: places[node.Zone], far: node.Zone != self.Zone, order: order(self.NodeId, node.NodeId),
		})
		places[node.Zone]++
	}
	return list
}

// before orders candidates: the first is asked first.
func (c *candidate) before(other *candidate) bool {
	switch {
	case c.failed != other.failed:
		return other.failed
	case c.place != other.place:
		return c.place < other.place
	case c.far != other.far:
		return other.far
	default:
		return c.order < other.order
	}
}

func order(self, node string) uint64 { return xxhash.Sum64String(self + "/" + node) }

// relays is how many relays a zone with so many nodes has.
func relays(nodes int) int { return max(minRelays, (nodes+fanOut-1)/fanOut+1) }

// zoneOrder is what follows from the records for one node's place in the tree.
type zoneOrder struct {
	generation uint64
	// before are the nodes with disks of the zone that come before this one, in order.
	before []*wirev1.NodeRecord
	// relays is how many relays the zone has.
	relays int
}

// zone works out this node's place once for each change of the records.
func (f *Follower) zone() *zoneOrder {
	generation := f.Nodes.Generation()
	if held := f.order.Load(); held != nil && held.generation == generation {
		return held
	}
	self, disks := f.Nodes.Self(), f.Nodes.Disks()
	var own []*wirev1.NodeRecord
	for _, node := range disks {
		if node.Zone == self.Zone {
			own = append(own, node)
		}
	}
	// Of the other zones only nodes with disks are known.
	next := &zoneOrder{generation: generation, relays: relays(f.Nodes.Count() - len(disks) + len(own))}
	for _, node := range inOrder(own) {
		if self.DiskId == "" || followWeight(node) > followWeight(self) {
			next.before = append(next.before, node)
		}
	}
	f.order.Store(next)
	return next
}

// Level returns the hops from the store at which this node takes its changes in a
// large fleet. A node that comes before it counts as alive until a question to it
// was left unanswered, and has not been answered for a while.
func (f *Follower) Level() uint32 {
	if f.Nodes.Self().DiskId == "" {
		return leafLevel
	}
	zone, living := f.zone(), 0
	for _, node := range zone.before {
		if living >= zone.relays {
			return leafLevel
		}
		if f.lives(node) {
			living++
		}
	}
	switch {
	case living == 0:
		return 0
	case living < zone.relays:
		return 1
	default:
		return leafLevel
	}
}

func (f *Follower) lives(node *wirev1.NodeRecord) bool {
	return !f.Nodes.Unresponsive(node.NodeId) || f.Nodes.InContactWithin(node.NodeId, time.Now(), f.Timing.orDefault().Alive)
}

// Watched lists the nodes whose life this node has to know of, to know its level:
// a relay those before it, any other node with a disk the relays of its zone as
// long as it has no live source there.
func (f *Follower) Watched() []*wirev1.NodeRecord {
	self := f.Nodes.Self()
	if self.DiskId == "" || !f.Nodes.Large() {
		return nil
	}
	zone := f.zone()
	if len(zone.before) >= zone.relays && f.liveIn(self.Zone) {
		return nil
	}
	var watched []*wirev1.NodeRecord
	living := 0
	for _, node := range zone.before {
		if living >= zone.relays || len(watched) >= maxWatched {
			break
		}
		if f.lives(node) {
			living++
		}
		watched = append(watched, node)
	}
	return watched
}

// liveIn reports whether there is a live source in a zone.
func (f *Follower) liveIn(zone string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	live := f.liveSource(time.Now())
	return live != nil && live.zone == zone
}

// treeCandidates ranks the sources of a node of a level in a large fleet.
func (f *Follower) treeCandidates(level uint32) []*candidate {
	relays := f.zone().relays
	list := candidates(f.Nodes.Disks(), f.Nodes.Self())
	living := map[string]int{}
	for _, one := range list {
		if !f.lives(one.node) {
			one.place = placeOther + one.place
			continue
		}
		one.place = living[one.node.Zone]
		living[one.node.Zone]++
		one.place = treePlace(one, level, relays)
	}
	return list
}

// Places of candidates in a large fleet, the first to be asked first.
const (
	placeAbove = iota // of the own zone, at the level above
	placeFirst        // of the own zone, two levels above
	placeFar          // of another zone
	placeOther        // no source as long as those before it live
)

func treePlace(one *candidate, level uint32, relays int) int {
	isFirst := one.place == 0
	isSource := isFirst || level == leafLevel && one.place < relays
	switch {
	case !isSource:
		return placeOther + one.place
	case one.far:
		return placeFar
	case isFirst && level == leafLevel:
		return placeFirst
	default:
		return placeAbove
	}
}
