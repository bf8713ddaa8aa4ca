package store

import (
	"context"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
)

const (
	// lostDiskTimeout is how long a disk must be missing from the fleet before its
	// replica is replaced. It is longer than the restart of a node.
	lostDiskTimeout  = 8 * time.Second
	handOverInterval = time.Second
	handOverTimeout  = 60 * time.Second
	freezeTimeout    = 5 * time.Second
	swapTimeout      = 5 * time.Second
)

var handOverTiming = shardhost.HandOverTiming{CheckInterval: handOverInterval, CatchUpTimeout: handOverTimeout, FreezeTimeout: freezeTimeout, SwapTimeout: swapTimeout}

// NextMembers implements shardhost.MemberPolicy. It replaces members whose disk has been
// missing for lostDiskTimeout, and adds further disks up to maxReplicas. It keeps the member
// set while the node drains or has no layout, and if members are lost without a replacement
// and fewer than replica.DefaultCopies would be left.
func (s *shardReplica) NextMembers(now time.Time, memberSet replica.MemberSet) []string {
	if s.module.layout.Load() == nil || s.module.draining.Load() {
		return memberSet.Members
	}
	disks := regionDisks(s.module.views.View(), s.module.settings.Node.Region)
	var keep []string
	for _, member := range memberSet.Members {
		if s.diskPresent(now, disks, member) {
			keep = append(keep, member)
		}
	}
	next := chooseDisks(s.ID, disks, keep)
	if len(next) < len(keep) {
		return memberSet.Members
	}
	if len(next) == len(keep) && len(next) < replica.DefaultCopies {
		return memberSet.Members // without a replacement, a shard does not shrink below DefaultCopies
	}
	return next
}

// diskPresent reports whether a member's disk is one of the region's disks or was one during
// the last lostDiskTimeout. This node's own disk is always present.
func (s *shardReplica) diskPresent(now time.Time, disks []*wirev1.MemberRecord, member string) bool {
	if member == s.Disk {
		return true
	}
	for _, disk := range disks {
		if disk.DiskId == member {
			s.Replica.RecordSeen(member, now)
			return true
		}
	}
	return s.Replica.UnseenFor(member, now) < lostDiskTimeout
}

// MaySeal implements shardhost.MemberPolicy. It returns true if all members of the next set
// have caught up.
func (s *shardReplica) MaySeal(_ time.Time, next replica.MemberSet) bool {
	for _, member := range next.Members {
		if !s.Replica.CaughtUp(member) {
			return false
		}
	}
	return true
}

// Swap implements shardhost.MemberPolicy. After an error it reads the layout again, because
// the change may have been stored.
func (s *shardReplica) Swap(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	committed, err := s.module.swapMemberSet(ctx, s.ID, before, after)
	if err != nil {
		s.module.reloadLayout(ctx)
	}
	return committed, err
}

// Fence implements shardhost.MemberPolicy. It reads the layout first, because the known
// layout may be outdated.
func (s *shardReplica) Fence(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	s.module.reloadLayout(ctx)
	return s.module.swapMemberSet(ctx, s.ID, before, after)
}
