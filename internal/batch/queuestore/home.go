package queuestore

import (
	"slices"
	"sync"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
)

// homes remembers which nodes place items where.
type homes struct {
	mutex  sync.Mutex
	at     time.Time
	totals *subset.Totals
	zones  map[string][]home
	all    []home
	// answers are those given since the lists last changed, by runner: a choice asks
	// for each runner that it reads.
	answers map[string]bool
}

// home is a node that places items, and the runners that it knows.
type home struct {
	node   string
	subset *subset.Subset // nil for all
}

func (h *home) knows(place subset.ServiceZone, position uint64) bool {
	return h.subset == nil || h.subset.Contains(place, position)
}

// homesLife is how long the live disks are taken to be the same.
const homesLife = 250 * time.Millisecond

// IsHomeOf reports whether this node is the one that places batch items at a
// runner before others do: of the live storage nodes of its zone that know it, the
// one of highest rendezvous weight. A single shard has a single node that runs items,
// whose home all runners are.
func (n *StorageNode) IsHomeOf(runner string, place subset.ServiceZone) bool {
	layout := n.Layouts.Current()
	if layout == nil || len(layout.Shards) < 2 {
		return true
	}
	h := &n.homes
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.refresh(n, layout, time.Now())
	answer, given := h.answers[runner]
	if !given {
		answer = h.isHome(n.Node, runner, place)
		h.answers[runner] = answer
	}
	return answer
}

// isHome works out an answer. The mutex is held.
func (h *homes) isHome(self, runner string, place subset.ServiceZone) bool {
	position := subset.PositionOf(runner)
	list := h.zones[place.Zone]
	if len(list) == 0 {
		list = h.all
	}
	best, most := "", uint64(0)
	for i := range list {
		if !list[i].knows(place, position) {
			continue
		}
		if weight := ownership.NodeWeight(runner, list[i].node); best == "" || weight > most {
			best, most = list[i].node, weight
		}
	}
	return best == "" || best == self
}

// refresh lists the live disks that hold shards, by zone: a node that joined later
// and leads nothing would keep its runners from items. The mutex is held.
func (h *homes) refresh(n *StorageNode, layout *Layout, now time.Time) {
	totals := n.totals()
	if h.zones != nil && now.Sub(h.at) <= homesLife && h.totals == totals {
		return
	}
	var live []*wirev1.NodeRecord
	held := layout.held()
	for _, disk := range n.placingDisks(now) {
		if held[disk.DiskId] > 0 {
			live = append(live, disk)
		}
	}
	h.at = now
	same := slices.EqualFunc(h.all, live, func(one home, disk *wirev1.NodeRecord) bool { return one.node == disk.NodeId })
	if h.zones != nil && same && h.totals == totals {
		return
	}
	h.totals, h.all, h.zones, h.answers = totals, nil, map[string][]home{}, map[string]bool{}
	for _, disk := range live {
		one := home{node: disk.NodeId}
		if totals != nil {
			one.subset = subset.Compute(subset.DefaultInterest(disk.NodeId, disk.Zone, true), *totals)
		}
		h.all = append(h.all, one)
		h.zones[disk.Zone] = append(h.zones[disk.Zone], one)
	}
}

func (n *StorageNode) totals() *subset.Totals {
	if n.Totals == nil {
		return nil
	}
	return n.Totals()
}

// placingDisks are the usable disks that place items: those that report, or in a
// large fleet, where few others report to a node, those not known to be silent.
func (n *StorageNode) placingDisks(now time.Time) []*wirev1.NodeRecord {
	if !n.Directory.Large() {
		return n.liveDisks(now)
	}
	return slices.DeleteFunc(n.usableDisks(), func(disk *wirev1.NodeRecord) bool { return n.Directory.Unresponsive(disk.NodeId) })
}
