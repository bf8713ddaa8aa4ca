package store

import (
	"context"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
)

const (
	// lostDiskTime is how long a member's disk must be unseen before it is
	// replaced; a restart is shorter.
	lostDiskTime     = 8 * time.Second
	handOverInterval = time.Second
	handOverTimeout  = 60 * time.Second
	frozenTimeout    = 5 * time.Second
	swapTimeout      = 5 * time.Second
)

var handOverTimes = shardhost.HandOverTiming{CheckInterval: handOverInterval, CatchUpTimeout: handOverTimeout, FreezeTimeout: frozenTimeout, SwapTimeout: swapTimeout}

// NextMembers implements shardhost.MemberPolicy: members whose disk is gone for long
// are replaced, and spare disks are added up to the wanted number.
func (s *shardReplica) NextMembers(now time.Time, config replica.MemberSet) []string {
	if s.module.layout.Load() == nil || s.module.draining.Load() {
		return config.Members
	}
	disks := regionDisks(s.module.views.View(), s.module.settings.Node.Region)
	var keep []string
	for _, member := range config.Members {
		if s.diskPresent(now, disks, member) {
			keep = append(keep, member)
		}
	}
	next := place(s.ID, disks, keep)
	if len(next) < len(keep) {
		return config.Members
	}
	if len(next) == len(keep) && len(next) < replica.DefaultCopies {
		return config.Members // nothing to gain: a shard is not shrunk below the copies promised
	}
	return next
}

// diskPresent reports whether a member's disk is in the fleet, or was lately.
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
	return s.Replica.UnseenFor(member, now) < lostDiskTime
}

// MaySeal implements shardhost.MemberPolicy: all members of the next set have caught up.
func (s *shardReplica) MaySeal(_ time.Time, next replica.MemberSet) bool {
	for _, member := range next.Members {
		if !s.Replica.CaughtUp(member) {
			return false
		}
	}
	return true
}

// Swap implements shardhost.MemberPolicy. After an error the layout is read again:
// the change may be stored all the same.
func (s *shardReplica) Swap(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	committed, err := s.module.swapConfig(ctx, s.ID, before, after)
	if err != nil {
		s.module.rereadLayout(ctx)
	}
	return committed, err
}

// Fence implements shardhost.MemberPolicy.
func (s *shardReplica) Fence(ctx context.Context, before, after replica.MemberSet) (bool, error) {
	s.module.rereadLayout(ctx)
	return s.module.swapConfig(ctx, s.ID, before, after)
}
