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

// hosted is a replica of a queue shard as the host of shards runs it.
type hosted = shardhost.Shard[*wirev1.QueueCommand, *queue.ApplyResult]

// shard is a queue shard on this node: the state machine of its jobs, and what its
// leader does. Unless they say otherwise its methods are for the shard's goroutine.
type shard struct {
	*hosted
	shardhost.NoEvents
	node *StorageNode
	// rounds coalesces confirmations for what is lent.
	rounds rounds
	leader *leadership // on a serving leader only
	log    logSize
	// freeSpace is what members reported of their disks, in bytes.
	freeSpace map[string]uint64
	// needed is when the shard was last asked for anything; see setIdle.
	needed time.Time
}

var _ shardhost.Application[*wirev1.QueueCommand, *queue.ApplyResult] = (*shard)(nil)

const (
	// keepEntries of the log stay for followers that lag, or as many bytes as the
	// disk has for it; a follower further behind gets a snapshot.
	keepEntries      = 4000
	truncateInterval = time.Second
	snapshotTimeout  = time.Minute
)

// timing suits a few shards on near machines.
func timing() replica.ElectionTiming {
	return replica.ElectionTiming{Heartbeat: 80 * time.Millisecond, Election: 350 * time.Millisecond}
}

// newHost returns the host of this node's shards.
func (n *StorageNode) newHost() *shardhost.Host[*wirev1.QueueCommand, *queue.ApplyResult] {
	options := shardhost.HostOptions{
		DB: n.DB, Pool: n.Pool, Timing: timing(), Peer: n.peer, Send: n.sendReplica,
		SnapshotTimeout: snapshotTimeout, TruncateInterval: cmp.Or(n.TruncateInterval, truncateInterval), HandOver: handOverTimes,
		DeclineSnapshots: true, BatchLoopCalls: true,
	}
	return shardhost.New(n.context, options, func(s *hosted) shardhost.Application[*wirev1.QueueCommand, *queue.ApplyResult] {
		return &shard{hosted: s, node: n}
	})
}

// runIfRunning runs a function on the shard's goroutine and waits for it, unless the
// shard or the node has stopped: what the function would change has ended then too. It
// is for any other goroutine.
func (s *shard) runIfRunning(call func()) {
	_ = s.RunInLoop(s.node.context, call) // fails only then
}

// Apply implements shardhost.StateMachine.
func (s *shard) Apply(state *logstore.StateBatch, entry *wirev1.LogEntry, command *wirev1.QueueCommand) (*queue.ApplyResult, error) {
	return queue.Apply(state, entry.Index, command)
}

// Applied implements shardhost.StateMachine.
func (s *shard) Applied(_ *wirev1.QueueCommand, applied *queue.ApplyResult) { s.noteApplied(applied) }

// BeforeTick implements shardhost.LeaderWork.
func (s *shard) BeforeTick(time.Time) {}

// Tick implements shardhost.LeaderWork.
func (s *shard) Tick(now time.Time) {
	s.tickLeader(now)
	s.setIdle(now)
}

// Proposed implements shardhost.LogPolicy.
func (s *shard) Proposed([][]byte, bool) { s.needed = time.Now() }

// Persisted implements shardhost.LogPolicy.
func (s *shard) Persisted(ready *replica.Ready, took time.Duration) {
	s.node.metrics.persists.Observe(took.Seconds())
	if ready.TruncateFrom > 0 {
		s.log.cut(ready.TruncateFrom)
	}
	if len(ready.Entries) == 0 {
		return
	}
	bytes := uint64(0)
	for _, entry := range ready.Entries {
		bytes += uint64(len(entry.Command))
	}
	s.log.wrote(ready.Entries[len(ready.Entries)-1].Index, bytes)
}

// Started implements shardhost.Events.
func (s *shard) Started(loaded *logstore.RecoveredState) {
	klog.InfoS("queue replica started", "shard", s.ID, "disk", s.Disk, "generation", loaded.MemberSet.Generation, "members", loaded.MemberSet.Members,
		"log", s.Replica.LastIndex(), "applied", loaded.Applied, "known", loaded.Exists)
}

// Failed implements shardhost.Events.
func (s *shard) Failed(err error) {
	klog.ErrorS(err, "queue replica stopped: its disk cannot be trusted", "shard", s.ID, "disk", s.Disk)
}

// Received implements shardhost.Events.
func (s *shard) Received(message *wirev1.ReplicaMessage) {
	if message.Room > 0 { // plus one; 0 is no report
		s.noteFreeBytes(message.From, message.Room-1)
	}
}

// Dropped implements shardhost.Events.
func (s *shard) Dropped(err error) {
	klog.InfoS("replaced queue replica dropped", "shard", s.ID, "err", err)
}

// SnapshotRequested implements shardhost.Events.
func (s *shard) SnapshotRequested(from shardhost.Peer, index uint64) {
	klog.InfoS("snapshot asked for", "shard", s.ID, "from", from.Node, "index", index, "applied", s.AppliedIndex())
}

// SnapshotReceived implements shardhost.Events.
func (s *shard) SnapshotReceived(index uint64, err error) {
	klog.InfoS("snapshot received", "shard", s.ID, "index", index, "err", err)
}

// HandOverEnded implements shardhost.Events.
func (s *shard) HandOverEnded(outcome string) {
	s.node.metrics.handOvers.WithLabelValues(outcome).Inc()
}

// SwapEnded implements shardhost.Events.
func (s *shard) SwapEnded(after replica.MemberSet, committed bool, err error) {
	klog.InfoS("member set swap", "shard", s.ID, "generation", after.Generation, "committed", committed, "err", err)
}

// FenceEnded implements shardhost.Events.
func (s *shard) FenceEnded(after replica.MemberSet, committed bool, err error) {
	klog.InfoS("frozen member set fenced", "shard", s.ID, "generation", after.Generation, "attempt", after.Attempt, "committed", committed, "err", err)
}
