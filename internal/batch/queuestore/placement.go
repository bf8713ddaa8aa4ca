package queuestore

import (
	"slices"
	"sort"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/placement"
)

// chooseMembers returns the members of a shard: the kept members and, up to the wanted number,
// some of the given disks. placement.Rule chooses them with zoneRank.
func (n *StorageNode) chooseMembers(shard uint32, disks []*wirev1.NodeRecord, keep []string, shardsPerDisk map[string]int) []string {
	candidates := make([]placement.Disk, 0, len(disks))
	for _, disk := range disks {
		candidates = append(candidates, placement.Disk{ID: disk.DiskId, Zone: disk.Zone, Shards: shardsPerDisk[disk.DiskId]})
	}
	rule := placement.Rule{MemberCount: n.wantedMemberCount(), ZoneRank: n.zoneRank}
	return rule.Choose(shard, candidates, keep, n.zoneOf)
}

// zoneOf returns the zone of a disk, and false if the disk is unknown.
func (n *StorageNode) zoneOf(disk string) (string, bool) {
	record, known := n.Directory.Disk(disk)
	if !known {
		return "", false
	}
	return record.Zone, true
}

// zoneRank ranks zones by their number of members of a shard, for placement.Rule. Zones with
// at least one member, but fewer than DiskLosses, come first, so that replication causes less
// traffic between zones. All other zones are ranked by their number of members, zones with
// the fewest members first, so that in a new member set no zone has more than DiskLosses
// members if there are enough zones and disks. The shard then keeps a quorum when a zone is
// lost.
func (n *StorageNode) zoneRank(members int) int {
	switch {
	case members > 0 && members < n.DiskLosses:
		return -1
	default:
		return members
	}
}

// shardsPerDisk returns the number of shards on each disk, by disk ID. For a nil layout it
// returns an empty map.
func (l *Layout) shardsPerDisk() map[string]int {
	shardsPerDisk := map[string]int{}
	if l == nil {
		return shardsPerDisk
	}
	for _, memberSet := range l.Shards {
		for _, member := range memberSet.Members {
			shardsPerDisk[member]++
		}
	}
	return shardsPerDisk
}

// maxProbedSpares bounds the number of spare disks that are probed for a shard.
const maxProbedSpares = 4

// probeSpares requests probes of some disks that could replace members of a shard, so that
// liveDisks contains them if they respond. It does nothing unless the fleet is large, because
// in other fleets every node is in contact with all disks.
func (n *StorageNode) probeSpares(shard uint32, members []string, now time.Time) {
	if !n.Directory.Large() {
		return
	}
	disks := slices.DeleteFunc(n.usableDisks(), func(disk *wirev1.NodeRecord) bool {
		return slices.Contains(members, disk.DiskId) || n.Directory.Unresponsive(disk.NodeId)
	})
	sort.Slice(disks, func(i, j int) bool {
		return placement.Weight(shard, disks[i].DiskId) > placement.Weight(shard, disks[j].DiskId)
	})
	for _, disk := range disks[:min(maxProbedSpares, len(disks))] {
		n.Directory.RequestProbe(disk.NodeId, now)
	}
}

// liveDisks returns the usable disks whose nodes this node has been in contact with within
// unresponsiveDiskTimeout.
func (n *StorageNode) liveDisks(now time.Time) []*wirev1.NodeRecord {
	var live []*wirev1.NodeRecord
	for _, disk := range n.usableDisks() {
		if n.Directory.InContactWithin(disk.NodeId, now, unresponsiveDiskTimeout) {
			live = append(live, disk)
		}
	}
	return live
}

// liveRetiringDisks returns the IDs of the disks of retiring nodes that this node has been in contact
// with within unresponsiveDiskTimeout.
func (n *StorageNode) liveRetiringDisks(now time.Time) []string {
	var live []string
	for _, disk := range n.Directory.Disks() {
		retiring := n.Directory.IsRetiring(disk.NodeId) && !disk.Leaving && disk.Region == n.Region
		if retiring && n.Directory.InContactWithin(disk.NodeId, now, unresponsiveDiskTimeout) {
			live = append(live, disk.DiskId)
		}
	}
	return live
}
