package logstore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// CorruptError reports a log entry that is damaged, missing or cannot be decoded, or a
// snapshot chunk with a wrong checksum.
type CorruptError struct {
	Shard uint32
	// Index is the index of the entry. For a gap in the log, it is the entry after the gap
	// or the first requested entry. For a chunk, it is the snapshot's last index.
	Index uint64
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("shard %d: log entry or snapshot at index %d is damaged", e.Shard, e.Index)
}

// ShardLog is one shard's part of the database. The shard has two key ranges for its
// state, called slots: one contains the current state, the other is for installing a
// snapshot. Only one goroutine may use a ShardLog; any goroutine may read a snapshot that
// this goroutine has taken.
type ShardLog struct {
	db   *pebble.DB
	id   uint32
	slot byte // slot of the current state, 0 or 1
}

// meta is the durable metadata of a shard's replica, stored as one record.
type meta struct {
	Hard      replica.HardState `json:"hard"`
	Config    replica.MemberSet `json:"config"`
	BaseIndex uint64            `json:"base_index"`
	BaseEpoch uint64            `json:"base_epoch"`
}

// RecoveredState is a shard's state as loaded from disk at the start.
type RecoveredState struct {
	HardState replica.HardState
	MemberSet replica.MemberSet
	BaseIndex uint64
	BaseEpoch uint64
	// Epochs holds the epochs of the entries after the base.
	Epochs []uint64
	// Applied is the index of the last entry that the state contains, at least BaseIndex.
	Applied uint64
	// Exists is set if the disk has metadata of the shard.
	Exists bool
}

var (
	metaRecordName    = []byte("meta")
	appliedRecordName = []byte("applied") // the value is the applied index and the state's slot
)

// Shard returns the part of the database that belongs to a shard. Load must be called
// before the state of an existing shard is used, because it finds the slot of the state.
func (d *DB) Shard(id uint32) *ShardLog { return &ShardLog{db: d.pebble, id: id} }

// Shards lists the shards in the database in ascending order.
func (d *DB) Shards() ([]uint32, error) {
	iterator, err := d.pebble.NewIter(&pebble.IterOptions{UpperBound: shardPrefix(documentShard, 0)})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer closeIgnoringError(iterator)
	var ids []uint32
	for valid := iterator.First(); valid; {
		id := binary.BigEndian.Uint32(iterator.Key())
		ids = append(ids, id)
		valid = iterator.SeekGE(binary.BigEndian.AppendUint32(nil, id+1))
	}
	return ids, trace.Wrap(iterator.Error())
}

func (s *ShardLog) metaKey(record []byte) []byte {
	return append(shardPrefix(s.id, spaceMeta), record...)
}

func (s *ShardLog) logKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(shardPrefix(s.id, spaceLog), index)
}

func (s *ShardLog) statePrefix(slot byte) []byte { return append(shardPrefix(s.id, spaceState), slot) }

// Load reads the shard's metadata and verifies the checksum of every entry after the base.
// It returns a CorruptError for a damaged entry or a gap in the log.
func (s *ShardLog) Load() (*RecoveredState, error) {
	loaded := &RecoveredState{}
	var stored meta
	record, err := s.get(s.metaKey(metaRecordName))
	if err != nil {
		return nil, err
	}
	if record != nil {
		if err := json.Unmarshal(record, &stored); err != nil {
			return nil, trace.Wrap(err, "decoding shard %d", s.id)
		}
		loaded.Exists = true
	}
	loaded.HardState, loaded.MemberSet = stored.Hard, stored.Config
	loaded.BaseIndex, loaded.BaseEpoch = stored.BaseIndex, stored.BaseEpoch
	if loaded.Applied, s.slot, err = s.loadApplied(); err != nil {
		return nil, err
	}
	loaded.Applied = max(loaded.Applied, loaded.BaseIndex)
	err = s.scanLog(loaded.BaseIndex+1, func(entry *wirev1.LogEntry) error {
		if entry.Index != loaded.BaseIndex+uint64(len(loaded.Epochs))+1 {
			return &CorruptError{s.id, entry.Index}
		}
		loaded.Epochs = append(loaded.Epochs, entry.Epoch)
		return nil
	})
	return loaded, err
}

// loadApplied returns the applied index and the slot of the state, or zeros if there is no
// valid record.
func (s *ShardLog) loadApplied() (uint64, byte, error) {
	record, err := s.get(s.metaKey(appliedRecordName))
	if err != nil || len(record) != 9 {
		return 0, 0, err
	}
	return binary.BigEndian.Uint64(record), record[8], nil
}

