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
	// fanOut is the approximate number of followers of a relay in a large fleet. When all of
	// them start at once, the relay sends each some 50 KB, about 3 MB in all. With two hops
	// of it, a zone may have some 4,000 nodes.
	fanOut = 64
	// minRelays is the minimum number of relays of a zone, including the node at level 0, so
	// that the followers of a relay that is lost have another one without a wait.
	minRelays = 3
	// leafLevel is the level of the nodes that have no followers.
	leafLevel = 2
	// maxProbed limits the number of nodes that NodesToProbe returns.
	maxProbed = 12
)

// watchWeight orders the nodes with disks of a zone. In each zone, the living node with
// the highest weight watches the store.
func watchWeight(node *wirev1.NodeRecord) uint64 { return ownership.NodeWeight("store", node.NodeId) }

// byWatchWeight returns nodes with disks by descending watchWeight.
func byWatchWeight(nodesWithDisks []*wirev1.NodeRecord) []*wirev1.NodeRecord {
	type weightedNode struct {
		node   *wirev1.NodeRecord
		weight uint64
	}
	list := make([]weightedNode, len(nodesWithDisks))
	for i, node := range nodesWithDisks {
		list[i] = weightedNode{node, watchWeight(node)}
	}
	slices.SortFunc(list, func(a, b weightedNode) int { return cmp.Compare(b.weight, a.weight) })
	ordered := make([]*wirev1.NodeRecord, len(list))
	for i := range list {
		ordered[i] = list[i].node
	}
	return ordered
}

// candidate is a node that this node may follow.
type candidate struct {
	node *wirev1.NodeRecord
	// failed is true if the candidate failed recently as a source.
	failed bool
	// rank is the number of nodes of the candidate's zone with a higher watchWeight. In a
	// large fleet treeCandidates replaces it. Lower ranks are preferred.
	rank int
	// otherZone is true if the candidate is in another zone than this node.
	otherZone bool
	tieBreak  uint64 // see the function tieBreak
}

// candidates returns the nodes with disks as candidates for the node self.
func candidates(nodesWithDisks []*wirev1.NodeRecord, self *wirev1.NodeRecord) []*candidate {
	ranks := map[string]int{}
	list := make([]*candidate, 0, len(nodesWithDisks))
	for _, node := range byWatchWeight(nodesWithDisks) {
		list = append(list, &candidate{
			node: node, rank: ranks[node.Zone], otherZone: node.Zone != self.Zone, tieBreak: tieBreak(self.NodeId, node.NodeId),
		})
		ranks[node.Zone]++
	}
	return list
}

// preferredTo reports whether a node tries c before other: first by recent failure, then
// by rank, zone and tieBreak.
func (c *candidate) preferredTo(other *candidate) bool {
	switch {
	case c.failed != other.failed:
		return other.failed
	case c.rank != other.rank:
		return c.rank < other.rank
	case c.otherZone != other.otherZone:
		return other.otherZone
	default:
		return c.tieBreak < other.tieBreak
	}
}

// tieBreak orders candidates of equal rank differently for each node, which spreads the
// followers over the candidates.
func tieBreak(self, node string) uint64 { return xxhash.Sum64String(self + "/" + node) }

// relayCount returns the number of relays of a zone with the given number of nodes.
func relayCount(nodes int) int { return max(minRelays, (nodes+fanOut-1)/fanOut+1) }

// treePosition holds the data from which a node derives its level in the tree.
type treePosition struct {
	generation uint64
	// precedingNodes holds the zone's nodes with disks that have a higher watchWeight than
	// this node, by descending watchWeight. For a node without a disk it holds all of the
	// zone's nodes with disks.
	precedingNodes []*wirev1.NodeRecord
	relayCount     int // number of relays of the zone
}

// position returns this node's position. It recomputes the position after each change of
// the list of nodes.
func (f *Follower) position() *treePosition {
	generation := f.Nodes.Generation()
	if held := f.cachedPosition.Load(); held != nil && held.generation == generation {
		return held
	}
	self, nodesWithDisks := f.Nodes.Self(), f.Nodes.Disks()
	var inZone []*wirev1.NodeRecord
	for _, node := range nodesWithDisks {
		if node.Zone == self.Zone {
			inZone = append(inZone, node)
		}
	}
	// The argument of relayCount is the number of nodes of this zone: all known nodes
	// without a disk are in this zone.
	next := &treePosition{generation: generation, relayCount: relayCount(f.Nodes.Count() - len(nodesWithDisks) + len(inZone))}
	for _, node := range byWatchWeight(inZone) {
		if self.DiskId == "" || watchWeight(node) > watchWeight(self) {
			next.precedingNodes = append(next.precedingNodes, node)
		}
	}
	f.cachedPosition.Store(next)
	return next
}

