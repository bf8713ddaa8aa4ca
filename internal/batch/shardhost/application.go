package shardhost

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// Application is what a program runs on a shard: the state machine of its log, what a
// serving leader does, and the program's rules for the log and the member set. An
// Application belongs to one Shard; its methods are called from the shard's goroutine
// and must not block, but for those that say otherwise.
type Application[Command proto.Message, Result any] interface {
	StateMachine[Command, Result]
	LeaderWork
	LogPolicy
	MemberPolicy
	Events
}

// StateMachine applies the commands of the log.
type StateMachine[Command proto.Message, Result any] interface {
	// Apply applies one entry to the state. An error stops the replica: it is for a
	// state that can't be read or written, not for a command that is refused. The
	// entry's bytes are empty for the entry by which a leader begins.
	Apply(state *logstore.StateBatch, entry *wirev1.LogEntry, command Command) (Result, error)
	// Applied follows in order once the entries are part of the state, before their
	// proposers are answered.
	Applied(command Command, result Result)
}

// LeaderWork is what a serving leader does beside the log.
type LeaderWork interface {
	// FollowLeadership is called whenever the replica may have won or lost the lead.
	FollowLeadership()
	// DropLeadership is called before the state is replaced by a snapshot, and when
	// the shard stops; the reason is for the log line.
	DropLeadership(reason string)
	// BeforeTick is called before the replica's own timers, unless a snapshot is
	// being installed.
	BeforeTick(now time.Time)
	// Tick is called after the replica's timers.
	Tick(now time.Time)
	// TickInterval is the time between ticks wanted now.
	TickInterval() time.Duration
}

// LogPolicy keeps account of the log and says how much of it stays.
type LogPolicy interface {
	// Proposed follows a proposal; accepted is false if this replica does not lead.
	Proposed(commands [][]byte, accepted bool)
	// Persisted follows a durable write, with the time that it took.
	Persisted(ready *replica.Ready, took time.Duration)
	// TruncationPoint is up to which index the log should be dropped; at or below
	// base it stays as it is. Entries after settled are never dropped.
	TruncationPoint(now time.Time, base, settled uint64) uint64
	// Truncated follows once the entries up to an index are dropped.
	Truncated(index uint64)
}

// MemberPolicy decides on the member set and stores it.
type MemberPolicy interface {
	// NextMembers returns the member set that the shard should have, the present one
	// if nothing is to change.
	NextMembers(now time.Time, config replica.MemberSet) []string
	// MaySeal reports whether the members of the next set are ready for the sealed
	// part of a hand-over, during which the shard takes no commands.
	MaySeal(now time.Time, next replica.MemberSet) bool
	// Swap replaces the stored member set of a sealed shard if it is still the one
	// before. It reports whether the change is known to be stored. It is called from
	// a goroutine of its own.
	Swap(ctx context.Context, before, after replica.MemberSet) (bool, error)
	// Fence is Swap for the raised attempt that ends a hand-over which does not
	// finish; the stored set may have been read long ago.
	Fence(ctx context.Context, before, after replica.MemberSet) (bool, error)
}

// Events are what a program logs and counts. An application embeds NoEvents and has
// methods for those that it takes.
type Events interface {
	// Started: the replica runs with what its disk holds.
	Started(loaded *logstore.RecoveredState)
	// Failed: the replica stopped, because its disk can't be trusted. A restart of
	// the node checks the disk, gives it a new identity, and the members replace it.
	Failed(err error)
	// Received: a message of another replica came, before it is handled.
	Received(message *wirev1.ReplicaMessage)
	// Dropped: a replica that is no member any more was removed from the disk, or
	// could not be.
	Dropped(err error)
	// SnapshotSent: a follower asked for a snapshot and is sent one. It is called
	// from any goroutine.
	SnapshotSent()
	// SnapshotRequested: a leader offered a snapshot and is asked for it.
	SnapshotRequested(from Peer, index uint64)
	// SnapshotReceived: all of it came, or an error.
	SnapshotReceived(index uint64, err error)
	// SnapshotInstalled: the state is now that of the snapshot.
	SnapshotInstalled(index uint64)
	// HandOverEnded: a change of members driven here is done or timed out.
	HandOverEnded(outcome string)
	// SwapEnded and FenceEnded: what came of a change of the stored member set. They
	// are called from any goroutine.
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
