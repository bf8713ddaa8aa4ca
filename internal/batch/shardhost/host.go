// Package shardhost runs the replicas of shards on a node with a disk: their run
// loops, the messages between replicas, snapshots, the sealed hand-over of a member
// set, and the truncation of logs. It owns the goroutines of its shards and what
// package replica says is written to and sent from this node. It relies on packages
// replica (decisions) and logstore (disk). What the commands mean, who should be a
// member and what a leader does come from the program as an Application: queue shards of
// a storage node (queuestore) and file and job shards of a plain node
// (modules/batch/store).
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
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Peer is the node that has a disk.
type Peer struct{ Node, Address string }

// HandOverTiming bounds the change of a member set.
type HandOverTiming struct {
	// CheckInterval between two looks whether a change is wanted.
	CheckInterval time.Duration
	// CatchUpTimeout for new members to catch up.
	CatchUpTimeout time.Duration
	// FreezeTimeout is how long a member stays frozen before it fences the hand-over.
	FreezeTimeout time.Duration
	// SwapTimeout bounds one change of the stored member set.
	SwapTimeout time.Duration
}

// HostOptions are what differs between programs.
type HostOptions struct {
	DB   *logstore.DB
	Pool *rpc.Pool
	// Timing of elections and heartbeats.
	Timing replica.ElectionTiming
	// Peer returns the node that has a disk, false if none is known.
	Peer func(disk string) (Peer, bool)
	// Send sends one message to the replica on the disk that it names; it may be lost.
	Send func(message *wirev1.ReplicaMessage)
	// SnapshotTimeout bounds the fetch of a snapshot.
	SnapshotTimeout time.Duration
	// TruncateInterval is the time between two looks at the length of a log.
	TruncateInterval time.Duration
	HandOver         HandOverTiming
	// PlanWhileServing: only a leader that serves plans a change of members. Otherwise
	// one that can't commit plans it too: it was elected by an election quorum, so its
	// log has all that was acknowledged, and the seal needs no commit.
	PlanWhileServing bool
	// DeclineSnapshots: a replica that needs no snapshot says from where the leader is
	// to go on. Otherwise it does not answer the offer.
	DeclineSnapshots bool
	// BatchLoopCalls: calls of RunInLoop are taken along with queued messages before the
	// next durable write. Otherwise one is taken for each round of the loop.
	BatchLoopCalls bool
	// LogKeys come first in each log line.
	LogKeys []any
}

// Host runs the replicas on one disk.
type Host[Command proto.Message, Result any] struct {
	options        HostOptions
	newApplication func(*Shard[Command, Result]) Application[Command, Result]
	context        context.Context
	cancel         context.CancelFunc
	tasks          tasks.Group

	mutex  sync.Mutex
	shards map[uint32]*Shard[Command, Result]
}

// New returns a host without shards. It works until parent ends or Stop is called.
func New[Command proto.Message, Result any](
	parent context.Context, options HostOptions, newApplication func(*Shard[Command, Result]) Application[Command, Result],
) *Host[Command, Result] {
	ctx, cancel := context.WithCancel(parent)
	return &Host[Command, Result]{
		options: options, newApplication: newApplication, context: ctx, cancel: cancel, shards: map[uint32]*Shard[Command, Result]{},
	}
}

// Restore starts the shards that the disk holds, before the platform's store is
// asked: elections need only the shards' own replicas.
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

// errStopping refuses to start a shard once Stop was called.
var errStopping = errors.New("the node is stopping")

// Start restores a shard from disk, or creates it with a first member set; it does
// nothing if the shard runs already, or is neither on disk nor created.
func (h *Host[Command, Result]) Start(id uint32, created *replica.MemberSet) error {
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
		if created == nil {
			return nil
		}
		if err := create(store, loaded, *created); err != nil {
			return trace.Wrap(err, "creating")
		}
	}
	s := h.newShard(id, store, loaded)
	s.application.Started(loaded)
	if !h.tasks.Go(s.run) {
		return errStopping
	}
	h.shards[id] = s
	return nil
}

// create writes the first member set of a shard.
func create(store *logstore.ShardLog, loaded *logstore.RecoveredState, config replica.MemberSet) error {
	loaded.MemberSet = config
	loaded.HardState.Generation = config.Generation
	first := replica.Ready{HardState: &loaded.HardState}
	return store.Persist(&first, config, 0, 0)
}

func (h *Host[Command, Result]) newShard(id uint32, store *logstore.ShardLog, loaded *logstore.RecoveredState) *Shard[Command, Result] {
	disk := h.options.DB.DiskID()
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(id)))
	s := &Shard[Command, Result]{
		ID: id, Disk: disk, Store: store,
		Replica: replica.Restore(id, disk, loaded.MemberSet, h.options.Timing, random, store,
			loaded.HardState, loaded.BaseIndex, loaded.BaseEpoch, loaded.Epochs, time.Now()),
		host: h, applied: loaded.Applied,
		messages:  make(chan *wirev1.ReplicaMessage, queueLength),
		proposals: make(chan *proposal[Command, Result], queueLength),
		loopCalls: make(chan func(), queueLength),
		quit:      make(chan struct{}), done: make(chan struct{}),
		waiting: map[uint64]*proposal[Command, Result]{},
	}
	s.application = h.newApplication(s)
	return s
}

// Shard returns a shard that runs here, nil if it does not.
func (h *Host[Command, Result]) Shard(id uint32) *Shard[Command, Result] {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.shards[id]
}

// Shards returns the shards that run here, in no order.
func (h *Host[Command, Result]) Shards() []*Shard[Command, Result] {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	list := make([]*Shard[Command, Result], 0, len(h.shards))
	for _, s := range h.shards {
		list = append(list, s)
	}
	return list
}

// drop ends a replica that is not a member and frees its space.
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

// Stop ends all shards and waits for what they do.
func (h *Host[Command, Result]) Stop() {
	h.cancel()
	for _, s := range h.Shards() {
		s.stop()
	}
	h.tasks.Wait()
}
