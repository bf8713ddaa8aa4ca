package queuestore

import (
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// retentionCheckInterval is the minimum time between two searches for expired jobs.
	retentionCheckInterval = 5 * time.Second
	// maxDropsPerCommand bounds the jobs that one command drops.
	maxDropsPerCommand = 64
)

// dropExpiredJobs proposes to delete up to maxDropsPerCommand jobs that were accepted longer
// ago than Retention and have no unfinished items, and ends of other jobs that are as old.
func (s *shard) dropExpiredJobs(now time.Time) {
	l := s.leader
	if now.Sub(l.retentionCheckedAt) < retentionCheckInterval {
		return
	}
	l.retentionCheckedAt = now
	cutoff := now.Add(-s.node.Retention).UnixMilli()
	var expired []string
	for job, acceptedAt := range l.acceptedAt {
		if acceptedAt < cutoff && !l.table.HasUnfinished(job) && len(expired) < maxDropsPerCommand {
			expired = append(expired, job)
		}
	}
	for job, endedAt := range l.endedEarlyAt {
		if endedAt < cutoff && len(expired) < maxDropsPerCommand {
			expired = append(expired, job)
		}
	}
	if len(expired) > 0 {
		klog.InfoS("deletion of jobs past their retention proposed", "shard", s.ID, "jobs", len(expired))
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Drop{Drop: &wirev1.QueueDrop{JobIds: expired}}})
	}
}
