package shard

import (
	"bytes"
	"encoding/hex"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// Apply applies one command. It returns an error only if the store cannot be read or
// written, which stops the replica. If the command is rejected, the result holds the code
// and the reason.
func Apply(store KeyStore, command *wirev1.Command) (*wirev1.CommandResult, error) {
	switch kind := command.Kind.(type) {
	case *wirev1.Command_CreateFile:
		return applyCreateFile(store, kind.CreateFile)
	case *wirev1.Command_AppendSegment:
		return applyAppendSegment(store, kind.AppendSegment)
	case *wirev1.Command_SealFile:
		return applySealFile(store, kind.SealFile)
	case *wirev1.Command_DeleteFile:
		return applyDeleteFile(store, kind.DeleteFile)
	case *wirev1.Command_CreateJob:
		return applyCreateJob(store, kind.CreateJob)
	case *wirev1.Command_CancelJob:
		return applyCancelJob(store, kind.CancelJob)
	case *wirev1.Command_FinishCancel:
		return endJob(store, kind.FinishCancel.JobId, wirev1.JobStatus_JOB_STATUS_CANCELLING, wirev1.JobStatus_JOB_STATUS_CANCELLED, kind.FinishCancel.AtUnixMs)
	case *wirev1.Command_ExpireJob:
		return endJob(store, kind.ExpireJob.JobId, wirev1.JobStatus_JOB_STATUS_IN_PROGRESS, wirev1.JobStatus_JOB_STATUS_EXPIRED, kind.ExpireJob.AtUnixMs)
	case *wirev1.Command_StartItems:
		return applyStartItems(store, kind.StartItems)
	case *wirev1.Command_CompleteItems:
		return applyCompleteItems(store, kind.CompleteItems)
	case *wirev1.Command_Claim:
		return applyClaim(store, kind.Claim)
	case *wirev1.Command_ResolveClaim:
		return applyResolveClaim(store, kind.ResolveClaim)
	case *wirev1.Command_Retain:
		return applyRetain(store, kind.Retain)
	default:
		return rejection(result.Internal, "command of unknown kind"), nil
	}
}

func rejection(code result.Code, message string) *wirev1.CommandResult {
	return &wirev1.CommandResult{Code: uint32(code), Message: message}
}

// applyCreateFile creates a file that is not sealed yet. It returns an existing file with
// the same id unchanged.
func applyCreateFile(store KeyStore, command *wirev1.CreateFile) (*wirev1.CommandResult, error) {
	existing, err := File(store, command.FileId)
	if err != nil || existing != nil {
		return &wirev1.CommandResult{File: existing}, err
	}
	record := &wirev1.FileRecord{
		FileId: command.FileId, Tenant: command.Tenant, Filename: command.Filename,
		Purpose: command.Purpose, CreatedUnixMs: command.CreatedUnixMs,
	}
	return &wirev1.CommandResult{File: record}, save(store, fileKey(command.FileId), record)
}

// applyAppendSegment stores a segment of a file that is not sealed. It replaces a stored
// segment with the same number.
func applyAppendSegment(store KeyStore, command *wirev1.AppendSegment) (*wirev1.CommandResult, error) {
	file, err := File(store, command.FileId)
	if err != nil {
		return nil, err
	}
	if file == nil || file.Deleted {
		return rejection(result.NotFound, "file "+command.FileId+" does not exist"), nil
	}
	if file.Sealed {
		return rejection(result.JobConflict, "file "+command.FileId+" is sealed"), nil
	}
	return &wirev1.CommandResult{}, save(store, segmentKey(command.FileId, command.Segment), command)
}

// applySealFile marks a file as complete if all its segments are stored; only then may jobs
// use the file. It returns a file that is already sealed unchanged.
func applySealFile(store KeyStore, command *wirev1.SealFile) (*wirev1.CommandResult, error) {
	file, err := File(store, command.FileId)
	if err != nil {
		return nil, err
	}
	if file == nil || file.Deleted {
		return rejection(result.NotFound, "file "+command.FileId+" does not exist"), nil
	}
	if file.Sealed {
		return &wirev1.CommandResult{File: file}, nil
	}
	for segment := range command.Segments {
		stored, err := store.Get(segmentKey(command.FileId, segment))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if stored == nil {
			return rejection(result.JobConflict, "file "+command.FileId+" lacks a segment"), nil
		}
	}
	file.Segments, file.Items, file.Bytes = command.Segments, command.Items, command.Bytes
	file.Digest, file.Endpoint, file.Sealed = command.Digest, command.Endpoint, true
	return &wirev1.CommandResult{File: file}, save(store, fileKey(file.FileId), file)
}

// applyDeleteFile deletes a file of the tenant unless the file is the input of a stored job.
func applyDeleteFile(store KeyStore, command *wirev1.DeleteFile) (*wirev1.CommandResult, error) {
	file, err := File(store, command.FileId)
	if err != nil {
		return nil, err
	}
	if file == nil || file.Tenant != command.Tenant || file.Deleted {
		return rejection(result.NotFound, "file "+command.FileId+" does not exist"), nil
	}
	if file.Jobs > 0 {
		return rejection(result.JobConflict, "file "+command.FileId+" is the input of a job that is kept"), nil
	}
	return &wirev1.CommandResult{File: file}, deleteFile(store, file.FileId)
}

func deleteFile(store KeyStore, id string) error {
	prefix := composeKey(prefixSegment, id)
	if err := store.DeleteRange(prefix, prefixEnd(prefix)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(store.Delete(fileKey(id)))
}

// applyCreateJob creates a job whose input is a sealed file of the tenant. It returns an
// existing job instead if the tenant has already created a job with the same idempotency
// key or, if the command has no key, a job without a key with the same content and endpoint.
// It rejects a key that was used with other content or another endpoint. If none of these
// cases applies and the job id exists, it returns the job with that id.
func applyCreateJob(store KeyStore, command *wirev1.CreateJob) (*wirev1.CommandResult, error) {
	file, err := File(store, command.InputFileId)
	if err != nil {
		return nil, err
	}
	if file == nil || file.Tenant != command.Tenant || file.Deleted || !file.Sealed {
		return rejection(result.NotFound, "file "+command.InputFileId+" does not exist"), nil
	}
	if file.Endpoint != command.Endpoint {
		return rejection(result.InvalidRequest, "the items of file "+command.InputFileId+" are not all for endpoint "+command.Endpoint), nil
	}
	dedupKey := deduplicationKey(command, file)
	if existing, err := findDuplicateJob(store, dedupKey); err != nil || existing != nil {
		return duplicateJobResult(existing, file, command), err
	}
	if existing, err := Job(store, command.JobId); err != nil || existing != nil {
		return &wirev1.CommandResult{Job: existing}, err
	}
	return createJob(store, command, file, dedupKey)
}

// deduplicationKey returns the key under which the store keeps the id of the job that a
// command creates, so that the job is found if the command is sent again.
func deduplicationKey(command *wirev1.CreateJob, file *wirev1.FileRecord) []byte {
	if command.IdempotencyKey != "" {
		return composeKey(prefixIdempotencyKey, command.Tenant, command.IdempotencyKey)
	}
	return composeKey(prefixDigest, command.Tenant, command.Endpoint+hex.EncodeToString(file.Digest))
}

func findDuplicateJob(store KeyStore, dedupKey []byte) (*wirev1.JobRecord, error) {
	id, err := store.Get(dedupKey)
	if err != nil || id == nil {
		return nil, trace.Wrap(err)
	}
	return Job(store, string(id))
}

// duplicateJobResult returns the result of a job sent again, nil if there is no existing
// job. It rejects an idempotency key that was used with other content or another endpoint.
func duplicateJobResult(existing *wirev1.JobRecord, file *wirev1.FileRecord, command *wirev1.CreateJob) *wirev1.CommandResult {
	if existing == nil {
		return nil
	}
	sameContent := existing.Spec.InputFileId == file.FileId || bytes.Equal(existing.InputDigest, file.Digest)
	if command.IdempotencyKey != "" && (!sameContent || existing.Spec.Endpoint != command.Endpoint) {
		return rejection(result.KeyReused, "the idempotency key made job "+existing.Spec.JobId+" of other content")
	}
	return &wirev1.CommandResult{Job: existing, Duplicates: 1}
}

// createJob stores a new job. A job without items is completed at once.
func createJob(store KeyStore, command *wirev1.CreateJob, file *wirev1.FileRecord, dedupKey []byte) (*wirev1.CommandResult, error) {
	record := &wirev1.JobRecord{
		Spec: command, Status: wirev1.JobStatus_JOB_STATUS_IN_PROGRESS,
		Segments: file.Segments, Total: file.Items, InputDigest: file.Digest,
	}
	if record.Total == 0 {
		record.Status = wirev1.JobStatus_JOB_STATUS_COMPLETED
		record.FinishedUnixMs = command.CreatedUnixMs
	}
	file.Jobs++
	if err := save(store, fileKey(file.FileId), file); err != nil {
		return nil, err
	}
	if err := store.Set(dedupKey, []byte(command.JobId)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := store.Set(composeKey(prefixTenantJob, command.Tenant, command.JobId), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	return &wirev1.CommandResult{Job: record}, save(store, jobKey(command.JobId), record)
}

// applyCancelJob starts to cancel a job that is in progress. It returns a job that is being
// cancelled or was cancelled unchanged, and rejects a job that ended otherwise.
func applyCancelJob(store KeyStore, command *wirev1.CancelJob) (*wirev1.CommandResult, error) {
	job, err := Job(store, command.JobId)
	if err != nil {
		return nil, err
	}
	if job == nil || job.Spec.Tenant != command.Tenant {
		return rejection(result.NotFound, "job "+command.JobId+" does not exist"), nil
	}
	switch job.Status {
	case wirev1.JobStatus_JOB_STATUS_IN_PROGRESS:
		job.Status = wirev1.JobStatus_JOB_STATUS_CANCELLING
		job.CancellingUnixMs = command.AtUnixMs
		return &wirev1.CommandResult{Job: job}, save(store, jobKey(command.JobId), job)
	case wirev1.JobStatus_JOB_STATUS_CANCELLING, wirev1.JobStatus_JOB_STATUS_CANCELLED:
		return &wirev1.CommandResult{Job: job}, nil
	default:
		return rejection(result.JobConflict, "job "+command.JobId+" has ended"), nil
	}
}

// endJob changes a job's status from one given status to a final status. It returns a job
// with any other status unchanged.
func endJob(store KeyStore, id string, from, to wirev1.JobStatus, atUnixMs int64) (*wirev1.CommandResult, error) {
	job, err := Job(store, id)
	if err != nil {
		return nil, err
	}
	if job == nil {
		return rejection(result.NotFound, "job "+id+" does not exist"), nil
	}
	if job.Status != from {
		return &wirev1.CommandResult{Job: job}, nil
	}
	job.Status = to
	job.FinishedUnixMs = atUnixMs
	return &wirev1.CommandResult{Job: job}, save(store, jobKey(id), job)
}

// applyStartItems marks items as started. Leaders propose it for items of work class once
// before they dispatch them; the class is not checked here. The result lists the items that
// this command marked; only these may be dispatched.
func applyStartItems(store KeyStore, command *wirev1.StartItems) (*wirev1.CommandResult, error) {
	commandResult := &wirev1.CommandResult{}
	for _, key := range command.Items {
		started, err := startItem(store, key)
		if err != nil {
			return nil, err
		}
		if started {
			commandResult.Started = append(commandResult.Started, key)
		}
	}
	return commandResult, nil
}

// startItem marks one item and returns true. It returns false if the job does not exist or
// is not in progress, or if the item is already started or done.
func startItem(store KeyStore, key *wirev1.ItemKey) (bool, error) {
	job, err := Job(store, key.JobId)
	if err != nil || job == nil || job.Status != wirev1.JobStatus_JOB_STATUS_IN_PROGRESS {
		return false, err
	}
	progress, err := Progress(store, key.JobId, key.Segment)
	if err != nil || IsDone(progress, key.Offset) || IsStarted(progress, key.Offset) {
		return false, err
	}
	progress.Started = setBit(progress.Started, key.Offset)
	return true, save(store, progressKey(key.JobId, key.Segment), progress)
}

// applyCompleteItems stores the first result of each item, whichever attempt it comes
// from. It discards all other results and counts them as duplicates: further results of the
// item, and results of a job or segment that does not exist or of a job that has ended.
func applyCompleteItems(store KeyStore, command *wirev1.CompleteItems) (*wirev1.CommandResult, error) {
	commandResult := &wirev1.CommandResult{}
	batch := &completionBatch{store: store, jobs: map[string]*wirev1.JobRecord{}, progress: map[string]*wirev1.SegmentProgress{}, atUnixMs: command.AtUnixMs}
	for _, item := range command.Results {
		accepted, err := batch.accept(item)
		if err != nil {
			return nil, err
		}
		if accepted {
			commandResult.Accepted++
		} else {
			commandResult.Duplicates++
		}
	}
	return commandResult, batch.flush()
}

// completionBatch caches the job and progress records that one command changes, so that
// each of these records is written once. Results are written directly.
type completionBatch struct {
	store         KeyStore
	jobs          map[string]*wirev1.JobRecord
	progress      map[string]*wirev1.SegmentProgress
	progressOrder [][]byte // keys of progress in order of first use
	jobOrder      []string
	atUnixMs      int64
}

func (c *completionBatch) job(id string) (*wirev1.JobRecord, error) {
	if existing, found := c.jobs[id]; found {
		return existing, nil
	}
	job, err := Job(c.store, id)
	if err != nil {
		return nil, err
	}
	c.jobs[id] = job
	c.jobOrder = append(c.jobOrder, id)
	return job, nil
}

func (c *completionBatch) segment(job string, segment uint32) (*wirev1.SegmentProgress, error) {
	key := progressKey(job, segment)
	if existing, found := c.progress[string(key)]; found {
		return existing, nil
	}
	progress, err := Progress(c.store, job, segment)
	if err != nil {
		return nil, err
	}
	c.progress[string(key)] = progress
	c.progressOrder = append(c.progressOrder, key)
	return progress, nil
}

// accept stores the result of an item and returns true, or returns false if the result is
// to be discarded. The last result of a job completes the job.
func (c *completionBatch) accept(item *wirev1.ItemResult) (bool, error) {
	job, err := c.job(item.Item.JobId)
	if err != nil || job == nil || !acceptsCompletions(job.Status) || item.Item.Segment >= job.Segments {
		return false, err
	}
	progress, err := c.segment(item.Item.JobId, item.Item.Segment)
	if err != nil || IsDone(progress, item.Item.Offset) {
		return false, err
	}
	progress.Done = setBit(progress.Done, item.Item.Offset)
	progress.DoneCount++
	if item.Code == 0 {
		job.Completed++
	} else {
		job.Failed++
	}
	if job.Completed+job.Failed >= job.Total {
		job.Status = wirev1.JobStatus_JOB_STATUS_COMPLETED
		job.FinishedUnixMs = c.atUnixMs
	}
	return true, save(c.store, resultKey(item.Item.JobId, item.Item.Segment, item.Item.Offset), item)
}

// acceptsCompletions reports whether results of a job with this status are stored. A job
// that is being cancelled still accepts results of items that are running.
func acceptsCompletions(status wirev1.JobStatus) bool {
	return status == wirev1.JobStatus_JOB_STATUS_IN_PROGRESS || status == wirev1.JobStatus_JOB_STATUS_CANCELLING
}

func (c *completionBatch) flush() error {
	for _, key := range c.progressOrder {
		if err := save(c.store, key, c.progress[string(key)]); err != nil {
			return err
		}
	}
	for _, id := range c.jobOrder {
		if job := c.jobs[id]; job != nil {
			if err := save(c.store, jobKey(id), job); err != nil {
				return err
			}
		}
	}
	return nil
}
