package logstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

func open(t *testing.T, folder string) *DB {
	t.Helper()
	db, err := Open(folder, DiskLimits{})
	is.New(t).NoErr(err)
	return db
}

func entries(from, to uint64) []*wirev1.LogEntry {
	var list []*wirev1.LogEntry
	for index := from; index <= to; index++ {
		command := fmt.Appendf(nil, "command %d", index)
		list = append(list, &wirev1.LogEntry{Index: index, Epoch: 1, Command: command, Checksum: replica.Checksum(command)})
	}
	return list
}

var testMemberSet = replica.MemberSet{Generation: 3, Members: []string{"a", "b", "c"}}

func persist(t *testing.T, shard *ShardLog, from, to uint64) {
	t.Helper()
	ready := &replica.Ready{HardState: &replica.HardState{Promised: 7, Generation: 3}, Entries: entries(from, to)}
	is.New(t).NoErr(shard.Persist(ready, testMemberSet, 0, 0))
}

func TestRestartLoadsPersistedEntries(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	db := open(t, folder)
	id := db.DiskID()
	persist(t, db.Shard(5), 1, 10)
	is.NoErr(db.Close())

	db = open(t, folder)
	defer func() { is.NoErr(db.Close()) }()
	is.Equal(db.DiskID(), id) // the identity survives the restart
	shards, err := db.Shards()
	is.NoErr(err)
	is.Equal(shards, []uint32{5})
	loaded, err := db.Shard(5).Load()
	is.NoErr(err)
	is.Equal(len(loaded.Epochs), 10)
	is.Equal(loaded.HardState.Promised, uint64(7))
	is.Equal(loaded.MemberSet.Members, testMemberSet.Members)
}

func TestConflictingTailIsReplaced(t *testing.T) {
	is := is.New(t)
	db := open(t, t.TempDir())
	defer func() { is.NoErr(db.Close()) }()
	shard := db.Shard(1)
	persist(t, shard, 1, 10)
	is.NoErr(shard.Persist(&replica.Ready{TruncateFrom: 6, Entries: entries(6, 7)}, testMemberSet, 0, 0))
	// Entries 8 to 10 were deleted with the conflicting tail.
	loaded, err := shard.Load()
	is.NoErr(err)
	is.Equal(len(loaded.Epochs), 7)
	list, err := shard.Entries(1, 7, 1<<20)
	is.NoErr(err)
	is.Equal(len(list), 7)
}

func TestDamagedEntryIsReported(t *testing.T) {
	is := is.New(t)
	db := open(t, t.TempDir())
	defer func() { is.NoErr(db.Close()) }()
	shard := db.Shard(1)
	persist(t, shard, 1, 5)
	is.NoErr(db.pebble.Set(shard.logKey(3), []byte("\x08\x03\x10\x01\x1a\x05wrong"), pebble.Sync))
	_, err := shard.Load()
	var corrupt *CorruptError
	is.True(errors.As(err, &corrupt))
	is.Equal(corrupt.Index, uint64(3))
	_, err = shard.Entries(1, 5, 1<<20)
	is.True(errors.As(err, &corrupt))
}

// Checks that a database that cannot be opened is moved aside, and that the disk gets a
// new identity, because promises may be lost.
func TestDamagedDatabaseGetsNewIdentity(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	db := open(t, folder)
	id := db.DiskID()
	persist(t, db.Shard(1), 1, 5)
	is.NoErr(db.Close())
	manifests, err := filepath.Glob(filepath.Join(folder, databaseFolder, "MANIFEST-*"))
	is.NoErr(err)
	is.True(len(manifests) > 0)
	is.NoErr(os.WriteFile(manifests[0], []byte("damaged"), 0o644))

	db = open(t, folder)
	defer func() { is.NoErr(db.Close()) }()
	is.True(db.DiskID() != id)
	shards, err := db.Shards()
	is.NoErr(err)
	is.Equal(len(shards), 0)
	movedAside, err := filepath.Glob(filepath.Join(folder, "damaged-*"))
	is.NoErr(err)
	is.Equal(len(movedAside), 1) // the damaged database can be inspected
}

