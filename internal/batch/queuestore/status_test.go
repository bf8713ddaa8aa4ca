package queuestore

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardstatus"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// readAt reads a job at one node only.
func (c *testCluster) readAt(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return c.client.Call(ctx, c.nodes[name].address, rpc.ClassOnline, wirev1.Method_METHOD_QUEUE_READ, &wirev1.QueueReadRequest{JobId: "one", Host: testHost}, &wirev1.QueueReadReply{})
}

// collect returns the status of shard 0 as an edge collects it.
func (c *testCluster) collect() *wirev1.QueueStatusReply {
	directory := peers.NewDirectory(&wirev1.NodeRecord{NodeId: "edge"})
	for _, record := range c.records {
		directory.Put(record)
	}
	collector := &StatusCollector{Directory: directory, Layouts: c.layouts, Sender: c.client, Contact: c.store}
	return collector.Collect(context.Background(), &wirev1.QueueStatusRequest{})
}

// statusOf returns the status of a node's replica of shard 0 as an edge collects it; nil if the
// node does not answer.
func (c *testCluster) statusOf(name string) *wirev1.ReplicaStatus {
	for _, status := range c.collect().Replicas {
		if status.Node == name {
			return status
		}
	}
	return nil
}

// awaitState waits until a node's replica of shard 0 is in a state, and returns its status and
// the error of a read at the node.
func (c *testCluster) awaitState(name string, state wirev1.ServingState) (*wirev1.ReplicaStatus, error) {
	c.t.Helper()
	var status *wirev1.ReplicaStatus
	var err error
	c.eventually(name+" is in state "+state.String(), func() bool {
		err = c.readAt(name)
		status = c.statusOf(name)
		return status != nil && status.State == state && result.Is(err, result.NotLeader) && strings.Contains(err.Error(), "state="+shardstatus.StateName(state))
	})
	return status, err
}

func (s *testStore) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
}

func contains(t *testing.T, err error, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Fatalf("error %v lacks %q", err, part)
		}
	}
}

func memberOf(status *wirev1.ReplicaStatus, node string) *wirev1.MemberStatus {
	for _, member := range status.Members {
		if member.Node == node {
			return member
		}
	}
	return &wirev1.MemberStatus{}
}

// others returns the running nodes but one, sorted.
func (c *testCluster) others(name string) []string {
	var list []string
	for other, n := range c.nodes {
		if other != name && n.running {
			list = append(list, other)
		}
	}
	slices.Sort(list)
	return list
}

// inLoop runs a function on the goroutine of a node's replica of shard 0.
func (c *testCluster) inLoop(name string, call func(s *shard)) {
	c.t.Helper()
	s := c.nodes[name].node.shard(0)
	if err := s.RunInLoop(context.Background(), func() { call(s) }); err != nil {
		c.t.Fatal(err)
	}
}

// A member that is left alone says that it gets no votes and who is silent, and its metric
// grows.
func TestStatusTellsThatAQuorumIsMissing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	c.eventually("the followers see the leader serve", func() bool {
		followers := c.others(leader)
		return c.statusOf(followers[0]).GetState() == wirev1.ServingState_SERVING_STATE_FOLLOWING && c.statusOf(followers[1]).GetState() == wirev1.ServingState_SERVING_STATE_FOLLOWING
	})
	survivor := c.others(leader)[0]
	other := c.others(leader)[1]
	c.stop(other)
	c.stop(leader)
	c.eventually("the others count as silent", func() bool {
		_, err := c.awaitState(survivor, wirev1.ServingState_SERVING_STATE_NO_VOTES)
		return strings.Count(err.Error(), "silent/") == 2
	})
	status, err := c.awaitState(survivor, wirev1.ServingState_SERVING_STATE_NO_VOTES)
	contains(t, err, "shard 0 is not led here: state=no_votes", "generation=1", leader+":silent/", other+":silent/", "unserved=")
	is.True(status.CampaignsWithoutLeader >= 2)
	is.True(status.UnservedMs > 0)
	is.Equal(status.ElectionQuorum, uint32(2))
	is.Equal(len(c.collect().Failures), 2)
	c.eventually("the metrics tell the reason", func() bool {
		return c.metric(survivor, "cobaltramp_queue_shard_unserved_seconds", "no_votes") > 0 && c.metric(survivor, "cobaltramp_queue_unserved_seconds_total", "no_votes") > 0
	})
}

// metric returns the value of a node's metric with the given reason; 0 if there is none.
func (c *testCluster) metric(name, metric, reason string) float64 {
	families, err := c.nodes[name].node.Registry.(*prometheus.Registry).Gather()
	if err != nil {
		c.t.Fatal(err)
	}
	for _, family := range families {
		for _, sample := range family.Metric {
			for _, label := range sample.Label {
				if family.GetName() == metric && label.GetValue() == reason {
					return sample.GetGauge().GetValue() + sample.GetCounter().GetValue()
				}
			}
		}
	}
	return 0
}

