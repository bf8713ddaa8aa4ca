package queuestore

import (
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
)

// recordApplied updates the state of the leadership, if there is one, after a command was
// applied.
func (s *shard) recordApplied(applied *queue.ApplyResult) {
	l := s.leader
	if l == nil || applied == nil {
		return
	}
	if applied.Record != nil && !applied.AlreadyAccepted && !applied.Ended {
		now := time.Now()
		delete(l.endedEarlyAt, applied.Record.Id)
		l.acceptedAt[applied.Record.Id] = applied.Record.AcceptedUnixMs
		l.table.Add(applied.Record, now, now) // adds nothing if the job has ended
	}
	if applied.EndedEarly != nil {
		l.endedEarlyAt[applied.EndedEarly.Id] = applied.EndedEarly.AcceptedUnixMs
	}
	for _, finished := range applied.Finished {
		s.recordFinished(finished)
	}
	for _, rejected := range applied.Rejected {
		s.reproposeRejected(rejected)
	}
	if applied.Ended {
		s.recordJobEnded(applied.Record.Id)
	}
	for _, job := range applied.Dropped {
		delete(l.acceptedAt, job)
		delete(l.endedEarlyAt, job)
	}
}

// recordFinished removes an item whose result was applied from the work of the leader.
func (s *shard) recordFinished(finished *wirev1.QueueResult) {
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
	l.notifyWatchers(finished.JobId)
}

// reproposeRejected handles a result or progress that was rejected because it does not
// continue the saved output. If the item's result has been decided, it proposes the complete
// result, unless the leadership is suspended; resumeLeadership does so then.
func (s *shard) reproposeRejected(rejected *wirev1.QueueResult) {
	l := s.leader
	key := queue.ItemKey{Job: rejected.JobId, Number: rejected.Item}
	l.table.ResetSaved(key)
	if decided := l.decided[key]; decided != nil && l.suspendedAt.IsZero() {
		klog.InfoS("item result proposed again with its complete output", "job", key.Job, "item", decided.ItemId, "from", rejected.From)
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{decided}}}})
	}
}

// recordJobEnded removes all items of an ended job from the work of the leader.
func (s *shard) recordJobEnded(job string) {
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
	l.notifyWatchers(job)
}
