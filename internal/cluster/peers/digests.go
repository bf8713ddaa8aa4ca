package peers

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// partCount is the number of parts into which the records are divided by a hash of the
// node id. Two nodes whose records differ exchange only the parts whose digests differ.
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

// Digest returns a hash of the exchanged records. Directories that hold the same records
// have the same digest. In a large fleet the digest covers the records of this node's zone.
func (d *Directory) Digest() uint64 {
	var concatenated []byte
	for _, part := range d.PartDigests() {
		concatenated = binary.BigEndian.AppendUint64(concatenated, part)
	}
	return xxhash.Sum64(concatenated)
}

// PartDigests returns the digest of each part of the exchanged records.
func (d *Directory) PartDigests() []uint64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	parts := d.partDigests
	return parts[:]
}

// DifferingParts returns the parts whose digests differ from the given ones.
func (d *Directory) DifferingParts(digests []uint64) []uint32 {
	var differing []uint32
	for part, digest := range d.PartDigests() {
		if part >= len(digests) || digests[part] != digest {
			differing = append(differing, uint32(part))
		}
	}
	return differing
}

// RecordsInParts returns the exchanged records in the given parts.
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

// sampleSize is the number of records in the reply to a node of another zone.
const sampleSize = 12

// SampleZone returns up to sampleSize records of a zone, nodes with disks first. A starting
// node gets them from a seed in another zone and finds the rest of its zone through them.
func (d *Directory) SampleZone(zone string) []*wirev1.NodeRecord {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var disks, others []*wirev1.NodeRecord
	for _, record := range d.records { // random order: different requests get different records
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

// RandomPartners returns up to count random nodes to exchange records with. In a large
// fleet they are nodes of this node's zone.
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
