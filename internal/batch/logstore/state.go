package logstore

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/pebble/v2"
	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// StateBatch reads and writes a shard's state while a batch of entries is applied. It
// implements shard.KeyStore, and its reads see its own writes. It is committed without an
// fsync: after a crash, the entries after the stored applied index are applied again.
type StateBatch struct {
	shard  *ShardLog
	batch  *pebble.Batch
	prefix []byte
}

// Begin starts a batch of applied entries. The caller must end it with Commit or Discard.
func (s *ShardLog) Begin() *StateBatch {
	return &StateBatch{shard: s, batch: s.db.NewIndexedBatch(), prefix: s.statePrefix(s.slot)}
}

// Commit writes the batch together with the index of the last applied entry, without an
// fsync.
func (s *StateBatch) Commit(applied uint64) error {
	defer closeIgnoringError(s.batch)
	record := append(binary.BigEndian.AppendUint64(nil, applied), s.shard.slot)
	if err := s.batch.Set(s.shard.metaKey(appliedRecordName), record, nil); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.batch.Commit(pebble.NoSync), "applying to shard %d", s.shard.id)
}

// Discard ends the batch without writing it.
func (s *StateBatch) Discard() { closeIgnoringError(s.batch) }

func (s *StateBatch) key(key []byte) []byte {
	return append(append(make([]byte, 0, len(s.prefix)+len(key)), s.prefix...), key...)
}

// Get implements shard.KeyReader.
func (s *StateBatch) Get(key []byte) ([]byte, error) { return getCopy(s.batch, s.key(key)) }

// Scan implements shard.KeyReader.
func (s *StateBatch) Scan(from, to []byte, visit func(key, value []byte) bool) error {
	return scan(s.batch, s.prefix, from, to, visit)
}

// Set implements shard.KeyStore.
func (s *StateBatch) Set(key, value []byte) error {
	return trace.Wrap(s.batch.Set(s.key(key), value, nil))
}

// Delete implements shard.KeyStore.
func (s *StateBatch) Delete(key []byte) error { return trace.Wrap(s.batch.Delete(s.key(key), nil)) }

// DeleteRange implements shard.KeyStore.
func (s *StateBatch) DeleteRange(from, to []byte) error {
	return trace.Wrap(s.batch.DeleteRange(s.key(from), s.key(to), nil))
}

// StateView reads a shard's committed state. It implements shard.KeyReader.
type StateView struct {
	reader pebble.Reader
	prefix []byte
	close  func()
}

// View returns a reader of the current state. Only the shard's goroutine may use it. It
// need not be closed.
func (s *ShardLog) View() *StateView {
	return &StateView{reader: s.db, prefix: s.statePrefix(s.slot), close: func() {}}
}

// Snapshot returns a reader of the state at the time of the call. Only the shard's goroutine
// may call Snapshot. Any goroutine may use the reader, which must be closed.
func (s *ShardLog) Snapshot() *StateView {
	snapshot := s.db.NewSnapshot()
	return &StateView{reader: snapshot, prefix: s.statePrefix(s.slot), close: func() { closeIgnoringError(snapshot) }}
}

// Close releases the view.
func (v *StateView) Close() { v.close() }

// Get implements shard.KeyReader.
func (v *StateView) Get(key []byte) ([]byte, error) {
	return getCopy(v.reader, append(append([]byte{}, v.prefix...), key...))
}

// Scan implements shard.KeyReader.
func (v *StateView) Scan(from, to []byte, visit func(key, value []byte) bool) error {
	return scan(v.reader, v.prefix, from, to, visit)
}

