// Package queue is the state of batch jobs: a deterministic state machine over
// an ordered store, and the table by which the leader of a shard hands items
// to runners. It does no I/O of its own and reads no clock.
//
// Promises: a job is taken once; an item gets one result; a result's position
// and content never change; after a job's end nothing more is listed.
package queue

import (
	"encoding/binary"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Reader reads the state.
type Reader interface {
	// Get returns nil for a key that is absent.
	Get(key []byte) ([]byte, error)
	// Scan visits keys from (included) to (excluded) in order.
	Scan(from, to []byte, visit func(key, value []byte) bool) error
}

// Store reads and writes the state.
type Store interface {
	Reader
	Set(key, value []byte) error
	Delete(key []byte) error
	DeleteRange(from, to []byte) error
}

// Key spaces.
const (
	spaceRecord = 'j'
	spaceItem   = 'i'
	spaceResult = 'r'
)

func recordKey(job string) []byte { return append([]byte{spaceRecord}, job...) }

// numbered makes the key of an item or a result of a job. The job's length
// comes first, so that no job's rows lie within another's.
func numbered(space byte, job string, number uint32) []byte {
	key := binary.BigEndian.AppendUint16([]byte{space}, uint16(len(job)))
	key = append(key, job...)
	return binary.BigEndian.AppendUint32(key, number)
}

func rowsOf(space byte, job string) (from, to []byte) {
	return numbered(space, job, 0), append(numbered(space, job, ^uint32(0)), 0)
}

// Applied says what a command changed.
type Applied struct {
	// Record of the job an accept or end meant; nil if it is not known.
	Record *wirev1.QueueRecord
	// Known: the job was taken before.
	Known bool
	// Finished are the results that were listed.
	Finished []*wirev1.QueueResult
	// Ended: an end took effect now.
	Ended bool
	// Dropped are jobs that were removed.
	Dropped []string
}

// Apply applies one command of the log. The error is of the store only.
func Apply(store Store, index uint64, command *wirev1.QueueCommand) (*Applied, error) {
	switch kind := command.Kind.(type) {
	case *wirev1.QueueCommand_Accept:
		return accept(store, index, kind.Accept)
	case *wirev1.QueueCommand_Finish:
		return finish(store, kind.Finish)
	case *wirev1.QueueCommand_End:
		return end(store, kind.End)
	case *wirev1.QueueCommand_Drop:
		return drop(store, kind.Drop)
	default:
		return &Applied{}, nil
	}
}

func accept(store Store, index uint64, job *wirev1.QueueJob) (*Applied, error) {
	known, err := Record(store, job.Id)
	if err != nil || known != nil {
		return &Applied{Record: known, Known: known != nil}, err
	}
	record := &wirev1.QueueRecord{
		Id: job.Id, Host: job.Host, Path: job.Path, Route: job.Route, AcceptedUnixMs: job.AcceptedUnixMs,
		ResultTargetMs: job.ResultTargetMs, GiveUpMs: job.GiveUpMs, Index: index,
	}
	for number, item := range job.Items {
		record.Items = append(record.Items, &wirev1.QueueItemInfo{Id: item.Id, Tokens: item.Tokens, OutputTokens: item.OutputTokens})
		if err := save(store, numbered(spaceItem, job.Id, uint32(number)), item); err != nil {
			return nil, err
		}
	}
	return &Applied{Record: record}, save(store, recordKey(job.Id), record)
}

func finish(store Store, results *wirev1.QueueResults) (*Applied, error) {
	applied := &Applied{}
	for _, result := range results.Results {
		listed, err := list(store, result)
		if err != nil {
			return nil, err
		}
		if listed {
			applied.Finished = append(applied.Finished, result)
		}
	}
	return applied, nil
}

// list gives a result the next position, unless its item has one.
func list(store Store, result *wirev1.QueueResult) (bool, error) {
	record, err := Record(store, result.JobId)
	if err != nil || record == nil || record.Ended || int(result.Item) >= len(record.Items) {
		return false, err
	}
	info := record.Items[result.Item]
	if info.Position > 0 || info.Id != result.ItemId {
		return false, nil
	}
	if err := save(store, numbered(spaceResult, record.Id, record.Results), result); err != nil {
		return false, err
	}
	record.Results++
	info.Position = record.Results
	if err := store.Delete(numbered(spaceItem, record.Id, result.Item)); err != nil {
		return false, trace.Wrap(err)
	}
	return true, save(store, recordKey(record.Id), record)
}

func end(store Store, job string) (*Applied, error) {
	record, err := Record(store, job)
	if err != nil || record == nil || record.Ended {
		return &Applied{Record: record}, err
	}
	record.Ended = true
	from, to := rowsOf(spaceItem, job)
	if err := store.DeleteRange(from, to); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Applied{Record: record, Ended: true}, save(store, recordKey(job), record)
}

func drop(store Store, command *wirev1.QueueDrop) (*Applied, error) {
	for _, job := range command.JobIds {
		for _, space := range []byte{spaceItem, spaceResult} {
			from, to := rowsOf(space, job)
			if err := store.DeleteRange(from, to); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		if err := store.Delete(recordKey(job)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &Applied{Dropped: command.JobIds}, nil
}

func save(store Store, key []byte, message proto.Message) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(store.Set(key, value))
}

func load[T proto.Message](reader Reader, key []byte, message T) (bool, error) {
	value, err := reader.Get(key)
	if err != nil || value == nil {
		return false, trace.Wrap(err)
	}
	return true, trace.Wrap(proto.Unmarshal(value, message), "stored record is unreadable")
}

// Record returns a job's record, nil if the job is not known.
func Record(reader Reader, job string) (*wirev1.QueueRecord, error) {
	record := &wirev1.QueueRecord{}
	found, err := load(reader, recordKey(job), record)
	if err != nil || !found {
		return nil, err
	}
	return record, nil
}

// Item returns an item that has no result yet, nil if there is none.
func Item(reader Reader, job string, number uint32) (*wirev1.QueueItem, error) {
	item := &wirev1.QueueItem{}
	found, err := load(reader, numbered(spaceItem, job, number), item)
	if err != nil || !found {
		return nil, err
	}
	return item, nil
}

// Results returns results from a position on, as many as maxBytes hold; at
// least one where there is one.
func Results(reader Reader, job string, since uint32, maxBytes int) ([]*wirev1.QueueResult, error) {
	var results []*wirev1.QueueResult
	var failed error
	size := 0
	_, to := rowsOf(spaceResult, job)
	err := reader.Scan(numbered(spaceResult, job, since), to, func(_, value []byte) bool {
		size += len(value)
		if len(results) > 0 && size > maxBytes {
			return false
		}
		result := &wirev1.QueueResult{}
		if failed = proto.Unmarshal(value, result); failed != nil {
			return false
		}
		results = append(results, result)
		return true
	})
	if err == nil {
		err = failed
	}
	return results, trace.Wrap(err)
}

// Records visits every job.
func Records(reader Reader, visit func(*wirev1.QueueRecord)) error {
	var failed error
	err := reader.Scan([]byte{spaceRecord}, []byte{spaceRecord + 1}, func(_, value []byte) bool {
		record := &wirev1.QueueRecord{}
		if failed = proto.Unmarshal(value, record); failed != nil {
			return false
		}
		visit(record)
		return true
	})
	if err == nil {
		err = failed
	}
	return trace.Wrap(err)
}
