package streamorigin

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// listOldAndNew makes a node list v1 for longer than the window, and v2 beside it since now.
func listOldAndNew(node *testNode) {
	old := runnerset.Record{ID: "a", Service: "s", Version: "v1"}
	node.runners.Replace([]runnerset.Record{old}, 1, time.Now().Add(-2*minWindow))
	node.runners.Replace([]runnerset.Record{old, {ID: "b", Service: "s", Version: "v2"}}, 2, time.Now())
}

// startReleasingFleet starts an edge and six storage nodes, which know each other and list a version
// that has just appeared beside an established one. The storage nodes have run for the whole window.
func startReleasingFleet(t *testing.T) (edge *testNode, disks []*testNode) {
	t.Helper()
	edge = startNode(t, "edge-a", "")
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		disks = append(disks, startNode(t, "disk-"+name, "disk-"+name))
	}
	for _, node := range append(disks, edge) {
		for _, other := range append(disks, edge) {
			node.directory.Put(other.directory.Self())
		}
		node.table.completeSince = time.Now().Add(-2 * minWindow)
		listOldAndNew(node)
	}
	return edge, disks
}

// splitByHolders returns the storage nodes that may hold the record of a stream, and the others.
func splitByHolders(disks []*testNode, key Key) (holders, others []*testNode) {
	ranked := holdersOf(disks[0].directory.Disks(), key)
	for _, disk := range disks {
		id := disk.directory.Self().NodeId
		if slices.ContainsFunc(ranked, func(holder *wirev1.NodeRecord) bool { return holder.NodeId == id }) {
			holders = append(holders, disk)
		} else {
			others = append(others, disk)
		}
	}
	return holders, others
}

// startEdgeThatKnows starts an edge that has just started and knows only some storage nodes yet.
func startEdgeThatKnows(t *testing.T, name string, disks ...*testNode) *testNode {
	t.Helper()
	edge := startNode(t, name, "")
	for _, disk := range disks {
		edge.directory.Put(disk.directory.Self())
	}
	return edge
}

// Guards against texts of two versions after a loss of all edges: an edge that has just started, and knows none of
// the nodes that hold the record of a stream, asked the others, took their not having it for a proof that
// the stream began at the established version, and joined two versions.
func TestStartedEdgeFindsHoldersThatItDoesNotKnow(t *testing.T) {
	is := is.New(t)
	began, disks := startReleasingFleet(t)
	beginConfirmed(t, began, "first", "v2", 1)
	began.stop()
	holders, others := splitByHolders(disks, KeyOf(testContent, "first"))
	is.True(len(others) > 0)
	for _, known := range append([][]*testNode{others, disks[:1]}, others[:1], holders[:1]) {
		edge := startEdgeThatKnows(t, "edge-b", known...)
		for range 3 {
			origin, err := resolve(edge, "first", testContent)
			is.True(err != nil || origin.SoftwareVersion == "v2") // never the other version
		}
		is.Equal(resolveKnown(t, edge, "first"), Origin{"s", "v2"})
	}
}

// A stream that no node has recorded is still taken for one of the established version, if all its
// holders say so.
func TestUnrecordedStreamGoesOnAtTheEstablishedVersion(t *testing.T) {
	is := is.New(t)
	began, disks := startReleasingFleet(t)
	began.stop()
	for _, known := range [][]*testNode{disks, disks[:1]} {
		edge := startEdgeThatKnows(t, "edge-b", known...)
		is.Equal(resolveKnown(t, edge, "never recorded"), Origin{"s", "v1"})
	}
}

// Guards against texts of two versions after two losses of all edges: an edge that has just started records a stream
// at nodes that are not asked for it later, and takes that for a confirmation.
func TestStartedEdgeRecordsAtTheHoldersThatOthersAsk(t *testing.T) {
	is := is.New(t)
	other, disks := startReleasingFleet(t)
	_, others := splitByHolders(disks, KeyOf(testContent, "first"))
	edge := startEdgeThatKnows(t, "edge-b", others...)
	listOldAndNew(edge)
	stream := Stream{Key: KeyOf(testContent, "first"), ID: "first", Window: minWindow}
	recording := edge.Record(context.Background(), stream, Record{Origin: Origin{"s", "v2"}, Sequence: 1})
	<-recording.ended
	for _, disk := range disks {
		edge.directory.Put(disk.directory.Self())
	}
	eventually.Require(t, "a confirmation", func() bool {
		select {
		case <-recording.confirmed:
			return true
		default:
			return false
		}
	})
	edge.stop()
	is.Equal(resolveKnown(t, other, "first"), Origin{"s", "v2"})
}

// startNodeWithoutContact starts a node that has not been in contact with the store yet.
func startNodeWithoutContact(t *testing.T, name, disk string) *testNode {
	t.Helper()
	node := startNodeInContact(t, name, disk)
	node.contact.currentAt.Store(neverCurrent)
	return node
}

// Guards against texts of two versions after a loss of all power: storage nodes that were started again, with or
// without their disks, have lost the records, and their not having one proves nothing.
func TestStorageNodesThatLostTheirMemoryProveNothing(t *testing.T) {
	began, disks := startReleasingFleet(t)
	beginConfirmed(t, began, "first", "v2", 1)
	began.stop()
	for number, disk := range disks {
		disk.stop()
		disks[number] = startNodeWithoutContact(t, disk.directory.Self().NodeId, disk.directory.Self().DiskId)
	}
	edge := startNodeWithoutContact(t, "edge-b", "")
	all := append(slices.Clone(disks), edge)
	for _, node := range all {
		for _, disk := range disks {
			node.directory.Put(disk.directory.Self())
		}
	}
	cached := map[string][]string{"s": {"v1"}} // saved before the second version was listed
	for _, state := range []struct {
		name  string
		apply func(*testNode)
	}{
		{"nothing listed yet", func(*testNode) {}},
		{"the cache of a disk, and no contact with the store", func(node *testNode) {
			if node != edge {
				node.runners.Versions().Restore(cached, time.Now())
			}
		}},
		{"both versions listed", func(node *testNode) {
			node.contact.currentAt.Store(0)
			node.runners.Replace(node.runnersOfTwoVersions())
		}},
		{"the new version alone listed", func(node *testNode) {
			node.runners.Replace([]runnerset.Record{{ID: "b", Service: "s", Version: "v2"}}, 5, time.Now())
		}},
	} {
		for _, node := range all {
			state.apply(node)
		}
		origin, err := resolve(edge, "first", testContent)
		if result.CodeOf(err) != result.StreamNotResumed {
			t.Errorf("%s: resumed at %v, %v", state.name, origin, err)
		}
	}
}
