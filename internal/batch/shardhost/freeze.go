package shardhost

import (
	"context"
	"time"
)

// tickFreeze cancels a hand-over that has kept this replica, or a member whose vote it needs,
// frozen for too long. The members thaw when they observe the raised attempt.
func (s *Shard[Command, Result]) tickFreeze(now time.Time, h *handOver) {
	if !s.Replica.Frozen() && !s.Replica.BlockedByFreeze(now) {
		h.frozenAt, h.orphanedAt = time.Time{}, time.Time{} // the next freeze has its own timeout
		return
	}
	if h.frozenAt.IsZero() {
		h.frozenAt = now
	}
	if !s.Replica.Frozen() || s.Replica.LeaderAlive(now) {
		h.orphanedAt = time.Time{}
	} else if h.orphanedAt.IsZero() {
		h.orphanedAt = now
	}
	timedOut := now.Sub(h.frozenAt) >= s.host.options.HandOver.FreezeTimeout
	orphaned := !h.orphanedAt.IsZero() && now.Sub(h.orphanedAt) >= s.host.options.Timing.Election
	if !h.fencing && (timedOut || orphaned) {
		s.fence(h)
	}
}

// fence raises the stored attempt in a background task, which fences the sealer: a swap that
// it sends later fails.
func (s *Shard[Command, Result]) fence(h *handOver) {
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
			s.serving.lastFence = memberSetWrite{time.Now(), after, committed, err}
			h.frozenAt, h.orphanedAt = time.Time{}, time.Time{}
			if committed {
				s.Replica.Observe(time.Now(), after)
			}
		})
	})
}
