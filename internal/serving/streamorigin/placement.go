package streamorigin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// copies is the number of nodes that a record is sent to at first.
	copies = 2
	// maxHolders is the number of nodes that may hold a record. The last one receives it if
	// another one doesn't confirm it.
	maxHolders = copies + 1
)

// holdersOf returns the nodes that may hold the record of a stream, the preferred ones first, by
// rendezvous hashing: all nodes that know the same disks choose the same holders, and a disk that
// comes or goes changes few of them. The first two are in different zones if there are several.
func holdersOf(disks []*wirev1.NodeRecord, key Key) []*wirev1.NodeRecord {
	ranked := slices.Clone(disks)
	slices.SortFunc(ranked, func(a, b *wirev1.NodeRecord) int {
		return cmp.Or(cmp.Compare(weightOf(b, key), weightOf(a, key)), cmp.Compare(a.NodeId, b.NodeId))
	})
	other := slices.IndexFunc(ranked, func(node *wirev1.NodeRecord) bool { return node.Zone != ranked[0].Zone })
	if other > 1 {
		second := ranked[other]
		ranked = slices.Insert(slices.Delete(ranked, other, other+1), 1, second)
	}
	return ranked[:min(len(ranked), maxHolders)]
}

func weightOf(node *wirev1.NodeRecord, key Key) uint64 {
	digest := xxhash.New() // Write never returns an error.
	_, _ = digest.WriteString(node.NodeId)
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(key)))
	return digest.Sum64()
}
