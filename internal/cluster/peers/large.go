package peers

import (
	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// In a fleet with more nodes with disks, or with more nodes, a node without a disk
// is known in its own zone only. What a node holds, and what one that comes costs,
// then follows the size of a zone. Up to these numbers, some 40 KB of records, all
// know all, since requests of all zones may meet at any runner.
const (
	largeDisks = 64
	largeNodes = 400
)

// synced reports whether nodes of this zone pass a record on to each other: in a large
// fleet those of the zone. Nodes with disks of other zones are known from the store.
// The mutex is held.
func (d *Directory) synced(record *wirev1.NodeRecord) bool {
	return !d.large || record.Zone == d.self.Zone
}

// grow goes over to what is known in a large fleet. The mutex is held.
func (d *Directory) grow() {
	records := d.records
	d.records, d.byAddress, d.byDisk = map[string]*wirev1.NodeRecord{}, map[string]string{}, map[string]*wirev1.NodeRecord{}
	d.disks, d.parts, d.large = nil, [recordParts]uint64{}, true
	for _, record := range records {
		if d.held(record) {
			d.keep(record)
		}
	}
}

// held reports whether a record is kept at all. The mutex is held.
func (d *Directory) held(record *wirev1.NodeRecord) bool {
	return !d.large || record.DiskId != "" || record.Zone == d.self.Zone
}

// Large reports whether the fleet is so large that nodes know parts of it.
func (d *Directory) Large() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.large
}

// MarkLarge takes that another node has found the fleet to be large.
func (d *Directory) MarkLarge() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.large {
		d.grow()
	}
}

// Generation rises with each change of the records.
func (d *Directory) Generation() uint64 { return d.generation.Load() }
