package loadshare

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/ownership"
	"cobaltramp.example/cobaltramp/internal/runnerset"
)

// ranking orders the nodes that may be told what others have at one runner, as
// node ids. Those that come first are told: its audience.
type ranking struct {
	edges, disks rankedNodes
}

// rankedNodes are node ids in order, and where this node stands among them.
type rankedNodes struct {
	ids  []string
	self int // len(ids) if it is not one of them
}

// audience are the nodes that are told of a runner; this node may be among them.
type audience struct {
	edges, disks []string
	// self: this node is told as well.
	self bool
}

// How many nodes are told of a runner. The figures are chosen by measurement,
// docs/POLICY.md has them.
const (
	// leastEdges of a runner's zone are told of it, and leastDisks if there are
	// more than fewDisks: up to so many every one is told, since a single one may
	// run all items.
	leastEdges = 24
	leastDisks = 12
	fewDisks   = 20
	// choiceOfEdge and choiceOfDisk are of how many runners a node is told in the
	// mean, at least: it chooses best among these.
	choiceOfEdge = 6
	choiceOfDisk = 24
)

// width is how many nodes of one kind are told of each of the runners, so that
// each of the nodes is told of enough of them.
func width(nodes, runners, least, choice int) int {
	if runners == 0 {
		return nodes
	}
	return min(nodes, max(least, (choice*nodes+runners-1)/runners))
}

// audiences works out who is told of which runner: the nodes of highest
// rendezvous weight for it. So each node is told of a subset of the runners, the
// subsets are even, and a node that comes or goes changes few of them. Every
// node works out the same from the records and the list of runners; while these
// differ, a node chooses with less knowledge for a moment.
//
// The order of the nodes is kept as long as the same nodes are there: runners
// that come and go, and nodes that start again, change no other runner's.
type audiences struct {
	directory Directory
	runners   *runnerset.Set
	current   atomic.Pointer[audienceTable]
	building  sync.Mutex
}

// audienceTable holds the rankings that follow from one state of the records.
type audienceTable struct {
	generation uint64
	nodes      *nodeIndex
	byRunner   *sync.Map // runner id to *ranking
}

// nodeIndex is the records, as the audiences need them.
type nodeIndex struct {
	self      string
	edges     map[string][]ownership.Node // by zone
	disks     map[string][]ownership.Node
	diskCount int
	addresses map[string]string // by node id
}

func indexOf(directory Directory) *nodeIndex {
	index := &nodeIndex{
		self: directory.Self().NodeId, edges: map[string][]ownership.Node{}, disks: map[string][]ownership.Node{}, addresses: map[string]string{},
	}
	for _, record := range directory.Records() {
		index.add(record)
	}
	return index
}

func (i *nodeIndex) add(record *wirev1.NodeRecord) {
	node := ownership.Node{ID: record.NodeId, Zone: record.Zone, Region: record.Region}
	i.addresses[record.NodeId] = record.Address
	if record.DiskId == "" {
		i.edges[record.Zone] = append(i.edges[record.Zone], node)
		return
	}
	i.disks[record.Zone] = append(i.disks[record.Zone], node)
	i.diskCount++
}

// sameNodes reports whether two indexes hold the same nodes, whatever their
// addresses.
func (i *nodeIndex) sameNodes(other *nodeIndex) bool {
	return maps.EqualFunc(i.edges, other.edges, slices.Equal) && maps.EqualFunc(i.disks, other.disks, slices.Equal)
}

// of returns a runner's audience.
func (a *audiences) of(runner *runnerset.Runner) audience {
	table := a.table()
	ranked := table.ranking(runner)
	edges, disks := table.nodes.widthsFor(runner, a.runners.Counts())
	return audience{
		edges: ranked.edges.ids[:edges], disks: ranked.disks.ids[:disks],
		self: ranked.edges.self < edges || ranked.disks.self < disks,
	}
}

func (t *audienceTable) ranking(runner *runnerset.Runner) *ranking {
	if known, found := t.byRunner.Load(runner.ID); found {
		return known.(*ranking)
	}
	next := t.nodes.rank(runner)
	t.byRunner.Store(runner.ID, next)
	return next
}

// addresses returns where other nodes are reached; this node and those not known
// are left out.
func (a *audiences) addresses(nodes []string) []string {
	index := a.table().nodes
	addresses := make([]string, 0, len(nodes))
	for _, node := range nodes {
		if address := index.addresses[node]; address != "" && node != index.self {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (a *audiences) table() *audienceTable {
	generation := a.directory.Generation()
	if held := a.current.Load(); held != nil && held.generation == generation {
		return held
	}
	a.building.Lock()
	defer a.building.Unlock()
	next := &audienceTable{generation: generation, nodes: indexOf(a.directory), byRunner: &sync.Map{}}
	if last := a.current.Load(); last != nil && last.nodes.sameNodes(next.nodes) {
		next.byRunner = last.byRunner
	}
	a.current.Store(next)
	return next
}

// widthsFor returns how many edges and nodes with disks are told of a runner.
func (i *nodeIndex) widthsFor(runner *runnerset.Runner, counts *runnerset.Counts) (edges, disks int) {
	near := counts.Places[runnerset.Neighbourhood{Service: runner.Service, Zone: runner.Zone}]
	edges = width(len(i.edges[runner.Zone]), near, leastEdges, choiceOfEdge)
	if i.diskCount <= fewDisks {
		return edges, i.diskCount
	}
	return edges, width(i.diskCount, counts.Services[runner.Service], leastDisks, choiceOfDisk)
}

// rank orders the nodes for a runner. Nodes with disks of its zone come first,
// since items run in the zone they lie in if they can.
func (i *nodeIndex) rank(runner *runnerset.Runner) *ranking {
	disks := ownership.Ranked(runner.ID, i.disks[runner.Zone])
	var far []ownership.Node
	for zone, nodes := range i.disks {
		if zone != runner.Zone {
			far = append(far, nodes...)
		}
	}
	return &ranking{
		edges: i.ids(ownership.Ranked(runner.ID, i.edges[runner.Zone])),
		disks: i.ids(append(disks, ownership.Ranked(runner.ID, far)...)),
	}
}

func (i *nodeIndex) ids(nodes []ownership.Node) rankedNodes {
	ranked := rankedNodes{ids: make([]string, len(nodes)), self: len(nodes)}
	for place, node := range nodes {
		ranked.ids[place] = node.ID
		if node.ID == i.self {
			ranked.self = place
		}
	}
	return ranked
}
