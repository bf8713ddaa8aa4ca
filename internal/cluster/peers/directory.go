// Package peers holds the records of the nodes of a deployment and synchronizes them
// between nodes by anti-entropy, so that nodes find each other while the platform's store
// is unreachable. Nodes also exchange the documents that they read from the store.
//
// The Directory holds the node records and the time of the last contact with each node.
// The Syncer decides which peers to call and how often. The package relies on package rpc
// for calls and on an implementation of Documents for the documents. It runs on edges and
// storage nodes.
package peers

import (
	"cmp"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Directory holds the node records that this node knows: those of all nodes, or in a large
// fleet those of this node's zone and of all nodes with disks.
//
// Invariant: a record is replaced only by a record of the same node with a higher
// incarnation, and the indexes and digests match the records.
type Directory struct {
	mutex     sync.Mutex
	self      *wirev1.NodeRecord
	records   map[string]*wirev1.NodeRecord
	retiring  map[string]bool
	lostDisks map[string]bool // disks whose node has a different disk now
	contacts  map[string]contact
	// byAddress maps addresses to node ids, byDisk maps disk ids to records, and disks
	// lists the nodes with disks, sorted by node id.
	byAddress map[string]string
	byDisk    map[string]*wirev1.NodeRecord
	disks     []*wirev1.NodeRecord
	// partDigests holds the digest of each part of the exchanged records.
	partDigests [partCount]uint64
	// sorted caches the records sorted by node id; nil after a change.
	sorted []*wirev1.NodeRecord
	// large is set once the fleet is found to be large, and never cleared.
	large      bool
	generation atomic.Uint64
}

// NewDirectory returns a directory that holds only the node's own record.
func NewDirectory(self *wirev1.NodeRecord) *Directory {
	d := &Directory{
		self: self, records: map[string]*wirev1.NodeRecord{}, byAddress: map[string]string{}, byDisk: map[string]*wirev1.NodeRecord{},
		retiring: map[string]bool{}, lostDisks: map[string]bool{}, contacts: map[string]contact{},
	}
	d.store(self)
	return d
}

// Self returns the node's own record.
func (d *Directory) Self() *wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.self
}

// SetDisk sets the disk id in the node's own record.
func (d *Directory) SetDisk(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := clone(d.self)
	next.DiskId = id
	d.self = next
	d.store(next)
}

// store inserts a record, replacing the node's previous one. The mutex is held.
func (d *Directory) store(record *wirev1.NodeRecord) {
	d.remove(record.NodeId)
	d.records[record.NodeId] = record
	d.byAddress[record.Address] = record.NodeId
	if record.DiskId != "" {
		d.byDisk[record.DiskId] = record
		index, _ := slices.BinarySearchFunc(d.disks, record.NodeId, compareToID)
		d.disks = slices.Insert(d.disks, index, record)
	}
	if d.isExchanged(record) {
		d.partDigests[partOf(record.NodeId)] ^= fingerprint(record)
	}
	d.generation.Add(1)
	if !d.large && (len(d.disks) > largeFleetDisks || len(d.records) > largeFleetNodes) {
		d.switchToLarge()
	}
}

// remove deletes a node's record and its index entries. The mutex is held.
func (d *Directory) remove(node string) {
	d.sorted = nil
	record := d.records[node]
	if record == nil {
		return
	}
	delete(d.records, node)
	if d.byAddress[record.Address] == node {
		delete(d.byAddress, record.Address)
	}
	if record.DiskId != "" {
		delete(d.byDisk, record.DiskId)
		if index, found := slices.BinarySearchFunc(d.disks, node, compareToID); found {
			d.disks = slices.Delete(slices.Clone(d.disks), index, index+1)
		}
	}
	if d.isExchanged(record) {
		d.partDigests[partOf(node)] ^= fingerprint(record)
	}
}

func compareToID(record *wirev1.NodeRecord, id string) int { return cmp.Compare(record.NodeId, id) }

