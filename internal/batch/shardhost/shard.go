package shardhost

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// Shard drives one replica. Its goroutine handles messages, proposals and calls, persists
// the replica's state and entries, and applies committed entries. Only this goroutine may
// use the exported fields and methods, unless their comments say otherwise; it runs the
// application's methods and the functions passed to RunInLoop.
//
// Invariants: a message is sent only after the state that it depends on is on disk; a
// proposer gets the result of a command only after the command was applied.
type Shard[Command proto.Message, Result any] struct {
	// ID is the shard's number, and Disk the identity of the replica's disk. Any goroutine
	// may read them; they never change.
	ID   uint32
	Disk string
	// Store is the shard's part of the database. Any goroutine may read a snapshot that
	// the shard's goroutine has taken.
	Store   *logstore.ShardLog
	Replica *replica.Replica

	host        *Host[Command, Result]
	application Application[Command, Result]

	messages  chan *wirev1.ReplicaMessage
	proposals chan *proposal[Command, Result]
	loopCalls chan func()
	quit      chan struct{}
	done      chan struct{}
	quitOnce  sync.Once

	applied           uint64                                // index of the last applied entry
	pendingProposals  map[uint64]*proposal[Command, Result] // by the index of the entry
	reads             []pendingRead
	lastTruncateCheck time.Time
	// removedSince is when the disk was first found outside the member set, or when the
	// data was last to be dropped. It is zero for a member or a learner. See tickRemoved.
	removedSince time.Time
	installing   bool // a snapshot is being fetched, and the replica handles no messages or ticks
	handOver     handOver
	serving      servingTracker
	stopped      bool // set by Fail, ends the run loop
}

const (
	// queueLength is the capacity of each queue: messages, proposals and calls.
	queueLength = 1024
	// maxBatch is the largest number of further queued items, after the first, that are
	// handled before a durable write.
	maxBatch = 256
	// applyBytes is the largest size of the commands that are applied in one batch, unless
	// a single command is larger.
	applyBytes = 8 << 20
)

// Application returns the shard's application. Any goroutine may call it.
func (s *Shard[Command, Result]) Application() Application[Command, Result] { return s.application }

// Context returns a context that ends when the host stops. Any goroutine may call it.
func (s *Shard[Command, Result]) Context() context.Context { return s.host.context }

// AppliedIndex returns the index of the last entry that the state contains.
func (s *Shard[Command, Result]) AppliedIndex() uint64 { return s.applied }

// HasNoPendingWork reports whether no proposal or read is pending, and neither a hand-over
// nor the installation of a snapshot is in progress.
func (s *Shard[Command, Result]) HasNoPendingWork() bool {
	return len(s.pendingProposals) == 0 && len(s.reads) == 0 && !s.HandingOver() && !s.installing
}

// stop ends the run loop and waits until it has ended.
func (s *Shard[Command, Result]) stop() {
	s.quitOnce.Do(func() { close(s.quit) })
	<-s.done
}

func (s *Shard[Command, Result]) run() {
	defer close(s.done)
	defer s.failPending()
	interval := s.application.TickInterval()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for !s.stopped {
		select {
		case <-s.quit:
			return
		case <-s.host.context.Done():
			return
		case message := <-s.messages:
			s.step(message)
		case p := <-s.proposals:
			s.propose(p)
		case call := <-s.loopCalls:
			call()
		case <-ticker.C:
			s.tick(time.Now())
		}
		s.drainQueues()
		if err := s.processReady(); err != nil {
			s.Fail(err)
		}
		if wanted := s.application.TickInterval(); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
	}
}

// drainQueues handles up to maxBatch further queued items, so that one fsync covers all of
// them.
func (s *Shard[Command, Result]) drainQueues() {
	calls := s.loopCalls
	if !s.host.options.BatchLoopCalls {
		calls = nil
	}
	var batch []*proposal[Command, Result]
	for range maxBatch {
		select {
		case message := <-s.messages:
			s.step(message)
		case p := <-s.proposals:
			batch = append(batch, p)
		case call := <-calls:
			call()
		default:
			s.propose(batch...)
			return
		}
	}
	s.propose(batch...)
}

func (s *Shard[Command, Result]) step(message *wirev1.ReplicaMessage) {
	if message.Kind == wirev1.ReplicaKind_REPLICA_KIND_SNAPSHOT_OFFER {
		s.handleSnapshotOffer(message)
		return
	}
	s.application.Received(message)
	if !s.installing {
		s.Replica.Step(time.Now(), message)
	}
}

