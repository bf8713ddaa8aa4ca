package loadshare

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// audiences computes the audience of each runner: the nodes with the highest rendezvous weight
// among the nodes that know the runner (see package subset and nodeIndex.rank). All nodes
// compute the same audiences from the same node records and runner counts. While these
// differ between nodes, some reports are missing.
//
// The ranking of the nodes for a runner is cached. It stays cached when nodes restart, and when
// other runners come and go without changing the subsets of runners that nodes know.
type audiences struct {
	directory  VersionedDirectory
	runners    *runnerset.Set
	current    atomic.Pointer[audienceTable]
	buildMutex sync.Mutex
}

// audienceTable contains the rankings for one generation of the node records and one state of
// the runner counts. totals is nil if the counts are unknown; all nodes are then assumed to know
// all runners.
type audienceTable struct {
	generation uint64
	totals     *subset.Totals
	nodes      *nodeIndex
	byRunner   *rankings
}

// rankings caches the ranking for each runner.
type rankings struct {
	sync.Map // rankingKey to *ranking
	count    atomic.Int64
}

// rankingKey contains what a ranking depends on. A runner may restart under its id in another
// zone or for another service.
type rankingKey struct{ runner, service, zone string }

// maxStaleRankings limits the cache of rankings, some 200 bytes each: it is cleared when it
// contains maxStaleRankings more than twice the number of current runners.
const maxStaleRankings = 1024

// nodeIndex groups the node records by role and zone.
type nodeIndex struct {
	self    string
	edges   map[string][]*member // by zone
	storage map[string][]*member
	// storageCount is the number of storage nodes in all zones.
	storageCount int
	addresses    map[string]string // by node id
}

// member is a node that may receive reports.
type member struct {
	id, zone string
	// subset is the subset of runners that the node knows; nil means all runners.
	subset *subset.Subset
}

// knows reports whether the node's subset contains a runner, whose position is given by
// subset.PositionOf.
func (m *member) knows(runner *runnerset.Runner, position uint64) bool {
	return m.subset == nil || m.subset.Contains(subset.ServiceZone{Service: runner.Service, Zone: runner.Zone}, position)
}

func newNodeIndex(directory VersionedDirectory, totals *subset.Totals) *nodeIndex {
	index := &nodeIndex{
		self: directory.Self().NodeId, edges: map[string][]*member{}, storage: map[string][]*member{}, addresses: map[string]string{},
	}
	for _, record := range directory.Records() {
		index.add(record, totals)
	}
	return index
}

func (i *nodeIndex) add(record *wirev1.NodeRecord, totals *subset.Totals) {
	node := &member{id: record.NodeId, zone: record.Zone}
	hasDisk := record.DiskId != ""
	if totals != nil {
		node.subset = subset.Compute(subset.DefaultInterest(record.NodeId, record.Zone, hasDisk), *totals)
	}
	i.addresses[record.NodeId] = record.Address
	if !hasDisk {
		i.edges[record.Zone] = append(i.edges[record.Zone], node)
		return
	}
	i.storage[record.Zone] = append(i.storage[record.Zone], node)
	i.storageCount++
}

// sameNodes reports whether two indexes contain the same node ids in the same order, by role
// and zone. It ignores addresses and subsets.
func (i *nodeIndex) sameNodes(other *nodeIndex) bool {
	same := func(a, b []*member) bool {
		return slices.EqualFunc(a, b, func(first, second *member) bool { return first.id == second.id })
	}
	return maps.EqualFunc(i.edges, other.edges, same) && maps.EqualFunc(i.storage, other.storage, same)
}

// of returns a runner's audience.
func (a *audiences) of(runner *runnerset.Runner) audience {
	table := a.table()
	ranked := table.ranking(runner)
	a.dropStaleRankings(table)
	return ranked.top(audienceSize(table.nodes.inputsFor(runner, a.runners.Counts())))
}

// ranking returns the ranking for a runner from the cache, or computes and caches it.
func (t *audienceTable) ranking(runner *runnerset.Runner) *ranking {
	key := rankingKey{runner.ID, runner.Service, runner.Zone}
	if cached, found := t.byRunner.Load(key); found {
		return cached.(*ranking)
	}
	next := t.nodes.rank(runner)
	if _, existed := t.byRunner.Swap(key, next); !existed {
		t.byRunner.count.Add(1)
	}
	return next
}

// dropStaleRankings clears the cache if most of its rankings belong to removed runners (see
// maxStaleRankings).
func (a *audiences) dropStaleRankings(table *audienceTable) {
	cached := table.byRunner.count.Load()
	if cached <= maxStaleRankings {
		return
	}
	listed := 0
	for _, count := range a.runners.Counts().ByService {
		listed += count
	}
	if cached > int64(2*listed+maxStaleRankings) {
		next := *table
		next.byRunner = &rankings{}
		a.current.CompareAndSwap(table, &next)
	}
}

// addresses returns the addresses of the given nodes, without this node and unknown nodes.
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

// table returns the table for the current node records and runner counts, and builds it if they
// have changed. The new table keeps the cached rankings if these cannot have changed.
func (a *audiences) table() *audienceTable {
	generation, totals := a.directory.Generation(), a.runners.Totals()
	if current := a.current.Load(); current.matches(generation, totals) {
		return current
	}
	a.buildMutex.Lock()
	defer a.buildMutex.Unlock()
	previous := a.current.Load()
	if previous.matches(generation, totals) {
		return previous
	}
	next := &audienceTable{generation: generation, totals: totals, nodes: newNodeIndex(a.directory, totals), byRunner: &rankings{}}
	if previous != nil && previous.totals == totals && previous.nodes.sameNodes(next.nodes) {
		next.byRunner = previous.byRunner
	}
	a.current.Store(next)
	return next
}

func (t *audienceTable) matches(generation uint64, totals *subset.Totals) bool {
	return t != nil && t.generation == generation && t.totals == totals
}

// inputsFor returns the counts that determine the size of a runner's audience.
func (i *nodeIndex) inputsFor(runner *runnerset.Runner, counts *runnerset.Counts) audienceInputs {
	return audienceInputs{
		edges: len(i.edges[runner.Zone]), storageNodes: i.storageCount,
		runnersInZone:    counts.ByServiceZone[subset.ServiceZone{Service: runner.Service, Zone: runner.Zone}],
		runnersOfService: counts.ByService[runner.Service],
	}
}
