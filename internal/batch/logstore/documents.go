package logstore

import (
	"encoding/binary"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// documentShard is a reserved shard number. It starts the keys of the documents that were
// copied from the platform's store.
const documentShard = ^uint32(0)

const (
	documentKind = 'd' // the value is the document's revision and its content
	revisionKind = 'r' // the value is the revision of the whole copy
	revisionSize = 8
)

func documentKey(kind byte, key string) []byte {
	return append(append(binary.BigEndian.AppendUint32(nil, documentShard), kind), key...)
}

// SaveDocuments updates the copy of the platform's store to a revision of the store. If
// replaceAll is set, the given documents replace the whole copy. Otherwise the copy keeps
// documents that are neither given nor deleted. The data is durable if there is no error.
func (d *DB) SaveDocuments(replaceAll bool, values []ports.Value, deleted []string, revision int64) error {
	release, err := d.acquire()
	if err != nil {
		return err
	}
	defer release()
	batch := d.pebble.NewBatch()
	defer closeIgnoringError(batch)
	if replaceAll {
		if err := batch.DeleteRange(documentKey(documentKind, ""), documentKey(documentKind+1, ""), nil); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, key := range deleted {
		if err := batch.Delete(documentKey(documentKind, key), nil); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, value := range values {
		record := append(binary.BigEndian.AppendUint64(nil, uint64(value.Revision)), value.Value...)
		if err := batch.Set(documentKey(documentKind, value.Key), record, nil); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := batch.Set(documentKey(revisionKind, ""), binary.BigEndian.AppendUint64(nil, uint64(revision)), nil); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(batch.Commit(pebble.Sync), "saving documents")
}

// LoadDocuments returns the saved documents and the revision of the platform's store
// that they belong to. The revision is negative if SaveDocuments was never called, or if
// the database is closed or cannot be read.
func (d *DB) LoadDocuments() ([]ports.Value, int64, error) {
	release, err := d.acquire()
	if err != nil {
		return nil, -1, err
	}
	defer release()
	storedRevision, err := (&ShardLog{db: d.pebble}).get(documentKey(revisionKind, ""))
	if err != nil || len(storedRevision) != revisionSize {
		return nil, -1, err
	}
	bounds := &pebble.IterOptions{LowerBound: documentKey(documentKind, ""), UpperBound: documentKey(documentKind+1, "")}
	iterator, err := d.pebble.NewIter(bounds)
	if err != nil {
		return nil, -1, trace.Wrap(err)
	}
	defer closeIgnoringError(iterator)
	prefix := len(documentKey(documentKind, ""))
	var values []ports.Value
	for valid := iterator.First(); valid; valid = iterator.Next() {
		stored := iterator.Value()
		if len(stored) < revisionSize {
			continue
		}
		values = append(values, ports.Value{
			Key: string(iterator.Key()[prefix:]), Revision: int64(binary.BigEndian.Uint64(stored)),
			Value: append([]byte{}, stored[revisionSize:]...),
		})
	}
	return values, int64(binary.BigEndian.Uint64(storedRevision)), trace.Wrap(iterator.Error())
}
