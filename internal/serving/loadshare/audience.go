package loadshare

import (
	"cmp"
	"slices"

	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// How many nodes receive reports of a runner.
const (
	// minEdges is how many edges of a runner's zone do, minStorageNodes how many
	// storage nodes if there are more than fewStorageNodes: up to so many all do,
	// since a single one may run all items.
	minEdges        = 24
	minStorageNodes = 12
	fewStorageNodes = 20
	// runnersPerEdge and runnersPerStorageNode are of how many runners a node
	// receives reports in the mean, at least: it chooses best among these.
	runnersPerEdge        = 6
	runnersPerStorageNode = 24
)

// audienceInputs is what the size of a runner's audience depends on.
type audienceInputs struct {
	// edges are those of the runner's zone, storageNodes those of all zones.
	edges, storageNodes int
	// runnersNear are the runners of its service in its zone, runnersOfService those
	// in all zones.
	runnersNear, runnersOfService int
}

// audienceSize decides how many edges and storage nodes receive reports of a
// runner.
//
// Each kind has at least minEdges and minStorageNodes, and more where there are
// many nodes for few runners, so that each node receives reports of enough runners
// to choose among; in small fleets every storage node does. The size follows the
// ratio of nodes to runners and not the fleet, so that what a request makes a node
// send does not grow with it.
func audienceSize(in audienceInputs) (edges, storageNodes int) {
	edges = kindSize(in.edges, in.runnersNear, minEdges, runnersPerEdge)
	if in.storageNodes <= fewStorageNodes {
		return edges, in.storageNodes
	}
	return edges, kindSize(in.storageNodes, in.runnersOfService, minStorageNodes, runnersPerStorageNode)
}

// kindSize is how many nodes of one kind receive reports of each of the runners, so
// that each node receives them of enough runners.
func kindSize(nodes, runners, minNodes, runnersPerNode int) int {
	if runners == 0 {
		return nodes
	}
	return min(nodes, max(minNodes, (runnersPerNode*nodes+runners-1)/runners))
}

// nearlyFullSlots is how few free slots make a runner nearly full.
const nearlyFullSlots = 2

// nearlyFull decides whether the nodes that have batch items at a runner receive a
// report of an online request there at once, whether they belong to its audience or
// not: they should preempt items. Running and batch are requests at the runner, all
// and batch items.
func nearlyFull(running, batch float64, slots int) bool {
	return batch != 0 && running >= float64(slots-nearlyFullSlots)
}

// ranking orders the nodes that may receive reports of one runner, as node ids.
// Those that come first are its audience.
type ranking struct {
	edges, storage rankedNodes
}

// rankedNodes are node ids in order, and where this node stands among them.
type rankedNodes struct {
	ids  []string
	self int // len(ids) if it is not one of them
}

// audience are the nodes that receive reports of a runner; this node may be among
// them.
type audience struct {
	edges, storage []string
	// self: this node receives them.
	self bool
}

// first returns the audience of a size, the nodes that come first.
func (r *ranking) first(edges, storage int) audience {
	edges, storage = min(edges, len(r.edges.ids)), min(storage, len(r.storage.ids))
	return audience{
		edges: r.edges.ids[:edges], storage: r.storage.ids[:storage],
		self: r.edges.self < edges || r.storage.self < storage,
	}
}

// rank orders the nodes for a runner by their rendezvous weight for it, so that the
// subsets of runners that nodes receive reports of are even, and a node that comes
// or goes changes few of them. Storage nodes of its zone come first, since items run
// in the zone they lie in if they can.
func (i *nodeIndex) rank(runner *runnerset.Runner) *ranking {
	position := subset.PositionOf(runner.ID)
	var far []*member
	for zone, nodes := range i.storage {
		if zone != runner.Zone {
			far = append(far, nodes...)
		}
	}
	near := i.ranked(runner, position, i.storage[runner.Zone])
	return &ranking{
		edges:   i.places(i.ranked(runner, position, i.edges[runner.Zone])),
		storage: i.places(append(near, i.ranked(runner, position, far)...)),
	}
}

// ranked returns the ids of those that know a runner, in the order of their weights.
func (i *nodeIndex) ranked(runner *runnerset.Runner, position uint64, nodes []*member) []string {
	type weighed struct {
		id     string
		weight uint64
	}
	var list []weighed
	for _, node := range nodes {
		if node.knows(runner, position) {
			list = append(list, weighed{node.id, ownership.NodeWeight(runner.ID, node.id)})
		}
	}
	slices.SortFunc(list, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	ids := make([]string, len(list))
	for place := range list {
		ids[place] = list[place].id
	}
	return ids
}

func (i *nodeIndex) places(ids []string) rankedNodes {
	self := slices.Index(ids, i.self)
	if self < 0 {
		self = len(ids)
	}
	return rankedNodes{ids: ids, self: self}
}
