package queuestore

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

const (
	// minIdleShards is from how many shards on those that nothing is asked of are idle:
	// a few cost little, and the loss of their leader is then noticed at once.
	minIdleShards = 16
	// idleAfter is how long nothing is asked of a shard before it is idle: about as long
	// as callers pause between two reads of a job, several times.
	idleAfter = 2 * time.Second
)

// How often a replica looks at its times. A node holds several replicas, and each
// look wakes its process.
const (
	// leaderTick is for a leader, which starts items and saves what they produce, and
	// for one that wants to lead.
	leaderTick = 20 * time.Millisecond
	// followerTick is for a member that waits for its leader: a tenth of the election
	// time.
	followerTick = 40 * time.Millisecond
	// idleTick is for members of an idle shard: half of its heartbeat.
	idleTick = 320 * time.Millisecond
)

// TickInterval implements shardhost.LeaderWork.
func (s *shard) TickInterval() time.Duration {
	switch {
	case s.Replica.Idle():
		return idleTick
	case s.leader == nil && s.Replica.Role() == replica.Follower:
		return followerTick
	default:
		return leaderTick
	}
}

// setIdle makes a shard idle that has nothing to do. What is asked of it anywhere
// wakes it (serving).
func (s *shard) setIdle(now time.Time) {
	s.Replica.SetIdle(now, s.mayBeIdle(now))
}

func (s *shard) mayBeIdle(now time.Time) bool {
	l := s.leader
	switch {
	case l == nil || !l.suspended.IsZero() || s.node.shardCount() < minIdleShards:
		return false
	case s.ID == ledgerShard: // all other leaders ask it
		return false
	case l.table.Len() > 0 || len(l.decided) > 0 || !s.HasNoPendingWork():
		return false
	default:
		return now.Sub(s.needed) >= idleAfter
	}
}

// wakeUp makes the shard busy: it is needed. It does not wait, and is for any other
// goroutine.
func (s *shard) wakeUp() {
	// A shard that can't take the question has a lot to do and is not idle.
	s.TryRunInLoop(func() {
		s.needed = time.Now()
		s.Replica.Wake(s.needed)
	})
}
