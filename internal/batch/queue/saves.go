package queue

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// saveBatchDelay is how long what runs have produced is collected before it goes
// into the log as one command: one write and one message to each member for all
// runs of a shard in place of one for each run. The runs of a node save at the
// same moments (internal/batch/queuerun), which lie several times as far apart.
const saveBatchDelay = 80 * time.Millisecond

// Saves batches what the runs of a shard have produced so far. It is used by the
// leader's goroutine.
type Saves struct {
	since time.Time
	byKey map[ItemKey]savedOutput
}

type savedOutput struct {
	item   string
	output ItemOutput
}

// Note takes what a run has produced, if it is not less than is known.
func (s *Saves) Note(key ItemKey, item string, output ItemOutput, now time.Time) {
	if s.byKey == nil {
		s.byKey = map[ItemKey]savedOutput{}
	}
	if len(s.byKey) == 0 {
		s.since = now
	}
	if known, found := s.byKey[key]; !found || output.LastEventID >= known.output.LastEventID {
		s.byKey[key] = savedOutput{item, output}
	}
}

// Drop forgets an item: its result is on its way.
func (s *Saves) Drop(key ItemKey) { delete(s.byKey, key) }

// Due returns what is to be kept in the log once it was collected for long
// enough; nil if there is nothing.
func (s *Saves) Due(table *ItemTable, now time.Time) *wirev1.QueueResults {
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

// unsaved returns the part that is neither in the log nor on its way there.
func (s *savedOutput) unsaved(table *ItemTable, key ItemKey) *wirev1.QueueResult {
	if table.Entry(key) == nil {
		return nil
	}
	from, text := table.Unsaved(key, s.output)
	if from == s.output.LastEventID {
		return nil
	}
	return &wirev1.QueueResult{JobId: key.Job, Item: key.Number, ItemId: s.item, From: from, Last: s.output.LastEventID, Text: text}
}
