package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// firstLeaderEpoch is the epoch of the entries with which the members of frozenCluster start.
const firstLeaderEpoch = uint64(1)<<(counterBits+indexBits) + 1<<indexBits + 1

// frozenCluster returns three members of which "leader" leads, after an exchange of messages
// with "follower". Nothing reaches "other".
func frozenCluster(t *testing.T) (members map[string]*truncatedMember, now time.Time) {
	memberSet := MemberSet{Generation: 1, Members: []string{"leader", "follower", "other"}, Copies: 2}
	now = time.Unix(0, 0)
	members = map[string]*truncatedMember{
		"leader":   restoreTruncated("leader", memberSet, 0, 2, 0, 0, func(uint64) uint64 { return firstLeaderEpoch }, now),
		"follower": restoreTruncated("follower", memberSet, 0, 1, 0, 0, func(uint64) uint64 { return firstLeaderEpoch }, now),
	}
	for !members["leader"].replica.Serving() {
		now = now.Add(20 * time.Millisecond)
		exchange(members, now)
		if now.After(time.Unix(60, 0)) {
			t.Fatal("no leader serves")
		}
	}
	return members, now
}

// Guards against a shard that stays frozen until the freeze times out, because one message was
// lost.
func TestLostFreezeIsRequestedAgain(t *testing.T) {
	is := is.New(t)
	members, now := frozenCluster(t)
	leader := members["leader"].replica
	is.True(leader.Freeze())
	members["leader"].processReady() // these messages are lost
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		exchange(members, now)
	}
	is.True(members["follower"].replica.Frozen())
	is.True(leader.Sealed(MemberSet{Generation: 2, Members: []string{"leader", "follower"}, Copies: 2}))
}

// Guards against a frozen member that can't raise the attempt itself, and that nobody helps: a
// member that needs its vote knows that a freeze blocks it.
func TestMemberKnowsThatFrozenMemberBlocksIt(t *testing.T) {
	is := is.New(t)
	members, now := frozenCluster(t)
	follower := members["follower"].replica
	is.True(!follower.BlockedByFreeze(now))
	leader := members["leader"].replica
	is.True(leader.Freeze())
	members["leader"].processReady() // these messages are lost, and the leader restarts
	frozen := restoreTruncated("leader", leader.MemberSet(), 0, 3, 0, 0, leader.EpochAt, now)
	frozen.replica.hard = leader.HardState()
	members["leader"] = frozen
	is.True(!frozen.replica.LeaderAlive(now))
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		exchange(members, now)
	}
	is.True(follower.BlockedByFreeze(now))
	raised := follower.MemberSet()
	raised.Attempt++
	for _, m := range members {
		m.replica.Observe(now, raised)
	}
	is.True(!follower.BlockedByFreeze(now.Add(frozenAnswerLifetime)))
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		exchange(members, now)
	}
	is.True(members["leader"].replica.Serving() || follower.Serving())
}

// Guards against members that follow a sealer whose hand-over was cancelled, for as long as it can't
// read that from the store: nobody serves, and nobody campaigns.
func TestThawedMemberDoesNotFollowFrozenSealer(t *testing.T) {
	is := is.New(t)
	members, now := frozenCluster(t)
	leader, follower := members["leader"].replica, members["follower"].replica
	is.True(leader.Freeze())
	for range 10 {
		now = now.Add(20 * time.Millisecond)
		exchange(members, now)
	}
	is.True(follower.Frozen())
	raised := follower.MemberSet()
	raised.Attempt++
	follower.Observe(now, raised) // only the follower reads the store
	for range 250 {
		now = now.Add(20 * time.Millisecond)
		exchange(members, now)
	}
	is.Equal(leader.MemberSet().Attempt, raised.Attempt)
	is.True(leader.Serving() || follower.Serving())
}

// Guards against a hand-over that counts on a copy which does not exist: the replica of a learner
// was deleted and created again after an earlier hand-over was abandoned.
func TestLearnerThatComesBackEmptyIsNotCaughtUp(t *testing.T) {
	is := is.New(t)
	members, now := frozenCluster(t)
	leader := members["leader"].replica
	emptyLearner := func() *truncatedMember {
		return restoreTruncated("learner", MemberSet{Generation: 1}, 0, 0, 0, 0, func(uint64) uint64 { return firstLeaderEpoch }, now)
	}
	run := func() {
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			exchange(members, now)
		}
	}
	members["learner"] = emptyLearner()
	leader.SetLearners(now, []string{"learner"})
	run()
	is.True(leader.CaughtUp("learner"))
	leader.SetLearners(now, nil)
	run()
	members["learner"] = emptyLearner()
	leader.SetLearners(now, []string{"learner"})
	is.True(!leader.CaughtUp("learner"))
	run()
	is.Equal(members["learner"].replica.LastIndex(), leader.LastIndex())
	is.True(leader.CaughtUp("learner"))
}
