// Package peers holds the records of the nodes of a deployment and synchronizes them
// between nodes by anti-entropy: two nodes compare digests of their records and transfer
// the records that differ. Nodes find each other in this way while the platform's store is
// unreachable. Nodes also exchange the documents that they read from the store.
//
// The Directory holds the node records and the time of the last contact with each node.
// The Syncer calls peers periodically and handles their calls. The package relies on package
// rpc for calls and on an implementation of Documents for the documents. It runs on edges
// and storage nodes.
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

// Directory holds the node records that this node knows. In a large fleet it keeps the
// records of this node's zone and of all nodes with disks, otherwise the records of all
// nodes. A record is not changed after it is stored. All methods are safe for concurrent use.
//
// Invariant: the record of another node is replaced only by a record with a higher
// incarnation, and the indexes and digests match the records.
type Directory struct {
	mutex     sync.Mutex
	self      *wirev1.NodeRecord
	records   map[string]*wirev1.NodeRecord // by node id, including self
	retiring  map[string]bool               // by node id
	lostDisks map[string]bool               // ids of disks that a newer record of their node no longer names
	contacts  map[string]contact            // by node id
	// byAddress maps addresses to node ids, byDisk maps disk ids to records, and disks
	// lists the nodes with disks, sorted by node id.
	byAddress map[string]string
	byDisk    map[string]*wirev1.NodeRecord
	disks     []*wirev1.NodeRecord
	// partDigests holds the digest of each part of the exchanged records.
	partDigests [partCount]uint64
	// sorted caches the records sorted by node id; nil after a change.
	sorted []*wirev1.NodeRecord
	// large is set when the limits of a large fleet are exceeded or MarkLarge is called, and
	// never cleared.
	large bool
	// generation counts the stored records.
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

// SetDisk sets the disk id in the node's own record. It keeps the incarnation, so it has to
// be called before the record is exchanged.
func (d *Directory) SetDisk(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := clone(d.self)
	next.DiskId = id
	d.self = next
	d.store(next)
}

// store inserts a record, replacing the previous record of the same node. It marks the fleet
// as large if a limit is exceeded. The caller holds the mutex.
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

// remove deletes a node's record and its index entries. The caller holds the mutex.
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
		if d.byDisk[record.DiskId] == record { // another node may have the disk now
			delete(d.byDisk, record.DiskId)
		}
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
		DiskId: record.DiskId, Incarnation: record.Incarnation, Leaving: record.Leaving, RecordsStreamOrigins: record.RecordsStreamOrigins,
	}
}

// maxIncarnation is the largest incarnation of a usable record. Incarnations are Unix times in
// milliseconds, raised by one for each refutation.
const maxIncarnation = uint64(1) << 48

// Put stores a record if the directory retains such records and has none of the same node
// with the same or a higher incarnation. It reports whether a record changed. A record that
// describes this node itself is never stored, but may raise this node's incarnation (see
// refute). Put ignores a record without a node id, and one with an absurd incarnation, which no
// later record of the node could replace.
func (d *Directory) Put(record *wirev1.NodeRecord) bool {
	if record.NodeId == "" || record.Incarnation > maxIncarnation {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if record.NodeId == d.self.NodeId {
		return d.refute(record)
	}
	known := d.records[record.NodeId]
	if known != nil && known.Incarnation >= record.Incarnation || !d.retains(record) {
		return false
	}
	if known != nil && known.DiskId != "" && known.DiskId != record.DiskId && d.byDisk[known.DiskId] == known {
		d.lostDisks[known.DiskId] = true
	}
	delete(d.lostDisks, record.DiskId) // a record without a disk, or a late one, may have named another
	d.store(record)
	return true
}

// maxIndividualLogLines is the largest number of changed records in a batch that are logged
// individually. If more records changed, only their number is logged.
const maxIndividualLogLines = 4

// PutAll calls Put for each record of a batch and logs the records for which Put reported a
// change. source is the address from which the batch was received.
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

// DiskLost reports whether a disk is known to be lost because a newer record of its node
// names a different disk or none.
func (d *Directory) DiskLost(id string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lostDisks[id]
}

// refute handles a received record about this node, for instance of an earlier run. If the
// received record has a higher incarnation, or the same incarnation with another disk,
// address or leaving state, refute raises the incarnation of this node's own record above it
// and returns true. The caller holds the mutex.
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

// Disk returns the record of the node that has the disk, and false if no known node has it.
func (d *Directory) Disk(id string) (*wirev1.NodeRecord, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record, known := d.byDisk[id]
	return record, known
}

// Node returns the record of a node, and false if the node is not known.
func (d *Directory) Node(id string) (*wirev1.NodeRecord, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record, known := d.records[id]
	return record, known
}

// DiskAt returns the record of the node with a disk at an address, and false if no known
// node with a disk has the address.
func (d *Directory) DiskAt(address string) (*wirev1.NodeRecord, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	record := d.records[d.byAddress[address]]
	return record, record != nil && record.DiskId != ""
}

// SetRetiring replaces the set of ids of the nodes whose data is being moved to other nodes.
// The caller must not change the map afterwards.
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
