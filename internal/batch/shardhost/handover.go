package shardhost

import (
	"context"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/placement"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// handOver is a member set change this leader drives; see package replica for
// the steps and why they are safe.
type handOver struct {
	next      replica.MemberSet
	began     time.Time
	frozenAt  time.Time
	swapping  bool
	fencing   bool
	lastCheck time.Time
}

// HandingOver reports whether a change of the member set is on its way.
func (s *Shard[Command, Result]) HandingOver() bool {
	return s.handOver.next.Generation != 0 || s.Replica.Frozen()
}

// tickHandOver looks whether other members are wanted and advances a running change.
func (s *Shard[Command, Result]) tickHandOver(now time.Time) {
	h := &s.handOver
	times := s.host.options.HandOver
	if !s.Replica.Frozen() {
		h.frozenAt = time.Time{} // the next freeze has its own time
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

// planHandOver begins a change if the member set should be another.
func (s *Shard[Command, Result]) planHandOver(now time.Time, h *handOver) {
	config := s.Replica.MemberSet()
	next := s.application.NextMembers(now, config)
	if placement.SameMembers(next, config.Members) {
		return
	}
	h.next = replica.MemberSet{Generation: config.Generation + 1, Members: next, Copies: config.Copies}
	h.began = now
	h.frozenAt = time.Time{}
	s.Replica.SetLearners(now, placement.Difference(next, config.Members))
	s.log("hand-over begun", "generation", h.next.Generation, "from", config.Members, "to", next)
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

// freezeWhenReady begins the sealed part.
func (s *Shard[Command, Result]) freezeWhenReady(now time.Time, h *handOver) {
	if now.Sub(h.began) > s.host.options.HandOver.CatchUpTimeout {
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

// swap replaces the member set in the platform's store, in the background.
func (s *Shard[Command, Result]) swap(h *handOver) {
	before, after := s.Replica.MemberSet(), h.next
	h.swapping = s.host.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(s.host.context, s.host.options.HandOver.SwapTimeout)
		defer cancel()
		committed, err := s.application.Swap(ctx, before, after)
		s.application.SwapEnded(after, committed, err)
		s.runWhileRunning(func() {
			h.swapping = false
			if committed {
				s.Replica.Observe(time.Now(), after)
			}
		})
	})
}

// tickFrozen ends a hand-over that does not finish: the attempt is raised in the
// platform's store, which fences whoever began it; then all thaw.
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
		s.runWhileRunning(func() {
			h.fencing = false
			h.frozenAt = time.Time{}
			if committed {
				s.Replica.Observe(time.Now(), after)
			}
		})
	})
}

// keepRemoved is how long a replica that was replaced keeps its copy.
const keepRemoved = 60 * time.Second

// tickRemoved drops a replica whose disk a newer member set leaves out. A learner,
// whose set is not known yet, is not meant.
func (s *Shard[Command, Result]) tickRemoved(now time.Time) {
	config := s.Replica.MemberSet()
	if len(config.Members) == 0 || config.Has(s.Disk) {
		s.removed = time.Time{}
		return
	}
	if s.removed.IsZero() {
		s.removed = now
	}
	if now.Sub(s.removed) > keepRemoved && !s.installing {
		s.removed = now
		s.host.tasks.Go(func() { s.host.drop(s) })
	}
}

// handOnTries times, handOnPause apart, a leader that is to stop asks another member
// to lead.
const (
	handOnTries = 20
	handOnPause = 100 * time.Millisecond
)

// HandOnLeadership asks another member to lead, one that is preferred, as before a
// planned stop. It waits until one does, but not for long. It is for any other
// goroutine.
func (s *Shard[Command, Result]) HandOnLeadership(ctx context.Context, preferred func(disk string) bool) {
	for range handOnTries {
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
		time.Sleep(handOnPause)
	}
}
