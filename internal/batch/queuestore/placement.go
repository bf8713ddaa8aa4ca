package queuestore

import (
	"slices"
	"sort"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/placement"
)

// place picks a shard's disks: those kept, then each time one of the zone that
// zoneRank puts first.
func (n *StorageNode) place(shard uint32, disks []*wirev1.NodeRecord, keep []string, held map[string]int) []string {
	candidates := make([]placement.Disk, 0, len(disks))
	for _, disk := range disks {
		candidates = append(candidates, placement.Disk{ID: disk.DiskId, Zone: disk.Zone, Shards: held[disk.DiskId]})
	}
	rule := placement.Rule{MemberCount: n.membersWanted(), ZoneRank: n.zoneRank}
	return rule.Choose(shard, candidates, keep, n.zoneOf)
}

// zoneOf returns the zone of a known disk.
func (n *StorageNode) zoneOf(disk string) (string, bool) {
	record, known := n.Directory.Disk(disk)
	if !known {
		return "", false
	}
	return record.Zone, true
}

// zoneRank orders zones by how many of a shard's members they have, the zone to
// take the next from first: one that has some, but fewer than may be lost, since
// bytes between zones are dear; then one that has none. So a zone that is lost
// takes no more members along than may be lost, and the others go on. Where there
// are too few zones for that, the one with the fewest comes first.
func (n *StorageNode) zoneRank(members int) int {
	switch {
	case members > 0 && members < n.DiskLosses:
		return -1
	default:
		return members
	}
}

// held counts the shards of each disk.
func (l *Layout) held() map[string]int {
	held := map[string]int{}
	if l == nil {
		return held
	}
	for _, config := range l.Shards {
		for _, member := range config.Members {
			held[member]++
		}
	}
	return held
}

// sparesAsked is how many disks that may take a member's place are asked at once
// whether they answer.
const sparesAsked = 4

// askForSpares has some disks asked that may take the place of members of a shard:
// in a large fleet few others report to a node without a reason.
func (n *StorageNode) askForSpares(shard uint32, members []string, now time.Time) {
	if !n.Directory.Large() {
		return
	}
	disks := slices.DeleteFunc(n.usableDisks(), func(disk *wirev1.NodeRecord) bool {
		return slices.Contains(members, disk.DiskId) || n.Directory.Unresponsive(disk.NodeId)
	})
	sort.Slice(disks, func(i, j int) bool {
		return placement.Weight(shard, disks[i].DiskId) > placement.Weight(shard, disks[j].DiskId)
	})
	for _, disk := range disks[:min(sparesAsked, len(disks))] {
		n.Directory.RequestProbe(disk.NodeId, now)
	}
}

// liveDisks are usable disks whose nodes answer.
func (n *StorageNode) liveDisks(now time.Time) []*wirev1.NodeRecord {
	var live []*wirev1.NodeRecord
	for _, disk := range n.usableDisks() {
		if n.Directory.InContactWithin(disk.NodeId, now, lostDiskTime) {
			live = append(live, disk)
		}
	}
	return live
}
