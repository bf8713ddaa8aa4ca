// Package shardhost runs the replicas of shards on a node with a disk: their run loops,
// the messages between replicas, snapshots, sealed hand-overs to new member sets, and the
// truncation of logs. It owns the goroutines of its shards. It uses package replica to
// decide what to persist and send, and package logstore to store data on disk.
//
// A learner is a replica that receives entries but is not a member yet. The sealer is the
// leader that drives a hand-over. Package replica describes both.
//
// The program supplies an Application, which applies the commands, chooses the members
// and runs the tasks of a leader. Package queuestore supplies it for the queue shards of
// a storage node, and modules/batch/store for the file and job shards of a plain node.
package shardhost

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// Peer is the node that has a disk.
type Peer struct{ Node, Address string }

// HandOverTiming holds the times of a hand-over to a new member set.
type HandOverTiming struct {
	// CheckInterval is the shortest time between two calls of MemberPolicy.NextMembers.
	CheckInterval time.Duration
	// CatchUpTimeout is the time from the start of a hand-over within which the shard has
	// to freeze. The hand-over ends after this time if the new members are not ready.
	CatchUpTimeout time.Duration
	// FreezeTimeout is how long a member stays frozen, or is refused votes by frozen members,
	// before it cancels the hand-over with MemberPolicy.Fence. A frozen member without
	// contact to its sealer cancels the hand-over after two election times.
	FreezeTimeout time.Duration
	// SwapTimeout limits the time of one call of MemberPolicy.Swap or MemberPolicy.Fence.
	SwapTimeout time.Duration
}

// HostOptions configures a Host.
type HostOptions struct {
	DB *logstore.DB
	// FetchSnapshot requests snapshots from other nodes; see FetchOver.
	FetchSnapshot SnapshotFetcher
	// Timing holds the election and heartbeat times.
	Timing replica.ElectionTiming
	// Peer returns the node that has a disk, and false if the node is not known.
	Peer func(disk string) (Peer, bool)
	// Send sends a message to the replica on the disk message.To. The message may be lost.
	Send func(message *wirev1.ReplicaMessage)
	// SnapshotTimeout limits the time for fetching a snapshot.
	SnapshotTimeout time.Duration
	// TruncateInterval is the shortest time between two checks whether a log can be
	// truncated.
	TruncateInterval time.Duration
	HandOver         HandOverTiming
	// BatchLoopCalls lets one iteration of a shard's run loop run several functions that
	// were queued with RunInLoop or TryRunInLoop. Without it, each iteration runs at most
	// one.
	BatchLoopCalls bool
	// LogKeys holds key-value pairs that are added to log lines.
	LogKeys []any
}

// Host runs the replicas on one disk.
type Host[Command proto.Message, Result any] struct {
	options        HostOptions
	newApplication func(*Shard[Command, Result]) Application[Command, Result]
	context        context.Context
	cancel         context.CancelFunc
	tasks          tasks.Group

	mutex    sync.Mutex
	shards   map[uint32]*Shard[Command, Result]
	failures map[uint32]replicaFailure // by shard
}

// New returns a host without shards. The host runs until parent ends or Stop is called.
func New[Command proto.Message, Result any](
	parent context.Context, options HostOptions, newApplication func(*Shard[Command, Result]) Application[Command, Result],
) *Host[Command, Result] {
	ctx, cancel := context.WithCancel(parent)
	return &Host[Command, Result]{
		options: options, newApplication: newApplication, context: ctx, cancel: cancel, shards: map[uint32]*Shard[Command, Result]{}, failures: map[uint32]replicaFailure{},
	}
}

// Restore starts the shards that are on disk, and stops at the first error. It does not need
// the platform's store, so replicas can elect a leader before the store is reachable.
func (h *Host[Command, Result]) Restore() error {
	ids, err := h.options.DB.Shards()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, id := range ids {
		if err := h.Start(id, nil); err != nil {
			return trace.Wrap(err, "shard %d", id)
		}
	}
	return nil
}

// errStopping reports that a shard was not started because the host is stopping.
var errStopping = errors.New("the node is stopping")

// Start restores a shard from disk and runs it. If the shard is not on disk, Start creates
// it with the initial member set, or does nothing if initial is nil. It also does nothing
// if the shard runs already. It returns an error if the host is stopping.
func (h *Host[Command, Result]) Start(id uint32, initial *replica.MemberSet) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.shards[id] != nil {
		return nil
	}
	if h.context.Err() != nil {
		return errStopping // the database may be closed
	}
	store := h.options.DB.Shard(id)
	loaded, err := store.Load()
	if err != nil {
		return trace.Wrap(err, "loading")
	}
	if !loaded.Exists {
		if initial == nil {
			return nil
		}
		if err := create(store, loaded, *initial); err != nil {
			return trace.Wrap(err, "creating")
		}
	}
	s := h.newShard(id, store, loaded)
	s.application.Started(loaded)
	if !h.tasks.Go(func() { h.run(s) }) {
		return errStopping
	}
	h.shards[id] = s
	return nil
}

// create writes the first member set of a shard to disk and to loaded.
func create(store *logstore.ShardLog, loaded *logstore.RecoveredState, memberSet replica.MemberSet) error {
	loaded.MemberSet = memberSet
	loaded.HardState.Generation = memberSet.Generation
	first := replica.Ready{HardState: &loaded.HardState}
	return store.Persist(&first, memberSet, 0, 0)
}

func (h *Host[Command, Result]) newShard(id uint32, store *logstore.ShardLog, loaded *logstore.RecoveredState) *Shard[Command, Result] {
	disk := h.options.DB.DiskID()
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(id)))
	// An advance of the commit index alone is not written, but only committed entries are applied.
	hard := loaded.HardState
	hard.Commit = max(hard.Commit, loaded.Applied)
	s := &Shard[Command, Result]{
		ID: id, Disk: disk, Store: store,
		Replica: replica.Restore(id, disk, loaded.MemberSet, h.options.Timing, random, store,
			hard, loaded.BaseIndex, loaded.BaseEpoch, loaded.Epochs, time.Now()),
		host: h, applied: loaded.Applied,
		messages:  make(chan *wirev1.ReplicaMessage, queueLength),
		proposals: make(chan *proposal[Command, Result], queueLength),
		loopCalls: make(chan func(), queueLength),
		quit:      make(chan struct{}), done: make(chan struct{}),
		pendingProposals: map[uint64]*proposal[Command, Result]{},
	}
	s.beginServing(time.Now())
	s.application = h.newApplication(s)
	return s
}

// Shard returns a running shard, or nil if the shard does not run on this host.
func (h *Host[Command, Result]) Shard(id uint32) *Shard[Command, Result] {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.shards[id]
}

// Shards returns the running shards in no particular order.
func (h *Host[Command, Result]) Shards() []*Shard[Command, Result] {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	list := make([]*Shard[Command, Result], 0, len(h.shards))
	for _, s := range h.shards {
		list = append(list, s)
	}
	return list
}

// drop stops a replica that is no longer a member, waits for its run loop, and deletes its
// data. It must not be called by the run loop.
func (h *Host[Command, Result]) drop(s *Shard[Command, Result]) {
	s.stop()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.shards[s.ID] != s {
		return
	}
	delete(h.shards, s.ID)
	s.application.Dropped(s.Store.Drop())
}

// Stop stops all shards, and waits for their run loops and the host's background tasks.
func (h *Host[Command, Result]) Stop() {
	h.cancel()
	for _, s := range h.Shards() {
		s.stop()
	}
	h.tasks.Wait()
}
