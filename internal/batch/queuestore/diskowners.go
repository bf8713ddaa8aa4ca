package queuestore

import "time"

// diskOwners returns the nodes of the given disks, by disk ID, for the stored member set of a
// shard. For a disk that no node record names now, it returns the node that the known member set
// names.
func (n *StorageNode) diskOwners(shard uint32, disks []string) map[string]string {
	owners := map[string]string{}
	for _, disk := range disks {
		if record, known := n.Directory.Disk(disk); known {
			owners[disk] = record.NodeId
		} else if owner := n.storedOwner(shard, disk); owner != "" {
			owners[disk] = owner
		}
	}
	return owners
}

// storedOwner returns the node that the known member set of a shard names for a disk, or "" if
// it names none.
func (n *StorageNode) storedOwner(shard uint32, disk string) string {
	layout := n.Layouts.Current()
	if layout == nil || int(shard) >= len(layout.Shards) {
		return ""
	}
	return layout.Shards[shard].Owners[disk]
}

// diskLost reports whether the node of a member's disk has a different disk now. A node that has
// restarted knows from the stored member set which node the disk belonged to.
func (n *StorageNode) diskLost(shard uint32, disk string, now time.Time) bool {
	if n.Directory.DiskLost(disk) {
		return true
	}
	if _, known := n.Directory.Disk(disk); known {
		return false // another node may run with it now
	}
	owner := n.storedOwner(shard, disk)
	record, known := n.Directory.Node(owner)
	// Without contact, the record may be older than the member set.
	return known && record.DiskId != "" && record.DiskId != disk && n.Directory.InContactWithin(owner, now, unresponsiveDiskTimeout)
}
