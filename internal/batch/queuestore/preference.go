package queuestore

import (
	"time"

	"k8s.io/klog/v2"
)

// preferenceCheckInterval is the time between two checks of whether the shard's first member
// should lead instead.
const preferenceCheckInterval = 2 * time.Second

// transferToPreferredLeader transfers leadership to the shard's first member, which balances
// leadership over the disks. It does nothing while a run would be interrupted.
func (s *shard) transferToPreferredLeader(now time.Time) {
	l := s.leader
	config := s.Replica.MemberSet()
	if l == nil || !l.suspendedAt.IsZero() || len(l.runs) > 0 || len(config.Members) == 0 || now.Sub(l.preferenceCheckedAt) < preferenceCheckInterval {
		return
	}
	l.preferenceCheckedAt = now
	if s.node.shardCount() < 2 {
		return // a single shard needs no balancing
	}
	first := config.Members[0]
	if first == s.Disk || s.HandingOver() || s.memberStatus(now, first) != statusHealthy {
		return
	}
	if s.Replica.TransferLeadership(now, func(member string) bool { return member == first }) {
		klog.InfoS("leadership transfer to the first member started", "shard", s.ID, "disk", first)
	}
}
