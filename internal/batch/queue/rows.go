package queue

import (
	"encoding/binary"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// StateReader reads the state.
type StateReader interface {
	// Get returns the value of a key, or nil if the key is absent.
	Get(key []byte) ([]byte, error)
	// Scan visits the rows whose keys are at least from and less than to, in the order
	// of the keys, until visit returns false.
	Scan(from, to []byte, visit func(key, value []byte) bool) error
}

// StateStore reads and writes the state.
type StateStore interface {
	StateReader
	Set(key, value []byte) error
	Delete(key []byte) error
	// DeleteRange deletes the keys that are at least from and less than to.
	DeleteRange(from, to []byte) error
}

// The first byte of a key names its key space.
const (
	spaceRecord = 'j'
	spaceItem   = 'i'
	spaceResult = 'r'
	// spaceProgress holds the saved output of unfinished items, in parts.
	spaceProgress = 'p'
)

func recordKey(job string) []byte { return append([]byte{spaceRecord}, job...) }

// rowKey returns the key of an item or a result of a job. The length of the job's ID
// precedes the ID, so that the rows of jobs never interleave.
func rowKey(space byte, job string, number uint32) []byte {
	key := binary.BigEndian.AppendUint16([]byte{space}, uint16(len(job)))
	key = append(key, job...)
	return binary.BigEndian.AppendUint32(key, number)
}

// rowRange returns the bounds of the keys of a job's rows in a key space. The last key of
// the range is less than to.
func rowRange(space byte, job string) (from, to []byte) {
	return rowKey(space, job, 0), append(rowKey(space, job, ^uint32(0)), 0)
}

func deleteRows(store StateStore, job string, spaces ...byte) error {
	for _, space := range spaces {
		from, to := rowRange(space, job)
		if err := store.DeleteRange(from, to); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func save(store StateStore, key []byte, message proto.Message) error {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(store.Set(key, value))
}

// load reads a row into message. It returns false if the key is absent.
func load[T proto.Message](reader StateReader, key []byte, message T) (bool, error) {
	value, err := reader.Get(key)
	if err != nil || value == nil {
		return false, trace.Wrap(err)
	}
	return true, trace.Wrap(proto.Unmarshal(value, message), "stored record is unreadable")
}
