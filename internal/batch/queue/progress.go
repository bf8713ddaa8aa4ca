package queue

import (
	"encoding/binary"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// The output of unfinished items is saved in parts, one row per part, so that saving a
// part writes only its own bytes. A part's key ends with the ID of its last event, which
// keeps the parts in order. Each part continues the previous part. A part that begins with
// the first event and ends after the saved output replaces all saved parts.

// progressKey returns the key of the part whose last event has the ID last.
func progressKey(job string, number uint32, last int64) []byte {
	return binary.BigEndian.AppendUint64(rowKey(spaceProgress, job, number), uint64(last))
}

// scanProgress visits the saved parts of an item in order.
func scanProgress(reader StateReader, job string, number uint32, visit func(key []byte, part *wirev1.QueueResult)) error {
	from := rowKey(spaceProgress, job, number)
	to := progressKey(job, number, -1) // above the ID of any event
	var decodeErr error
	err := reader.Scan(from, append(to, 0), func(key, value []byte) bool {
		part := &wirev1.QueueResult{}
		if decodeErr = proto.Unmarshal(value, part); decodeErr != nil {
			return false
		}
		visit(append([]byte{}, key...), part)
		return true
	})
	if err == nil {
		err = decodeErr
	}
	return trace.Wrap(err, "reading progress")
}

// Progress returns the saved output of an unfinished item. Only Text, Last, the ID of
// the last event, and SoftwareVersion are set. Last is 0 if nothing is saved, and
// SoftwareVersion is empty unless all parts have the same.
func Progress(reader StateReader, job string, number uint32) (*wirev1.QueueResult, error) {
	saved := &wirev1.QueueResult{}
	err := scanProgress(reader, job, number, func(_ []byte, part *wirev1.QueueResult) {
		if saved.Last == 0 {
			saved.SoftwareVersion = part.SoftwareVersion
		} else if saved.SoftwareVersion != part.SoftwareVersion {
			saved.SoftwareVersion = ""
		}
		if saved.Last > 0 {
			saved.Text = append(append(saved.Text, '\n'), part.Text...)
		} else {
			saved.Text = append(saved.Text, part.Text...)
		}
		saved.Last = part.Last
	})
	return saved, err
}

// appendProgress saves a part if it ends after the saved output and either continues the
// saved output or begins with the first event. In the latter case the part replaces the
// saved output. It returns false if the part was not saved.
func appendProgress(store StateStore, part *wirev1.QueueResult) (contiguous bool, err error) {
	last := int64(0)
	err = scanProgress(store, part.JobId, part.Item, func(_ []byte, saved *wirev1.QueueResult) { last = saved.Last })
	if err != nil || part.From > 0 && last != part.From || part.Last <= last {
		return false, err
	}
	if part.From == 0 && last > 0 {
		if err := deleteProgress(store, part.JobId, part.Item); err != nil {
			return false, err
		}
	}
	row := &wirev1.QueueResult{ItemId: part.ItemId, From: part.From, Last: part.Last, Text: part.Text, SoftwareVersion: part.SoftwareVersion}
	return true, save(store, progressKey(part.JobId, part.Item, part.Last), row)
}

// deleteProgress deletes the saved output of an item.
func deleteProgress(store StateStore, job string, number uint32) error {
	var keys [][]byte
	err := scanProgress(store, job, number, func(key []byte, _ *wirev1.QueueResult) { keys = append(keys, key) })
	if err != nil {
		return err
	}
	for _, key := range keys {
		if err := store.Delete(key); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
