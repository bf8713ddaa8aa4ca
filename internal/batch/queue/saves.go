package queue

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// saveBatchDelay is how long the progress of runs is collected before it is appended to
// the log as one command, which costs one write and one message per replica for all runs
// of a shard. The runs of a node save at the same moments (see queuerun), at an interval
// several times as long.
const saveBatchDelay = 80 * time.Millisecond

// ProgressBatch collects the progress of a shard's runs. Only the leader's goroutine
// uses it.
type ProgressBatch struct {
	since time.Time
	byKey map[ItemKey]pendingOutput
}

type pendingOutput struct {
	item   string
	output ItemOutput
}

// Add adds the output of a run so far, unless the batch holds a longer output of the
// item.
func (s *ProgressBatch) Add(key ItemKey, item string, output ItemOutput, now time.Time) {
	if s.byKey == nil {
		s.byKey = map[ItemKey]pendingOutput{}
	}
	if len(s.byKey) == 0 {
		s.since = now
	}
	if known, found := s.byKey[key]; !found || output.LastEventID >= known.output.LastEventID {
		s.byKey[key] = pendingOutput{item, output}
	}
}

// Remove removes an item from the batch, because its result has been proposed.
func (s *ProgressBatch) Remove(key ItemKey) { delete(s.byKey, key) }

// Flush returns the unsaved parts of the collected outputs and clears the batch. It
// returns nil until saveBatchDelay has passed, or if all output is already saved.
func (s *ProgressBatch) Flush(table *ItemTable, now time.Time) *wirev1.QueueResults {
	if len(s.byKey) == 0 || now.Sub(s.since) < saveBatchDelay {
		return nil
	}
	due := &wirev1.QueueResults{}
	for key, saved := range s.byKey {
		if part := saved.unsaved(table, key); part != nil {
			due.Results = append(due.Results, part)
		}
	}
	clear(s.byKey)
	if len(due.Results) == 0 {
		return nil
	}
	return due
}

// unsaved returns the part of an output that is neither in the log nor proposed.
func (s *pendingOutput) unsaved(table *ItemTable, key ItemKey) *wirev1.QueueResult {
	if table.Entry(key) == nil {
		return nil
	}
	from, text := table.Unsaved(key, s.output)
	if from == s.output.LastEventID {
		return nil
	}
	return &wirev1.QueueResult{JobId: key.Job, Item: key.Number, ItemId: s.item, From: from, Last: s.output.LastEventID, Text: text}
}
