package queuestore

import (
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// retentionCheckInterval is the time between two searches for expired jobs.
	retentionCheckInterval = 5 * time.Second
	// maxDropsPerCommand bounds the jobs that one command drops.
	maxDropsPerCommand = 64
)

// dropExpiredJobs proposes to drop jobs that are past their retention and have no unfinished
// items.
func (s *shard) dropExpiredJobs(now time.Time) {
	l := s.leader
	if now.Sub(l.retentionCheckedAt) < retentionCheckInterval {
		return
	}
	l.retentionCheckedAt = now
	before := now.Add(-s.node.Retention).UnixMilli()
	var old []string
	for job, acceptedAt := range l.acceptedAt {
		if acceptedAt < before && !l.table.HasUnfinished(job) && len(old) < maxDropsPerCommand {
			old = append(old, job)
		}
	}
	if len(old) > 0 {
		klog.InfoS("dropping jobs past their retention", "shard", s.ID, "jobs", len(old))
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Drop{Drop: &wirev1.QueueDrop{JobIds: old}}})
	}
}
