package queuestore

import (
	"sync"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/ownership"
)

// homes remembers for a moment which nodes place items where.
type homes struct {
	mutex sync.Mutex
	at    time.Time
	zones map[string][]*wirev1.NodeRecord
	all   []*wirev1.NodeRecord
}

// homesLife is how long the live disks are taken to be the same.
const homesLife = 250 * time.Millisecond

// IsHomeOf reports whether this node is the one that places batch items at a
// runner before others do: one of the live storage nodes of its zone, by
// rendezvous weight. A single shard has a single node that runs items, whose
// home all runners are.
func (n *Node) IsHomeOf(runner, zone string) bool {
	layout := n.Layouts.Current()
	if layout == nil || len(layout.Shards) < 2 {
		return true
	}
	var best *wirev1.NodeRecord
	for _, disk := range n.homes.in(zone, n) {
		if best == nil || ownership.PairWeight(runner, disk.NodeId) > ownership.PairWeight(runner, best.NodeId) {
			best = disk
		}
	}
	return best == nil || best.NodeId == n.Node
}

// in lists the live disks of a zone that hold shards, or all if it has none: a
// node that joined later and leads nothing would keep its runners from items.
func (h *homes) in(zone string, n *Node) []*wirev1.NodeRecord {
	now := time.Now()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.zones == nil || now.Sub(h.at) > homesLife {
		h.at, h.all = now, nil
		h.zones = map[string][]*wirev1.NodeRecord{}
		held := n.Layouts.Current().held()
		for _, disk := range n.liveDisks(now) {
			if held[disk.DiskId] > 0 {
				h.all = append(h.all, disk)
				h.zones[disk.Zone] = append(h.zones[disk.Zone], disk)
			}
		}
	}
	if list := h.zones[zone]; len(list) > 0 {
		return list
	}
	return h.all
}
