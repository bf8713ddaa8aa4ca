package peers

import (
	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// A fleet counts as large if it has more than largeFleetDisks nodes with disks or more than
// largeFleetNodes nodes in total. In a large fleet the record of a node without a disk is
// known in its own zone only, which limits the memory and the traffic for records. In a
// smaller fleet every node knows all records.
const (
	largeFleetDisks = 64
	largeFleetNodes = 400
)

// isExchanged reports whether a record is covered by the digests that this node compares
// with its peers. In a large fleet these are the records of its zone. The caller holds the
// mutex.
func (d *Directory) isExchanged(record *wirev1.NodeRecord) bool {
	return !d.large || record.Zone == d.self.Zone
}

// switchToLarge marks the fleet as large and removes the records that are not kept in a
// large fleet. The caller holds the mutex.
func (d *Directory) switchToLarge() {
	records := d.records
	d.records, d.byAddress, d.byDisk = map[string]*wirev1.NodeRecord{}, map[string]string{}, map[string]*wirev1.NodeRecord{}
	d.disks, d.partDigests, d.large = nil, [partCount]uint64{}, true
	for _, record := range records {
		if d.retains(record) {
			d.store(record)
		}
	}
}

// retains reports whether the directory keeps a record. The caller holds the mutex.
func (d *Directory) retains(record *wirev1.NodeRecord) bool {
	return !d.large || record.DiskId != "" || record.Zone == d.self.Zone
}

// Large reports whether the fleet counts as large, so that each node knows only a part of
// the records.
func (d *Directory) Large() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.large
}

// MarkLarge marks the fleet as large, for instance because a peer reported it to be large.
func (d *Directory) MarkLarge() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.large {
		d.switchToLarge()
	}
}

// Generation returns a counter that increases with each change of the records. A change may
// increase it by more than one.
func (d *Directory) Generation() uint64 { return d.generation.Load() }