// A shard that stays frozen because the store is away says so at every member, with the failed
// fence. It serves again once the store is back.
func TestStatusTellsThatAShardIsFrozenWithoutTheStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	c.store.setDown(true)
	c.inLoop(leader, func(s *shard) { is.True(s.Replica.Freeze()) })
	for _, name := range []string{"a", "b", "c"} {
		status, err := c.awaitState(name, wirev1.ServingState_SERVING_STATE_FROZEN)
		contains(t, err, "state=frozen", "frozenAttempt=0")
		is.True(status.Frozen)
		is.True(status.Stored.StoreLost)
	}
	c.eventually("the fence has failed", func() bool { return c.statusOf(leader).GetLastFence().GetError() != "" })
	c.eventually("the error tells of the fence", func() bool { return strings.Contains(c.readAt(leader).Error(), "fence=failed") })
	is.True(c.statusOf(leader).FrozenMs >= freezeTimeout.Milliseconds())
	c.store.setDown(false)
	c.awaitLeader()
}

// Members that hold two generations name each other.
func TestStatusTellsThatMembersHoldTwoGenerations(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	ahead, behind := c.others(leader)[0], c.others(leader)[1]
	c.stop(leader)
	c.inLoop(ahead, func(s *shard) {
		current := s.Replica.MemberSet()
		s.Replica.Observe(time.Now(), replica.MemberSet{Generation: 2, Members: current.Members, Copies: current.Copies})
	})
	status, err := c.awaitState(behind, wirev1.ServingState_SERVING_STATE_OTHER_GENERATION)
	contains(t, err, "state=other_generation", "generation=1", "foreign=2@"+ahead)
	is.Equal(status.Foreign.Node, ahead)
	is.True(status.Foreign.Count > 0)
	status, err = c.awaitState(ahead, wirev1.ServingState_SERVING_STATE_OTHER_GENERATION)
	contains(t, err, "state=other_generation", "generation=2", "foreign=1@"+behind)
	is.Equal(status.Generation, uint64(2))
	is.Equal(status.Stored.Generation, uint64(1))
}

// A leader without enough members for a commit says so. With two members and two copies one
// vote elects a leader.
func TestStatusTellsThatALeaderCannotCommit(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b")
	leader := c.awaitLeader()
	survivor := c.others(leader)[0]
	c.stop(leader)
	status, err := c.awaitState(survivor, wirev1.ServingState_SERVING_STATE_CANNOT_COMMIT)
	contains(t, err, "state=cannot_commit", "role=leader", "epochStart=", leader+":")
	is.Equal(status.Role, "leader")
	is.Equal(status.WriteQuorum, uint32(2))
	is.True(status.CommitIndex < status.EpochStartIndex)
}

// A replica that stopped after an error says so and names the error, also in its metric.
func TestStatusTellsThatAReplicaStopped(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.awaitLeader()
	c.inLoop("a", func(s *shard) { s.Fail(errors.New("disk on fire")) })
	status, err := c.awaitState("a", wirev1.ServingState_SERVING_STATE_STOPPED)
	contains(t, err, "shard 0 stopped here: state=stopped", "disk on fire")
	is.Equal(status.StoppedError, "disk on fire")
	is.Equal(len(status.Members), 3)
	is.True(c.metric("a", "cobaltramp_queue_shard_unserved_seconds", "stopped") > 0)
}

// A replica whose goroutine hangs is stalled, which needs no answer of the goroutine.
func TestStatusTellsThatAReplicaIsStalled(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.awaitLeader()
	release := make(chan struct{})
	is.True(c.nodes["a"].node.shard(0).TryRunInLoop(func() { <-release }))
	defer close(release)
	c.eventually("a is stalled", func() bool {
		status := c.statusOf("a")
		return status.GetState() == wirev1.ServingState_SERVING_STATE_STALLED && strings.Contains(status.Summary, "state=stalled")
	})
}

// A refused pre-vote carries its reason to the campaigning member: the others follow a leader
// that one member does not hear.
func TestStatusTellsWhoRefusesAndWhy(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	follower := c.others(leader)[0]
	c.eventually("a campaign is refused because the leader lives", func() bool {
		c.inLoop(follower, func(s *shard) { s.Replica.LeaderLost(time.Now()) })
		answer := memberOf(c.statusOf(follower), leader).GetAnswer()
		return answer.GetRefusal() == wirev1.VoteRefusal_VOTE_REFUSAL_LEADER_ALIVE && answer.PreVote
	})
}

// A node without a replica says whether it should have one.
func TestStatusTellsThatANodeHasNoReplica(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.awaitLeader()
	c.start("d")
	c.eventually("d knows the layout", func() bool { return c.nodes["d"].node.Layouts.Current() != nil })
	err := c.readAt("d")
	contains(t, err, "shard 0 is not here: state=not_started member=false storedGeneration=1")
	is.True(result.Is(err, result.NotLeader))
}

