package peers

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// partCount is the number of parts into which the records are divided by a hash of the
// node id. In a sync, only the parts whose digests differ are transferred.
const partCount = 32

func partOf(node string) uint32 { return uint32(xxhash.Sum64String(node) % partCount) }

// fingerprint returns a hash of a record's node id and incarnation. The digest of a part
// is the exclusive or of the fingerprints of its records, so that it can be updated without
// reading the other records.
func fingerprint(record *wirev1.NodeRecord) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a hash never fails.
	_, _ = digest.WriteString(record.NodeId)
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, record.Incarnation))
	return digest.Sum64()
}

// Digest returns a hash of the node ids and incarnations of the exchanged records: in a
// large fleet the records of this node's zone, otherwise all records.
func (d *Directory) Digest() uint64 {
	var concatenated []byte
	for _, part := range d.PartDigests() {
		concatenated = binary.BigEndian.AppendUint64(concatenated, part)
	}
	return xxhash.Sum64(concatenated)
}

// PartDigests returns the digests of the exchanged records, indexed by part.
func (d *Directory) PartDigests() []uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	parts := d.partDigests
	return parts[:]
}

// DifferingParts returns the parts whose digests differ from the given digests, which are
// indexed by part. Parts for which no digest is given are included.
func (d *Directory) DifferingParts(digests []uint64) []uint32 {
	var differing []uint32
	for part, digest := range d.PartDigests() {
		if part >= len(digests) || digests[part] != digest {
			differing = append(differing, uint32(part))
		}
	}
	return differing
}

// RecordsInParts returns the exchanged records in the given parts, in random order. Numbers
// that are not a part are ignored.
func (d *Directory) RecordsInParts(parts []uint32) []*wirev1.NodeRecord {
	wanted := [partCount]bool{}
	for _, part := range parts {
		if part < partCount {
			wanted[part] = true
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var list []*wirev1.NodeRecord
	for _, record := range d.records {
		if wanted[partOf(record.NodeId)] && d.isExchanged(record) {
			list = append(list, record)
		}
	}
	return list
}

// sampleSize is the maximum number of records in the reply to a node of another zone.
const sampleSize = 12

// SampleZone returns up to sampleSize random records of a zone, nodes with disks first. In a
// large fleet a starting node receives such a sample of its own zone from a seed in another
// zone, and learns of the other nodes of its zone from the nodes in the sample.
func (d *Directory) SampleZone(zone string) []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var disks, others []*wirev1.NodeRecord
	for _, record := range d.records { // random order
		switch {
		case record.Zone != zone:
		case record.DiskId != "":
			disks = append(disks, record)
		default:
			others = append(others, record)
		}
		if len(disks) >= sampleSize {
			break
		}
	}
	list := append(disks, others...)
	return list[:min(len(list), sampleSize)]
}

// RandomPartners returns the records of up to count random nodes other than this node. In
// a large fleet these are nodes of this node's zone.
func (d *Directory) RandomPartners(count int) []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var list []*wirev1.NodeRecord
	for _, record := range d.records { // random order
		if len(list) >= count {
			break
		}
		if record.NodeId != d.self.NodeId && d.isExchanged(record) {
			list = append(list, record)
		}
	}
	return list
}
