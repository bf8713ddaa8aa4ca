package shardhost

import (
	"context"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// readWait is a read that waits until this replica is confirmed to lead.
type readWait struct {
	probe   uint64
	index   uint64
	release func(confirmed bool)
}

// Confirm waits until this replica is known to have led after the call and to have
// applied all that was committed before it. It is for any other goroutine.
func (s *Shard[Command, Result]) Confirm(ctx context.Context) error {
	released := make(chan bool, 1)
	err := s.RunInLoop(ctx, func() {
		if !s.Replica.Serving() {
			released <- false
			return
		}
		probe := s.Replica.BeginProbe(time.Now())
		s.reads = append(s.reads, readWait{probe, s.Replica.Commit(), func(ok bool) { released <- ok }})
	})
	if err != nil {
		return err
	}
	select {
	case ok := <-released:
		if ok {
			return nil
		}
		return result.New(result.NotLeader, "shard %d is not led here", s.ID)
	case <-s.done:
		return result.New(result.NotLeader, "shard %d stopped here", s.ID)
	case <-ctx.Done():
		return result.New(result.StoreUnavailable, "shard %d: leadership is not confirmed", s.ID)
	}
}

func (s *Shard[Command, Result]) releaseReads() {
	if len(s.reads) == 0 {
		return
	}
	leads := s.Replica.Role() == replica.Leader
	confirmed := s.Replica.Confirmed()
	kept := s.reads[:0]
	for _, read := range s.reads {
		switch {
		case !leads:
			read.release(false)
		case read.probe <= confirmed && read.index <= s.applied:
			read.release(true)
		default:
			kept = append(kept, read)
		}
	}
	s.reads = kept
}
