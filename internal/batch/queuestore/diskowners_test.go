package queuestore

import (
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
)

// Guards against a wait for a disk that can't return: a node that restarts at the same time as
// another one loses its disk has never seen a record that names the lost disk.
func TestRestartedNodeKnowsLostDisk(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "b", DiskId: "disk-b", Incarnation: 1})
	directory.Put(&wirev1.NodeRecord{NodeId: "a", DiskId: "new-disk-a", Incarnation: 2})
	layouts := NewLayouts()
	layouts.UpdateIfNewer(LayoutKey, []byte(`{"shards":[{"generation":1,"members":["disk-a","disk-b","disk-c"],"copies":2,"owners":{"disk-a":"a","disk-b":"b"}}]}`), 1, "test")
	n := &StorageNode{NodeOptions: NodeOptions{Directory: directory, Layouts: layouts}}
	is.True(!n.diskLost(0, "disk-a", now)) // without contact, the record may be older than the member set
	directory.RecordContact("a", now)
	is.True(n.diskLost(0, "disk-a", now))
	is.True(!n.diskLost(0, "disk-b", now))
	is.True(!n.diskLost(0, "disk-c", now)) // no owner is known
	directory.Put(&wirev1.NodeRecord{NodeId: "m", DiskId: "disk-a", Incarnation: 1})
	is.True(!n.diskLost(0, "disk-a", now)) // the disk runs at another node
	directory.Put(&wirev1.NodeRecord{NodeId: "m", Incarnation: 2})
	is.Equal(n.diskOwners(0, []string{"disk-a", "new-disk-a", "disk-c"}), map[string]string{"disk-a": "a", "new-disk-a": "a"})
}

// After a restart of all nodes, one of them with a new disk, the leader knows that the member's
// disk is lost, and the new member set names the owners of its disks.
func TestLostDiskIsReplacedAfterAllNodesRestart(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c", "d")
	c.submit("one", 3)
	c.waitFinished("one", 3)
	lost := c.awaitLeader()
	lostDisk := c.nodes[lost].db.DiskID()
	for name := range c.nodes {
		c.stop(name)
	}
	clear(c.records)
	c.wipe(lost)
	for _, name := range []string{"a", "b", "c", "d"} {
		c.start(name)
	}
	leader := c.nodes[c.awaitLeader()].node.shard(0)
	status := statusHealthy
	leader.runIfRunning(func() { status = leader.memberStatus(time.Now(), lostDisk) })
	is.Equal(status, statusLost)
	c.eventually("the lost disk is replaced", func() bool { return !c.layouts.Current().Shards[0].Has(lostDisk) })
	memberSet := c.layouts.Current().Shards[0]
	for _, member := range memberSet.Members {
		owner := memberSet.Owners[member]
		is.True(owner != "" && c.nodes[owner].db.DiskID() == member)
	}
	c.waitFinished("one", 3)
}

// Guards against a shard that can't lose another disk until a spare disk has caught up, which takes
// the longer the more data the shard has: the lost disk leaves the member set first.
func TestLostDiskLeavesMemberSetBeforeItIsReplaced(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 3)
	c.waitFinished("one", 3)
	lostDisk := c.nodes["a"].db.DiskID()
	c.wipe("a")
	c.start("a")
	replacement := c.nodes["a"].db.DiskID()
	c.eventually("the new disk is a member", func() bool { return c.layouts.Current().Shards[0].Has(replacement) })
	stored := c.store.storedMemberSets(t)
	is.Equal(len(stored), 2)
	is.Equal(len(stored[0].Members), 2)
	is.True(!stored[0].Has(lostDisk))
	is.Equal(len(stored[1].Members), 3)
}

// A shard whose member set consists of two disks, because a third was lost, keeps all jobs if one of
// these is lost as well before a third member has joined.
func TestNextDiskIsLostBeforeSpareJoins(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 3)
	c.waitFinished("one", 3)
	lostDisk := c.nodes["a"].db.DiskID()
	c.wipe("a")
	c.start("a")
	c.eventually("the lost disk is no member", func() bool { return !c.layouts.Current().Shards[0].Has(lostDisk) })
	c.wipe("b")
	c.start("b")
	c.submit("two", 2)
	c.waitFinished("one", 3)
	c.waitFinished("two", 2)
}