func clone(record *wirev1.NodeRecord) *wirev1.NodeRecord {
	return &wirev1.NodeRecord{
		NodeId: record.NodeId, Address: record.Address, Zone: record.Zone, Region: record.Region,
		DiskId: record.DiskId, Incarnation: record.Incarnation, Leaving: record.Leaving,
	}
}

// Put stores a record if it is newer than the known one, and reports whether a record
// changed. A record that describes this node itself is never stored; instead refute
// compares it with the own record.
func (d *Directory) Put(record *wirev1.NodeRecord) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if record.NodeId == d.self.NodeId {
		return d.refute(record)
	}
	known := d.records[record.NodeId]
	if known != nil && known.Incarnation >= record.Incarnation || !d.retains(record) {
		return false
	}
	if known != nil && known.DiskId != "" && known.DiskId != record.DiskId {
		d.lostDisks[known.DiskId] = true
	}
	d.store(record)
	return true
}

// maxIndividualLogLines is the largest number of new records in a batch that are logged
// individually. For a larger batch only the number is logged.
const maxIndividualLogLines = 4

// PutAll stores a batch of records from a source and logs which of them were new.
func (d *Directory) PutAll(records []*wirev1.NodeRecord, source string) {
	var stored []*wirev1.NodeRecord
	for _, record := range records {
		if d.Put(record) {
			stored = append(stored, record)
		}
	}
	if len(stored) > maxIndividualLogLines {
		klog.InfoS("node records received", "nodes", len(stored), "known", d.Count(), "source", source)
		return
	}
	for _, record := range stored {
		klog.InfoS("node record received", "node", record.NodeId, "address", record.Address, "disk", record.DiskId,
			"incarnation", record.Incarnation, "source", source)
	}
}

// DiskLost reports whether a disk is known to be lost because its node has a different
// disk now.
func (d *Directory) DiskLost(id string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lostDisks[id]
}

// refute handles a record about this node, for instance of an earlier run. If that record
// has a higher incarnation, or the same one with other contents, this node's incarnation is
// raised above it. The mutex is held.
func (d *Directory) refute(record *wirev1.NodeRecord) bool {
	same := record.DiskId == d.self.DiskId && record.Address == d.self.Address && record.Leaving == d.self.Leaving
	if record.Incarnation < d.self.Incarnation || same && record.Incarnation == d.self.Incarnation {
		return false
	}
	next := clone(d.self)
	next.Incarnation = record.Incarnation + 1
	d.self = next
	d.store(next)
	return true
}

// Records returns all known records, sorted by node id.
func (d *Directory) Records() []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.sorted == nil {
		for _, record := range d.records {
			d.sorted = append(d.sorted, record)
		}
		slices.SortFunc(d.sorted, func(a, b *wirev1.NodeRecord) int { return cmp.Compare(a.NodeId, b.NodeId) })
	}
	return slices.Clone(d.sorted)
}

// Count returns the number of known nodes.
func (d *Directory) Count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.records)
}

// Disks returns the records of the nodes with a disk, sorted by node id.
func (d *Directory) Disks() []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.disks)
}

// Disk returns the record of the node that has the disk.
func (d *Directory) Disk(id string) (*wirev1.NodeRecord, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record, known := d.byDisk[id]
	return record, known
}

// SetRetiring replaces the set of nodes whose data is being moved to other nodes.
func (d *Directory) SetRetiring(nodes map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.retiring = nodes
}

// Retiring returns the sorted ids of the nodes whose data is being moved to other nodes.
func (d *Directory) Retiring() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	list := make([]string, 0, len(d.retiring))
	for node := range d.retiring {
		list = append(list, node)
	}
	sort.Strings(list)
	return list
}

// IsRetiring reports whether a node's data is being moved to other nodes.
func (d *Directory) IsRetiring(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.retiring[node]
}
