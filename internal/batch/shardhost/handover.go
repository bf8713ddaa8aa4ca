package shardhost

import (
	"context"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/placement"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// handOver is the state of a change of the member set that this leader drives. Package
// replica describes the steps and why they are safe.
type handOver struct {
	next      replica.MemberSet
	startedAt time.Time
	frozenAt  time.Time
	swapping  bool
	fencing   bool
	lastCheck time.Time
}

// HandingOver reports whether a change of the member set is in progress.
func (s *Shard[Command, Result]) HandingOver() bool {
	return s.handOver.next.Generation != 0 || s.Replica.Frozen()
}

// tickHandOver plans a change of members if one is needed, advances a change in progress,
// and cancels a hand-over that keeps the shard frozen for too long.
func (s *Shard[Command, Result]) tickHandOver(now time.Time) {
	h := &s.handOver
	times := s.host.options.HandOver
	if !s.Replica.Frozen() {
		h.frozenAt = time.Time{} // the next freeze has its own timeout
	} else if !h.swapping {
		s.tickFrozen(now, h)
	}
	if s.Replica.Role() != replica.Leader {
		h.next = replica.MemberSet{}
		return
	}
	if h.next.Generation != 0 {
		s.advanceHandOver(now, h)
		return
	}
	mayPlan := s.Replica.Serving() || !s.host.options.PlanWhileServing
	if mayPlan && now.Sub(h.lastCheck) >= times.CheckInterval {
		h.lastCheck = now
		s.planHandOver(now, h)
	}
}

// planHandOver starts a hand-over if the shard should have other members.
func (s *Shard[Command, Result]) planHandOver(now time.Time, h *handOver) {
	current := s.Replica.MemberSet()
	next := s.application.NextMembers(now, current)
	if placement.SameMembers(next, current.Members) {
		return
	}
	h.next = replica.MemberSet{Generation: current.Generation + 1, Members: next, Copies: current.Copies}
	h.startedAt = now
	h.frozenAt = time.Time{}
	s.Replica.SetLearners(now, placement.Difference(next, current.Members))
	s.log("hand-over started", "generation", h.next.Generation, "from", current.Members, "to", next)
}

func (s *Shard[Command, Result]) advanceHandOver(now time.Time, h *handOver) {
	switch {
	case s.Replica.MemberSet().Generation >= h.next.Generation:
		s.endHandOver(h, "done")
	case !s.Replica.Frozen():
		s.freezeWhenReady(now, h)
	case s.Replica.Sealed(h.next) && !h.swapping:
		s.swap(h)
	}
}

// freezeWhenReady freezes the shard once the next members are ready, and ends the hand-over
// if they do not catch up in time.
func (s *Shard[Command, Result]) freezeWhenReady(now time.Time, h *handOver) {
	if now.Sub(h.startedAt) > s.host.options.HandOver.CatchUpTimeout {
		s.Replica.SetLearners(now, nil)
		s.endHandOver(h, "timed out")
		return
	}
	if s.application.MaySeal(now, h.next) && s.Replica.Freeze() {
		h.frozenAt = now
	}
}

func (s *Shard[Command, Result]) endHandOver(h *handOver, outcome string) {
	s.application.HandOverEnded(outcome)
	s.log("hand-over ended", "generation", h.next.Generation, "outcome", outcome)
	h.next = replica.MemberSet{}
	h.swapping = false
}

// swap replaces the member set in the platform's store in a background task.
func (s *Shard[Command, Result]) swap(h *handOver) {
	before, after := s.Replica.MemberSet(), h.next
	h.swapping = s.host.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(s.host.context, s.host.options.HandOver.SwapTimeout)
		defer cancel()
		committed, err := s.application.Swap(ctx, before, after)
		s.application.SwapEnded(after, committed, err)
		s.runInLoopUnlessStopped(func() {
			h.swapping = false
			if committed {
				s.Replica.Observe(time.Now(), after)
			}
		})
	})
}

// tickFrozen cancels a hand-over that does not finish within FreezeTimeout. It raises the
// attempt in the platform's store, which fences the sealer; then the members thaw.
func (s *Shard[Command, Result]) tickFrozen(now time.Time, h *handOver) {
	if h.frozenAt.IsZero() {
		h.frozenAt = now
	}
	if h.fencing || now.Sub(h.frozenAt) < s.host.options.HandOver.FreezeTimeout {
		return
	}
	before := s.Replica.MemberSet()
	h.fencing = s.host.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(s.host.context, s.host.options.HandOver.SwapTimeout)
		defer cancel()
		after := before
		after.Attempt++
		committed, err := s.application.Fence(ctx, before, after)
		s.application.FenceEnded(after, committed, err)
		s.runInLoopUnlessStopped(func() {
			h.fencing = false
			h.frozenAt = time.Time{}
			if committed {
				s.Replica.Observe(time.Now(), after)
			}
		})
	})
}

// removedRetention is how long a replica keeps its data after it was removed from the
// member set.
const removedRetention = 60 * time.Second

// tickRemoved drops a replica whose disk is no longer in the member set. It keeps a
// learner, whose member set is still empty.
func (s *Shard[Command, Result]) tickRemoved(now time.Time) {
	current := s.Replica.MemberSet()
	if len(current.Members) == 0 || current.Has(s.Disk) {
		s.removedSince = time.Time{}
		return
	}
	if s.removedSince.IsZero() {
		s.removedSince = now
	}
	if now.Sub(s.removedSince) > removedRetention && !s.installing {
		s.removedSince = now
		s.host.tasks.Go(func() { s.host.drop(s) })
	}
}

// transferAttempts and transferInterval are the number of requests by which a leader asks
// another member to lead before a planned stop, and the time between them.
const (
	transferAttempts = 20
	transferInterval = 100 * time.Millisecond
)

// HandOnLeadership asks a preferred member to become leader, as before a planned stop. It
// returns once this replica does not lead, or after transferAttempts requests. Any
// goroutine but the shard's own may call it.
func (s *Shard[Command, Result]) HandOnLeadership(ctx context.Context, preferred func(disk string) bool) {
	for range transferAttempts {
		leading := false
		err := s.RunInLoop(ctx, func() {
			leading = s.Replica.Role() == replica.Leader
			if leading {
				s.Replica.TransferLeadership(time.Now(), preferred)
			}
		})
		if err != nil || !leading || ctx.Err() != nil {
			return
		}
		time.Sleep(transferInterval)
	}
}
