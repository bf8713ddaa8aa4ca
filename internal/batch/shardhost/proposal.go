package shardhost

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// proposal is a command on its way through the log.
type proposal[Command proto.Message, Result any] struct {
	command Command
	epoch   uint64
	result  chan proposalResult[Result]
}

type proposalResult[Result any] struct {
	applied Result
	err     error
}

func newProposal[Command proto.Message, Result any](command Command) *proposal[Command, Result] {
	return &proposal[Command, Result]{command: command, result: make(chan proposalResult[Result], 1)}
}

func (p *proposal[Command, Result]) finish(applied Result, err error) {
	p.result <- proposalResult[Result]{applied, err}
}

func (p *proposal[Command, Result]) refuse(err error) {
	var none Result
	p.finish(none, err)
}

func (s *Shard[Command, Result]) propose(batch ...*proposal[Command, Result]) {
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		encoded, err := proto.Marshal(p.command)
		if err != nil {
			// The entry is empty then, and changes nothing.
			klog.ErrorS(err, "command has no encoding", "shard", s.ID)
			encoded = nil
		}
		commands = append(commands, encoded)
	}
	first, accepted := s.Replica.Propose(time.Now(), commands)
	s.application.Proposed(commands, accepted)
	for i, p := range batch {
		if !accepted {
			p.refuse(result.New(result.NotLeader, "shard %d is not led here", s.ID))
			continue
		}
		p.epoch = s.Replica.Epoch()
		s.waiting[first+uint64(i)] = p
	}
}

// Propose proposes commands whose results nobody waits for.
func (s *Shard[Command, Result]) Propose(commands ...Command) {
	batch := make([]*proposal[Command, Result], 0, len(commands))
	for _, command := range commands {
		batch = append(batch, newProposal[Command, Result](command))
	}
	s.propose(batch...)
}

// answer reports to a proposer what became of its command. An entry of another epoch at
// the index means that the command was not committed there; whether it was anywhere
// is not known here.
func (s *Shard[Command, Result]) answer(entry *wirev1.LogEntry, applied Result) {
	p := s.waiting[entry.Index]
	if p == nil {
		return
	}
	delete(s.waiting, entry.Index)
	if p.epoch != entry.Epoch {
		p.refuse(result.New(result.CommitUnknown, "shard %d changed its leader before the command was committed", s.ID))
		return
	}
	p.finish(applied, nil)
}

// failWaiting answers all who wait when the shard stops.
func (s *Shard[Command, Result]) failWaiting() {
	s.application.DropLeadership("stopped")
	for index, p := range s.waiting {
		delete(s.waiting, index)
		p.refuse(result.New(result.CommitUnknown, "shard %d stopped before the command was committed", s.ID))
	}
	for _, read := range s.reads {
		read.release(false)
	}
	for {
		select {
		case p := <-s.proposals:
			p.refuse(result.New(result.NotLeader, "shard %d stopped here", s.ID))
		case call := <-s.loopCalls:
			call()
		default:
			return
		}
	}
}

// RunInLoop runs a function on the shard's goroutine and waits for it. The error says that
// it was not run, or that the shard stopped meanwhile. It is for any other goroutine.
func (s *Shard[Command, Result]) RunInLoop(ctx context.Context, call func()) error {
	finished := make(chan struct{})
	wrapped := func() {
		defer close(finished)
		call()
	}
	select {
	case s.loopCalls <- wrapped:
	case <-s.done:
		return result.New(result.NotLeader, "shard %d stopped here", s.ID)
	case <-ctx.Done():
		return result.New(result.StoreUnavailable, "shard %d is busy", s.ID)
	}
	select {
	case <-finished:
		return nil
	case <-s.done:
		return result.New(result.NotLeader, "shard %d stopped here", s.ID)
	}
}

// Post runs a function on the shard's goroutine if not much is queued there, and
// does not wait. It is for any goroutine.
func (s *Shard[Command, Result]) Post(call func()) bool {
	select {
	case s.loopCalls <- call:
		return true
	default:
		return false
	}
}

// ProposeAndWait proposes a command and waits until it is applied. The error says NotLeader
// if it was not taken and CommitUnknown if its fate is not known. It is for any other
// goroutine.
func (s *Shard[Command, Result]) ProposeAndWait(ctx context.Context, command Command) (Result, error) {
	return s.ProposeWithCallback(ctx, command, nil)
}

// ProposeWithCallback is ProposeAndWait, and calls settled (unless it is nil) once the command is
// applied or dropped, which may be after the context has ended.
func (s *Shard[Command, Result]) ProposeWithCallback(ctx context.Context, command Command, settled func()) (Result, error) {
	if settled == nil {
		settled = func() {}
	}
	var none Result
	p := newProposal[Command, Result](command)
	select {
	case s.proposals <- p:
	case <-s.done:
		settled()
		return none, result.New(result.NotLeader, "shard %d stopped here", s.ID)
	case <-ctx.Done():
		settled()
		return none, result.New(result.StoreUnavailable, "shard %d is busy", s.ID)
	}
	select {
	case answer := <-p.result:
		settled()
		return answer.applied, answer.err
	case <-s.done:
		settled()
		return none, result.New(result.CommitUnknown, "shard %d stopped here", s.ID)
	case <-ctx.Done():
		s.settleLater(p, settled)
		return none, result.New(result.CommitUnknown, "shard %d did not confirm in time", s.ID)
	}
}

// settleLater waits for the fate of a command whose proposer has left.
func (s *Shard[Command, Result]) settleLater(p *proposal[Command, Result], settled func()) {
	started := s.host.tasks.Go(func() {
		select {
		case <-p.result:
		case <-s.done:
		}
		settled()
	})
	if !started {
		settled() // the host has stopped, and the shard with it
	}
}
