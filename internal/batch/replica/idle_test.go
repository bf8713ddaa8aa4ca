package replica

import (
	"testing"

	"pgregory.net/rapid"
)

// idle marks the shard as idle at its leader, as the driver does.
func (c *cluster) idle() {
	for _, id := range c.ids() {
		if r := c.replicas[id]; r != nil && !c.paused[id] {
			r.SetIdle(c.now, true)
			c.processReady(id, false)
		}
	}
}

// wake makes the shard busy from one member.
func (c *cluster) wake(id string) {
	if r := c.replicas[id]; r != nil && !c.paused[id] {
		r.Wake(c.now)
		c.processReady(id, false)
	}
}

// newIdleCluster returns a cluster whose shard is idle, and its leader.
func newIdleCluster(t *rapid.T) (*cluster, *Replica) {
	c := newCluster(t, 5)
	c.run(300)
	leader := c.leader()
	if leader == nil {
		t.Fatalf("no leader: %s", c.describe())
	}
	for range 50 {
		c.idle()
		c.run(2)
		if leader.Idle() {
			c.run(20)
			return c, leader
		}
	}
	t.Fatalf("the shard is not idle: %s", c.describe())
	return nil, nil
}

// Checks that a shard that changes between idle and busy during faults loses no committed
// entry, and commits entries again after the faults.
func TestIdleShardsKeepCommittedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(3, 5).Draw(t, "members"))
		c.run(150)
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c.idle()
			case 1:
				c.wake(rapid.SampledFrom(c.ids()).Draw(t, "woken"))
			case 2:
				c.injectFault()
			case 3:
				c.propose(true)
			}
			c.run(rapid.IntRange(1, 120).Draw(t, "steps"))
		}
		c.heal()
		c.run(1500) // an idle shard detects a lost leader idleFactor times later
		c.requireAcked("after healing")
		before := len(c.acked)
		c.propose(false)
		c.run(100)
		if len(c.acked) <= before {
			t.Fatalf("the healed shard commits nothing: %s", c.describe())
		}
	})
}

// Checks that an idle shard sends at most 3/idleFactor of a busy shard's messages and keeps
// its leader.
func TestIdleShardSendsFewerMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader := newIdleCluster(t)
		count := func(before func()) int {
			messages := 0
			for range 300 {
				before()
				c.step()
				messages += len(c.network)
			}
			return messages
		}
		epoch := leader.Epoch()
		idle := count(c.idle)
		c.wake(leader.self)
		busy := count(func() {})
		if idle*idleFactor > 3*busy {
			t.Fatalf("%d messages while idle, %d while busy", idle, busy)
		}
		if c.leader() != leader || leader.Epoch() != epoch {
			t.Fatalf("the leader changed: %s", c.describe())
		}
	})
}

// Checks that a follower can wake an idle shard without a change of its leader. If the
// leader is lost, the woken members elect another one without the longer times of an idle
// shard.
func TestWakeFindsLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, leader := newIdleCluster(t)
		epoch := leader.Epoch()
		if rapid.Bool().Draw(t, "leader is alive") {
			follower := rapid.SampledFrom(leader.followers()).Draw(t, "follower")
			for range 10 { // repeated, because the network may deliver older messages late
				c.wake(follower)
				c.run(10)
			}
			if c.leader() != leader || leader.Epoch() != epoch || leader.Idle() {
				t.Fatalf("woken, idle %v: %s", leader.Idle(), c.describe())
			}
			return
		}
		c.replicas[leader.self] = nil
		c.run(rapid.IntRange(0, 40).Draw(t, "steps"))
		for _, id := range c.ids() {
			c.wake(id)
		}
		const maxSteps = 250 // steps of 20 ms: five times the election time
		for range maxSteps {
			c.step()
			if c.leader() != nil {
				return
			}
		}
		t.Fatalf("no leader after the wake: %s", c.describe())
	})
}
