package queuestore

import (
	"slices"
	"sync"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// homeCache caches for which runners this node is the home; see IsHomeOf.
type homeCache struct {
	mutex            sync.Mutex
	checkedAt        time.Time
	totals           *subset.Totals
	candidatesByZone map[string][]homeCandidate
	candidates       []homeCandidate
	// decisions holds the results of isHome by runner ID since the candidates or totals
	// last changed. They are cached because choosing a runner for an item calls IsHomeOf
	// for many runners.
	decisions map[string]bool
}

// homeCandidate is a node that dispatches items, with the subset of runners it knows.
type homeCandidate struct {
	node   string
	subset *subset.Subset // nil if the node knows all runners
}

// knowsRunner reports whether the node knows the runner with the given zone and position.
func (h *homeCandidate) knowsRunner(serviceZone subset.ServiceZone, position uint64) bool {
	return h.subset == nil || h.subset.Contains(serviceZone, position)
}

// homeCacheTTL is how long the list of live disks is reused, unless the totals change.
const homeCacheTTL = 250 * time.Millisecond

// IsHomeOf reports whether this node is the home of a runner. The home of a runner is the
// node that dispatches batch items to the runner in preference to other nodes. Candidates
// are the live nodes in the runner's zone whose disks hold shards, or those of all zones if
// the runner's zone has none. The home is the candidate with the highest rendezvous weight
// among those that know the runner.
//
// The result is also true if no candidate knows the runner, if no layout is known, and if
// there is a single shard, because only one node dispatches items then.
func (n *StorageNode) IsHomeOf(runner string, serviceZone subset.ServiceZone) bool {
	layout := n.Layouts.Current()
	if layout == nil || len(layout.Shards) < 2 {
		return true
	}
	h := &n.homeCache
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.refresh(n, layout, time.Now())
	decision, cached := h.decisions[runner]
	if !cached {
		decision = h.isHome(n.Node, runner, serviceZone)
		h.decisions[runner] = decision
	}
	return decision
}

// isHome computes the result of IsHomeOf from the candidates. The caller holds the mutex.
func (h *homeCache) isHome(self, runner string, serviceZone subset.ServiceZone) bool {
	position := subset.PositionOf(runner)
	list := h.candidatesByZone[serviceZone.Zone]
	if len(list) == 0 {
		list = h.candidates
	}
	bestNode, bestWeight := "", uint64(0)
	for i := range list {
		if !list[i].knowsRunner(serviceZone, position) {
			continue
		}
		if weight := ownership.NodeWeight(runner, list[i].node); bestNode == "" || weight > bestWeight {
			bestNode, bestWeight = list[i].node, weight
		}
	}
	return bestNode == "" || bestNode == self
}

// refresh updates the candidates if they are older than homeCacheTTL or the totals have
// changed. Nodes whose disks hold no shards are not candidates, because they dispatch no
// items. The caller holds the mutex.
func (h *homeCache) refresh(n *StorageNode, layout *Layout, now time.Time) {
	totals := n.totals()
	if h.candidatesByZone != nil && now.Sub(h.checkedAt) <= homeCacheTTL && h.totals == totals {
		return
	}
	var live []*wirev1.NodeRecord
	shardsPerDisk := layout.shardsPerDisk()
	for _, disk := range n.homeCandidateDisks(now) {
		if shardsPerDisk[disk.DiskId] > 0 {
			live = append(live, disk)
		}
	}
	h.checkedAt = now
	same := slices.EqualFunc(h.candidates, live, func(candidate homeCandidate, disk *wirev1.NodeRecord) bool { return candidate.node == disk.NodeId })
	if h.candidatesByZone != nil && same && h.totals == totals {
		return
	}
	h.totals, h.candidates, h.candidatesByZone, h.decisions = totals, nil, map[string][]homeCandidate{}, map[string]bool{}
	for _, disk := range live {
		candidate := homeCandidate{node: disk.NodeId}
		if totals != nil {
			candidate.subset = subset.Compute(subset.DefaultInterest(disk.NodeId, disk.Zone, true), *totals)
		}
		h.candidates = append(h.candidates, candidate)
		h.candidatesByZone[disk.Zone] = append(h.candidatesByZone[disk.Zone], candidate)
	}
}

// totals returns the current numbers of runners, or nil if every node knows all runners.
func (n *StorageNode) totals() *subset.Totals {
	if n.Totals == nil {
		return nil
	}
	return n.Totals()
}

// homeCandidateDisks returns the usable disks of live nodes. In a large fleet, where each
// node is in contact with few others, it returns all usable disks except those of nodes that
// are known to be unresponsive.
func (n *StorageNode) homeCandidateDisks(now time.Time) []*wirev1.NodeRecord {
	if !n.Directory.Large() {
		return n.liveDisks(now)
	}
	return slices.DeleteFunc(n.usableDisks(), func(disk *wirev1.NodeRecord) bool { return n.Directory.Unresponsive(disk.NodeId) })
}
