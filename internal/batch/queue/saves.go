package queue

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// saveBatchDelay is how long the progress of a shard's runs is collected before it is
// proposed to the log as one command. The runs of a node save their output at the same
// moments (see queuerun), so one command usually contains the progress of all of them.
const saveBatchDelay = 80 * time.Millisecond

// ProgressBatch collects the progress of a shard's runs. Its zero value is an empty batch.
// Only the leader's goroutine uses it.
type ProgressBatch struct {
	since time.Time // time of the first addition to the batch
	byKey map[ItemKey]pendingOutput
}

type pendingOutput struct {
	item   string     // item ID
	output ItemOutput // whole output so far
}

// Add adds the whole output of an item so far, unless the batch contains a longer output
// of the item by the same software version.
func (s *ProgressBatch) Add(key ItemKey, item string, output ItemOutput, now time.Time) {
	if s.byKey == nil {
		s.byKey = map[ItemKey]pendingOutput{}
	}
	if len(s.byKey) == 0 {
		s.since = now
	}
	if collected, found := s.byKey[key]; !found || output.LastEventID >= collected.output.LastEventID || output.SoftwareVersion != collected.output.SoftwareVersion {
		s.byKey[key] = pendingOutput{item, output}
	}
}

// Remove removes an item from the batch. It is called when the item's result is proposed.
func (s *ProgressBatch) Remove(key ItemKey) { delete(s.byKey, key) }

// Flush returns the unsaved parts of the collected outputs, marks them as proposed in the
// table, and clears the batch. It returns nil and keeps the batch until saveBatchDelay has
// passed since the first addition. It also returns nil if there is nothing to save.
func (s *ProgressBatch) Flush(table *ItemTable, now time.Time) *wirev1.QueueResults {
	if len(s.byKey) == 0 || now.Sub(s.since) < saveBatchDelay {
		return nil
	}
	due := &wirev1.QueueResults{}
	for key, pending := range s.byKey {
		if part := pending.unsaved(table, key); part != nil {
			due.Results = append(due.Results, part)
		}
	}
	clear(s.byKey)
	if len(due.Results) == 0 {
		return nil
	}
	return due
}

// unsaved returns the part of an output that is neither in the log nor proposed, and marks
// the part as proposed. It returns nil if there is none, the item is finished, or the output
// may not be saved.
func (s *pendingOutput) unsaved(table *ItemTable, key ItemKey) *wirev1.QueueResult {
	if !table.MaySave(key, s.output) {
		return nil
	}
	from, text := table.Unsaved(key, s.output)
	if from == s.output.LastEventID {
		return nil
	}
	return &wirev1.QueueResult{
		JobId: key.Job, Item: key.Number, ItemId: s.item, From: from, Last: s.output.LastEventID, Text: text,
		SoftwareVersion: s.output.SoftwareVersion,
	}
}
