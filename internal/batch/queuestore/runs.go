package queuestore

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
)

const (
	// giveUpSlack covers clocks that disagree or jump.
	giveUpSlack = 6 * time.Second
	// startsPerTick bounds the items that one look at the table starts.
	startsPerTick = 32
	// refusalsPerTick bounds the items tried in vain: those behind may be of a
	// service that has free slots.
	refusalsPerTick = 8
	// fullPause is how long no item is tried at a service that had no free slot, unless
	// a run of this shard ends: nodes report their load to each other that often
	// (loadshare). To try an item its body is read and all runners are weighed.
	fullPause = 60 * time.Millisecond
	// missingBodyPause is how long an item waits whose body could not be read.
	missingBodyPause = time.Second
)

func (s *shard) startReady(now time.Time) {
	l := s.leader
	started, refused := 0, 0
	for _, entry := range l.table.Ready(now) {
		if started >= startsPerTick || refused >= refusalsPerTick || s.node.draining.Load() {
			return
		}
		if now.Before(l.full[entry.Service]) {
			continue
		}
		if s.start(entry) {
			started++
		} else {
			refused++
		}
	}
}

// start begins a run of an item. It reports false if no runner has a free slot.
func (s *shard) start(entry *queue.ItemEntry) bool {
	l := s.leader
	view := s.Store.View()
	item, err := queue.Item(view, entry.Key.Job, entry.Key.Number)
	if err != nil || item == nil {
		klog.ErrorS(err, "item's body is missing", "shard", s.ID, "job", entry.Key.Job, "item", entry.ID)
		l.table.Requeue(entry.Key, entry.Output, false, time.Now().Add(missingBodyPause))
		return true
	}
	record, err := queue.Record(view, entry.Key.Job)
	if err != nil || record == nil {
		return true
	}
	ctx, cancel := context.WithCancel(l.context)
	key := entry.Key
	work := &Work{Key: key, Host: record.Host, Route: record.Route, Tenant: record.Tenant, Item: item, Output: entry.Output, Due: entry.Due, Slack: l.table.Slack(entry, time.Now()), Failures: entry.Failures}
	work.Save = func(output queue.ItemOutput) {
		// A run that has ended meanwhile has nothing to keep: its outcome has all of it.
		_ = s.RunInLoop(ctx, func() { s.noteProgress(l, key, item.Id, output) })
	}
	if !s.node.Executor.TryStart(ctx, work, func(outcome Outcome) {
		cancel()
		s.runIfRunning(func() { s.ended(l, key, work, outcome) })
	}) {
		cancel()
		if entry.Service = work.FullService; entry.Service != "" {
			l.full[entry.Service] = time.Now().Add(fullPause)
		}
		return false
	}
	l.table.Start(key)
	l.runs[key] = cancel
	return true
}

// noteProgress takes what a run has produced, to be kept in the log.
func (s *shard) noteProgress(l *leadership, key queue.ItemKey, item string, output queue.ItemOutput) {
	if s.leader == l && l.table.Entry(key) != nil && l.decided[key] == nil {
		l.saves.Add(key, item, output, time.Now())
	}
}

// proposeSaves proposes to keep what runs have produced.
func (s *shard) proposeSaves(now time.Time) {
	if due := s.leader.saves.Flush(s.leader.table, now); due != nil {
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Progress{Progress: due}})
	}
}

// ended takes what came of a run.
func (s *shard) ended(l *leadership, key queue.ItemKey, work *Work, outcome Outcome) {
	s.node.metrics.runs.WithLabelValues(outcome.Reason).Inc()
	if s.leader != l {
		return
	}
	delete(l.runs, key)
	clear(l.full)
	if l.table.Entry(key) == nil {
		return
	}
	if outcome.Done {
		l.table.Observe(l.table.Entry(key), outcome.Events, outcome.Took)
	}
	final := outcome.Done || outcome.Dead || outcome.Failed && work.Failures+1 >= outcome.Attempts
	if !final {
		s.noteProgress(l, key, work.Item.Id, outcome.Output)
		l.table.Requeue(key, outcome.Output, outcome.Failed, time.Now().Add(outcome.Wait))
		return
	}
	klog.InfoS("item decided", "job", key.Job, "item", work.Item.Id, "done", outcome.Done, "reason", outcome.Reason, "failures", work.Failures, "bytes", len(outcome.Output.Text))
	s.list(key, work.Item.Id, !outcome.Done, outcome.Output)
}

// list proposes an item's result. Until it is applied the item counts as
// running, so it is not started again; the whole is kept in case that what was
// on its way did not come there.
func (s *shard) list(key queue.ItemKey, item string, dead bool, output queue.ItemOutput) {
	l := s.leader
	whole := &wirev1.QueueResult{JobId: key.Job, Item: key.Number, ItemId: item, Dead: dead, Last: output.LastEventID, Text: output.Text}
	if dead {
		whole.Text, whole.Last = nil, 0
	}
	l.decided[key] = whole
	l.saves.Remove(key)
	if !l.suspended.IsZero() {
		return
	}
	result := whole
	if from, text := l.table.Unsaved(key, output); !dead && from > 0 {
		result = &wirev1.QueueResult{JobId: key.Job, Item: key.Number, ItemId: item, From: from, Last: output.LastEventID, Text: text}
	}
	s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{result}}}})
}

func (s *shard) giveUpExpired(now time.Time) {
	for _, entry := range s.leader.table.Expired(now.Add(-giveUpSlack)) {
		klog.InfoS("item given up", "job", entry.Key.Job, "item", entry.ID, "failures", entry.Failures)
		entry.ExpiresAt = now.Add(giveUpSlack) // proposed once in a while, until applied
		s.list(entry.Key, entry.ID, true, queue.ItemOutput{})
	}
}

func (s *shard) cancelRun(key queue.ItemKey) {
	if cancel := s.leader.runs[key]; cancel != nil {
		cancel()
		delete(s.leader.runs, key)
	}
}
