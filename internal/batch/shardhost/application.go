package shardhost

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// Application is the part of a shard that a program supplies: the state machine of its
// log, the tasks of its leader, and the policies for the log and the member set. An
// Application belongs to one Shard. Unless their comments say otherwise, its methods are
// called by the shard's goroutine and must not block.
type Application[Command proto.Message, Result any] interface {
	StateMachine[Command, Result]
	LeaderWork
	LogPolicy
	MemberPolicy
	Events
}

// StateMachine applies the commands of the log.
type StateMachine[Command proto.Message, Result any] interface {
	// Apply applies one entry to the state. It returns an error only if the state cannot
	// be read or written, because an error stops the replica; the rejection of a command
	// is a Result. The first entry of each leader has an empty command, and so has the
	// entry of a command that could not be encoded.
	Apply(state *logstore.StateBatch, entry *wirev1.LogEntry, command Command) (Result, error)
	// Applied is called for each entry in order, after the state was written and before
	// the entry's proposer gets the result.
	Applied(command Command, result Result)
}

// LeaderWork contains the tasks of a serving leader apart from the log.
type LeaderWork interface {
	// FollowLeadership is called after each round of durable writes and applied entries.
	// The replica may have gained or lost leadership since the last call.
	FollowLeadership()
	// DropLeadership is called before a snapshot replaces the state, and when the shard
	// stops, even if the replica does not lead. The reason is for the log line.
	DropLeadership(reason string)
	// BeforeTick is called before each tick of the replica, except while a snapshot is
	// being installed.
	BeforeTick(now time.Time)
	// Tick is called at each TickInterval, after the tick of the replica. It is also called
	// while a snapshot is being installed and the replica does not tick.
	Tick(now time.Time)
	// TickInterval returns the time between ticks. It may change at any time.
	TickInterval() time.Duration
}

// LogPolicy observes the log and decides how much of it is kept.
type LogPolicy interface {
	// Proposed is called after each batch of proposals. Accepted is false if the replica
	// rejected the batch because it does not lead or is frozen.
	Proposed(commands [][]byte, accepted bool)
	// Persisted is called after each durable write, with the time that it took.
	Persisted(ready *replica.Ready, took time.Duration)
	// TruncationPoint returns the index up to which the log should be truncated. The log
	// starts after base and is not changed if the returned index is not higher than base.
	// Entries after settled are kept in any case; settled is the highest index that is both
	// applied and known to be committed.
	TruncationPoint(now time.Time, base, settled uint64) uint64
	// Truncated is called after the entries up to an index were removed from the log in
	// memory, and before they are deleted from disk.
	Truncated(index uint64)
}

// MemberPolicy chooses the members of a shard and stores the member set.
type MemberPolicy interface {
	// NextMembers returns the members that the shard should have, or the current ones if
	// no change is needed. Their order does not matter. It is called
	// only if the replica leads.
	NextMembers(now time.Time, current replica.MemberSet) []string
	// MaySeal reports whether the members of the next set are ready for sealing. A sealed
	// shard accepts no commands until the hand-over ends.
	MaySeal(now time.Time, next replica.MemberSet) bool
	// Swap replaces the stored member set of a sealed shard by after if the stored set
	// still equals before. It reports whether the change is known to be stored. It is
	// called in a separate goroutine and may block.
	Swap(ctx context.Context, before, after replica.MemberSet) (bool, error)
	// Fence stores the raised attempt that cancels an unfinished hand-over, in the same
	// way as Swap. The program's copy of the stored set may be out of date, so Fence has to
	// read the stored set first.
	Fence(ctx context.Context, before, after replica.MemberSet) (bool, error)
}

// Events contains callbacks for logs and metrics. An application embeds NoEvents and
// implements the callbacks that it needs.
type Events interface {
	// Started is called before the replica runs, with the state loaded from disk. The
	// goroutine that starts the shard calls it and holds the host's mutex.
	Started(loaded *logstore.RecoveredState)
	// Failed is called when the replica stops after an error of its disk or state. The host
	// starts it again, with a new Application. If its disk is damaged, that fails; a restart
	// of the node then gives the disk a new identity, and the other members replace it.
	Failed(err error)
	// Received is called for each message of another replica before it is handled, except
	// for snapshot offers. While a snapshot is being installed, the replica then drops the
	// message.
	Received(message *wirev1.ReplicaMessage)
	// Dropped is called after the data of a replica that is no longer a member was deleted,
	// or with the error if the deletion failed. Any goroutine may call it; the caller holds
	// the host's mutex.
	Dropped(err error)
	// SnapshotSent is called before a snapshot is sent to a follower that requested it. Any
	// goroutine may call it.
	SnapshotSent()
	// SnapshotRequested is called before a snapshot that a leader offered is fetched.
	SnapshotRequested(from Peer, index uint64)
	// SnapshotReceived is called after the fetch of a snapshot, with an error and index 0 if
	// it failed. The snapshot is not installed yet.
	SnapshotReceived(index uint64, err error)
	// SnapshotInstalled is called after a snapshot has replaced the state.
	SnapshotInstalled(index uint64)
	// HandOverEnded is called when a hand-over that this leader drives has ended. The outcome
	// is "done", "timed out" if the shard did not freeze within CatchUpTimeout, "a kept
	// member is lost", or "leadership lost" if the replica lost its leadership first; another
	// member may have completed the hand-over then.
	HandOverEnded(outcome string)
	// SwapEnded and FenceEnded are called with the member set that was to be stored and the
	// results of Swap and Fence. Any goroutine may call them.
	SwapEnded(after replica.MemberSet, committed bool, err error)
	FenceEnded(after replica.MemberSet, committed bool, err error)
}

// NoEvents ignores all events.
type NoEvents struct{}

// Started implements Events.
func (NoEvents) Started(*logstore.RecoveredState) {}

// Failed implements Events.
func (NoEvents) Failed(error) {}

// Received implements Events.
func (NoEvents) Received(*wirev1.ReplicaMessage) {}

// Dropped implements Events.
func (NoEvents) Dropped(error) {}

// SnapshotSent implements Events.
func (NoEvents) SnapshotSent() {}

// SnapshotRequested implements Events.
func (NoEvents) SnapshotRequested(Peer, uint64) {}

// SnapshotReceived implements Events.
func (NoEvents) SnapshotReceived(uint64, error) {}

// SnapshotInstalled implements Events.
func (NoEvents) SnapshotInstalled(uint64) {}

// HandOverEnded implements Events.
func (NoEvents) HandOverEnded(string) {}

// SwapEnded implements Events.
func (NoEvents) SwapEnded(replica.MemberSet, bool, error) {}

// FenceEnded implements Events.
func (NoEvents) FenceEnded(replica.MemberSet, bool, error) {}
