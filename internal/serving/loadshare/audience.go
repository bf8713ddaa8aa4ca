package loadshare

import (
	"cmp"
	"slices"

	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Limits for the number of nodes that receive reports of a runner.
const (
	// minEdges and minStorageNodes are the minimum numbers of receivers, if there are that
	// many nodes. In fleets with up to maxStorageNodesForAll storage nodes, all of these
	// receive reports of every runner, since a single storage node may run all items.
	minEdges              = 24
	minStorageNodes       = 12
	maxStorageNodesForAll = 20
	// runnersPerEdge and runnersPerStorageNode are the minimum numbers of runners of a
	// service about which a node receives reports, on average over the nodes. A node chooses
	// best among the runners that it receives reports of.
	runnersPerEdge        = 6
	runnersPerStorageNode = 24
)

// audienceInputs are the counts that determine the size of a runner's audience.
type audienceInputs struct {
	// edges counts the edges in the runner's zone, storageNodes the storage nodes in all
	// zones.
	edges, storageNodes int
	// runnersInZone counts the runners of its service in its zone, runnersOfService those in
	// all zones.
	runnersInZone, runnersOfService int
}

// audienceSize returns how many edges and storage nodes receive reports of a runner.
//
// The size depends on the ratio of nodes to runners, so that each node receives reports of
// enough runners to choose among. The number of notices for a request therefore does not grow
// with a fleet in which this ratio stays the same.
func audienceSize(inputs audienceInputs) (edges, storageNodes int) {
	edges = receiversPerRunner(inputs.edges, inputs.runnersInZone, minEdges, runnersPerEdge)
	if inputs.storageNodes <= maxStorageNodesForAll {
		return edges, inputs.storageNodes
	}
	return edges, receiversPerRunner(inputs.storageNodes, inputs.runnersOfService, minStorageNodes, runnersPerStorageNode)
}

// receiversPerRunner returns how many of the nodes receive reports of each runner: at least
// minNodes, and enough for a node to receive reports of runnersPerNode runners on average, but
// at most all nodes. Without runners it returns all nodes.
func receiversPerRunner(nodes, runners, minNodes, runnersPerNode int) int {
	if runners == 0 {
		return nodes
	}
	return min(nodes, max(minNodes, (runnersPerNode*nodes+runners-1)/runners))
}

// nearlyFullSlots is the number of free slots up to which a runner is nearly full.
const nearlyFullSlots = 2

// nearlyFull reports whether a runner with batch items has at most nearlyFullSlots free slots.
// The nodes with batch items there then receive reports at once, even outside the runner's
// audience, so that they can preempt items. running is the number of all requests at the
// runner, batch the number of those for batch items.
func nearlyFull(running, batch float64, slots int) bool {
	return batch != 0 && running >= float64(slots-nearlyFullSlots)
}

// ranking contains the nodes that know one runner, in the order in which they are selected for
// its audience.
type ranking struct {
	edges, storage rankedNodes
}

// rankedNodes contains node ids in order, and the index of this node among them.
type rankedNodes struct {
	ids  []string
	self int // len(ids) if this node is not in the list
}

// audience contains the ids of the nodes that receive reports of a runner, possibly including
// this node.
type audience struct {
	edges, storage []string
	// self reports whether this node receives reports of the runner.
	self bool
}

// top returns the audience with the given numbers of edges and storage nodes.
func (r *ranking) top(edges, storage int) audience {
	edges, storage = min(edges, len(r.edges.ids)), min(storage, len(r.storage.ids))
	return audience{
		edges: r.edges.ids[:edges], storage: r.storage.ids[:storage],
		self: r.edges.self < edges || r.storage.self < storage,
	}
}

// rank orders the nodes that know a runner by their rendezvous weight for the runner, so that
// the reports are spread evenly over the nodes, and a node that joins or leaves changes few
// audiences. Edges are in the runner's zone only. Storage nodes in the runner's zone precede
// those in other zones, since items preferably run in their own zone.
func (i *nodeIndex) rank(runner *runnerset.Runner) *ranking {
	position := subset.PositionOf(runner.ID)
	var far []*member
	for zone, nodes := range i.storage {
		if zone != runner.Zone {
			far = append(far, nodes...)
		}
	}
	near := i.rankedIDs(runner, position, i.storage[runner.Zone])
	return &ranking{
		edges:   i.withSelf(i.rankedIDs(runner, position, i.edges[runner.Zone])),
		storage: i.withSelf(append(near, i.rankedIDs(runner, position, far)...)),
	}
}

// rankedIDs returns the ids of the nodes that know the runner, by descending weight.
func (i *nodeIndex) rankedIDs(runner *runnerset.Runner, position uint64, nodes []*member) []string {
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
	for rank := range list {
		ids[rank] = list[rank].id
	}
	return ids
}

// withSelf adds the index of this node to a list of node ids.
func (i *nodeIndex) withSelf(ids []string) rankedNodes {
	self := slices.Index(ids, i.self)
	if self < 0 {
		self = len(ids)
	}
	return rankedNodes{ids: ids, self: self}
}
