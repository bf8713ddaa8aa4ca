package shard

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

func decode(value []byte, into proto.Message) error {
	return trace.Wrap(proto.Unmarshal(value, into), "decoding a stored record")
}

// Jobs calls visit for each job in the order of job ids until visit returns false.
func Jobs(reader KeyReader, visit func(*wirev1.JobRecord) bool) error {
	prefix := []byte{prefixJob}
	var decodeErr error
	err := reader.Scan(prefix, prefixEnd(prefix), func(_, value []byte) bool {
		job := &wirev1.JobRecord{}
		if decodeErr = decode(value, job); decodeErr != nil {
			return false
		}
		return visit(job)
	})
	return trace.NewAggregate(err, decodeErr)
}

// TenantFiles lists up to limit sealed files of a tenant in the order of file ids,
// starting after afterID or, if afterID is empty, with the first file. limit must be positive.
func TenantFiles(reader KeyReader, tenant, afterID string, limit int) ([]*wirev1.FileRecord, error) {
	prefix := []byte{prefixFile}
	from := prefix
	if afterID != "" {
		from = prefixEnd(fileKey(afterID))
	}
	var files []*wirev1.FileRecord
	var decodeErr error
	err := reader.Scan(from, prefixEnd(prefix), func(_, value []byte) bool {
		record := &wirev1.FileRecord{}
		if decodeErr = decode(value, record); decodeErr != nil {
			return false
		}
		if record.Tenant == tenant && record.Sealed {
			files = append(files, record)
		}
		return len(files) < limit
	})
	return files, trace.NewAggregate(err, decodeErr)
}

// TenantJobs lists up to limit jobs of a tenant in the order of job ids, starting after
// afterID or, if afterID is empty, with the first job. limit must be positive.
func TenantJobs(reader KeyReader, tenant, afterID string, limit int) ([]*wirev1.JobRecord, error) {
	prefix := composeKey(prefixTenantJob, tenant)
	from := prefix
	if afterID != "" {
		from = prefixEnd(composeKey(prefixTenantJob, tenant, afterID))
	}
	var ids []string
	err := reader.Scan(from, prefixEnd(prefix), func(key, _ []byte) bool {
		ids = append(ids, string(key[len(prefix):len(key)-1]))
		return len(ids) < limit
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	jobs := make([]*wirev1.JobRecord, 0, len(ids))
	for _, id := range ids {
		job, err := Job(reader, id)
		if err != nil {
			return nil, err
		}
		if job != nil {
			jobs = append(jobs, job)
		}
	}
	return jobs, nil
}

// Outcomes returns the ended items of one segment: the failed items if failed is true, the
// successful items otherwise. Items that a cancelled or expired job did not complete count
// as failed, so that each item of an ended job has exactly one outcome.
func Outcomes(reader KeyReader, job *wirev1.JobRecord, segment uint32, failed bool) ([]*wirev1.ItemOutcome, error) {
	items, err := Segment(reader, job.Spec.InputFileId, segment)
	if err != nil {
		return nil, err
	}
	results, err := segmentResults(reader, job.Spec.JobId, segment)
	if err != nil {
		return nil, err
	}
	var outcomes []*wirev1.ItemOutcome
	for offset, item := range items {
		itemResult := results[uint32(offset)]
		if itemResult == nil {
			itemResult = resultOfUnfinishedItem(job, segment, uint32(offset))
		}
		if itemResult == nil || (itemResult.Code != 0) != failed {
			continue
		}
		outcomes = append(outcomes, &wirev1.ItemOutcome{CustomId: item.CustomId, Result: itemResult})
	}
	return outcomes, nil
}

func segmentResults(reader KeyReader, job string, segment uint32) (map[uint32]*wirev1.ItemResult, error) {
	results := map[uint32]*wirev1.ItemResult{}
	from := resultKey(job, segment, 0)
	prefix := from[:len(from)-4]
	var decodeErr error
	err := reader.Scan(prefix, prefixEnd(prefix), func(_, value []byte) bool {
		itemResult := &wirev1.ItemResult{}
		if decodeErr = decode(value, itemResult); decodeErr != nil {
			return false
		}
		results[itemResult.Item.Offset] = itemResult
		return true
	})
	return results, trace.NewAggregate(err, decodeErr)
}

// resultOfUnfinishedItem returns the error of an item that has no stored result, nil if
// the item may still get a result.
func resultOfUnfinishedItem(job *wirev1.JobRecord, segment, offset uint32) *wirev1.ItemResult {
	key := &wirev1.ItemKey{JobId: job.Spec.JobId, Segment: segment, Offset: offset}
	switch job.Status {
	case wirev1.JobStatus_JOB_STATUS_CANCELLED:
		return &wirev1.ItemResult{Item: key, Code: uint32(result.ItemCancelled), Message: "the job was cancelled before the item completed"}
	case wirev1.JobStatus_JOB_STATUS_EXPIRED:
		return &wirev1.ItemResult{Item: key, Code: uint32(result.ItemExpired), Message: "the job's window ended before the item completed"}
	default:
		return nil
	}
}