// Level returns this node's level in the tree of a large fleet. A node with a disk is at
// level 0 if no preceding node is alive, at level 1 if fewer than relayCount preceding
// nodes are alive, and otherwise at leafLevel. A node without a disk is always at
// leafLevel.
func (f *Follower) Level() uint32 {
	if f.Nodes.Self().DiskId == "" {
		return leafLevel
	}
	position, alive := f.position(), 0
	for _, node := range position.precedingNodes {
		if alive >= position.relayCount {
			return leafLevel
		}
		if f.isAlive(node) {
			alive++
		}
	}
	switch {
	case alive == 0:
		return 0
	case alive < position.relayCount:
		return 1
	default:
		return leafLevel
	}
}

// isAlive reports whether a node counts as alive. It does until it leaves a request
// unanswered and has not been in contact for AliveTimeout.
func (f *Follower) isAlive(node *wirev1.NodeRecord) bool {
	return !f.Nodes.Unresponsive(node.NodeId) || f.Nodes.InContactWithin(node.NodeId, time.Now(), f.Timing.orDefault().AliveTimeout)
}

// NodesToProbe returns the nodes that this node has to probe in order to determine its
// level: the first of the preceding nodes, until they include relayCount nodes that are
// alive, and at most maxProbed. It returns none if the fleet is not large, if this node
// has no disk, or if at least relayCount nodes precede it and it has a live source in its
// zone.
func (f *Follower) NodesToProbe() []*wirev1.NodeRecord {
	self := f.Nodes.Self()
	if self.DiskId == "" || !f.Nodes.Large() {
		return nil
	}
	position := f.position()
	if len(position.precedingNodes) >= position.relayCount && f.hasLiveSourceIn(self.Zone) {
		return nil
	}
	var toProbe []*wirev1.NodeRecord
	alive := 0
	for _, node := range position.precedingNodes {
		if alive >= position.relayCount || len(toProbe) >= maxProbed {
			break
		}
		if f.isAlive(node) {
			alive++
		}
		toProbe = append(toProbe, node)
	}
	return toProbe
}

// hasLiveSourceIn reports whether this node has a live source in a zone.
func (f *Follower) hasLiveSourceIn(zone string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	live := f.liveSource(time.Now())
	return live != nil && live.zone == zone
}

// treeCandidates returns the candidates of a node at the given level of a large fleet, with
// their ranks in the tree. Candidates that are not alive rank as rankFallback or later.
func (f *Follower) treeCandidates(level uint32) []*candidate {
	relayCount := f.position().relayCount
	list := candidates(f.Nodes.Disks(), f.Nodes.Self())
	alive := map[string]int{}
	for _, next := range list {
		if !f.isAlive(next.node) {
			next.rank = rankFallback + next.rank
			continue
		}
		next.rank = alive[next.node.Zone]
		alive[next.node.Zone]++
		next.rank = treeRank(next, level, relayCount)
	}
	return list
}

// Ranks of candidates in a large fleet. A node tries the lowest rank first.
const (
	rankLevelAbove = iota // in the same zone, one level above
	rankZoneFirst         // in the same zone, two levels above
	rankOtherZone         // in another zone
	rankFallback          // not a source for this node in the tree, or not alive; tried last
)

// treeRank returns the rank of a living candidate for a node at the given level. It
// expects option.rank to be the candidate's position among the living nodes of its zone.
func treeRank(option *candidate, level uint32, relayCount int) int {
	isFirst := option.rank == 0
	isSource := isFirst || level == leafLevel && option.rank < relayCount
	switch {
	case !isSource:
		return rankFallback + option.rank
	case option.otherZone:
		return rankOtherZone
	case isFirst && level == leafLevel:
		return rankZoneFirst
	default:
		return rankLevelAbove
	}
}
