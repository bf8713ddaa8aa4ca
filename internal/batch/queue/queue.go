// Package queue implements the state of batch jobs: a deterministic state machine over
// an ordered store, and the table from which a shard's leader schedules items on
// runners. A job consists of items, each of which is one request to a runner. The output of
// an item is a stream of events with consecutive IDs from 1 on. The package does no I/O of
// its own and reads no clock. Storage nodes run it.
//
// The package defines the layout of the stored rows (rows.go, progress.go), the commands
// that change them (queue.go), the order in which items are started (order.go, pace.go) and
// the ledger, which adds up the tokens of unfinished items over all shards (ledger.go).
// Package queuestore replicates the commands, opens the store and runs the leader.
//
// The state machine guarantees that a job is accepted once, that an item gets at most one
// result, that no result changes its position or content until its job is dropped, and that
// no result is added after the job's end.
package queue

import (
	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// ApplyResult describes the changes that a command made.
type ApplyResult struct {
	// Record is the record of the job that an accept or end command names. It is nil for
	// other commands, and if the job to be ended does not exist.
	Record *wirev1.QueueRecord
	// AlreadyAccepted reports that the job had been accepted by an earlier command.
	AlreadyAccepted bool
	// Finished lists the results that were added to their jobs, as the command contains
	// them: without the output that had been saved before.
	Finished []*wirev1.QueueResult
	// Saved lists the parts of output that were saved. Rejected lists the results and
	// parts that were not stored because they do not continue the saved output.
	Saved    []*wirev1.QueueResult
	Rejected []*wirev1.QueueResult
	// Ended reports that the command ended the job.
	Ended bool
	// EndedEarly is the record of the end of a job that does not exist yet; nil if the command
	// added none.
	EndedEarly *wirev1.QueueRecord
	// Dropped lists the IDs that a drop command names, including those of missing jobs.
	Dropped []string
}

// Apply applies the command at an index of the log. A command of an unknown kind changes
// nothing. Apply returns an error only if the store fails or a stored row is unreadable.
func Apply(store StateStore, index uint64, command *wirev1.QueueCommand) (*ApplyResult, error) {
	switch kind := command.Kind.(type) {
	case *wirev1.QueueCommand_Accept:
		return accept(store, index, kind.Accept)
	case *wirev1.QueueCommand_Finish:
		return finish(store, kind.Finish)
	case *wirev1.QueueCommand_Progress:
		return progress(store, kind.Progress)
	case *wirev1.QueueCommand_End:
		return end(store, kind.End, command.ProposedUnixMs)
	case *wirev1.QueueCommand_Drop:
		return drop(store, kind.Drop)
	case *wirev1.QueueCommand_Failure:
		return recordFailure(store, kind.Failure)
	default:
		return &ApplyResult{}, nil
	}
}

// accept stores a job and its items, unless the job was accepted before. A job whose end came
// before is accepted as ended: none of its items is stored.
func accept(store StateStore, index uint64, job *wirev1.QueueJob) (*ApplyResult, error) {
	existing, err := Record(store, job.Id)
	if err != nil {
		return nil, err
	}
	endedEarly := existing != nil && EndedEarly(existing)
	if existing != nil && !endedEarly {
		return &ApplyResult{Record: existing, AlreadyAccepted: true}, nil
	}
	record := &wirev1.QueueRecord{
		Id: job.Id, Host: job.Host, Path: job.Path, Route: job.Route, AcceptedUnixMs: job.AcceptedUnixMs,
		DueAfterMs: job.DueAfterMs, GiveUpMs: job.GiveUpMs, Index: index, Tenant: job.Tenant,
		CatalogVersion: job.CatalogVersion, Ended: endedEarly,
	}
	for number, item := range job.Items {
		record.Items = append(record.Items, &wirev1.QueueItemInfo{Id: item.Id, Tokens: item.Tokens, OutputTokens: item.OutputTokens})
		if endedEarly {
			continue
		}
		if err := save(store, rowKey(spaceItem, job.Id, uint32(number)), item); err != nil {
			return nil, err
		}
	}
	return &ApplyResult{Record: record}, save(store, recordKey(job.Id), record)
}

// EndedEarly reports whether a record is that of the end of a job that was not accepted yet.
func EndedEarly(record *wirev1.QueueRecord) bool { return record.Ended && len(record.Items) == 0 }

// recordFailure records the number of failed runs of an unfinished item, unless a higher one is
// known.
func recordFailure(store StateStore, failure *wirev1.QueueFailure) (*ApplyResult, error) {
	record, err := Record(store, failure.JobId)
	if err != nil || record == nil || record.Ended || int(failure.Item) >= len(record.Items) {
		return &ApplyResult{}, err
	}
	info := record.Items[failure.Item]
	if info.Position > 0 || info.Failures >= failure.Failures && info.Endings >= failure.Endings {
		return &ApplyResult{}, nil
	}
	info.Failures = max(info.Failures, failure.Failures)
	info.Endings = max(info.Endings, failure.Endings)
	return &ApplyResult{}, save(store, recordKey(record.Id), record)
}

// finish adds results to their jobs.
func finish(store StateStore, results *wirev1.QueueResults) (*ApplyResult, error) {
	applied := &ApplyResult{}
	for _, result := range results.Results {
		added, contiguous, err := addResult(store, result)
		if err != nil {
			return nil, err
		}
		if added {
			applied.Finished = append(applied.Finished, result)
		}
		if !contiguous {
			applied.Rejected = append(applied.Rejected, result)
		}
	}
	return applied, nil
}

// unfinishedRecord returns the record of a result's job if the item has no result yet. It
// returns nil if the item has a result, the job or the item does not exist, or the job has
// ended.
func unfinishedRecord(store StateStore, result *wirev1.QueueResult) (*wirev1.QueueRecord, error) {
	record, err := Record(store, result.JobId)
	if err != nil || record == nil || record.Ended || int(result.Item) >= len(record.Items) {
		return nil, err
	}
	if info := record.Items[result.Item]; info.Position > 0 || info.Id != result.ItemId {
		return nil, nil
	}
	return record, nil
}

// addResult adds a result at the job's next position, unless unfinishedRecord excludes the
// item or the result does not continue the saved output. Contiguous is false only in the
// last case.
func addResult(store StateStore, result *wirev1.QueueResult) (added, contiguous bool, err error) {
	record, err := unfinishedRecord(store, result)
	if err != nil || record == nil {
		return false, true, err
	}
	whole, contiguous, err := completeResult(store, result)
	if err != nil || !contiguous {
		return false, contiguous, err
	}
	if err := save(store, rowKey(spaceResult, record.Id, record.Results), whole); err != nil {
		return false, true, err
	}
	record.Results++
	record.Items[result.Item].Position = record.Results
	if err := store.Delete(rowKey(spaceItem, record.Id, result.Item)); err != nil {
		return false, true, trace.Wrap(err)
	}
	if err := deleteProgress(store, record.Id, result.Item); err != nil {
		return false, true, err
	}
	return true, true, save(store, recordKey(record.Id), record)
}

// completeResult prepends the item's saved output to a result. A result whose From is 0
// already has the whole output, and a dead result needs none. It returns false if the
// result does not continue the saved output.
func completeResult(store StateStore, result *wirev1.QueueResult) (*wirev1.QueueResult, bool, error) {
	whole := &wirev1.QueueResult{
		JobId: result.JobId, Item: result.Item, ItemId: result.ItemId, Dead: result.Dead, Last: result.Last, Text: result.Text,
	}
	if result.Dead || result.From == 0 {
		return whole, true, nil
	}
	saved, err := Progress(store, result.JobId, result.Item)
	if err != nil || saved.Last != result.From {
		return nil, false, err
	}
	whole.Text = saved.Text
	if result.Last > result.From {
		whole.Text = JoinTexts(saved.Text, result.Text)
	}
	return whole, true, nil
}

// JoinTexts joins two texts of consecutive events with a line feed. Each text must contain
// the data of at least one event, which may be empty.
func JoinTexts(before, after []byte) []byte {
	joined := make([]byte, 0, len(before)+len(after)+1)
	joined = append(joined, before...)
	joined = append(joined, '\n')
	return append(joined, after...)
}

// progress saves the parts of output that continue or replace the saved output of their
// items, as described at appendProgress.
func progress(store StateStore, results *wirev1.QueueResults) (*ApplyResult, error) {
	applied := &ApplyResult{}
	for _, result := range results.Results {
		record, err := unfinishedRecord(store, result)
		if err != nil {
			return nil, err
		}
		if record == nil {
			continue
		}
		contiguous, err := appendProgress(store, result)
		if err != nil {
			return nil, err
		}
		if contiguous {
			applied.Saved = append(applied.Saved, result)
		} else {
			applied.Rejected = append(applied.Rejected, result)
		}
	}
	return applied, nil
}

// end ends a job. Its results stay; its unfinished items and their output are deleted. The end of
// a job that does not exist is remembered from the time of the command on, if it has one: the
// job's submission may still be under way.
func end(store StateStore, job string, proposedUnixMs int64) (*ApplyResult, error) {
	record, err := Record(store, job)
	if err != nil {
		return nil, err
	}
	if record == nil && proposedUnixMs > 0 {
		early := &wirev1.QueueRecord{Id: job, Ended: true, AcceptedUnixMs: proposedUnixMs}
		return &ApplyResult{EndedEarly: early}, save(store, recordKey(job), early)
	}
	if record == nil || EndedEarly(record) {
		return &ApplyResult{}, nil
	}
	if record.Ended {
		return &ApplyResult{Record: record}, nil
	}
	record.Ended = true
	if err := deleteRows(store, job, spaceItem, spaceProgress); err != nil {
		return nil, err
	}
	return &ApplyResult{Record: record, Ended: true}, save(store, recordKey(job), record)
}

// drop deletes jobs with all of their rows.
func drop(store StateStore, command *wirev1.QueueDrop) (*ApplyResult, error) {
	for _, job := range command.JobIds {
		if err := deleteRows(store, job, spaceItem, spaceProgress, spaceResult); err != nil {
			return nil, err
		}
		if err := store.Delete(recordKey(job)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &ApplyResult{Dropped: command.JobIds}, nil
}
