package queuestore

import (
	"context"
	"slices"
	"time"

	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
)

const (
	// unresponsiveDiskTimeout is how long a member must be unresponsive before a spare
	// disk replaces it; it is longer than a restart of a node.
	unresponsiveDiskTimeout = 2500 * time.Millisecond
	handOverInterval        = 250 * time.Millisecond
	handOverTimeout         = 20 * time.Second
	freezeTimeout           = 1500 * time.Millisecond
	swapTimeout             = 3 * time.Second
)

var handOverTiming = shardhost.HandOverTiming{CheckInterval: handOverInterval, CatchUpTimeout: handOverTimeout, FreezeTimeout: freezeTimeout, SwapTimeout: swapTimeout}

// NextMembers implements shardhost.MemberPolicy. It replaces retiring members and members
// whose disk is lost, and adds spare disks up to the wanted number of members. An
// unresponsive member stays until a disk is available to replace it.
func (s *shard) NextMembers(now time.Time, config replica.MemberSet) []string {
	if s.node.Layouts.Current() == nil || s.node.draining.Load() {
		return config.Members
	}
	next := s.planMembers(now, config)
	if len(next) < config.Copies {
		return config.Members
	}
	return next
}

func (s *shard) planMembers(now time.Time, config replica.MemberSet) []string {
	byStatus := map[memberStatus][]string{}
	for _, member := range config.Members {
		status := s.memberStatus(now, member)
		byStatus[status] = append(byStatus[status], member)
	}
	if len(byStatus[statusHealthy]) == len(config.Members) && len(config.Members) >= s.node.wantedMemberCount() {
		return config.Members
	}
	s.node.probeSpares(s.ID, config.Members, now)
	next := s.node.chooseMembers(s.ID, s.node.liveDisks(now), byStatus[statusHealthy], s.node.Layouts.Current().shardsPerDisk())
	next = addMembers(next, byStatus[statusUnresponsive], s.node.wantedMemberCount())
	// Retiring nodes stay members until the other members hold enough copies.
	next = addMembers(next, byStatus[statusRetiring], config.Copies)
	// Only a retiring member may be removed without a replacement.
	if len(next) < len(config.Members) && !s.anyRetiring(config) {
		return config.Members
	}
	return next
}

// addMembers adds members to a set until it has the wanted number.
func addMembers(set, members []string, wanted int) []string {
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

type memberStatus uint8

const (
	statusHealthy memberStatus = iota
	// statusUnresponsive: the member has not responded within unresponsiveDiskTimeout.
	statusUnresponsive
	// statusRetiring: the member responds, but its node is retiring.
	statusRetiring
	// statusLost: the member's node has a different disk now.
	statusLost
)

func (s *shard) memberStatus(now time.Time, member string) memberStatus {
	if s.node.Directory.DiskLost(member) {
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

// isResponsive reports whether a member responds, including members on retiring nodes.
func (s *shard) isResponsive(now time.Time, member string) bool {
	status := s.memberStatus(now, member)
	return status == statusHealthy || status == statusRetiring
}

// MaySeal implements shardhost.MemberPolicy. It requires that all responsive members of the
// next set have caught up and form a write quorum, and that the store is reachable: a
// shard that is sealed while the store is unavailable cannot accept jobs.
func (s *shard) MaySeal(now time.Time, next replica.MemberSet) bool {
	for _, member := range next.Members {
		if s.isResponsive(now, member) && !s.Replica.CaughtUp(member) {
			return false
		}
	}
	return !s.node.Contact.Lost() && s.hasCaughtUpQuorum(now, next)
}

// hasCaughtUpQuorum reports whether a write quorum of the next member set has caught up.
func (s *shard) hasCaughtUpQuorum(now time.Time, next replica.MemberSet) bool {
	count := 0
	for _, member := range next.Members {
		if s.isResponsive(now, member) && s.Replica.CaughtUp(member) {
			count++
		}
	}
	return count >= next.WriteQuorum()
}

// Swap implements shardhost.MemberPolicy.
func (s *shard) Swap(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	return s.node.swapMemberSet(ctx, s.ID, before, after)
}

// Fence implements shardhost.MemberPolicy.
func (s *shard) Fence(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	s.node.refreshValue(ctx, shardKey(s.ID))
	return s.node.swapMemberSet(ctx, s.ID, before, after)
}
