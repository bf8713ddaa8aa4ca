package queuestore

import (
	"context"
	"slices"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
)

const (
	// lostDiskTime is how long a member's disk must be silent before a spare
	// disk takes its place; a restart is shorter.
	lostDiskTime     = 2500 * time.Millisecond
	handOverInterval = 250 * time.Millisecond
	handOverTimeout  = 20 * time.Second
	frozenTimeout    = 1500 * time.Millisecond
	swapTimeout      = 3 * time.Second
)

var handOverTimes = shardhost.HandOverTiming{CheckInterval: handOverInterval, CatchUpTimeout: handOverTimeout, FreezeTimeout: frozenTimeout, SwapTimeout: swapTimeout}

// NextMembers implements shardhost.MemberPolicy: members that are being emptied or
// whose disk is gone are replaced, and spare disks added up to the number wanted. A
// silent member stays as long as there is no disk to take its place.
func (s *shard) NextMembers(now time.Time, config replica.MemberSet) []string {
	if s.node.Layouts.Current() == nil || s.node.draining.Load() {
		return config.Members
	}
	next := s.plan(now, config)
	if len(next) < config.Copies {
		return config.Members
	}
	return next
}

func (s *shard) plan(now time.Time, config replica.MemberSet) []string {
	by := map[standing][]string{}
	for _, member := range config.Members {
		at := s.standing(now, member)
		by[at] = append(by[at], member)
	}
	if len(by[standingGood]) == len(config.Members) && len(config.Members) >= s.node.membersWanted() {
		return config.Members
	}
	s.node.askForSpares(s.ID, config.Members, now)
	next := s.node.place(s.ID, s.node.liveDisks(now), by[standingGood], s.node.Layouts.Current().held())
	next = fill(next, by[standingSilent], s.node.membersWanted())
	// Nodes that are to be emptied stay as long as others make too few copies.
	next = fill(next, by[standingRetiring], config.Copies)
	// A set is made smaller only for a member that is being emptied.
	if len(next) < len(config.Members) && !s.anyRetiring(config) {
		return config.Members
	}
	return next
}

// fill adds members to a set until it has as many as wanted.
func fill(set, members []string, wanted int) []string {
	for _, member := range members {
		if len(set) < wanted && !slices.Contains(set, member) {
			set = append(set, member)
		}
	}
	return set
}

func (s *shard) anyRetiring(config replica.MemberSet) bool {
	for _, member := range config.Members {
		if record, known := s.node.Directory.Disk(member); known && s.node.Directory.IsRetiring(record.NodeId) {
			return true
		}
	}
	return false
}

type standing uint8

const (
	standingGood standing = iota
	// standingSilent: has not answered for a while.
	standingSilent
	// standingRetiring: its node answers and is to be emptied.
	standingRetiring
	// standingLost: its node has another disk now.
	standingLost
)

func (s *shard) standing(now time.Time, member string) standing {
	if s.node.Directory.DiskLost(member) {
		return standingLost
	}
	if member != s.Disk && s.Replica.UnseenFor(member, now) >= lostDiskTime {
		return standingSilent
	}
	record, known := s.node.Directory.Disk(member)
	if known && s.node.Directory.IsRetiring(record.NodeId) {
		return standingRetiring
	}
	return standingGood
}

// answers reports whether a member's node takes part, emptied or not.
func (s *shard) answers(now time.Time, member string) bool {
	at := s.standing(now, member)
	return at == standingGood || at == standingRetiring
}

// MaySeal implements shardhost.MemberPolicy: all members of the next set that answer
// have caught up, and they are enough. It waits for the store: a shard that is frozen
// while the store does not answer takes no jobs.
func (s *shard) MaySeal(now time.Time, next replica.MemberSet) bool {
	for _, member := range next.Members {
		if s.answers(now, member) && !s.Replica.CaughtUp(member) {
			return false
		}
	}
	return !s.node.Contact.Lost() && s.quorumOfNext(now, next)
}

// quorumOfNext reports whether enough of the next members are there to seal.
func (s *shard) quorumOfNext(now time.Time, next replica.MemberSet) bool {
	count := 0
	for _, member := range next.Members {
		if s.answers(now, member) && s.Replica.CaughtUp(member) {
			count++
		}
	}
	return count >= next.WriteQuorum()
}

// Swap implements shardhost.MemberPolicy.
func (s *shard) Swap(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	return s.node.swapConfig(ctx, s.ID, before, after)
}

// Fence implements shardhost.MemberPolicy.
func (s *shard) Fence(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	s.node.reread(ctx, shardKey(s.ID))
	return s.node.swapConfig(ctx, s.ID, before, after)
}
