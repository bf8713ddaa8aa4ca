package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// Checks that a sealed hand-over to a set with a new disk loses no acknowledged entry when
// members fail during it, and that a fenced sealer cannot complete it.
func TestHandOverKeepsCommittedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(3, 5).Draw(t, "members")
		c := newCluster(t, members)
		c.run(150)
		for range 5 {
			c.propose(false)
			c.run(5)
		}
		victim := rapid.SampledFrom(c.ids()).Draw(t, "lost disk")
		c.disks[victim].lost = true
		c.replicas[victim] = nil
		c.run(400)
		next := c.nextMemberSet(victim)
		c.handOver(next)
		c.heal()
		c.finishOrThaw(next)
		c.run(800)
		c.requireAcked("after the hand-over")
	})
}

func (c *cluster) nextMemberSet(victim string) MemberSet {
	next := MemberSet{Generation: 2}
	for _, id := range c.memberSet.Members {
		if id != victim {
			next.Members = append(next.Members, id)
		}
	}
	next.Members = append(next.Members, "new")
	c.disks["new"] = &disk{}
	c.replicas["new"] = Restore(0, "new", MemberSet{Generation: 1}, testTiming(), rand.New(rand.NewPCG(1, 1)), c.disks["new"], HardState{}, 0, 0, nil, c.now)
	return next
}

// handOver drives the catch-up, the freeze and the compare-and-swap of a hand-over while it
// injects random faults. The sealer may be paused before the compare-and-swap.
func (c *cluster) handOver(next MemberSet) {
	var sealer *Replica
	for range 400 {
		c.step()
		for _, id := range c.ids() {
			if r := c.replicas[id]; r != nil && r.Role() == Leader {
				sealer = r
			}
		}
		if sealer == nil {
			continue
		}
		sealer.SetLearners(c.now, []string{"new"})
		if sealer.CaughtUp("new") && !sealer.Frozen() && sealer.Role() == Leader {
			sealer.Freeze()
		}
		if rapid.IntRange(0, 60).Draw(c.t, "fault now") == 0 {
			c.injectFault()
		}
		if sealer.Sealed(next) && c.replicas[sealer.self] == sealer && !c.paused[sealer.self] {
			if rapid.Bool().Draw(c.t, "sealer dies before the swap") {
				c.paused[sealer.self] = true
				return
			}
			c.swap(next, sealer.memberSet.Attempt)
			return
		}
	}
}

// swap simulates the compare-and-swap of the platform's store.
func (c *cluster) swap(next MemberSet, attempt uint64) bool {
	if c.stored.Generation+1 != next.Generation || c.stored.Attempt != attempt {
		return false
	}
	c.stored = next
	return true
}

// finishOrThaw raises the attempt if the hand-over is not complete, as the drivers of the
// members do, and checks that the fenced sealer cannot replace the member set. Three members
// then repeat the hand-over.
func (c *cluster) finishOrThaw(next MemberSet) {
	if c.stored.Generation == 1 {
		c.stored.Attempt++
	}
	if c.swap(next, c.stored.Attempt-1) && c.stored.Attempt > 0 {
		c.t.Fatal("a fenced sealer replaced the member set")
	}
	for _, r := range c.replicas {
		if r != nil {
			r.Observe(c.now, c.stored)
		}
	}
	if c.stored.Generation == 1 && len(c.memberSet.Members) == 3 {
		// Three members with a lost disk cannot commit without a hand-over.
		c.run(600)
		c.retryHandOver(next)
	}
	if c.stored.Generation > 1 {
		c.memberSet = c.stored
	}
}

func (c *cluster) retryHandOver(next MemberSet) {
	for range 1000 {
		c.step()
		for _, id := range c.ids() {
			r := c.replicas[id]
			if r == nil || r.Role() != Leader || !c.stored.Has(id) {
				continue
			}
			r.SetLearners(c.now, []string{"new"})
			if r.CaughtUp("new") && !r.Frozen() {
				r.Freeze()
			}
			if r.Sealed(next) && c.swap(next, r.memberSet.Attempt) {
				for _, other := range c.replicas {
					if other != nil {
						other.Observe(c.now, c.stored)
					}
				}
				return
			}
		}
	}
	c.t.Fatal("the hand-over does not complete")
}

