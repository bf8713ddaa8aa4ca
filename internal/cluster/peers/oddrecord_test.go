package peers

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// Guards against a record that no later record of its node replaces, and against a node whose own
// incarnation overflows and which then writes its record again and again.
func TestAbsurdIncarnationIsIgnored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		directory := NewDirectory(&wirev1.NodeRecord{NodeId: "self", Address: "10.0.0.1:1", Incarnation: 5})
		incarnation := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(math.MaxUint64-3, math.MaxUint64)).Draw(t, "incarnation")
		for _, node := range []string{"self", "other"} {
			directory.Put(&wirev1.NodeRecord{NodeId: node, Address: "10.0.0.9:1", Incarnation: incarnation})
		}
		if held := directory.Self().Incarnation; held < 5 || held > maxIncarnation+1 {
			t.Fatalf("the node's own incarnation is %d after a record of %d", held, incarnation)
		}
		if directory.Put(&wirev1.NodeRecord{NodeId: "other", Address: "10.0.0.2:1", Incarnation: maxIncarnation + 1}) {
			t.Fatalf("a record of incarnation %d is taken", maxIncarnation+1)
		}
		known := directory.records["other"]
		if known != nil && known.Incarnation > maxIncarnation {
			t.Fatalf("the record of incarnation %d is held", known.Incarnation)
		}
	})
}

// A record without an id names no node.
func TestRecordWithoutIDIsIgnored(t *testing.T) {
	is := is.New(t)
	directory := NewDirectory(&wirev1.NodeRecord{NodeId: "self", Incarnation: 5})
	is.True(!directory.Put(&wirev1.NodeRecord{Address: "10.0.0.9:1", DiskId: "d", Incarnation: 7}))
	is.Equal(directory.Count(), 1)
	is.Equal(len(directory.Disks()), 0)
}
