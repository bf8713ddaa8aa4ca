package queuestore

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

const (
	// minIdleShards is the number of shards in the layout below which no shard becomes
	// idle. A few busy shards cost little, and the loss of their leaders is detected
	// sooner.
	minIdleShards = 16
	// idleAfter is how long a shard must be unused before it becomes idle. It is several
	// times the usual interval at which callers poll a job.
	idleAfter = 2 * time.Second
)

// Tick intervals of a replica. A node holds several replicas, and each tick wakes its
// process.
const (
	// leaderTickInterval applies to leaders, which start items and save their progress,
	// and to candidates.
	leaderTickInterval = 20 * time.Millisecond
	// followerTickInterval applies to followers of a busy shard; it is about a tenth of
	// the election timeout.
	followerTickInterval = 40 * time.Millisecond
	// idleTickInterval applies to members of an idle shard; it is half the heartbeat
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

// setIdle makes the shard idle if it has nothing to do. A request for the shard on any of its
// members ends the idle state; see localShardOf.
func (s *shard) setIdle(now time.Time) {
	s.Replica.SetIdle(now, s.mayBeIdle(now))
}

func (s *shard) mayBeIdle(now time.Time) bool {
	l := s.leader
	switch {
	case l == nil || !l.suspendedAt.IsZero() || s.node.shardCount() < minIdleShards:
		return false
	case s.ID == ledgerShard: // it receives the reports of all other leaders
		return false
	case l.table.Len() > 0 || len(l.decided) > 0 || !s.HasNoPendingWork():
		return false
	default:
		return now.Sub(s.lastUsed) >= idleAfter
	}
}

// wakeUp ends the shard's idle state. It does not block and may be called from any other
// goroutine.
func (s *shard) wakeUp() {
	// Post fails only if the queue of the shard is full, and then the shard is not idle.
	s.TryRunInLoop(func() {
		s.lastUsed = time.Now()
		s.Replica.Wake(s.lastUsed)
	})
}