// Checks that a hand-over on one side of a partition, while the other side continues, loses
// no entry that either side has acknowledged.
func TestHandOverUnderPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, rapid.IntRange(3, 5).Draw(t, "members"))
		c.run(150)
		c.propose(false)
		c.run(20)
		c.run(300)
		sealer := c.leader()
		if sealer == nil {
			t.Fatalf("no leader in a cluster without faults: %s", c.describe())
		}
		next := c.partitionedMemberSet(sealer.self)
		for range 60 {
			c.step()
			sealer.SetLearners(c.now, []string{"new"})
			if rapid.IntRange(0, 3).Draw(t, "propose") == 0 {
				c.propose(false)
			}
		}
		c.partitionMembers(next)
		if sealer.Role() == Leader && sealer.CaughtUp("new") {
			c.propose(false)
			sealer.Freeze()
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			c.step()
			c.propose(false)
			if sealer.Role() == Leader && sealer.Sealed(next) && c.swap(next, sealer.memberSet.Attempt) {
				sealer.Observe(c.now, c.stored)
			}
		}
		c.heal()
		if c.stored.Generation == 1 {
			c.stored.Attempt++
		}
		for range 8 {
			c.observeAll()
			c.run(100)
		}
		c.requireAcked("after the partition")
	})
}

// partitionedMemberSet returns a next member set of three with one new member, in which one
// vote elects a leader.
func (c *cluster) partitionedMemberSet(sealer string) MemberSet {
	next := MemberSet{Generation: 2, Members: []string{sealer, "new"}}
	for _, id := range c.memberSet.Members {
		if id != sealer && len(next.Members) < 3 {
			next.Members = append(next.Members, id)
		}
	}
	c.disks["new"] = &disk{}
	c.replicas["new"] = Restore(0, "new", MemberSet{Generation: 1}, testTiming(), rand.New(rand.NewPCG(1, 1)), c.disks["new"], HardState{}, 0, 0, nil, c.now)
	return next
}

// partitionMembers partitions the members at random, or separates the members of the next
// set from the others.
func (c *cluster) partitionMembers(next MemberSet) {
	byMemberSet := rapid.Bool().Draw(c.t, "by member set")
	for _, id := range c.ids() {
		if byMemberSet {
			c.partition[id] = c.partition[id] + boolToInt(!next.Has(id))
			continue
		}
		c.partition[id] = rapid.IntRange(0, 1).Draw(c.t, "partition")
	}
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

func (c *cluster) observeAll() {
	c.memberSet = c.stored
	for _, id := range c.ids() {
		if r := c.replicas[id]; r != nil {
			r.Observe(c.now, c.stored)
		}
	}
}

// Checks that an older member set is ignored: it neither thaws a member that a newer
// attempt froze, nor lowers the attempt.
func TestOlderMemberSetIsIgnored(t *testing.T) {
	memberSet := MemberSet{Generation: 2, Members: []string{"a", "b", "c"}, Attempt: 3}
	hard := HardState{Promised: 1, Frozen: true, FrozenAttempt: 3, Generation: 2}
	r := Restore(0, "a", memberSet, testTiming(), rand.New(rand.NewPCG(1, 1)), &disk{}, hard, 0, 0, nil, time.Unix(0, 0))
	for _, older := range []MemberSet{
		{Generation: 1, Members: []string{"a"}, Attempt: 9},
		{Generation: 2, Members: memberSet.Members, Attempt: 2},
		{Generation: 2, Members: memberSet.Members, Attempt: 3},
	} {
		r.Observe(time.Unix(1, 0), older)
		if !r.Frozen() || r.MemberSet().Attempt != 3 || r.MemberSet().Generation != 2 {
			t.Fatalf("member set %+v changed the replica to %+v, frozen %v", older, r.MemberSet(), r.Frozen())
		}
	}
	r.Observe(time.Unix(2, 0), MemberSet{Generation: 2, Members: memberSet.Members, Attempt: 4})
	if r.Frozen() {
		t.Fatal("a raised attempt does not thaw")
	}
}

// Checks that the sealer of the old member set also leads the new one when the other
// members observe the new set later.
func TestSealerLeadsNewMemberSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 5)
		c.run(150)
		leader := c.leader()
		if leader == nil {
			return
		}
		next := MemberSet{Generation: 2, Members: c.memberSet.Members, Copies: c.memberSet.Copies}
		leader.Freeze()
		for step := 0; !leader.Sealed(next); step++ {
			if step > 100 {
				t.Fatal("never sealed")
			}
			c.step()
		}
		c.swap(next, leader.memberSet.Attempt)
		c.memberSet = next
		leader.Observe(c.now, next)
		lastStep := rapid.IntRange(0, 20).Draw(t, "steps until the last member observes")
		observeAt := map[string]int{}
		for _, id := range c.ids() {
			observeAt[id] = lastStep
			if lastStep > 8 {
				observeAt[id] = rapid.IntRange(lastStep-8, lastStep).Draw(t, "steps until the member observes")
			}
		}
		for step := range 120 {
			for id, observeStep := range observeAt {
				if observeStep == step && id != leader.self {
					c.replicas[id].Observe(c.now, next)
				}
			}
			c.step()
			for id, r := range c.replicas {
				if r.Role() == Leader && r.memberSet.Generation == 2 && id != leader.self {
					t.Fatalf("%s leads the new set, %s sealed the old one", id, leader.self)
				}
			}
		}
		if !leader.Serving() {
			t.Fatal("the sealer does not serve")
		}
	})
}
