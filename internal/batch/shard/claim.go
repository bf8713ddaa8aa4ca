package shard

import (
	"bytes"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// applyClaim grants an idempotency key to the first request that claims the key, and to the
// same request again. Another request with the same fingerprint gets the record of the
// claim: the stored response, "in progress" or, if the claim expired in progress, "outcome
// unknown". A request with another fingerprint is rejected.
//
// Invariant: until retention deletes a claim, its key is granted to another request only
// after the claim was resolved as not run. Therefore at most one request with a key runs.
func applyClaim(store KeyStore, claim *wirev1.Claim) (*wirev1.CommandResult, error) {
	existing, err := IdempotencyClaim(store, claim.Tenant, claim.Key)
	if err != nil {
		return nil, err
	}
	if existing == nil || existing.State == wirev1.ClaimState_CLAIM_STATE_NOT_RUN {
		return grantClaim(store, claim)
	}
	if existing.Claim.RequestId == claim.RequestId {
		// The request sent its claim again because the first result was lost.
		return &wirev1.CommandResult{Claim: existing, Accepted: 1}, nil
	}
	if !bytes.Equal(existing.Claim.Fingerprint, claim.Fingerprint) {
		return rejection(result.KeyReused, "the idempotency key was used for another request"), nil
	}
	if existing.State == wirev1.ClaimState_CLAIM_STATE_IN_PROGRESS && claim.AtUnixMs > existing.Claim.ExpiresUnixMs {
		existing.State = wirev1.ClaimState_CLAIM_STATE_UNKNOWN
		if err := save(store, claimKey(claim.Tenant, claim.Key), existing); err != nil {
			return nil, err
		}
	}
	return &wirev1.CommandResult{Claim: existing}, nil
}

func grantClaim(store KeyStore, claim *wirev1.Claim) (*wirev1.CommandResult, error) {
	record := &wirev1.ClaimRecord{Claim: claim, State: wirev1.ClaimState_CLAIM_STATE_IN_PROGRESS}
	return &wirev1.CommandResult{Claim: record, Accepted: 1}, save(store, claimKey(claim.Tenant, claim.Key), record)
}

// applyResolveClaim records the outcome of the request that holds a claim. Other requests
// cannot resolve the claim, and a recorded response never changes. A response may still
// replace the outcome "unknown", which a claim gets when it expires.
func applyResolveClaim(store KeyStore, command *wirev1.ResolveClaim) (*wirev1.CommandResult, error) {
	existing, err := IdempotencyClaim(store, command.Tenant, command.Key)
	if err != nil {
		return nil, err
	}
	if existing == nil || existing.Claim.RequestId != command.RequestId {
		return rejection(result.StaleEpoch, "the key is not claimed by request "+command.RequestId), nil
	}
	if !mayResolve(existing.State, command.State) {
		return &wirev1.CommandResult{Claim: existing, Duplicates: 1}, nil
	}
	existing.State = command.State
	existing.HttpStatus, existing.Answer, existing.Code = command.HttpStatus, command.Answer, command.Code
	return &wirev1.CommandResult{Claim: existing, Accepted: 1}, save(store, claimKey(command.Tenant, command.Key), existing)
}

// mayResolve reports whether a claim may change from one state to another.
func mayResolve(from, to wirev1.ClaimState) bool {
	switch from {
	case wirev1.ClaimState_CLAIM_STATE_IN_PROGRESS:
		return true
	case wirev1.ClaimState_CLAIM_STATE_UNKNOWN:
		// A caller may have received "unknown"; a later "not run" would contradict it.
		return to == wirev1.ClaimState_CLAIM_STATE_ANSWERED
	default:
		return false
	}
}

// applyRetain deletes records whose retention has ended. One command deletes at most Limit
// jobs, Limit files and Limit claims, so that applying the command takes a bounded time.
func applyRetain(store KeyStore, command *wirev1.Retain) (*wirev1.CommandResult, error) {
	commandResult := &wirev1.CommandResult{}
	jobs, err := jobsPastRetention(store, command)
	if err != nil {
		return nil, err
	}
	for _, job := range jobs {
		if err := deleteJob(store, job); err != nil {
			return nil, err
		}
		commandResult.Accepted++
	}
	files, err := filesPastRetention(store, command)
	if err != nil {
		return nil, err
	}
	for _, id := range files {
		if err := deleteFile(store, id); err != nil {
			return nil, err
		}
		commandResult.Accepted++
	}
	deletedClaims, err := deleteClaims(store, command)
	commandResult.Accepted += deletedClaims
	return commandResult, err
}

// filesPastRetention lists files that no job uses and that were created before the time
// in the command. It includes incomplete uploads.
func filesPastRetention(reader KeyReader, command *wirev1.Retain) ([]string, error) {
	var ids []string
	prefix := []byte{prefixFile}
	var decodeErr error
	err := reader.Scan(prefix, prefixEnd(prefix), func(_, value []byte) bool {
		record := &wirev1.FileRecord{}
		if decodeErr = decode(value, record); decodeErr != nil {
			return false
		}
		if record.Jobs == 0 && record.CreatedUnixMs < command.FinishedBeforeUnixMs {
			ids = append(ids, record.FileId)
		}
		return len(ids) < int(command.Limit)
	})
	return ids, trace.NewAggregate(err, decodeErr)
}

// HasRecordsPastRetention reports whether a Retain command with the given time and a
// positive limit would delete a record.
func HasRecordsPastRetention(reader KeyReader, beforeUnixMs int64) (bool, error) {
	probe := &wirev1.Retain{FinishedBeforeUnixMs: beforeUnixMs, Limit: 1}
	jobs, err := jobsPastRetention(reader, probe)
	if err != nil || len(jobs) > 0 {
		return len(jobs) > 0, err
	}
	files, err := filesPastRetention(reader, probe)
	if err != nil || len(files) > 0 {
		return len(files) > 0, err
	}
	claims, err := claimsPastRetention(reader, probe)
	return len(claims) > 0, err
}

// jobsPastRetention lists jobs that ended before the time in the command.
func jobsPastRetention(reader KeyReader, command *wirev1.Retain) ([]*wirev1.JobRecord, error) {
	var ended []*wirev1.JobRecord
	err := Jobs(reader, func(job *wirev1.JobRecord) bool {
		if !acceptsCompletions(job.Status) && job.FinishedUnixMs < command.FinishedBeforeUnixMs {
			ended = append(ended, job)
		}
		return len(ended) < int(command.Limit)
	})
	return ended, err
}

// deleteJob deletes a job, its progress and its results, and the key under which a job sent
// again finds it. It deletes the job's input file too if no other job uses the file.
func deleteJob(store KeyStore, job *wirev1.JobRecord) error {
	id := job.Spec.JobId
	for _, prefix := range [][]byte{composeKey(prefixProgress, id), composeKey(prefixResult, id)} {
		if err := store.DeleteRange(prefix, prefixEnd(prefix)); err != nil {
			return trace.Wrap(err)
		}
	}
	file, err := File(store, job.Spec.InputFileId)
	if err != nil {
		return err
	}
	if file != nil {
		if err := releaseFile(store, file); err != nil {
			return err
		}
		if err := store.Delete(deduplicationKey(job.Spec, file)); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := store.Delete(composeKey(prefixTenantJob, job.Spec.Tenant, id)); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(store.Delete(jobKey(id)))
}

// releaseFile removes one job from the file's count of jobs and deletes the file if no
// other job uses the file.
func releaseFile(store KeyStore, file *wirev1.FileRecord) error {
	if file.Jobs > 1 {
		file.Jobs--
		return save(store, fileKey(file.FileId), file)
	}
	return deleteFile(store, file.FileId)
}

func deleteClaims(store KeyStore, command *wirev1.Retain) (uint32, error) {
	keys, err := claimsPastRetention(store, command)
	if err != nil {
		return 0, err
	}
	for _, key := range keys {
		if err := store.Delete(key); err != nil {
			return 0, trace.Wrap(err)
		}
	}
	return uint32(len(keys)), nil
}

// claimsPastRetention lists the keys of claims, in any state, that expired before the time
// in the command.
func claimsPastRetention(reader KeyReader, command *wirev1.Retain) ([][]byte, error) {
	var keys [][]byte
	prefix := []byte{prefixClaim}
	var decodeErr error
	err := reader.Scan(prefix, prefixEnd(prefix), func(key, value []byte) bool {
		record := &wirev1.ClaimRecord{}
		if decodeErr = decode(value, record); decodeErr != nil {
			return false
		}
		if record.Claim.ExpiresUnixMs < command.FinishedBeforeUnixMs {
			keys = append(keys, bytes.Clone(key))
		}
		return len(keys) < int(command.Limit)
	})
	return keys, trace.NewAggregate(err, decodeErr)
}
