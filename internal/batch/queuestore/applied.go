package queuestore

import (
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
)

// noteApplied keeps the table in line with what was applied.
func (s *shard) noteApplied(applied *queue.ApplyResult) {
	l := s.leader
	if l == nil || applied == nil {
		return
	}
	if applied.Record != nil && !applied.AlreadyAccepted && !applied.Ended && !applied.Record.Ended {
		now := time.Now()
		l.taken[applied.Record.Id] = applied.Record.AcceptedUnixMs
		l.table.Add(applied.Record, now, now)
	}
	for _, finished := range applied.Finished {
		s.noteFinished(finished)
	}
	for _, refused := range applied.Rejected {
		s.noteRefused(refused)
	}
	if applied.Ended {
		s.noteEnded(applied.Record.Id)
	}
	for _, job := range applied.Dropped {
		delete(l.taken, job)
	}
}

func (s *shard) noteFinished(finished *wirev1.QueueResult) {
	l := s.leader
	key := queue.ItemKey{Job: finished.JobId, Number: finished.Item}
	l.table.Finish(key)
	delete(l.decided, key)
	s.cancelRun(key)
	kind := "completed"
	if finished.Dead {
		kind = "dead"
	}
	s.node.metrics.results.WithLabelValues(kind).Inc()
	l.wake(finished.JobId)
}

// noteRefused sends a result again that did not follow what is saved, whole.
func (s *shard) noteRefused(refused *wirev1.QueueResult) {
	l := s.leader
	key := queue.ItemKey{Job: refused.JobId, Number: refused.Item}
	l.table.ResetSaved(key)
	if decided := l.decided[key]; decided != nil && l.suspended.IsZero() {
		klog.InfoS("item's result sent again, whole", "job", key.Job, "item", decided.ItemId, "from", refused.From)
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{decided}}}})
	}
}

func (s *shard) noteEnded(job string) {
	l := s.leader
	for key := range l.runs {
		if key.Job == job {
			s.cancelRun(key)
		}
	}
	for key := range l.decided {
		if key.Job == job {
			delete(l.decided, key)
		}
	}
	l.table.End(job)
	l.wake(job)
}
