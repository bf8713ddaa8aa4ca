package queuestore

import (
	"time"

	"k8s.io/klog/v2"
)

// preferenceCheckInterval is the minimum time between two checks of whether the shard's first
// member should lead instead.
const preferenceCheckInterval = 2 * time.Second

// transferToPreferredLeader asks the shard's first member to lead, to balance leadership over
// the disks. It does nothing while items are running or a hand-over is in progress, if the
// first member is not healthy, and in a layout with a single shard.
func (s *shard) transferToPreferredLeader(now time.Time) {
	l := s.leader
	memberSet := s.Replica.MemberSet()
	if l == nil || !l.suspendedAt.IsZero() || len(l.runs) > 0 || len(memberSet.Members) == 0 || now.Sub(l.preferenceCheckedAt) < preferenceCheckInterval {
		return
	}
	l.preferenceCheckedAt = now
	if s.node.shardCount() < 2 {
		return
	}
	first := memberSet.Members[0]
	if first == s.Disk || s.HandingOver() || s.memberStatus(now, first) != statusHealthy {
		return
	}
	if s.Replica.TransferLeadership(now, func(member string) bool { return member == first }) {
		klog.InfoS("first member asked to take over leadership", "shard", s.ID, "disk", first)
	}
}
