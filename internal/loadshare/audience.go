package loadshare

import (
	"maps"
	"sync"
	"sync/atomic"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/ownership"
	"cobaltramp.example/cobaltramp/internal/runnerset"
)

// audience are the nodes that are told what others have at one runner.
type audience struct {
	// edges and disks are the addresses of nodes without and with a disk, this
	// node's left out.
	edges, disks []string
	// self: this node belongs to it.
	self bool
}

// How many nodes are told of a runner. The figures are chosen by measurement,
// docs/POLICY.md has them.
const (
	// leastEdges of a runner's zone are told of it, and leastDisks if there are
	// more than fewDisks: up to so many every one is told, since a single one may
	// run all items.
	leastEdges = 12
	leastDisks = 6
	fewDisks   = 12
	// choiceOfEdge and choiceOfDisk are of how many runners a node is told in the
	// mean, at least: it chooses best among these.
	choiceOfEdge = 6
	choiceOfDisk = 12
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
type audiences struct {
	directory Directory
	runners   *runnerset.Set
	current   atomic.Pointer[audienceTable]
	building  sync.Mutex
}

// audienceTable holds the audiences that follow from one state of the records
// and the list of runners.
type audienceTable struct {
	generation uint64
	revision   int64
	counts     map[runnerset.Neighbourhood]int
	total      map[string]int // runners of each service
	nodes      *nodeIndex
	byRunner   *sync.Map // runner id to *audience
}

// nodeIndex is the records, as the audiences need them.
type nodeIndex struct {
	self      string
	edges     map[string][]ownership.Node // by zone
	disks     map[string][]ownership.Node
	diskCount int
	addresses map[string]string
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

// of returns a runner's audience.
func (a *audiences) of(runner *runnerset.Runner) *audience {
	table := a.table()
	if known, found := table.byRunner.Load(runner.ID); found {
		return known.(*audience)
	}
	next := table.work(runner)
	table.byRunner.Store(runner.ID, next)
	return next
}

// address returns where a node is reached; empty if it is not known.
func (a *audiences) address(node string) string { return a.table().nodes.addresses[node] }

func (a *audiences) table() *audienceTable {
	generation := a.directory.Generation()
	revision, _ := a.runners.Revision()
	if held := a.current.Load(); held != nil && held.generation == generation && held.revision == revision {
		return held
	}
	a.building.Lock()
	defer a.building.Unlock()
	next := a.next(generation, revision)
	a.current.Store(next)
	return next
}

// next works out the table, and keeps what still holds of the last one.
func (a *audiences) next(generation uint64, revision int64) *audienceTable {
	counts := a.runners.Neighbourhoods()
	next := &audienceTable{generation: generation, revision: revision, counts: counts, total: map[string]int{}}
	for place, count := range counts {
		next.total[place.Service] += count
	}
	last := a.current.Load()
	if last != nil && last.generation == generation {
		next.nodes = last.nodes
		if maps.Equal(last.counts, counts) {
			next.byRunner = last.byRunner
			return next
		}
	} else {
		next.nodes = indexOf(a.directory)
	}
	next.byRunner = &sync.Map{}
	return next
}

func (t *audienceTable) work(runner *runnerset.Runner) *audience {
	next := &audience{}
	place := runnerset.Neighbourhood{Service: runner.Service, Zone: runner.Zone}
	edges := t.nodes.edges[runner.Zone]
	told := ownership.Ranked(runner.ID, edges)[:width(len(edges), t.counts[place], leastEdges, choiceOfEdge)]
	next.edges = next.take(told, t.nodes)
	next.disks = next.take(t.disksFor(runner), t.nodes)
	return next
}

// disksFor lists the nodes with disks that are told of a runner: those of its
// zone first, since items run in the zone they lie in if they can.
func (t *audienceTable) disksFor(runner *runnerset.Runner) []ownership.Node {
	wanted := t.nodes.diskCount
	if wanted > fewDisks {
		wanted = width(wanted, t.total[runner.Service], leastDisks, choiceOfDisk)
	}
	near := ownership.Ranked(runner.ID, t.nodes.disks[runner.Zone])
	if len(near) >= wanted {
		return near[:wanted]
	}
	var far []ownership.Node
	for zone, disks := range t.nodes.disks {
		if zone != runner.Zone {
			far = append(far, disks...)
		}
	}
	return append(near, ownership.Ranked(runner.ID, far)[:wanted-len(near)]...)
}

// take lists the addresses of nodes, and notes whether this node is among them.
func (a *audience) take(nodes []ownership.Node, index *nodeIndex) []string {
	var addresses []string
	for _, node := range nodes {
		if node.ID == index.self {
			a.self = true
			continue
		}
		addresses = append(addresses, index.addresses[node.ID])
	}
	return addresses
}
