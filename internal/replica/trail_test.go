package replica

import (
	"testing"

	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// trailCluster has three members of which two make a commit, and a member that
// trails after a run of proposals.
func trailCluster(t *rapid.T, trail int) (c *cluster, leader, whole, trails string) {
	c = newCluster(t, 3)
	c.config.Copies = 2
	c.stored, c.trail = c.config, trail
	for _, id := range c.ids() {
		c.disks[id] = &disk{}
		c.restart(id)
	}
	c.steady = true
	c.run(150)
	c.proposeMany(40)
	for _, id := range c.ids() {
		switch {
		case c.replicas[id].Role() == Leader:
			leader = id
		case !c.holdsAll(id):
			trails = id
		default:
			whole = id
		}
	}
	return c, leader, whole, trails
}

func (c *cluster) proposeMany(count int) {
	for range count {
		c.propose(false)
		c.run(2)
	}
	c.run(30)
}

func (c *cluster) holdsAll(id string) bool {
	return len(c.disks[id].entries) >= len(c.committed)
}

const noBound = 1 << 30

// As many members as a commit needs are sent everything, the rest only told
// that the leader lives.
func TestOthersThanAQuorumTrail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader, whole, trails := trailCluster(t, noBound)
		if leader == "" || whole == "" || trails == "" {
			t.Fatalf("nobody trails: %s", c.describe())
		}
		if len(c.acked) < 40 || !c.holdsAll(leader) || !c.holdsAll(whole) {
			t.Fatalf("%d committed: %s", len(c.acked), c.describe())
		}
	})
}

// When a whole copy falls silent, one that trailed takes its place though
// nothing is proposed: the next disk may be lost before anything is.
func TestTrailingMemberTakesThePlaceOfASilentOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader, whole, trails := trailCluster(t, noBound)
		gone := rapid.SampledFrom([]string{leader, whole}).Draw(t, "gone")
		c.replicas[gone] = nil
		c.run(400)
		if !c.holdsAll(trails) {
			t.Fatalf("%s is gone and %s trails still: %s", gone, trails, c.describe())
		}
		c.disks[gone].lost = true
		c.requireAcked("after the loss")
	})
}

// A commit comes though the member that is sent everything answers only
// heartbeats.
func TestCommitComesThoughEntriesAreLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, _, whole, _ := trailCluster(t, noBound)
		c.drop = func(message *wirev1.ReplicaMessage) bool { return message.To == whole && len(message.Entries) > 0 }
		before := len(c.acked)
		c.proposeMany(5)
		c.run(100)
		if len(c.acked) < before+5 {
			t.Fatalf("%d of 5 committed: %s", len(c.acked)-before, c.describe())
		}
	})
}

// A member never lacks more than the bound for long.
func TestTrailIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, _, _, _ := trailCluster(t, 40)
		c.proposeMany(40)
		for _, id := range c.ids() {
			if lacks := len(c.committed) - len(c.disks[id].entries); lacks > 20 {
				t.Fatalf("%s lacks %d entries: %s", id, lacks, c.describe())
			}
		}
	})
}

// While the member set changes everybody is whole: when that is asked for, when
// a learner catches up, and once the set is sealed.
func TestNobodyTrailsWhileTheMemberSetChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader, _, trails := trailCluster(t, noBound)
		r := c.replicas[leader]
		switch rapid.IntRange(0, 2).Draw(t, "how") {
		case 0:
			r.SendToAll(c.now, true)
		case 1:
			r.SetLearners(c.now, []string{"new"})
		case 2:
			r.Freeze()
			next := Config{Generation: 2, Members: []string{leader, trails}, Copies: 2}
			c.run(60)
			if !r.Sealed(next) {
				t.Fatalf("never sealed: %s", c.describe())
			}
		}
		c.run(60)
		if !c.holdsAll(trails) {
			t.Fatalf("%s trails still: %s", trails, c.describe())
		}
	})
}
