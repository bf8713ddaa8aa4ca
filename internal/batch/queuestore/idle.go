package queuestore

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

const (
	// minShardsForIdle is the number of shards in the layout below which no shard becomes
	// idle. The loss of a leader is detected later in an idle shard.
	minShardsForIdle = 16
	// idleAfter is how long a shard must be unused before it becomes idle. It is longer
	// than the interval at which callers poll a job.
	idleAfter = 2 * time.Second
)

// Tick intervals of a replica. A node runs several replicas, and each tick of a replica
// wakes the node's process.
const (
	// leaderTickInterval applies to leaders, which start items and save their progress,
	// and to candidates.
	leaderTickInterval = 20 * time.Millisecond
	// followerTickInterval applies to followers of a shard that is not idle; it is about a
	// tenth of the election timeout.
	followerTickInterval = 40 * time.Millisecond
	// idleTickInterval applies to all members of an idle shard; it is half the heartbeat
	// interval of an idle shard.
	idleTickInterval = 320 * time.Millisecond
)

// TickInterval implements shardhost.LeaderWork.
func (s *shard) TickInterval() time.Duration {
	switch {
	case s.Replica.Idle():
		return idleTickInterval
	case s.leader == nil && s.Replica.Role() == replica.Follower:
		return followerTickInterval
	default:
		return leaderTickInterval
	}
}

// setIdle marks the shard as idle or busy if this replica leads. A request for the shard that
// arrives at any of its members also ends the idle state; see localShardOf.
func (s *shard) setIdle(now time.Time) {
	s.Replica.SetIdle(now, s.mayBeIdle(now))
}

// mayBeIdle reports whether the leader has no work and the shard has been unused for
// idleAfter. It is false on replicas that do not lead.
func (s *shard) mayBeIdle(now time.Time) bool {
	l := s.leader
	switch {
	case l == nil || !l.suspendedAt.IsZero() || s.node.shardCount() < minShardsForIdle:
		return false
	case s.ID == ledgerShard: // its leader receives the reports of all other leaders
		return false
	case l.table.Len() > 0 || len(l.decided) > 0 || !s.HasNoPendingWork():
		return false
	default:
		return now.Sub(s.lastUsed) >= idleAfter
	}
}

// wakeUp ends the shard's idle state. It does not block, and any goroutine may call it.
func (s *shard) wakeUp() {
	// TryRunInLoop fails only if the shard's queue is full, and then the shard is not idle.
	s.TryRunInLoop(func() {
		s.lastUsed = time.Now()
		s.Replica.Wake(s.lastUsed)
	})
}
