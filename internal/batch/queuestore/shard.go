package queuestore

import (
	"cmp"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
)

// hostedShard is the shardhost replica of a queue shard.
type hostedShard = shardhost.Shard[*wirev1.QueueCommand, *queue.ApplyResult]

// shard is the local replica of a queue shard. It implements the state machine of the shard's
// jobs and, on the leader, the work of the leader. Methods that take a context may block and
// must not be called on the shard's goroutine. All other methods must be called on the shard's
// goroutine, unless their comments or those of the shardhost interfaces say otherwise.
type shard struct {
	*hostedShard
	shardhost.NoEvents
	node *StorageNode
	// confirmations batches the leadership confirmations for allotments.
	confirmations confirmations
	leader        *leadership // nil unless this replica has an active or suspended leadership
	log           logSize
	// memberFreeBytes holds the free disk space in bytes that other replicas have reported,
	// by disk ID.
	memberFreeBytes map[string]uint64
	// lastObstacle is what the last hand-over waited for when it was given up; empty if it was
	// completed.
	lastObstacle string
	// lastUsed is the time of the last request or proposal at this replica; see setIdle.
	lastUsed time.Time
}

var _ shardhost.Application[*wirev1.QueueCommand, *queue.ApplyResult] = (*shard)(nil)

const (
	// retainedEntries is the number of applied log entries kept for lagging followers,
	// unless they exceed the log bytes of the shard; see TruncationPoint. A follower that
	// lags further behind receives a snapshot.
	retainedEntries = 4000
	// truncateInterval is the default of NodeOptions.TruncateInterval.
	truncateInterval = time.Second
	snapshotTimeout  = time.Minute
)

// electionTiming returns the heartbeat interval and election timeout of queue shards.
func electionTiming() replica.ElectionTiming {
	return replica.ElectionTiming{Heartbeat: 80 * time.Millisecond, Election: 350 * time.Millisecond}
}

// hostOptions returns the options of the node's shardhost.Host.
func (n *StorageNode) hostOptions() shardhost.HostOptions {
	return shardhost.HostOptions{
		DB: n.DB, FetchSnapshot: shardhost.FetchOver(n.Pool), Timing: electionTiming(), Peer: n.peer, Send: n.sendReplica,
		SnapshotTimeout: snapshotTimeout, TruncateInterval: cmp.Or(n.TruncateInterval, truncateInterval), HandOver: handOverTiming,
		BatchLoopCalls: true,
	}
}

// newHost returns the shardhost.Host of this node's replicas.
func (n *StorageNode) newHost(options shardhost.HostOptions) *shardhost.Host[*wirev1.QueueCommand, *queue.ApplyResult] {
	return shardhost.New(n.context, options, func(s *hostedShard) shardhost.Application[*wirev1.QueueCommand, *queue.ApplyResult] {
		return &shard{hostedShard: s, node: n}
	})
}

// runIfRunning runs a function on the shard's goroutine and waits for it. If the shard or the
// node has stopped, the function is skipped. runIfRunning must not be called on the shard's
// goroutine.
func (s *shard) runIfRunning(call func()) {
	_ = s.RunInLoop(s.node.context, call) // fails only if the shard or the node has stopped
}

// Apply implements shardhost.StateMachine.
func (s *shard) Apply(state *logstore.StateBatch, entry *wirev1.LogEntry, command *wirev1.QueueCommand) (*queue.ApplyResult, error) {
	return queue.Apply(state, entry.Index, command)
}

// Applied implements shardhost.StateMachine.
func (s *shard) Applied(_ *wirev1.QueueCommand, applied *queue.ApplyResult) { s.recordApplied(applied) }

// BeforeTick implements shardhost.LeaderWork.
func (s *shard) BeforeTick(time.Time) {}

// Tick implements shardhost.LeaderWork.
func (s *shard) Tick(now time.Time) {
	s.tickLeader(now)
	s.setIdle(now)
}

// Proposed implements shardhost.LogPolicy.
func (s *shard) Proposed([][]byte, bool) { s.lastUsed = time.Now() }

// Persisted implements shardhost.LogPolicy.
func (s *shard) Persisted(ready *replica.Ready, took time.Duration) {
	s.node.metrics.persistDuration.Observe(took.Seconds())
	if ready.TruncateFrom > 0 {
		s.log.discardFrom(ready.TruncateFrom)
	}
	if len(ready.Entries) == 0 {
		return
	}
	bytes := uint64(0)
	for _, entry := range ready.Entries {
		bytes += uint64(len(entry.Command))
	}
	s.log.recordWrite(ready.Entries[len(ready.Entries)-1].Index, bytes)
}

// Started implements shardhost.Events.
func (s *shard) Started(loaded *logstore.RecoveredState) {
	klog.InfoS("queue replica starting", "shard", s.ID, "disk", s.Disk, "generation", loaded.MemberSet.Generation, "members", loaded.MemberSet.Members,
		"log", s.Replica.LastIndex(), "applied", loaded.Applied, "known", loaded.Exists)
}

// Failed implements shardhost.Events.
func (s *shard) Failed(err error) {
	klog.ErrorS(err, "queue replica stopped after an error of its disk or state", "shard", s.ID, "disk", s.Disk)
}

// Received implements shardhost.Events.
func (s *shard) Received(message *wirev1.ReplicaMessage) {
	if message.Room > 0 { // free bytes plus one; 0 if not reported
		s.recordFreeBytes(message.From, message.Room-1)
	}
}

// Dropped implements shardhost.Events.
func (s *shard) Dropped(err error) {
	klog.InfoS("removal of a replica that is no longer a member ended", "shard", s.ID, "err", err)
}

// SnapshotRequested implements shardhost.Events.
func (s *shard) SnapshotRequested(from shardhost.Peer, index uint64) {
	klog.InfoS("snapshot fetch started", "shard", s.ID, "from", from.Node, "index", index, "applied", s.AppliedIndex())
}

// SnapshotReceived implements shardhost.Events.
func (s *shard) SnapshotReceived(index uint64, err error) {
	klog.InfoS("snapshot fetch ended", "shard", s.ID, "index", index, "err", err)
}

// HandOverEnded implements shardhost.Events.
func (s *shard) HandOverEnded(outcome string) {
	s.node.metrics.handOvers.WithLabelValues(outcome).Inc()
	s.recordObstacle(time.Now(), outcome)
}

// SwapEnded implements shardhost.Events.
func (s *shard) SwapEnded(after replica.MemberSet, committed bool, err error) {
	klog.InfoS("member set swap ended", "shard", s.ID, "generation", after.Generation, "committed", committed, "err", err)
}

// FenceEnded implements shardhost.Events.
func (s *shard) FenceEnded(after replica.MemberSet, committed bool, err error) {
	klog.InfoS("member set fence ended", "shard", s.ID, "generation", after.Generation, "attempt", after.Attempt, "committed", committed, "err", err)
}
