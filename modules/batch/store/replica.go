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

// hosted is a replica of a shard as the host of shards runs it.
type hosted = shardhost.Shard[*wirev1.Command, *wirev1.CommandResult]

// shardReplica is a shard on this node: the state machine of its files and jobs, and
// the items that its leader hands out. Unless they say otherwise its methods are for
// the shard's goroutine.
type shardReplica struct {
	*hosted
	shardhost.NoEvents
	module *Module

	table      *grants.Table // on a serving leader only
	tableEpoch uint64
	retained   time.Time
	logSize    uint64 // bytes of commands proposed here since the log was last truncated
}

var _ shardhost.Application[*wirev1.Command, *wirev1.CommandResult] = (*shardReplica)(nil)

const (
	tickTime        = 50 * time.Millisecond
	snapshotTimeout = 10 * time.Minute
	// keepEntries of the log stay for followers that lag; a follower further
	// behind gets a snapshot.
	keepEntries = 20000
	// keepLogBytes is from how many bytes of commands on fewer entries are kept, by
	// longLogDivisor.
	keepLogBytes     = 64 << 20
	longLogDivisor   = 20
	truncateInterval = 5 * time.Second
)

// newHost returns the host of this node's shards; it ends with the context.
func (m *Module) newHost(ctx context.Context) *shardhost.Host[*wirev1.Command, *wirev1.CommandResult] {
	options := shardhost.HostOptions{
		DB: m.db, Pool: m.pool, Timing: replica.DefaultTiming(), Peer: m.peer, Send: m.sendReplica,
		SnapshotTimeout: snapshotTimeout, TruncateInterval: truncateInterval, HandOver: handOverTimes,
		PlanWhileServing: true, LogKeys: []any{"node", m.settings.Node.ID},
	}
	return shardhost.New(ctx, options, func(s *hosted) shardhost.Application[*wirev1.Command, *wirev1.CommandResult] {
		return &shardReplica{hosted: s, module: m}
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
func (s *shardReplica) Applied(command *wirev1.Command, answer *wirev1.CommandResult) {
	s.module.metrics.applied.Inc()
	s.noteApplied(command, answer)
}

// DropLeadership implements shardhost.LeaderWork. The table goes when the replica
// follows another leader; until then it answers that this one does not serve.
func (s *shardReplica) DropLeadership(string) {}

// BeforeTick implements shardhost.LeaderWork.
func (s *shardReplica) BeforeTick(now time.Time) { s.noticeLostLeader(now) }

// Tick implements shardhost.LeaderWork.
func (s *shardReplica) Tick(now time.Time) {
	s.tickGrants(now)
	s.tickRetention(now)
}

// TickInterval implements shardhost.LeaderWork.
func (s *shardReplica) TickInterval() time.Duration { return tickTime }

// Proposed implements shardhost.LogPolicy.
func (s *shardReplica) Proposed(commands [][]byte, accepted bool) {
	if !accepted {
		return
	}
	for _, command := range commands {
		s.logSize += uint64(len(command))
	}
}

// Persisted implements shardhost.LogPolicy.
func (s *shardReplica) Persisted(ready *replica.Ready, took time.Duration) {
	s.module.metrics.persists.Observe(took.Seconds())
	for _, entry := range ready.Entries {
		s.module.metrics.logBytes.Add(float64(len(entry.Command)))
	}
}

// TruncationPoint implements shardhost.LogPolicy: the log is dropped when it is twice
// as long as what is kept.
func (s *shardReplica) TruncationPoint(_ time.Time, base, settled uint64) uint64 {
	kept := uint64(keepEntries)
	if s.logSize > keepLogBytes {
		kept = keepEntries / longLogDivisor
	}
	if settled < base+2*kept {
		return 0
	}
	return settled - kept
}

// Truncated implements shardhost.LogPolicy.
func (s *shardReplica) Truncated(uint64) { s.logSize = 0 }

// Failed implements shardhost.Events.
func (s *shardReplica) Failed(err error) {
	klog.ErrorS(err, "replica stopped; restart the node to have its disk checked and replaced", "node", s.module.settings.Node.ID, "shard", s.ID)
}

// Dropped implements shardhost.Events.
func (s *shardReplica) Dropped(err error) {
	if err != nil {
		klog.ErrorS(err, "replaced replica cannot be dropped", "node", s.module.settings.Node.ID, "shard", s.ID)
		return
	}
	klog.InfoS("replaced replica dropped", "node", s.module.settings.Node.ID, "shard", s.ID)
}

// SnapshotSent implements shardhost.Events.
func (s *shardReplica) SnapshotSent() { s.module.metrics.snapshots.WithLabelValues("sent").Inc() }

// SnapshotReceived implements shardhost.Events.
func (s *shardReplica) SnapshotReceived(_ uint64, err error) {
	if err != nil {
		klog.V(1).InfoS("snapshot not received", "node", s.module.settings.Node.ID, "shard", s.ID, "err", err)
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

// observe gives a replica its member set. It is for any other goroutine.
func (s *shardReplica) observe(config replica.MemberSet) {
	_ = s.RunInLoop(context.Background(), func() { s.Replica.Observe(time.Now(), config) }) // fails only when it has stopped
}

// statusTimeout bounds the wait for a busy shard's status.
const statusTimeout = time.Second

// status returns what operators see of a replica, nil while it is busy or stopped. It
// is for any other goroutine.
func (s *shardReplica) status() *wirev1.ShardStatus {
	var status *wirev1.ShardStatus
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	err := s.RunInLoop(ctx, func() {
		config := s.Replica.MemberSet()
		status = &wirev1.ShardStatus{
			Shard: s.ID, Leader: s.Replica.Leader(), Epoch: s.Replica.Epoch(), Commit: s.Replica.Commit(),
			Applied: s.AppliedIndex(), Generation: config.Generation, Members: config.Members,
		}
	})
	if err != nil {
		return nil
	}
	return status
}
