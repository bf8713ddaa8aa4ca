package shardhost

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// proposal is a command whose result is pending.
type proposal[Command proto.Message, Result any] struct {
	command Command
	epoch   uint64 // epoch of the entry, set when the replica accepts the command
	result  chan proposalResult[Result]
}

type proposalResult[Result any] struct {
	value Result
	err   error
}

func newProposal[Command proto.Message, Result any](command Command) *proposal[Command, Result] {
	return &proposal[Command, Result]{command: command, result: make(chan proposalResult[Result], 1)}
}

func (p *proposal[Command, Result]) finish(applied Result, err error) {
	p.result <- proposalResult[Result]{applied, err}
}

func (p *proposal[Command, Result]) fail(err error) {
	var zero Result
	p.finish(zero, err)
}

// propose passes a batch to the replica. It fails all proposals of the batch if the replica
// rejects them.
func (s *Shard[Command, Result]) propose(batch ...*proposal[Command, Result]) {
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		encoded, err := proto.Marshal(p.command)
		if err != nil {
			// An empty command, which has no effect, is proposed instead.
			klog.ErrorS(err, "command cannot be encoded", "shard", s.ID)
			encoded = nil
		}
		commands = append(commands, encoded)
	}
	first, accepted := s.Replica.Propose(time.Now(), commands)
	s.application.Proposed(commands, accepted)
	for i, p := range batch {
		if !accepted {
			p.fail(s.NotLeader())
			continue
		}
		p.epoch = s.Replica.Epoch()
		s.pendingProposals[first+uint64(i)] = p
	}
}

// Propose proposes commands without waiting for their results. A rejection
// is reported only to LogPolicy.Proposed.
func (s *Shard[Command, Result]) Propose(commands ...Command) {
	batch := make([]*proposal[Command, Result], 0, len(commands))
	for _, command := range commands {
		batch = append(batch, newProposal[Command, Result](command))
	}
	s.propose(batch...)
}

// completeProposal passes the result of an applied entry to its proposer. If the entry has
// another epoch than the proposal, the command was not committed at this index, and
// whether it was committed at another one is unknown.
func (s *Shard[Command, Result]) completeProposal(entry *wirev1.LogEntry, applied Result) {
	p := s.pendingProposals[entry.Index]
	if p == nil {
		return
	}
	delete(s.pendingProposals, entry.Index)
	if p.epoch != entry.Epoch {
		p.fail(result.New(result.CommitUnknown, "shard %d changed its leader before the command was committed", s.ID))
		return
	}
	p.finish(applied, nil)
}

// failPending fails all pending and queued proposals and all reads when the shard stops, and
// runs the queued calls.
func (s *Shard[Command, Result]) failPending() {
	s.application.DropLeadership("stopped")
	for index, p := range s.pendingProposals {
		delete(s.pendingProposals, index)
		p.fail(result.New(result.CommitUnknown, "shard %d stopped before the command was committed", s.ID))
	}
	for _, read := range s.reads {
		read.complete(false)
	}
	for {
		select {
		case p := <-s.proposals:
			p.fail(s.stoppedError(result.NotLeader))
		case call := <-s.loopCalls:
			call()
		default:
			return
		}
	}
}

// RunInLoop runs a function on the shard's goroutine and waits until it returns. The context
// limits only the wait until the function is queued. If the error is StoreUnavailable, the
// function does not run. If it is NotLeader, the shard has stopped, and the function may
// have run or not. Any goroutine but the shard's own may call RunInLoop.
func (s *Shard[Command, Result]) RunInLoop(ctx context.Context, call func()) error {
	finished := make(chan struct{})
	wrapped := func() {
		defer close(finished)
		call()
	}
	select {
	case s.loopCalls <- wrapped:
	case <-s.done:
		return s.stoppedError(result.NotLeader)
	case <-ctx.Done():
		return result.New(result.StoreUnavailable, "shard %d is busy", s.ID)
	}
	select {
	case <-finished:
		return nil
	case <-s.done:
		return s.stoppedError(result.NotLeader)
	}
}

// TryRunInLoop queues a function for the shard's goroutine without waiting for it. It
// reports false if the queue is full. A queued function may never run if the shard stops.
// Any goroutine may call TryRunInLoop.
func (s *Shard[Command, Result]) TryRunInLoop(call func()) bool {
	select {
	case s.loopCalls <- call:
		return true
	default:
		return false
	}
}

// ProposeAndWait proposes a command and waits until it is applied. The error is NotLeader
// or StoreUnavailable if the command was not proposed, and CommitUnknown if it is unknown
// whether the command was or will be committed. Any goroutine but the shard's own may
// call it.
func (s *Shard[Command, Result]) ProposeAndWait(ctx context.Context, command Command) (Result, error) {
	return s.ProposeWithCallback(ctx, command, nil)
}

// ProposeWithCallback is like ProposeAndWait, and calls onSettled exactly once, unless it is
// nil: when the command was not proposed, when its result is known, or when the shard has
// stopped. If the context ends first, the call may follow later from another goroutine.
func (s *Shard[Command, Result]) ProposeWithCallback(ctx context.Context, command Command, onSettled func()) (Result, error) {
	if onSettled == nil {
		onSettled = func() {}
	}
	var zero Result
	p := newProposal[Command, Result](command)
	select {
	case s.proposals <- p:
	case <-s.done:
		onSettled()
		return zero, s.stoppedError(result.NotLeader)
	case <-ctx.Done():
		onSettled()
		return zero, result.New(result.StoreUnavailable, "shard %d is busy", s.ID)
	}
	select {
	case outcome := <-p.result:
		onSettled()
		return outcome.value, outcome.err
	case <-s.done:
		onSettled()
		return zero, s.stoppedError(result.CommitUnknown)
	case <-ctx.Done():
		s.settleInBackground(p, onSettled)
		return zero, result.New(result.CommitUnknown, "shard %d did not confirm in time", s.ID)
	}
}

// settleInBackground waits for the result of a command whose proposer no longer waits, and
// then calls onSettled.
func (s *Shard[Command, Result]) settleInBackground(p *proposal[Command, Result], onSettled func()) {
	started := s.host.tasks.Go(func() {
		select {
		case <-p.result:
		case <-s.done:
		}
		onSettled()
	})
	if !started {
		onSettled() // the host is stopping, and so is the shard
	}
}
