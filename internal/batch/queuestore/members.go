package queuestore

import (
	"context"
	"slices"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/placement"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
)

const (
	// unresponsiveDiskTimeout is how long a member must be unresponsive before a spare
	// disk replaces it. It is longer than a restart of a node.
	unresponsiveDiskTimeout = 2500 * time.Millisecond
	// A hand-over is a change of the member set; see shardhost.HandOverTiming for its
	// intervals and timeouts.
	handOverInterval = 250 * time.Millisecond
	handOverTimeout  = 20 * time.Second
	freezeTimeout    = 1500 * time.Millisecond
	swapTimeout      = 3 * time.Second
)

var handOverTiming = shardhost.HandOverTiming{CheckInterval: handOverInterval, CatchUpTimeout: handOverTimeout, FreezeTimeout: freezeTimeout, SwapTimeout: swapTimeout}

// NextMembers implements shardhost.MemberPolicy. It replaces lost, unresponsive and retiring
// members, and adds spare disks up to the wanted number of members. It returns the current
// members if no layout is known, while this node is draining, and if fewer than Copies
// members would remain.
func (s *shard) NextMembers(now time.Time, current replica.MemberSet) []string {
	if s.node.Layouts.Current() == nil || s.node.draining.Load() {
		return current.Members
	}
	next := s.planMembers(now, current)
	if len(next) < current.Copies {
		return current.Members
	}
	return next
}

// planMembers returns the healthy members and the spare disks that are added to them. If there
// are too few, it adds unresponsive members up to the wanted number and then retiring members
// and other disks of retiring nodes up to the number of copies.
//
// Lost disks leave the set first, without replacement, if enough members remain for the copies.
// The others have all entries already, and fewer votes then elect a leader, so that another disk
// may be lost before a spare disk has caught up.
func (s *shard) planMembers(now time.Time, current replica.MemberSet) []string {
	byStatus := map[memberStatus][]string{}
	for _, member := range current.Members {
		status := s.memberStatus(now, member)
		byStatus[status] = append(byStatus[status], member)
	}
	if len(byStatus[statusHealthy]) == len(current.Members) && len(current.Members) >= s.node.wantedMemberCount() {
		return current.Members
	}
	if remaining := placement.Difference(current.Members, byStatus[statusLost]); len(remaining) < len(current.Members) && len(remaining) >= current.Copies {
		return remaining
	}
	s.node.probeSpares(s.ID, current.Members, now)
	next := s.node.chooseMembers(s.ID, s.node.liveDisks(now), byStatus[statusHealthy], s.node.Layouts.Current().shardsPerDisk())
	next = addMembers(next, byStatus[statusUnresponsive], s.node.wantedMemberCount())
	// A disk of a retiring node stays a member while there are too few other members, and joins if the
	// node has lost the disk that was one.
	next = addMembers(next, byStatus[statusRetiring], current.Copies)
	next = addMembers(next, s.node.liveRetiringDisks(now), current.Copies)
	// The number of members may decrease only while a member is retiring.
	if len(next) < len(current.Members) && !s.anyRetiring(current) {
		return current.Members
	}
	return next
}

// addMembers adds members to a set until it has the wanted number or none are left.
func addMembers(set, members []string, wanted int) []string {
	for _, member := range members {
		if len(set) < wanted && !slices.Contains(set, member) {
			set = append(set, member)
		}
	}
	return set
}

// anyRetiring reports whether the node of any member is retiring.
func (s *shard) anyRetiring(memberSet replica.MemberSet) bool {
	for _, member := range memberSet.Members {
		if record, known := s.node.Directory.Disk(member); known && s.node.Directory.IsRetiring(record.NodeId) {
			return true
		}
	}
	return false
}

type memberStatus uint8

const (
	statusHealthy memberStatus = iota
	// statusUnresponsive: the member has not responded within unresponsiveDiskTimeout.
	statusUnresponsive
	// statusRetiring: the member has responded in time, but its node is retiring.
	statusRetiring
	// statusLost: the member's node has a different disk now.
	statusLost
)

// memberStatus returns the first status that applies of lost, unresponsive, retiring and
// healthy. This node's own disk is never unresponsive.
func (s *shard) memberStatus(now time.Time, member string) memberStatus {
	if s.node.diskLost(s.ID, member, now) {
		return statusLost
	}
	if member != s.Disk && s.Replica.UnseenFor(member, now) >= unresponsiveDiskTimeout {
		return statusUnresponsive
	}
	record, known := s.node.Directory.Disk(member)
	if known && s.node.Directory.IsRetiring(record.NodeId) {
		return statusRetiring
	}
	return statusHealthy
}

// isResponsive reports whether a member is neither lost nor unresponsive.
func (s *shard) isResponsive(now time.Time, member string) bool {
	status := s.memberStatus(now, member)
	return status == statusHealthy || status == statusRetiring
}

// MaySeal implements shardhost.MemberPolicy. It requires that all responsive members of the
// next set have caught up, that they form a write quorum, and that this node is in contact
// with the platform's store. Without the store, a sealed shard could not be unsealed, and
// would accept no jobs.
func (s *shard) MaySeal(now time.Time, next replica.MemberSet) bool {
	return s.sealObstacle(now, next) == ""
}

// Swap implements shardhost.MemberPolicy.
func (s *shard) Swap(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	return s.node.swapMemberSet(ctx, s.ID, before, after)
}

// Fence implements shardhost.MemberPolicy. It first reads the stored member set, because the
// node's copy may be out of date.
func (s *shard) Fence(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	s.node.refreshValue(ctx, shardKey(s.ID))
	return s.node.swapMemberSet(ctx, s.ID, before, after)
}
