package queuestore

import (
	"context"
	"maps"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
)

const (
	// expirySlack delays the expiry of items to tolerate clock skew and clock jumps.
	expirySlack = 6 * time.Second
	// maxStartsPerTick bounds the runs started per tick.
	maxStartsPerTick = 32
	// maxRefusalsPerTick bounds the attempts per tick to start a run for which there is no
	// free slot. It is more than one because later items may be for a service that has
	// free slots.
	maxRefusalsPerTick = 8
	// fullServicePause is how long no run is started for a service without a free slot,
	// unless a run of this shard ends. Each attempt reads the item's body and evaluates all
	// runners, which is expensive. The pause matches the interval at which nodes exchange
	// their load (package loadshare).
	fullServicePause = 60 * time.Millisecond
	// missingBodyRetryDelay is the delay before the next attempt to start an item if its
	// body could not be read.
	missingBodyRetryDelay = time.Second
)

// startReadyItems starts runs of the items that are ready, in their starting order, up to the
// limits per tick. It starts no runs while the node is draining.
func (s *shard) startReadyItems(now time.Time) {
	l := s.leader
	started, refused := 0, 0
	for _, entry := range l.table.Ready(now) {
		if started >= maxStartsPerTick || refused >= maxRefusalsPerTick || s.node.draining.Load() {
			return
		}
		if now.Before(l.fullUntil[entry.Service]) {
			continue
		}
		if s.startRun(entry) {
			started++
		} else {
			refused++
		}
	}
}

// startRun tries to start a run of an item. It returns false only if no runner has a free
// slot for the item. If the item cannot be read, it starts no run and returns true.
func (s *shard) startRun(entry *queue.ItemEntry) bool {
	l := s.leader
	view := s.Store.View()
	item, err := queue.Item(view, entry.Key.Job, entry.Key.Number)
	if err != nil || item == nil {
		klog.ErrorS(err, "item body cannot be read", "shard", s.ID, "job", entry.Key.Job, "item", entry.ID)
		l.table.Requeue(entry.Key, entry.Output, false, time.Now().Add(missingBodyRetryDelay))
		return true
	}
	record, err := queue.Record(view, entry.Key.Job)
	if err != nil || record == nil {
		return true
	}
	ctx, cancel := context.WithCancel(l.context)
	key := entry.Key
	work := &Work{
		Key: key, Host: record.Host, Route: record.Route, CatalogVersion: record.CatalogVersion, KnownSince: entry.KnownSince,
		Tenant: record.Tenant, Item: item, Output: entry.Output,
		Due: entry.Due, Slack: l.table.Slack(entry, time.Now()),
		Failures: entry.Failures, FailedRunners: maps.Clone(entry.FailedRunners),
	}
	work.Save = func(output queue.ItemOutput) {
		// If the run has ended, its outcome contains the complete progress.
		_ = s.RunInLoop(ctx, func() { s.recordProgress(l, key, item.Id, output) })
	}
	if !s.node.Executor.TryStart(ctx, work, func(outcome Outcome) {
		cancel()
		s.runIfRunning(func() { s.runEnded(l, key, work, outcome) })
	}) {
		cancel()
		if entry.Service = work.FullService; entry.Service != "" {
			l.fullUntil[entry.Service] = time.Now().Add(fullServicePause)
		}
		if !work.NotBefore.IsZero() {
			entry.NotBefore = work.NotBefore
		}
		return false
	}
	l.table.Start(key)
	l.runs[key] = cancel
	return true
}

// recordProgress records the output of a run, to be proposed by proposeProgress. It does
// nothing if the leadership has been dropped or the item has a result, applied or not.
func (s *shard) recordProgress(l *leadership, key queue.ItemKey, item string, output queue.ItemOutput) {
	if s.leader == l && l.table.Entry(key) != nil && l.decided[key] == nil {
		l.pendingProgress.Add(key, item, output, time.Now())
	}
}

// proposeProgress proposes to save the recorded progress that is due.
func (s *shard) proposeProgress(now time.Time) {
	if due := s.leader.pendingProgress.Flush(s.leader.table, now); due != nil {
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Progress{Progress: due}})
	}
}

