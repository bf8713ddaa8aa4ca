// Package peers knows the nodes of a deployment whose node records lie in the
// platform's store, and lets a node that the store does not serve ask its
// peers for what is newer than it holds.
package peers

import (
	"encoding/binary"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Directory holds the node records known here.
//
// Invariant: a node's record is replaced only by one of a higher incarnation.
type Directory struct {
	mutex    sync.Mutex
	self     *wirev1.NodeRecord
	records  map[string]*wirev1.NodeRecord
	retiring map[string]bool
	lost     map[string]bool // disks whose node has another one now
	heard    map[string]time.Time
	onSelf   func(*wirev1.NodeRecord)
	// view is what follows from records; nil after they have changed.
	view       *view
	generation atomic.Uint64
}

// view is worked out of the records once for each change of them.
type view struct {
	// records and disks are in the order of their node ids.
	records, disks []*wirev1.NodeRecord
	digest         uint64
	// parts are digests of the records in each part.
	parts [recordParts]uint64
}

// recordParts is into how many parts the records are divided: nodes whose records
// differ tell each other those parts that do. In a fleet of some hundred nodes a
// part holds about ten records, some 600 bytes, and the digests take 256.
const recordParts = 32

func partOf(node string) uint32 { return uint32(xxhash.Sum64String(node) % recordParts) }

// NewDirectory returns a directory of a node that knows only itself. onSelf is
// called with the node's own record when it has to be told anew; it may be nil.
func NewDirectory(self *wirev1.NodeRecord, onSelf func(*wirev1.NodeRecord)) *Directory {
	return &Directory{
		self: self, records: map[string]*wirev1.NodeRecord{self.NodeId: self},
		retiring: map[string]bool{}, lost: map[string]bool{}, heard: map[string]time.Time{}, onSelf: onSelf,
	}
}

// Self returns the node's own record.
func (d *Directory) Self() *wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.self
}

// SetDisk names the node's disk.
func (d *Directory) SetDisk(id string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	next := clone(d.self)
	next.DiskId = id
	d.self = next
	d.keep(next)
}

// keep takes a record. The mutex is held.
func (d *Directory) keep(record *wirev1.NodeRecord) {
	d.records[record.NodeId] = record
	d.view = nil
	d.generation.Add(1)
}

// Generation rises with each change of the records.
func (d *Directory) Generation() uint64 { return d.generation.Load() }

// current returns what follows from the records. The mutex is held.
func (d *Directory) current() *view {
	if d.view != nil {
		return d.view
	}
	next := &view{}
	for _, record := range d.records {
		next.records = append(next.records, record)
	}
	sort.Slice(next.records, func(i, j int) bool { return next.records[i].NodeId < next.records[j].NodeId })
	var parts [recordParts]xxhash.Digest
	for part := range parts {
		parts[part].Reset()
	}
	for _, record := range next.records {
		if record.DiskId != "" {
			next.disks = append(next.disks, record)
		}
		digest := &parts[partOf(record.NodeId)]
		_, _ = digest.WriteString(record.NodeId)
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, record.Incarnation))
	}
	var whole []byte
	for part := range parts {
		next.parts[part] = parts[part].Sum64()
		whole = binary.BigEndian.AppendUint64(whole, next.parts[part])
	}
	next.digest = xxhash.Sum64(whole)
	d.view = next
	return next
}

func clone(record *wirev1.NodeRecord) *wirev1.NodeRecord {
	return &wirev1.NodeRecord{
		NodeId: record.NodeId, Address: record.Address, Zone: record.Zone, Region: record.Region,
		DiskId: record.DiskId, Incarnation: record.Incarnation, Leaving: record.Leaving,
	}
}

// Put takes a record if it is newer. A record of this node from an earlier
// life makes it raise its incarnation. It reports whether something changed.
func (d *Directory) Put(record *wirev1.NodeRecord) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if record.NodeId == d.self.NodeId {
		return d.refute(record)
	}
	known := d.records[record.NodeId]
	if known != nil && known.Incarnation >= record.Incarnation {
		return false
	}
	if known != nil && known.DiskId != "" && known.DiskId != record.DiskId {
		d.lost[known.DiskId] = true
	}
	d.keep(record)
	return true
}

// DiskLost reports whether a disk is known to be lost: its node has another.
func (d *Directory) DiskLost(id string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lost[id]
}

func (d *Directory) refute(record *wirev1.NodeRecord) bool {
	same := record.DiskId == d.self.DiskId && record.Address == d.self.Address && record.Leaving == d.self.Leaving
	if record.Incarnation < d.self.Incarnation || same && record.Incarnation == d.self.Incarnation {
		return false
	}
	next := clone(d.self)
	next.Incarnation = record.Incarnation + 1
	d.self = next
	d.keep(next)
	if d.onSelf != nil {
		go d.onSelf(next)
	}
	return true
}

// SetRetiring names the nodes that are being emptied.
func (d *Directory) SetRetiring(nodes map[string]bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.retiring = nodes
}

// Retiring lists the nodes that are being emptied.
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

// IsRetiring reports whether a node is being emptied.
func (d *Directory) IsRetiring(node string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.retiring[node]
}

// Records returns all records, by node id.
func (d *Directory) Records() []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.current().records)
}

// Count returns how many nodes are known.
func (d *Directory) Count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.records)
}

// Disks returns the records of nodes with a disk, by node id.
func (d *Directory) Disks() []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.current().disks)
}

// Disk finds the node that has a disk.
func (d *Directory) Disk(id string) (*wirev1.NodeRecord, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, record := range d.records {
		if record.DiskId == id {
			return record, true
		}
	}
	return nil, false
}

// NoteHeard records that a node answered.
func (d *Directory) NoteHeard(node string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.heard[node] = now
}

// NoteAnswered records that the node at an address answered.
func (d *Directory) NoteAnswered(address string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, record := range d.records {
		if record.Address == address {
			d.heard[id] = now
		}
	}
}

// Digest is the same for directories that hold the same records.
func (d *Directory) Digest() uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.current().digest
}

// PartDigests returns the digest of each part of the records.
func (d *Directory) PartDigests() []uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	parts := d.current().parts
	return parts[:]
}

// Differing lists the parts whose digests are not these.
func (d *Directory) Differing(digests []uint64) []uint32 {
	var differing []uint32
	for part, digest := range d.PartDigests() {
		if part >= len(digests) || digests[part] != digest {
			differing = append(differing, uint32(part))
		}
	}
	return differing
}

// InParts returns the records in some parts.
func (d *Directory) InParts(parts []uint32) []*wirev1.NodeRecord {
	var list []*wirev1.NodeRecord
	for _, record := range d.Records() {
		if slices.Contains(parts, partOf(record.NodeId)) {
			list = append(list, record)
		}
	}
	return list
}

// HeardWithin reports whether a node answered within a time.
func (d *Directory) HeardWithin(node string, now time.Time, within time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, known := d.heard[node]
	return node == d.self.NodeId || known && now.Sub(at) < within
}