// The obstacle of a hand-over is named: a member of the next set that has not caught up, and
// then the lost contact with the store.
func TestStatusTellsWhyAHandOverWaits(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	obstacle := ""
	c.inLoop(leader, func(s *shard) {
		obstacle = s.sealObstacle(time.Now(), replica.MemberSet{Generation: 2, Members: []string{s.Disk, "disk-new"}, Copies: 2})
	})
	contains(t, errors.New(obstacle), "not caught up: disk-new")
	c.store.setDown(true)
	c.inLoop(leader, func(s *shard) {
		obstacle = s.sealObstacle(time.Now(), replica.MemberSet{Generation: 2, Members: []string{s.Disk}, Copies: 2})
	})
	contains(t, errors.New(obstacle), "no contact with the store")
}

// Any storage node answers for all members of a shard, a node without a replica too, and for
// itself alone if asked so.
func TestAnyStorageNodeTellsTheStatusOfAllMembers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	c.start("d")
	ask := func(name string, local bool) *wirev1.QueueStatusReply {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		reply := &wirev1.QueueStatusReply{}
		is.NoErr(c.client.Call(ctx, c.nodes[name].address, rpc.ClassControl, wirev1.Method_METHOD_QUEUE_STATUS, &wirev1.QueueStatusRequest{Local: local}, reply))
		return reply
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.eventually(name+" knows the leader", func() bool {
			reply := ask(name, false)
			serving := 0
			for _, status := range reply.Replicas {
				if status.State == wirev1.ServingState_SERVING_STATE_SERVING && status.Node == leader {
					serving++
				}
			}
			return reply.Node == name && len(reply.Replicas) == 3 && len(reply.Failures) == 0 && serving == 1
		})
	}
	is.Equal(len(ask("a", true).Replicas), 1)
	is.Equal(ask("d", true).Replicas[0].State, wirev1.ServingState_SERVING_STATE_NOT_STARTED)
}

// The state of a member's disk is what this node knows: the failed call to its node, that its
// node is retiring, that its node has another disk, or nothing.
func TestStatusTellsTheStateOfDisks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	member := c.others(leader)[0]
	disk := c.records[member].DiskId
	stateOf := func(disk string) (state wirev1.DiskState) {
		c.inLoop(leader, func(s *shard) { state = s.diskState(time.Now(), disk) })
		return state
	}
	directory := c.nodes[leader].node.Directory
	is.Equal(stateOf(disk), wirev1.DiskState_DISK_STATE_HEALTHY)
	is.Equal(stateOf("disk-nowhere"), wirev1.DiskState_DISK_STATE_UNKNOWN)
	directory.RecordUnresponsive(c.records[member].Address, time.Now())
	is.Equal(stateOf(disk), wirev1.DiskState_DISK_STATE_UNRESPONSIVE)
	directory.SetRetiring(map[string]bool{member: true})
	is.Equal(stateOf(disk), wirev1.DiskState_DISK_STATE_RETIRING)
	directory.Put(&wirev1.NodeRecord{NodeId: member, Address: c.records[member].Address, Region: "r", DiskId: "disk-new", Incarnation: c.incarnation + 1})
	is.Equal(stateOf(disk), wirev1.DiskState_DISK_STATE_LOST)
}

// A hand-over that waits for the store says so in the status while it lasts, and keeps the
// reason when it is given up.
func TestStatusTellsWhatARunningHandOverWaitsFor(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	wiped := c.others(leader)[0]
	c.store.setDown(true)
	c.wipe(wiped)
	c.start(wiped)
	var status *wirev1.ReplicaStatus
	c.eventually("the hand-over waits for the store", func() bool {
		status = c.statusOf(leader)
		return strings.Contains(status.GetHandOver().GetObstacle(), "no contact with the store")
	})
	is.Equal(status.HandOver.Generation, uint64(2))
	is.True(!status.Frozen)
	c.inLoop(leader, func(s *shard) {
		s.recordObstacle(time.Now(), "timed out")
		is.Equal(s.lastObstacle, "no contact with the store")
	})
	c.store.setDown(false)
	c.eventually("the hand-over is done", func() bool { return c.layouts.Current().Shards[0].Has(c.nodes[wiped].db.DiskID()) })
	c.eventually("the status tells the outcome", func() bool {
		last := c.statusOf(leader).GetLastHandOver()
		return last.GetOutcome() == handOverDone && last.Obstacle == "" && c.statusOf(leader).GetLastSwap().GetCommitted()
	})
}

// A leader's replica without the work of a leader says so.
func TestErrorTellsThatLeadershipIsMissing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	is.Equal(c.statusOf(leader).GetLeadership(), "active")
	c.inLoop(leader, func(s *shard) {
		s.DropLeadership("test")
		err := s.notLed()
		is.True(result.Is(err, result.NotLeader))
		contains(t, err, "state=serving", "leadership=none")
	})
	c.awaitLeader() // the leadership begins again
}
