package queue

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Record returns a job's record, or nil if the job does not exist.
func Record(reader StateReader, job string) (*wirev1.QueueRecord, error) {
	record := &wirev1.QueueRecord{}
	found, err := load(reader, recordKey(job), record)
	if err != nil || !found {
		return nil, err
	}
	return record, nil
}

// Item returns an unfinished item. It returns nil if the item has a result, its job has
// ended, or there is no such item.
func Item(reader StateReader, job string, number uint32) (*wirev1.QueueItem, error) {
	item := &wirev1.QueueItem{}
	found, err := load(reader, rowKey(spaceItem, job, number), item)
	if err != nil || !found {
		return nil, err
	}
	return item, nil
}

// Results returns the results of a job in the order in which they were added, without the
// first since results. It returns up to maxBytes of stored results, but always the first
// one, whatever its size.
func Results(reader StateReader, job string, since uint32, maxBytes int) ([]*wirev1.QueueResult, error) {
	var results []*wirev1.QueueResult
	var decodeErr error
	size := 0
	_, to := rowRange(spaceResult, job)
	err := reader.Scan(rowKey(spaceResult, job, since), to, func(_, value []byte) bool {
		size += len(value)
		if len(results) > 0 && size > maxBytes {
			return false
		}
		result := &wirev1.QueueResult{}
		if decodeErr = proto.Unmarshal(value, result); decodeErr != nil {
			return false
		}
		results = append(results, result)
		return true
	})
	if err == nil {
		err = decodeErr
	}
	return results, trace.Wrap(err)
}

// Records visits the records of all jobs, in the order of their IDs.
func Records(reader StateReader, visit func(*wirev1.QueueRecord)) error {
	var decodeErr error
	err := reader.Scan([]byte{spaceRecord}, []byte{spaceRecord + 1}, func(_, value []byte) bool {
		record := &wirev1.QueueRecord{}
		if decodeErr = proto.Unmarshal(value, record); decodeErr != nil {
			return false
		}
		visit(record)
		return true
	})
	if err == nil {
		err = decodeErr
	}
	return trace.Wrap(err)
}