// getCopy returns a copy of a key's value, or nil if the key does not exist.
func getCopy(reader pebble.Reader, key []byte) ([]byte, error) {
	value, closer, err := reader.Get(key)
	if err == pebble.ErrNotFound {
		return nil, nil
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer closeIgnoringError(closer)
	return append([]byte{}, value...), nil
}

// scan passes the pairs of the state from one key up to, but without, another to visit until
// visit returns false. If to is nil, it continues to the end of the state. The slices are
// valid only during the call of visit.
func scan(reader pebble.Reader, prefix, from, to []byte, visit func(key, value []byte) bool) error {
	lower := append(append([]byte{}, prefix...), from...)
	upper := append(append([]byte{}, prefix...), to...)
	if to == nil {
		upper = nextPrefix(prefix)
	}
	iterator, err := reader.NewIter(&pebble.IterOptions{LowerBound: lower, UpperBound: upper})
	if err != nil {
		return trace.Wrap(err)
	}
	defer closeIgnoringError(iterator)
	for valid := iterator.First(); valid; valid = iterator.Next() {
		if !visit(iterator.Key()[len(prefix):], iterator.Value()) {
			return nil
		}
	}
	return trace.Wrap(iterator.Error())
}

// nextPrefix returns the end of the range of all keys with a prefix. The prefix must not end
// with the byte 255.
func nextPrefix(prefix []byte) []byte {
	next := append([]byte{}, prefix...)
	next[len(next)-1]++
	return next
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// chunkBytes is the size of keys and values at which a snapshot chunk is sent.
const chunkBytes = 512 << 10

// SendChunks passes the state to send as snapshot chunks. The index and epoch are those of
// the last applied entry. The last chunk is marked and may have no pairs.
func (v *StateView) SendChunks(index, epoch uint64, send func(*wirev1.SnapshotChunk) error) error {
	chunk := &wirev1.SnapshotChunk{LastIndex: index, LastEpoch: epoch}
	size := 0
	var sendErr error
	flush := func(last bool) bool {
		chunk.Last = last
		chunk.Checksum = chunkChecksum(chunk)
		sendErr = send(chunk)
		chunk = &wirev1.SnapshotChunk{LastIndex: index, LastEpoch: epoch}
		size = 0
		return sendErr == nil
	}
	err := v.Scan(nil, nil, func(key, value []byte) bool {
		chunk.Pairs = append(chunk.Pairs, &wirev1.KeyValue{Key: append([]byte{}, key...), Value: append([]byte{}, value...)})
		size += len(key) + len(value)
		return size < chunkBytes || flush(false)
	})
	if err != nil {
		return err
	}
	if sendErr != nil {
		return trace.Wrap(sendErr, "sending snapshot")
	}
	flush(true)
	return trace.Wrap(sendErr, "sending snapshot")
}

func chunkChecksum(chunk *wirev1.SnapshotChunk) uint32 {
	sum := uint32(0)
	for _, pair := range chunk.Pairs {
		sum = crc32.Update(sum, castagnoli, pair.Key)
		sum = crc32.Update(sum, castagnoli, pair.Value)
	}
	return sum
}

// Installer writes a received snapshot into the shard's unused slot. Activate then switches
// the slots, so that the old state is kept until the new one is complete.
type Installer struct {
	shard  *ShardLog
	slot   byte
	prefix []byte
}

// NewInstaller clears the unused slot and returns an installer that writes to it.
func (s *ShardLog) NewInstaller() (*Installer, error) {
	slot := s.slot ^ 1
	prefix := s.statePrefix(slot)
	if err := s.db.DeleteRange(prefix, nextPrefix(prefix), pebble.NoSync); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Installer{shard: s, slot: slot, prefix: prefix}, nil
}

// Add verifies the checksum of one chunk and writes its pairs, without an fsync.
func (i *Installer) Add(chunk *wirev1.SnapshotChunk) error {
	if chunk.Checksum != chunkChecksum(chunk) {
		return &CorruptError{Shard: i.shard.id, Index: chunk.LastIndex}
	}
	batch := i.shard.db.NewBatch()
	defer closeIgnoringError(batch)
	for _, pair := range chunk.Pairs {
		if err := batch.Set(append(append([]byte{}, i.prefix...), pair.Key...), pair.Value, nil); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(batch.Commit(pebble.NoSync))
}

// Activate durably switches to the new state, and deletes the log and the old state. The
// index and epoch of the snapshot's last entry become the base. The caller must have added
// all chunks.
func (i *Installer) Activate(hard replica.HardState, memberSet replica.MemberSet, index, epoch uint64) error {
	s := i.shard
	batch := s.db.NewBatch()
	defer closeIgnoringError(batch)
	if err := s.setMeta(batch, meta{hard, memberSet, index, epoch}); err != nil {
		return err
	}
	record := append(binary.BigEndian.AppendUint64(nil, index), i.slot)
	if err := batch.Set(s.metaKey(appliedRecordName), record, nil); err != nil {
		return trace.Wrap(err)
	}
	if err := batch.DeleteRange(s.logKey(0), shardPrefix(s.id, spaceLog+1), nil); err != nil {
		return trace.Wrap(err)
	}
	old := s.statePrefix(s.slot)
	if err := batch.DeleteRange(old, nextPrefix(old), nil); err != nil {
		return trace.Wrap(err)
	}
	if err := batch.Commit(pebble.Sync); err != nil {
		return trace.Wrap(err, "installing snapshot of shard %d", s.id)
	}
	s.slot = i.slot
	return nil
}
