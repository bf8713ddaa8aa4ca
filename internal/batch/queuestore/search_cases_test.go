package queuestore

import (
	"testing"
	"time"
)

// playCase plays a series that is not drawn.
func playCase(t *testing.T, s *series) {
	t.Helper()
	if lines, err := s.playInBubble(t, &searchFigures{}); err != nil {
		t.Fatalf("%v\nlog lines:\n%s", err, lines)
	}
}

// steadySeries returns a series of four nodes with the given faults.
func steadySeries(faults ...fault) *series {
	return &series{
		seed: 1, nodes: 4, diskLosses: 1, truncateInterval: time.Second, logBytes: 48 << 20, watchLag: 200 * time.Millisecond,
		submitInterval: 100 * time.Millisecond, bodyBytes: 10, soonest: true, faults: faults,
	}
}

// Guards against a shard without a leader for good when all machines lose power while a lost
// disk is replaced, and the next disk is lost as soon as it may be.
func TestNextDiskMayBeLostAfterAPowerLossDuringAReplacement(t *testing.T) {
	for _, percent := range []int{0, 50, 100, 0, 50, 100, 0, 50, 100, 0, 50, 100} { // the outcome depends on election times
		playCase(t, steadySeries(
			fault{kind: faultLoseDisk, after: 2 * time.Second, victim: victimFollower, down: 200 * time.Millisecond},
			fault{kind: faultPower, step: stepFrozen, victim: 0, percent: percent, down: 100 * time.Millisecond},
			fault{kind: faultLoseDisk, step: stepMayLose, victim: victimLeader, down: 300 * time.Millisecond},
		))
	}
}

// Guards against a shard that stays with a member whose replica has stopped after an error of its
// disk, although there is a spare disk: the loss of the next disk leaves no leader.
func TestStoppedReplicaIsReplacedByASpareDisk(t *testing.T) {
	for range 6 { // the placement depends on the identities of the disks
		playCase(t, steadySeries(fault{kind: faultStopReplica, after: 2 * time.Second, victim: victimFollower}))
	}
}

// Guards against a lost disk that stays a member for good because there are fewer machines than
// a shard should have members: each such member makes a further loss of a disk fatal sooner.
func TestLostDiskLeavesTheMemberSetWithoutASpare(t *testing.T) {
	s := steadySeries(
		fault{kind: faultRetire, after: 2 * time.Second, victim: victimFollower},
		fault{kind: faultLoseDiskAndPower, after: 3 * time.Second, victim: victimFollower, percent: 100, down: 300 * time.Millisecond},
		fault{kind: faultPower, step: stepFrozen, victim: victimLeader, percent: 100, down: 200 * time.Millisecond},
	)
	s.nodes, s.diskLosses = 5, 2
	for range 4 {
		playCase(t, s)
	}
}

// Guards against a disk that stays a member for good after its machine was replaced by another
// one, because fewer machines are left than a shard should have members.
func TestDiskOfAReplacedMachineLeavesASmallMemberSet(t *testing.T) {
	s := steadySeries(
		fault{kind: faultRetire, after: 2 * time.Second, victim: victimFollower},
		fault{kind: faultReplace, after: 6 * time.Second, victim: victimFollower, down: 100 * time.Millisecond},
	)
	s.nodes, s.diskLosses = 5, 2
	playCase(t, s)
}