// get returns a copy of the value of a full key, or nil if the key does not exist.
func (s *ShardLog) get(key []byte) ([]byte, error) {
	value, closer, err := s.db.Get(key)
	if err == pebble.ErrNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err, "reading shard %d", s.id)
	}
	defer closeIgnoringError(closer)
	return append([]byte{}, value...), nil
}

// scanLog passes the entries from an index on to visit, in order. It stops at the first
// error, also of visit, and returns it.
func (s *ShardLog) scanLog(from uint64, visit func(*wirev1.LogEntry) error) error {
	iterator, err := s.db.NewIter(&pebble.IterOptions{LowerBound: s.logKey(from), UpperBound: shardPrefix(s.id, spaceLog+1)})
	if err != nil {
		return trace.Wrap(err)
	}
	defer closeIgnoringError(iterator)
	for valid := iterator.First(); valid; valid = iterator.Next() {
		entry, err := s.decodeEntry(iterator.Key(), iterator.Value())
		if err != nil {
			return err
		}
		if err := visit(entry); err != nil {
			return err
		}
	}
	return trace.Wrap(iterator.Error())
}

func (s *ShardLog) decodeEntry(key, value []byte) (*wirev1.LogEntry, error) {
	index := binary.BigEndian.Uint64(key[len(key)-8:])
	entry := &wirev1.LogEntry{}
	if err := proto.Unmarshal(value, entry); err != nil {
		return nil, &CorruptError{s.id, index}
	}
	if entry.Index != index || entry.Checksum != replica.Checksum(entry.Command) {
		return nil, &CorruptError{s.id, index}
	}
	return entry, nil
}

// Entries implements replica.EntryReader. It returns fewer entries, and no error, if the
// log ends before hi.
func (s *ShardLog) Entries(lo, hi uint64, maxBytes int) ([]*wirev1.LogEntry, error) {
	var entries []*wirev1.LogEntry
	size := 0
	errLimitReached := trace.LimitExceeded("end of the requested entries")
	err := s.scanLog(lo, func(entry *wirev1.LogEntry) error {
		size += len(entry.Command)
		if entry.Index > hi || (len(entries) > 0 && size > maxBytes) {
			return errLimitReached
		}
		if entry.Index != lo+uint64(len(entries)) {
			return &CorruptError{s.id, lo}
		}
		entries = append(entries, entry)
		return nil
	})
	if err != nil && err != errLimitReached {
		return nil, err
	}
	return entries, nil
}

// Persist deletes the entries from ready.TruncateFrom on, writes the new entries and the
// hard state, and returns after the fsync. The member set and the base are written only
// together with a hard state.
func (s *ShardLog) Persist(ready *replica.Ready, memberSet replica.MemberSet, baseIndex, baseEpoch uint64) error {
	batch := s.db.NewBatch()
	defer closeIgnoringError(batch)
	if ready.HardState != nil {
		if err := s.setMeta(batch, meta{*ready.HardState, memberSet, baseIndex, baseEpoch}); err != nil {
			return err
		}
	}
	if ready.TruncateFrom > 0 {
		// Delete up to the end of the log: entries left there would reappear after a
		// restart.
		if err := batch.DeleteRange(s.logKey(ready.TruncateFrom), shardPrefix(s.id, spaceLog+1), nil); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, entry := range ready.Entries {
		value, err := proto.Marshal(entry)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := batch.Set(s.logKey(entry.Index), value, nil); err != nil {
			return trace.Wrap(err)
		}
	}
	if batch.Empty() {
		return nil
	}
	return trace.Wrap(batch.Commit(pebble.Sync), "writing shard %d", s.id)
}

func (s *ShardLog) setMeta(batch *pebble.Batch, record meta) error {
	encoded, err := json.Marshal(record)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(batch.Set(s.metaKey(metaRecordName), encoded, nil))
}

// TruncatePrefix deletes the entries up to and including an index, which becomes the base
// with the given epoch. The state must contain these entries. StateBatch.Commit does not
// sync the state; the fsync of TruncatePrefix makes it durable.
func (s *ShardLog) TruncatePrefix(hard replica.HardState, memberSet replica.MemberSet, index, epoch uint64) error {
	batch := s.db.NewBatch()
	defer closeIgnoringError(batch)
	if err := s.setMeta(batch, meta{hard, memberSet, index, epoch}); err != nil {
		return err
	}
	if err := batch.DeleteRange(s.logKey(0), s.logKey(index+1), nil); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(batch.Commit(pebble.Sync), "truncating shard %d", s.id)
}

// Drop removes the shard from the database, durably.
func (s *ShardLog) Drop() error {
	return trace.Wrap(s.db.DeleteRange(shardPrefix(s.id, 0), shardPrefix(s.id+1, 0), pebble.Sync))
}
