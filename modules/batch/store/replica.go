package store

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/grants"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shard"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
)

// hostedShard is a shard of package shardhost with the commands and results of this package.
type hostedShard = shardhost.Shard[*wirev1.Command, *wirev1.CommandResult]

// shardReplica is this node's replica of a shard. It applies commands to the files and jobs
// and, as leader, grants items to nodes.
//
// Its methods run on the shard's goroutine. The exceptions are Swap, Fence, SnapshotSent and
// the methods that wait for that goroutine, because they call RunInLoop, ProposeAndWait or
// withTable.
type shardReplica struct {
	*hostedShard
	shardhost.NoEvents
	module *Module

	table         *grants.Table // nil unless this replica is leader; see FollowLeadership
	tableEpoch    uint64
	lastRetention time.Time
	loggedBytes   uint64 // bytes of commands proposed here since the log was last truncated
}

var _ shardhost.Application[*wirev1.Command, *wirev1.CommandResult] = (*shardReplica)(nil)

const (
	tickInterval    = 50 * time.Millisecond
	snapshotTimeout = 10 * time.Minute
	// keptLogEntries is the number of applied log entries that are kept for followers
	// that lag. A follower that is further behind gets a snapshot.
	keptLogEntries = 20000
	// If more than longLogBytes of commands were proposed since the last truncation,
	// the number of kept entries is divided by longLogDivisor.
	longLogBytes     = 64 << 20
	longLogDivisor   = 20
	truncateInterval = 5 * time.Second
)

// newHost returns the host of this node's shards, which runs until the context ends.
func (m *Module) newHost(ctx context.Context) *shardhost.Host[*wirev1.Command, *wirev1.CommandResult] {
	options := shardhost.HostOptions{
		DB: m.db, FetchSnapshot: shardhost.FetchOver(m.pool), Timing: replica.DefaultTiming(), Peer: m.peer, Send: m.sendReplica,
		SnapshotTimeout: snapshotTimeout, TruncateInterval: truncateInterval, HandOver: handOverTiming,
		LogKeys: []any{"node", m.settings.Node.ID},
	}
	return shardhost.New(ctx, options, func(s *hostedShard) shardhost.Application[*wirev1.Command, *wirev1.CommandResult] {
		return &shardReplica{hostedShard: s, module: m}
	})
}

// Apply implements shardhost.StateMachine.
func (s *shardReplica) Apply(state *logstore.StateBatch, entry *wirev1.LogEntry, command *wirev1.Command) (*wirev1.CommandResult, error) {
	if len(entry.Command) == 0 {
		return nil, nil
	}
	return shard.Apply(state, command)
}

// Applied implements shardhost.StateMachine.
func (s *shardReplica) Applied(command *wirev1.Command, commandResult *wirev1.CommandResult) {
	s.module.metrics.applied.Inc()
	s.updateTable(command, commandResult)
}

// DropLeadership implements shardhost.LeaderWork. It does nothing: FollowLeadership drops
// the table of grants when the replica is no longer leader.
func (s *shardReplica) DropLeadership(string) {}

// BeforeTick implements shardhost.LeaderWork.
func (s *shardReplica) BeforeTick(now time.Time) { s.reportLostLeader(now) }

// Tick implements shardhost.LeaderWork.
func (s *shardReplica) Tick(now time.Time) {
	s.tickGrants(now)
	s.tickRetention(now)
}

// TickInterval implements shardhost.LeaderWork.
func (s *shardReplica) TickInterval() time.Duration { return tickInterval }

// Proposed implements shardhost.LogPolicy.
func (s *shardReplica) Proposed(commands [][]byte, accepted bool) {
	if !accepted {
		return
	}
	for _, command := range commands {
		s.loggedBytes += uint64(len(command))
	}
}

// Persisted implements shardhost.LogPolicy.
func (s *shardReplica) Persisted(ready *replica.Ready, took time.Duration) {
	s.module.metrics.persistSeconds.Observe(took.Seconds())
	for _, entry := range ready.Entries {
		s.module.metrics.logBytes.Add(float64(len(entry.Command)))
	}
}

// TruncationPoint implements shardhost.LogPolicy. It returns 0, for no truncation, until the
// log after base has twice as many settled entries as are kept.
func (s *shardReplica) TruncationPoint(_ time.Time, base, settled uint64) uint64 {
	kept := uint64(keptLogEntries)
	if s.loggedBytes > longLogBytes {
		kept = keptLogEntries / longLogDivisor
	}
	if settled < base+2*kept {
		return 0
	}
	return settled - kept
}

// Truncated implements shardhost.LogPolicy.
func (s *shardReplica) Truncated(uint64) { s.loggedBytes = 0 }

// Failed implements shardhost.Events.
func (s *shardReplica) Failed(err error) {
	klog.ErrorS(err, "replica stopped after an error of its disk or state", "node", s.module.settings.Node.ID, "shard", s.ID)
}

// Dropped implements shardhost.Events.
func (s *shardReplica) Dropped(err error) {
	if err != nil {
		klog.ErrorS(err, "replaced replica could not be deleted from the disk", "node", s.module.settings.Node.ID, "shard", s.ID)
		return
	}
	klog.InfoS("replaced replica was deleted from the disk", "node", s.module.settings.Node.ID, "shard", s.ID)
}

// SnapshotSent implements shardhost.Events.
func (s *shardReplica) SnapshotSent() { s.module.metrics.snapshots.WithLabelValues("sent").Inc() }

// SnapshotReceived implements shardhost.Events.
func (s *shardReplica) SnapshotReceived(_ uint64, err error) {
	if err != nil {
		klog.V(1).InfoS("receiving a snapshot failed", "node", s.module.settings.Node.ID, "shard", s.ID, "err", err)
	}
}

// SnapshotInstalled implements shardhost.Events.
func (s *shardReplica) SnapshotInstalled(index uint64) {
	s.module.metrics.snapshots.WithLabelValues("installed").Inc()
	klog.InfoS("snapshot installed", "node", s.module.settings.Node.ID, "shard", s.ID, "index", index)
}

// HandOverEnded implements shardhost.Events.
func (s *shardReplica) HandOverEnded(outcome string) {
	s.module.metrics.handOvers.WithLabelValues(outcome).Inc()
}

// observeMemberSet passes the stored member set to the replica.
func (s *shardReplica) observeMemberSet(memberSet replica.MemberSet) {
	_ = s.RunInLoop(context.Background(), func() { s.Replica.Observe(time.Now(), memberSet) }) // fails only if the shard has stopped
}

// statusTimeout is the longest wait for the status of a busy shard.
const statusTimeout = time.Second

// status returns the replica's state for operators, nil if the shard is busy or stopped.
func (s *shardReplica) status() *wirev1.ShardStatus {
	var status *wirev1.ShardStatus
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	err := s.RunInLoop(ctx, func() {
		memberSet := s.Replica.MemberSet()
		status = &wirev1.ShardStatus{
			Shard: s.ID, Leader: s.Replica.Leader(), Epoch: s.Replica.Epoch(), Commit: s.Replica.Commit(),
			Applied: s.AppliedIndex(), Generation: memberSet.Generation, Members: memberSet.Members,
		}
	})
	if err != nil {
		return nil
	}
	return status
}