// runEnded processes the outcome of a run: it proposes the item's result if the item is done
// or dead, and makes the item available for another run otherwise. It only counts the run if
// the leadership has been dropped.
func (s *shard) runEnded(l *leadership, key queue.ItemKey, work *Work, outcome Outcome) {
	s.node.metrics.runs.WithLabelValues(outcome.Reason).Inc()
	if s.leader != l {
		return
	}
	delete(l.runs, key)
	clear(l.fullUntil)
	if l.table.Entry(key) == nil {
		return
	}
	if outcome.Done {
		l.table.Observe(l.table.Entry(key), outcome.Events, outcome.Duration)
	}
	final := outcome.Done || outcome.Dead || outcome.Failed && work.Failures+1 >= outcome.Attempts
	if outcome.Failed {
		l.table.RecordFailedRunner(key, outcome.Runner, time.Now())
	}
	if outcome.RunnerEnded {
		outcome.RetryDelay = l.table.RecordEnding(key)
	}
	if !final {
		s.recordProgress(l, key, work.Item.Id, outcome.Output)
		l.table.Requeue(key, outcome.Output, outcome.Failed, time.Now().Add(outcome.RetryDelay))
		if outcome.Failed || outcome.RunnerEnded {
			s.proposeFailures(key)
		}
		return
	}
	klog.InfoS("item decided", "job", key.Job, "item", work.Item.Id, "done", outcome.Done, "reason", outcome.Reason, "failures", work.Failures, "bytes", len(outcome.Output.Text))
	s.proposeResult(key, work.Item.Id, !outcome.Done, outcome.Output)
}

// proposeResult records an item's result and proposes it, unless the leadership is suspended;
// resumeLeadership proposes it then. If progress was proposed before, the proposal contains
// only the rest of the output; the complete result is kept in case the progress was not
// committed. The item of a run that has ended counts as running until the result is applied,
// so that it is not started again.
func (s *shard) proposeResult(key queue.ItemKey, item string, dead bool, output queue.ItemOutput) {
	l := s.leader
	complete := &wirev1.QueueResult{JobId: key.Job, Item: key.Number, ItemId: item, Dead: dead, Last: output.LastEventID, Text: output.Text}
	if dead {
		complete.Text, complete.Last = nil, 0
	}
	l.decided[key] = complete
	l.pendingProgress.Remove(key)
	if !l.suspendedAt.IsZero() {
		return
	}
	result := complete
	if from, text := l.table.Unsaved(key, output); !dead && from > 0 {
		result = &wirev1.QueueResult{JobId: key.Job, Item: key.Number, ItemId: item, From: from, Last: output.LastEventID, Text: text}
	}
	s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{result}}}})
}

// proposeFailures proposes to save the numbers of an item's runs that failed or ended with their runner, so that a later leader
// does not begin to count anew.
func (s *shard) proposeFailures(key queue.ItemKey) {
	entry := s.leader.table.Entry(key)
	failure := &wirev1.QueueFailure{JobId: key.Job, Item: key.Number, Failures: uint32(entry.Failures), Endings: uint32(entry.Endings)}
	s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Failure{Failure: failure}})
}

// expireItems proposes the result "dead" for items that have been past their expiry time for
// expirySlack. An item that is running may still finish before the proposal is applied.
func (s *shard) expireItems(now time.Time) {
	for _, entry := range s.leader.table.Expired(now.Add(-expirySlack)) {
		klog.InfoS("item expired", "job", entry.Key.Job, "item", entry.ID, "failures", entry.Failures)
		entry.ExpiresAt = now.Add(expirySlack) // proposed again after this time unless applied
		s.proposeResult(entry.Key, entry.ID, true, queue.ItemOutput{})
	}
}

// cancelRun cancels the run of an item, if there is one.
func (s *shard) cancelRun(key queue.ItemKey) {
	if cancel := s.leader.runs[key]; cancel != nil {
		cancel()
		delete(s.leader.runs, key)
	}
}