func (s *Shard[Command, Result]) tick(now time.Time) {
	if !s.installing {
		s.application.BeforeTick(now)
		s.Replica.Tick(now)
	}
	s.tickServing(now)
	s.application.Tick(now)
	s.tickHandOver(now)
	s.tickRemoved(now)
	if now.Sub(s.lastTruncateCheck) > s.host.options.TruncateInterval {
		s.lastTruncateCheck = now
		if err := s.truncateLog(now); err != nil {
			s.Fail(err)
		}
	}
}

// processReady carries out the work that the replica requests, in the order that
// replica.Ready requires.
func (s *Shard[Command, Result]) processReady() error {
	for {
		ready := s.Replica.Ready()
		s.sendAll(ready.Early)
		if err := s.persist(&ready); err != nil {
			return err
		}
		s.sendAll(ready.Messages)
		if err := s.apply(s.Replica.Commit()); err != nil {
			return err
		}
		s.application.FollowLeadership()
		s.completeReads()
		if ready.Empty() {
			return nil
		}
	}
}

func (s *Shard[Command, Result]) persist(ready *replica.Ready) error {
	if ready.HardState == nil && ready.TruncateFrom == 0 && len(ready.Entries) == 0 {
		return nil
	}
	started := time.Now()
	baseIndex, baseEpoch := s.Replica.Base()
	if err := s.Store.Persist(ready, s.Replica.MemberSet(), baseIndex, baseEpoch); err != nil {
		return trace.Wrap(err)
	}
	s.application.Persisted(ready, time.Since(started))
	if len(ready.Entries) > 0 {
		s.Replica.Persisted(ready.Entries[len(ready.Entries)-1].Index)
	}
	return nil
}

func (s *Shard[Command, Result]) sendAll(messages []*wirev1.ReplicaMessage) {
	for _, message := range messages {
		s.host.options.Send(message)
	}
}

// apply applies the committed entries in batches and passes the results to the proposers.
func (s *Shard[Command, Result]) apply(commit uint64) error {
	for s.applied < commit {
		entries, err := s.Store.Entries(s.applied+1, commit, applyBytes)
		if err != nil {
			return trace.Wrap(err)
		}
		if len(entries) == 0 {
			return &logstore.CorruptError{Shard: s.ID, Index: s.applied + 1}
		}
		if err := s.applyBatch(entries); err != nil {
			return err
		}
	}
	return nil
}

func (s *Shard[Command, Result]) applyBatch(entries []*wirev1.LogEntry) error {
	state := s.Store.Begin()
	commands := make([]Command, len(entries))
	results := make([]Result, len(entries))
	for i, entry := range entries {
		commands[i] = newCommand[Command]()
		if err := proto.Unmarshal(entry.Command, commands[i]); err != nil {
			state.Discard()
			return &logstore.CorruptError{Shard: s.ID, Index: entry.Index}
		}
		applied, err := s.application.Apply(state, entry, commands[i])
		if err != nil {
			state.Discard()
			return trace.Wrap(err, "applying entry %d", entry.Index)
		}
		results[i] = applied
	}
	last := entries[len(entries)-1].Index
	if err := state.Commit(last); err != nil {
		return trace.Wrap(err)
	}
	s.applied = last
	for i, entry := range entries {
		s.application.Applied(commands[i], results[i])
		s.completeProposal(entry, results[i])
	}
	return nil
}

// newCommand returns an empty message of the command's type.
func newCommand[Command proto.Message]() Command {
	var zero Command
	return zero.ProtoReflect().New().Interface().(Command)
}

// Fail stops the replica after an error of its disk or state; the host starts it again. It
// has no effect while the shard is being stopped.
func (s *Shard[Command, Result]) Fail(err error) {
	select {
	case <-s.quit:
		return // the shard is being stopped, and the database may be closed already
	default:
	}
	s.stopped = true
	s.failServing(err)
	s.application.Failed(err)
}

// log writes a log line with the host's keys and the shard's number.
func (s *Shard[Command, Result]) log(message string, keysAndValues ...any) {
	keys := append([]any{}, s.host.options.LogKeys...)
	keys = append(keys, "shard", s.ID)
	klog.InfoS(message, append(keys, keysAndValues...)...)
}
