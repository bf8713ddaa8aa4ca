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

// audiences keeps who receives reports of which runner: of the nodes that know it
// (see package subset) those of highest rendezvous weight for it. Every node works
// out the same from the records and the number of runners; while these differ, a
// node chooses with less knowledge for a moment.
//
// The order of the nodes for a runner is kept: runners that come and go, and nodes
// that start again, change no other runner's.
type audiences struct {
	directory VersionedMembers
	runners   *runnerset.Set
	current   atomic.Pointer[audienceTable]
	building  sync.Mutex
}

// audienceTable holds the rankings that follow from one state of the records and one
// number of runners.
type audienceTable struct {
	generation uint64
	totals     *subset.Totals
	nodes      *nodeIndex
	byRunner   *rankings
}

// rankings are those of runners, by id.
type rankings struct {
	sync.Map // runner id to *ranking
	count    atomic.Int64
}

// rankingsSpare is how many rankings of runners that are gone are held at most,
// beside as many as there are runners: some 200 bytes each. Beyond that all are worked
// out anew.
const rankingsSpare = 1024

// nodeIndex is the records, as the audiences need them.
type nodeIndex struct {
	self    string
	edges   map[string][]*member // by zone
	storage map[string][]*member
	// storageCount is how many nodes storage holds.
	storageCount int
	addresses    map[string]string // by node id
}

// member is a node that may receive reports.
type member struct {
	id, zone string
	// draw is which runners it knows; nil for all.
	subset *subset.Subset
}

func (m *member) knows(runner *runnerset.Runner, position uint64) bool {
	return m.subset == nil || m.subset.Contains(subset.ServiceZone{Service: runner.Service, Zone: runner.Zone}, position)
}

func indexOf(directory VersionedMembers, totals *subset.Totals) *nodeIndex {
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

// sameNodes reports whether two indexes hold the same nodes, whatever their
// addresses.
func (i *nodeIndex) sameNodes(other *nodeIndex) bool {
	same := func(a, b []*member) bool {
		return slices.EqualFunc(a, b, func(one, two *member) bool { return one.id == two.id })
	}
	return maps.EqualFunc(i.edges, other.edges, same) && maps.EqualFunc(i.storage, other.storage, same)
}

// of returns a runner's audience.
func (a *audiences) of(runner *runnerset.Runner) audience {
	table := a.table()
	ranked := table.ranking(runner)
	a.forgetGone(table)
	return ranked.first(audienceSize(table.nodes.inputsFor(runner, a.runners.Counts())))
}

func (t *audienceTable) ranking(runner *runnerset.Runner) *ranking {
	if known, found := t.byRunner.Load(runner.ID); found {
		return known.(*ranking)
	}
	next := t.nodes.rank(runner)
	if _, held := t.byRunner.Swap(runner.ID, next); !held {
		t.byRunner.count.Add(1)
	}
	return next
}

// forgetGone drops the rankings once most are of runners that are gone.
func (a *audiences) forgetGone(table *audienceTable) {
	held := table.byRunner.count.Load()
	if held <= rankingsSpare {
		return
	}
	listed := 0
	for _, count := range a.runners.Counts().ByService {
		listed += count
	}
	if held > int64(2*listed+rankingsSpare) {
		next := *table
		next.byRunner = &rankings{}
		a.current.CompareAndSwap(table, &next)
	}
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
	generation, totals := a.directory.Generation(), a.runners.Totals()
	if held := a.current.Load(); held.holds(generation, totals) {
		return held
	}
	a.building.Lock()
	defer a.building.Unlock()
	last := a.current.Load()
	if last.holds(generation, totals) {
		return last
	}
	next := &audienceTable{generation: generation, totals: totals, nodes: indexOf(a.directory, totals), byRunner: &rankings{}}
	if last != nil && last.totals == totals && last.nodes.sameNodes(next.nodes) {
		next.byRunner = last.byRunner
	}
	a.current.Store(next)
	return next
}

func (t *audienceTable) holds(generation uint64, totals *subset.Totals) bool {
	return t != nil && t.generation == generation && t.totals == totals
}

// inputsFor counts what the size of a runner's audience depends on.
func (i *nodeIndex) inputsFor(runner *runnerset.Runner, counts *runnerset.Counts) audienceInputs {
	return audienceInputs{
		edges: len(i.edges[runner.Zone]), storageNodes: i.storageCount,
		runnersNear:      counts.ByServiceZone[subset.ServiceZone{Service: runner.Service, Zone: runner.Zone}],
		runnersOfService: counts.ByService[runner.Service],
	}
}