// Checks that a damaged entry found when the database is opened also gives the disk a new
// identity, so that the shard's other members replace the disk.
func TestDamagedEntryReplacesDiskIdentity(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	db := open(t, folder)
	id := db.DiskID()
	shard := db.Shard(2)
	persist(t, shard, 1, 5)
	is.NoErr(db.pebble.Set(shard.logKey(4), []byte("\x08\x04\x10\x01\x1a\x05wrong"), pebble.Sync))
	is.NoErr(db.Close())

	db = open(t, folder)
	defer func() { is.NoErr(db.Close()) }()
	is.True(db.DiskID() != id)
	shards, err := db.Shards()
	is.NoErr(err)
	is.Equal(len(shards), 0)
}

func TestSnapshotReplacesStateAtomically(t *testing.T) {
	is := is.New(t)
	source, target := open(t, t.TempDir()), open(t, t.TempDir())
	defer func() { is.NoErr(source.Close()); is.NoErr(target.Close()) }()
	from, to := source.Shard(1), target.Shard(1)
	state := from.Begin()
	for i := range 3000 {
		is.NoErr(state.Set(fmt.Appendf(nil, "key %05d", i), make([]byte, 500)))
	}
	is.NoErr(state.Commit(40))
	old := to.Begin()
	is.NoErr(old.Set([]byte("old"), []byte("value")))
	is.NoErr(old.Commit(3))

	view := from.Snapshot()
	defer view.Close()
	var chunks []*wirev1.SnapshotChunk
	is.NoErr(view.SendChunks(40, 9, func(chunk *wirev1.SnapshotChunk) error { chunks = append(chunks, chunk); return nil }))
	is.True(len(chunks) > 1)
	is.True(chunks[len(chunks)-1].Last)

	unfinished, err := to.NewInstaller()
	is.NoErr(err)
	is.NoErr(unfinished.Add(chunks[0]))
	value, err := to.View().Get([]byte("old"))
	is.NoErr(err)
	is.Equal(string(value), "value") // an unfinished snapshot does not change the state

	installer, err := to.NewInstaller()
	is.NoErr(err)
	for _, chunk := range chunks {
		is.NoErr(installer.Add(chunk))
	}
	is.NoErr(installer.Activate(replica.HardState{Promised: 9}, testMemberSet, 40, 9))
	loaded, err := target.Shard(1).Load()
	is.NoErr(err)
	is.Equal(loaded.Applied, uint64(40))
	is.Equal(loaded.BaseEpoch, uint64(9))
	count := 0
	is.NoErr(to.View().Scan(nil, nil, func(_, _ []byte) bool { count++; return true }))
	is.Equal(count, 3000)

	chunks[0].Pairs[0].Value[0] ^= 1
	damaged, err := to.NewInstaller()
	is.NoErr(err)
	is.True(damaged.Add(chunks[0]) != nil) // a damaged chunk is rejected
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte("\x08\x01"))
	f.Fuzz(func(t *testing.T, value []byte) {
		shard := &ShardLog{id: 1}
		entry, err := shard.decodeEntry(shard.logKey(1), value)
		if err == nil && entry.Checksum != replica.Checksum(entry.Command) {
			t.Fatal("a damaged entry was accepted")
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	db, err := Open(b.TempDir(), DiskLimits{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	shard := db.Shard(1)
	index := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		index++
		if err := shard.Persist(&replica.Ready{Entries: entries(index, index)}, testMemberSet, 0, 0); err != nil {
			b.Fatal(err)
		}
	}
}

// Checks that the disk's identity and the entries survive a power loss right after the
// first durable write, even if directory entries that were not synced are lost.
func TestPowerLossKeepsIdentityAndEntries(t *testing.T) {
	is := is.New(t)
	disk := vfs.NewCrashableMem()
	db, err := OpenOn(disk, "/data/node", DiskLimits{})
	is.NoErr(err)
	identity := db.DiskID()
	ready := &replica.Ready{
		HardState: &replica.HardState{Promised: 5, Generation: 1},
		Entries:   []*wirev1.LogEntry{{Index: 1, Epoch: 5, Command: []byte("taken"), Checksum: replica.Checksum([]byte("taken"))}},
	}
	is.NoErr(db.Shard(0).Persist(ready, replica.MemberSet{Generation: 1, Members: []string{identity}}, 0, 0))
	reopened, err := OpenOn(disk.CrashClone(vfs.CrashCloneCfg{}), "/data/node", DiskLimits{})
	is.NoErr(err)
	is.Equal(reopened.DiskID(), identity)
	loaded, err := reopened.Shard(0).Load()
	is.NoErr(err)
	is.Equal(len(loaded.Epochs), 1)
	is.Equal(loaded.HardState.Promised, uint64(5))
}
