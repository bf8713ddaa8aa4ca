package informer

import (
	"testing"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// Guards against an odd entry that replaces the record of a node under whose key it was not written,
// and with it the address and the disk at which other nodes look for that node.
func TestRecordUnderAnotherKeyIsIgnored(t *testing.T) {
	is := is.New(t)
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "self", Incarnation: 1})
	sink := (*productSink)(New(Options{Schema: testSchema, Directory: directory, Layouts: queuestore.NewLayouts()}))
	put := func(key, text string) {
		sink.Apply([]ports.WatchEvent{{Value: ports.Value{Key: key, Value: []byte(text), Revision: 3}}}, 3)
	}
	put(nodesPrefix+"a", `{"node_id":"a","address":"10.0.0.1:1","disk_id":"d1","incarnation":5}`)
	put(nodesPrefix+"odd", `{"node_id":"a","address":"10.0.0.9:1","disk_id":"d9","incarnation":6}`)
	put(nodesPrefix, `{"node_id":"a","address":"10.0.0.9:1","disk_id":"d9","incarnation":7}`)
	is.True(!directory.DiskLost("d1"))
	record, known := directory.Disk("d1")
	is.True(known)
	is.Equal(record.Address, "10.0.0.1:1")
	put(nodesPrefix+"a", `{"node_id":"a","address":"10.0.0.2:1","disk_id":"d1","incarnation":8}`)
	record, _ = directory.Disk("d1")
	is.Equal(record.Address, "10.0.0.2:1")
}
