package queuestore

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
)

type protoMessage = proto.Message

func TestJobsRunAndAreTakenOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 5)
	c.finished("one", 5)
	reply := &wirev1.QueueSubmitReply{}
	job := &wirev1.QueueJob{Id: "one", Host: testHost, Route: "route", Items: []*wirev1.QueueItem{{Id: "other", Path: "/x"}}}
	is.NoErr(c.call(wirev1.Method_METHOD_QUEUE_SUBMIT, &wirev1.QueueSubmitRequest{Job: job}, reply))
	is.True(reply.Known)
	c.finished("one", 5)
}

// The limit of waiting tokens holds, also for a job that comes while another
// is on its way; a job that was taken is known whatever the limit is.
func TestWaitingTokensAreLimited(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.executor.hold = true
	c.eventually("the first fits", func() bool { return c.trySubmit("one", 5, 60) == nil })
	var refused error
	c.eventually("the second is answered", func() bool {
		refused = c.trySubmit("two", 2, 60)
		return result.Is(refused, result.TenantTokens) || refused == nil
	})
	is.True(result.Is(refused, result.TenantTokens)) // 50 wait, 20 come, 60 may
	is.NoErr(c.trySubmit("one", 5, 60))
	is.NoErr(c.trySubmit("three", 1, 60))
}

// A disk that is lost is replaced by the empty one of its node; then another
// may be lost.
func TestOneDiskAfterAnother(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 3)
	for round, name := range []string{"a", "b", "c", "a"} {
		c.wipe(name)
		c.start(name)
		disk := c.nodes[name].db.DiskID()
		c.eventually("the new disk is a member", func() bool {
			layout := c.layouts.Current()
			return layout != nil && layout.Shards[0].Has(disk)
		})
		id := string(rune('p' + round))
		c.submit(id, 2)
		c.finished(id, 2)
	}
	c.finished("one", 3)
}

// Changes of members that come one after the other, with time between, are not
// given up: each freeze has its own time.
func TestHandOversAreNotGivenUpTooSoon(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 1)
	for _, name := range []string{"a", "b", "c"} {
		c.wipe(name)
		c.start(name)
		disk := c.nodes[name].db.DiskID()
		c.eventually("the new disk is a member", func() bool { return c.layouts.Current().Shards[0].Has(disk) })
		time.Sleep(frozenTimeout + 100*time.Millisecond)
	}
	c.finished("one", 1)
	c.store.mutex.Lock()
	defer c.store.mutex.Unlock()
	is.Equal(c.store.fenced, 0)
}

// A node whose disk is lost while it is being emptied is not told as emptied
// as long as the lost disk is a member.
func TestNotEmptiedWhileItsLostDiskIsAMember(t *testing.T) {
	is := is.New(t)
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "b", DiskId: "disk-b", Incarnation: 1})
	directory.Put(&wirev1.NodeRecord{NodeId: "a", DiskId: "disk-a", Incarnation: 1})
	n := &StorageNode{NodeOptions: NodeOptions{Directory: directory}}
	layout := &Layout{Shards: []replica.MemberSet{{Generation: 1, Members: []string{"disk-a", "disk-b"}, Copies: 2}}}
	is.True(!n.emptied(layout, "a"))
	directory.Put(&wirev1.NodeRecord{NodeId: "a", DiskId: "disk-a-2", Incarnation: 2})
	is.True(!n.emptied(layout, "a"))
	layout.Shards[0].Members = []string{"disk-b"}
	is.True(n.emptied(layout, "a"))
}

// A machine is emptied with no spare: two members are left. When one of these
// loses its disk the other, alone, holds everything and goes on, whichever led.
func TestEmptiedThenAnotherDiskLost(t *testing.T) {
	for _, lostLeads := range []bool{true, false} {
		c := newCluster(t, "a", "b", "c")
		c.submit("one", 3)
		c.retire("a")
		c.eventually("a is emptied", func() bool { return c.store.isRetired("a") })
		c.stop("a")
		c.submit("two", 2)
		c.eventually("one leads", func() bool { return c.leader() != "" })
		lost := c.leader()
		if !lostLeads {
			lost = map[string]string{"b": "c", "c": "b"}[lost]
		}
		c.wipe(lost)
		c.start(lost)
		c.finished("one", 3)
		c.finished("two", 2)
		c.submit("three", 2)
		c.finished("three", 2)
	}
}

