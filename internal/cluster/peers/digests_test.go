package peers

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// The digest does not depend on the order in which records were stored, and changes if a
// record is missing or newer.
func TestDigestIdentifiesRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := map[int]uint64{}
		for node := range rapid.IntRange(0, 6).Draw(t, "nodes") {
			records[node] = uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))
		}
		fill := func(skip int) *Directory {
			directory := NewDirectory(&wirev1.NodeRecord{NodeId: "self", Incarnation: 1})
			for node, incarnation := range records { // random order
				if node != skip {
					directory.Put(&wirev1.NodeRecord{NodeId: fmt.Sprintf("n%d", node), Incarnation: incarnation})
				}
			}
			return directory
		}
		first, second := fill(-1), fill(-1)
		if first.Digest() != second.Digest() {
			t.Fatal("equal records have different digests")
		}
		if len(records) == 0 {
			return
		}
		node := rapid.IntRange(0, len(records)-1).Draw(t, "differs")
		if fill(node).Digest() == first.Digest() {
			t.Fatal("the digest does not change when a record is missing")
		}
		second.Put(&wirev1.NodeRecord{NodeId: fmt.Sprintf("n%d", node), Incarnation: records[node] + 1})
		if second.Digest() == first.Digest() {
			t.Fatal("the digest does not change with a newer record")
		}
	})
}

// A disk that a newer record of its node names again is not lost: the record in between may
// have named no disk.
func TestDiskThatIsNamedAgainIsNotLost(t *testing.T) {
	is := is.New(t)
	directory := NewDirectory(&wirev1.NodeRecord{NodeId: "self", Incarnation: 1})
	directory.Put(&wirev1.NodeRecord{NodeId: "a", DiskId: "disk-a", Incarnation: 1})
	directory.Put(&wirev1.NodeRecord{NodeId: "a", Incarnation: 2})
	is.True(directory.DiskLost("disk-a"))
	directory.Put(&wirev1.NodeRecord{NodeId: "a", DiskId: "disk-a", Incarnation: 3})
	is.True(!directory.DiskLost("disk-a"))
}

// Two nodes exchange their disks. Each disk is found at its new node, whichever record comes first.
func TestExchangedDisksAreFound(t *testing.T) {
	is := is.New(t)
	directory := NewDirectory(&wirev1.NodeRecord{NodeId: "self", Incarnation: 1})
	directory.Put(&wirev1.NodeRecord{NodeId: "a", DiskId: "disk-a", Incarnation: 1})
	directory.Put(&wirev1.NodeRecord{NodeId: "b", DiskId: "disk-b", Incarnation: 1})
	directory.Put(&wirev1.NodeRecord{NodeId: "a", DiskId: "disk-b", Incarnation: 2})
	directory.Put(&wirev1.NodeRecord{NodeId: "b", DiskId: "disk-a", Incarnation: 2})
	for disk, node := range map[string]string{"disk-a": "b", "disk-b": "a"} {
		record, known := directory.Disk(disk)
		is.True(known)
		is.Equal(record.NodeId, node)
		is.True(!directory.DiskLost(disk))
	}
}
