package shardhost

import (
	"context"
	"slices"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/placement"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// handOver is the state of a hand-over to a new member set at one replica, which drives the
// hand-over as leader or takes part in it as a frozen member. Package replica describes the
// steps.
type handOver struct {
	next      replica.MemberSet // generation 0 if this replica drives no hand-over
	startedAt time.Time
	frozenAt  time.Time // start of FreezeTimeout; zero unless a freeze blocks the replica
	// orphanedAt is since when the frozen replica has had no contact with the sealer; zero
	// while it has.
	orphanedAt time.Time
	swapping   bool      // Swap is running
	fencing    bool      // Fence is running
	lastCheck  time.Time // last call of NextMembers
}

// HandingOver reports whether this replica drives a hand-over or is frozen by one.
func (s *Shard[Command, Result]) HandingOver() bool {
	return s.handOver.next.Generation != 0 || s.Replica.Frozen()
}

// tickHandOver starts a hand-over if the leader's shard should have other members, or
// advances the one in progress. A leader that can't commit may start one too: it was elected by
// an election quorum, so its log has every acknowledged entry, and sealing needs no commit.
// tickHandOver cancels a hand-over that blocks this replica for too long, except while Swap
// is running.
func (s *Shard[Command, Result]) tickHandOver(now time.Time) {
	h := &s.handOver
	times := s.host.options.HandOver
	if !h.swapping {
		s.tickFreeze(now, h)
	}
	if s.Replica.Role() != replica.Leader {
		s.endHandOverOfFormerLeader(h)
		h.next = replica.MemberSet{}
		return
	}
	if h.next.Generation != 0 {
		s.advanceHandOver(now, h)
		return
	}
	if now.Sub(h.lastCheck) >= times.CheckInterval {
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

// freezeWhenReady freezes the shard once the application allows it. It ends the hand-over if
// the shard is not frozen within CatchUpTimeout, or if the application no longer wants a member
// that the hand-over keeps.
func (s *Shard[Command, Result]) freezeWhenReady(now time.Time, h *handOver) {
	switch {
	case now.Sub(h.startedAt) > s.host.options.HandOver.CatchUpTimeout:
		s.abandonHandOver(now, h, "timed out")
		return
	case s.keepsUnwantedMember(now, h):
		s.abandonHandOver(now, h, "a kept member is lost")
		return
	}
	if s.application.MaySeal(now, h.next) && s.Replica.Freeze() {
		h.frozenAt = now
	}
}

// keepsUnwantedMember reports whether the hand-over keeps a current member that the application
// no longer wants, for instance because its disk was lost after the one that the hand-over
// replaces. Such a member may never catch up.
func (s *Shard[Command, Result]) keepsUnwantedMember(now time.Time, h *handOver) bool {
	if now.Sub(h.lastCheck) < s.host.options.HandOver.CheckInterval {
		return false
	}
	h.lastCheck = now
	current := s.Replica.MemberSet()
	wanted := s.application.NextMembers(now, current)
	return slices.ContainsFunc(h.next.Members, func(member string) bool {
		return current.Has(member) && !slices.Contains(wanted, member)
	})
}

// abandonHandOver ends a hand-over before the shard is frozen.
func (s *Shard[Command, Result]) abandonHandOver(now time.Time, h *handOver, outcome string) {
	s.Replica.SetLearners(now, nil)
	s.endHandOver(h, outcome)
}

// endHandOverOfFormerLeader reports the end of a hand-over whose leader no longer leads, as after
// each hand-over that is done, because the new generation has no leader yet.
func (s *Shard[Command, Result]) endHandOverOfFormerLeader(h *handOver) {
	if h.next.Generation == 0 {
		return
	}
	outcome := "leadership lost"
	if s.Replica.MemberSet().Generation >= h.next.Generation {
		outcome = "done"
	}
	s.reportHandOver(h, outcome)
}

func (s *Shard[Command, Result]) reportHandOver(h *handOver, outcome string) {
	s.serving.lastHandOver = handOverOutcome{time.Now(), h.next.Generation, outcome}
	s.application.HandOverEnded(outcome)
	s.log("hand-over ended", "generation", h.next.Generation, "outcome", outcome)
}

func (s *Shard[Command, Result]) endHandOver(h *handOver, outcome string) {
	s.reportHandOver(h, outcome)
	h.next = replica.MemberSet{}
	h.swapping = false
}

// swap replaces the stored member set in a background task, and activates the new set if the
// change is known to be stored.
func (s *Shard[Command, Result]) swap(h *handOver) {
	before, after := s.Replica.MemberSet(), h.next
	h.swapping = s.host.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(s.host.context, s.host.options.HandOver.SwapTimeout)
		defer cancel()
		committed, err := s.application.Swap(ctx, before, after)
		s.application.SwapEnded(after, committed, err)
		s.runInLoopUnlessStopped(func() {
			h.swapping = false
			s.serving.lastSwap = memberSetWrite{time.Now(), after, committed, err}
			if committed {
				s.Replica.Observe(time.Now(), after)
			}
		})
	})
}

// removedRetention is how long a replica keeps its data after it has observed a member set
// without its disk.
const removedRetention = 60 * time.Second

// tickRemoved drops a replica whose disk has been outside the member set for
// removedRetention. It keeps a learner, whose member set is still empty, or to which a leader
// sends entries: a hand-over may count on its copy.
func (s *Shard[Command, Result]) tickRemoved(now time.Time) {
	current := s.Replica.MemberSet()
	if len(current.Members) == 0 || current.Has(s.Disk) || s.Replica.LeaderAlive(now) {
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

// transferAttempts and transferInterval are the number of times that HandOnLeadership tries
// to find and ask a new leader, and the time between two tries.
const (
	transferAttempts = 20
	transferInterval = 100 * time.Millisecond
)

// HandOnLeadership asks another member that preferred accepts to become leader, for instance
// before a planned stop. It returns once this replica does not lead, after transferAttempts
// tries, or when the context or the shard has ended. Any goroutine but the shard's own may
// call it.
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
