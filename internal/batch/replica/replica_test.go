package replica

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// Checks that no committed entry changes or is lost during crashes, pauses, partitions, and
// message loss, delay, duplication and reordering, and that the shard commits entries
// again afterwards.
func TestCommittedEntriesSurviveAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(3, 5).Draw(t, "members"))
		c.run(150)
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			c.injectFault()
			for range rapid.IntRange(1, 10).Draw(t, "proposals") {
				c.propose(true)
				c.run(rapid.IntRange(1, 30).Draw(t, "steps"))
			}
		}
		c.heal()
		c.run(600)
		c.requireAcked("after healing")
		before := len(c.acked)
		c.propose(false)
		c.run(100)
		if len(c.acked) <= before {
			t.Fatalf("the healed shard commits nothing: %s", c.describe())
		}
	})
}

// Checks that an unresponsive member is sent no entries, which would fill the leader's
// memory, and that it receives all of them after its restart.
func TestUnresponsiveMemberIsSentNoEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 5)
		c.run(300)
		leader := c.leader()
		if leader == nil {
			t.Fatalf("no leader: %s", c.describe())
		}
		down := rapid.SampledFrom(leader.followers()).Draw(t, "down")
		c.replicas[down] = nil
		c.run(30) // three heartbeats
		before := c.sentBytes[down]
		for range 20 {
			c.propose(false)
			c.run(3)
		}
		if c.leader() == leader && c.sentBytes[down] > before {
			t.Fatalf("%d bytes were sent to an unresponsive member", c.sentBytes[down]-before)
		}
		c.restart(down)
		c.run(300)
		if held := len(c.disks[down].entries); held < len(c.acked) {
			t.Fatalf("the returned member holds %d of %d entries", held, len(c.acked))
		}
	})
}

// Checks that acknowledged entries survive the loss of two disks at once.
func TestTwoDisksLostAfterAcknowledgement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(3, 5).Draw(t, "members")
		c := newCluster(t, members)
		c.run(150)
		for range rapid.IntRange(1, 20).Draw(t, "proposals") {
			c.propose(false)
			c.run(rapid.IntRange(1, 8).Draw(t, "steps"))
		}
		lost := rapid.Permutation(c.ids()).Draw(t, "lost")[:2]
		for _, id := range lost {
			c.disks[id].lost = true
			c.disks[id].entries = nil
			c.replicas[id] = nil
		}
		c.run(800)
		leader := c.leaderWithAllAcked()
		if leader == "" {
			t.Fatalf("no survivor leads with all of %d acknowledged entries: %s", len(c.acked), c.describe())
		}
		if members == 5 {
			c.requireAcked("after two of five disks are lost")
		}
	})
}

// leaderWithAllAcked returns a leader that has all acknowledged entries, or "" if there
// is none.
func (c *cluster) leaderWithAllAcked() string {
	for id, r := range c.replicas {
		if r == nil || r.Role() != Leader {
			continue
		}
		entries := c.disks[id].entries
		complete := true
		for index, command := range c.acked {
			complete = complete && uint64(len(entries)) >= index && bytes.Equal(entries[index-1].Command, command)
		}
		if complete {
			return id
		}
	}
	return ""
}

// Checks that a leader that was paused and deposed commits nothing when it resumes.
func TestDeposedLeaderCommitsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 5)
		c.run(150)
		old := c.leader()
		if old == nil {
			t.Fatal("no leader")
		}
		c.paused[old.self] = true
		c.run(400)
		oldEpoch, oldCommit := old.Epoch(), old.Commit()
		if next := c.leader(); next == nil || next.self == old.self {
			t.Fatal("no new leader")
		}
		c.paused[old.self] = false
		old.Propose(c.now, [][]byte{[]byte("written while deposed")})
		c.processReady(old.self, false)
		c.run(rapid.IntRange(1, 200).Draw(t, "steps"))
		if old.Epoch() == oldEpoch && old.Commit() > oldCommit {
			t.Fatal("a deposed leader committed")
		}
		for _, command := range c.committed {
			if string(command) == "written while deposed" {
				t.Fatal("a deposed leader's entry was committed")
			}
		}
	})
}

// Checks that no epoch has two leaders and no acknowledged entry is lost, even when
// partitioned members can elect themselves because the election quorum is one.
func TestNoTwoLeadersInOneEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(3, 5).Draw(t, "members"))
		c.run(rapid.IntRange(0, 150).Draw(t, "before"))
		for i, id := range c.ids() {
			c.partition[id] = rapid.IntRange(0, 1).Draw(t, "partition") * i
		}
		for range 10 {
			c.propose(false)
			c.run(60)
		}
		c.heal()
		c.run(400)
		c.requireAcked("after healing")
	})
}
