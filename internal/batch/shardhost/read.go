package shardhost

import (
	"context"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// pendingRead is a read that waits until the replica's leadership is confirmed and the
// state contains the entry at index.
type pendingRead struct {
	probe    uint64 // number of the probe that confirms the leadership
	index    uint64 // commit index at the time of the read
	complete func(confirmed bool)
}

// Confirm waits until a write quorum has confirmed that this replica was leader at the time
// of the call, and until the replica has applied every entry that was committed before the
// call. It returns NotLeader if the replica does not serve, loses its leadership or stops,
// and StoreUnavailable if the context ends first. Any goroutine but the shard's own may call
// it.
func (s *Shard[Command, Result]) Confirm(ctx context.Context) error {
	released := make(chan bool, 1)
	err := s.RunInLoop(ctx, func() {
		if !s.Replica.Serving() {
			s.followServing(time.Now())
			released <- false
			return
		}
		probe := s.Replica.BeginProbe(time.Now())
		s.reads = append(s.reads, pendingRead{probe, s.Replica.Commit(), func(ok bool) { released <- ok }})
	})
	if err != nil {
		return err
	}
	select {
	case ok := <-released:
		if ok {
			return nil
		}
		return s.notLeader()
	case <-s.done:
		return s.stoppedError(result.NotLeader)
	case <-ctx.Done():
		return result.New(result.StoreUnavailable, "shard %d: leadership is not confirmed", s.ID)
	}
}

// completeReads completes the reads whose leadership is confirmed and whose index is applied.
// It fails all reads if the replica does not lead.
func (s *Shard[Command, Result]) completeReads() {
	if len(s.reads) == 0 {
		return
	}
	leads := s.Replica.Role() == replica.Leader
	confirmed := s.Replica.ConfirmedProbe()
	kept := s.reads[:0]
	for _, read := range s.reads {
		switch {
		case !leads:
			read.complete(false)
		case read.probe <= confirmed && read.index <= s.applied:
			read.complete(true)
		default:
			kept = append(kept, read)
		}
	}
	s.reads = kept
}