// The last node that holds everything is to be emptied itself while the other
// one's disk is lost: it stays a member until there are copies enough, and the
// jobs are served.
func TestLastHolderIsToBeEmptied(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 3)
	c.retire("a")
	c.eventually("a is emptied", func() bool { return c.store.isRetired("a") })
	c.stop("a")
	c.wipe("b")
	c.retiring = map[string]bool{"a": true, "c": true}
	c.start("b")
	c.finished("one", 3)
	c.submit("two", 2)
	c.finished("two", 2)
	is.True(!c.store.isRetired("c")) // one copy elsewhere is not as safe as before
}

// All processes are killed at once, with work taken and unfinished.
func TestAllKilled(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.executor.hold = true
	c.submit("one", 4)
	for name := range c.nodes {
		c.stop(name)
	}
	for name := range c.nodes {
		c.start(name)
	}
	c.executor.mutex.Lock()
	c.executor.hold = false
	c.executor.mutex.Unlock()
	c.finished("one", 4)
}

// With the platform's store down jobs are taken and run, a leader lost and
// replaced.
func TestStoreDown(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.submit("one", 2)
	c.store.mutex.Lock()
	c.store.down = true
	c.store.mutex.Unlock()
	c.eventually("one leads", func() bool { return c.leader() != "" })
	c.stop(c.leader())
	c.submit("two", 2)
	c.finished("one", 2)
	c.finished("two", 2)
}

// After the end of a job nothing more is listed and its items give no body.
func TestEndedJob(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.executor.hold = true
	c.submit("one", 2)
	ended := &wirev1.QueueEndReply{}
	c.eventually("the job ends", func() bool {
		return c.call(wirev1.Method_METHOD_QUEUE_END, &wirev1.QueueEndRequest{JobId: "one", Host: testHost}, ended) == nil
	})
	is.True(ended.Found)
	c.executor.mutex.Lock()
	c.executor.hold = false
	c.executor.mutex.Unlock()
	c.submit("two", 1)
	c.finished("two", 1)
	reply, err := c.read("one")
	is.NoErr(err)
	is.Equal(len(reply.Results), 0)
	is.Equal(c.executor.runs["one-0"], 0)
}

// A replica that starts with a long applied log does not know yet how far it is
// committed: it drops none of it before it does, and goes on.
func TestLongLogAfterAllKilled(t *testing.T) {
	c := newCluster(t)
	c.truncateInterval = time.Hour // the log stays long
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	c.submit("one", 2)
	c.finished("one", 2)
	shard := c.nodes[c.leader()].node.shard(0)
	batch := make([]*wirev1.QueueCommand, 2*keepEntries+100)
	for i := range batch {
		batch[i] = &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: "nobody"}}
	}
	_ = shard.RunInLoop(context.Background(), func() { shard.Propose(batch...) })
	c.eventually("all have applied it", func() bool {
		count := 0
		for _, n := range c.nodes {
			held := n.node.shard(0)
			_ = held.RunInLoop(context.Background(), func() {
				if held.AppliedIndex() > 2*keepEntries {
					count++
				}
			})
		}
		return count == len(c.nodes)
	})
	for name := range c.nodes {
		c.stop(name)
	}
	c.truncateInterval = 0
	for name := range c.nodes {
		c.start(name)
	}
	c.finished("one", 2)
	c.submit("two", 2)
	c.finished("two", 2)
}

// Items that wait for a service without room are not tried one by one at each
// tick: to try one its body is read and all runners are weighed. When a run of
// the shard ends, room is looked for at once.
func TestFullServiceIsNotTriedForEachItem(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.executor.hold = true
	const items = 40
	c.submit("one", items)
	count := func() int {
		c.executor.mutex.Lock()
		defer c.executor.mutex.Unlock()
		return c.executor.refused
	}
	c.eventually("each was tried once", func() bool { return count() >= items })
	before, began := count(), time.Now()
	c.eventually("it is tried again", func() bool { return count() >= before+10 })
	is.True(count()-before <= int(time.Since(began)/fullPause)+2)
	c.executor.setHold(false)
	c.finished("one", items)
}
