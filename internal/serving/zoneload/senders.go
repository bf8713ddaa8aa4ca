package zoneload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
)

const (
	// sendersPerEdge is the number of storage nodes that send digests to an edge.
	sendersPerEdge = 2
	// sendersPerZone is the largest number of storage nodes of a zone that send digests to
	// its edges. With fair shares, each of them receives the reports of all these edges.
	sendersPerZone = 4
)

// Directory holds the records of the nodes.
type Directory interface {
	Self() *wirev1.NodeRecord
	Records() []*wirev1.NodeRecord
	// Disks returns the records of the nodes with a disk.
	Disks() []*wirev1.NodeRecord
	// Unresponsive reports whether a call to a node has failed since the last contact.
	Unresponsive(node string) bool
	// InContactWithin reports whether a node was in contact within a duration before now.
	InContactWithin(node string, now time.Time, within time.Duration) bool
}

// SendersOf returns the records of the storage nodes that send digests to an edge: those of
// ZoneSenders with the highest rendezvous weight for the edge, in the order of their weight.
// Nodes whose directories differ may compute different senders; an edge then has more or
// fewer senders for a time.
func SendersOf(directory Directory, edge *wirev1.NodeRecord) []*wirev1.NodeRecord {
	return withHighestWeight(ZoneSenders(directory, edge.Zone, edge.Region), edge.NodeId, sendersPerEdge)
}

// ZoneSenders returns the records of the storage nodes that send digests to the edges of a
// zone. They are up to sendersPerZone nodes of the zone if it has a live storage node.
// Otherwise they are the same sendersPerEdge nodes for all its edges, in the zone's region
// if possible.
func ZoneSenders(directory Directory, zone, region string) []*wirev1.NodeRecord {
	candidates := senderCandidates(directory, zone, region)
	limit := sendersPerZone
	if len(candidates) > 0 && candidates[0].Zone != zone {
		limit = sendersPerEdge
	}
	return withHighestWeight(candidates, zone, limit)
}

// withHighestWeight returns the records of the nodes with the highest rendezvous weights for
// a key, in the order of their weight.
func withHighestWeight(records []*wirev1.NodeRecord, key string, limit int) []*wirev1.NodeRecord {
	sorted := slices.Clone(records)
	slices.SortFunc(sorted, func(a, b *wirev1.NodeRecord) int {
		weightA, weightB := ownership.NodeWeight(key, a.NodeId), ownership.NodeWeight(key, b.NodeId)
		return cmp.Or(cmp.Compare(weightB, weightA), cmp.Compare(a.NodeId, b.NodeId))
	})
	return sorted[:min(limit, len(sorted))]
}

// senderCandidates returns the storage nodes among which the senders for the edges of a
// zone are chosen. Unresponsive nodes are candidates only if there is no other node: an
// edge that is partitioned from all storage nodes keeps its senders.
func senderCandidates(directory Directory, zone, region string) []*wirev1.NodeRecord {
	disks := directory.Disks()
	live := slices.DeleteFunc(slices.Clone(disks), func(record *wirev1.NodeRecord) bool {
		return record.Leaving || directory.Unresponsive(record.NodeId)
	})
	for _, list := range [][]*wirev1.NodeRecord{live, disks} {
		var inZone, inRegion []*wirev1.NodeRecord
		for _, record := range list {
			if record.Zone == zone {
				inZone = append(inZone, record)
			}
			if record.Region == region {
				inRegion = append(inRegion, record)
			}
		}
		for _, candidates := range [][]*wirev1.NodeRecord{inZone, inRegion, list} {
			if len(candidates) > 0 {
				return candidates
			}
		}
	}
	return nil
}

// receivers are the addresses of the edges of one zone to which this node sends digests.
type receivers struct {
	zone      string
	addresses []string
}

// receiversOf returns the edges to which this node sends digests, grouped by zone and
// ordered by its name.
func receiversOf(directory Directory) []receivers {
	self := directory.Self().NodeId
	isSelf := func(sender *wirev1.NodeRecord) bool { return sender.NodeId == self }
	byZone := map[string][]string{}
	for _, record := range directory.Records() {
		if record.DiskId == "" && slices.ContainsFunc(SendersOf(directory, record), isSelf) {
			byZone[record.Zone] = append(byZone[record.Zone], record.Address)
		}
	}
	var all []receivers
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		all = append(all, receivers{zone: zone, addresses: byZone[zone]})
	}
	return all
}
