package queuestore

import (
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// retainInterval is the time between two looks for jobs past their retention.
	retainInterval = 5 * time.Second
	// retainLimit bounds the jobs that one command drops.
	retainLimit = 64
)

// retain proposes to drop jobs past their retention that have nothing open.
func (s *shard) retain(now time.Time) {
	l := s.leader
	if now.Sub(l.retained) < retainInterval {
		return
	}
	l.retained = now
	before := now.Add(-s.node.Retention).UnixMilli()
	var old []string
	for job, taken := range l.taken {
		if taken < before && !l.table.HasUnfinished(job) && len(old) < retainLimit {
			old = append(old, job)
		}
	}
	if len(old) > 0 {
		klog.InfoS("jobs past their retention dropped", "shard", s.ID, "jobs", len(old))
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Drop{Drop: &wirev1.QueueDrop{JobIds: old}}})
	}
}
