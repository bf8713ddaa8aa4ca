package logstore

import (
	"fmt"
	"maps"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// Checks that a restart loads the documents as they were last saved, and that they are
// not listed as a shard.
func TestDocumentsSurviveRestart(t *testing.T) {
	folder := t.TempDir()
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		path := fmt.Sprint(folder, "/", round)
		want := map[string]string{}
		revision := int64(-1)
		for range rapid.IntRange(0, 6).Draw(t, "saves") {
			revision += rapid.Int64Range(1, 5).Draw(t, "revisions")
			replaceAll := revision < 5 || rapid.Bool().Draw(t, "replace all")
			if replaceAll {
				want = map[string]string{}
			}
			var values []ports.Value
			var deleted []string
			for _, key := range []string{"", "a", "a/b", "b"} {
				switch rapid.IntRange(0, 2).Draw(t, "change") {
				case 0:
					text := rapid.StringN(0, 5, 20).Draw(t, "value")
					values = append(values, ports.Value{Key: key, Value: []byte(text), Revision: revision})
					want[key] = text
				case 1:
					deleted = append(deleted, key)
					delete(want, key)
				}
			}
			db, err := Open(path, DiskLimits{})
			if err != nil {
				t.Fatal(err)
			}
			if err := db.SaveDocuments(replaceAll, values, deleted, revision); err != nil {
				t.Fatal(err)
			}
			if err := db.Close(); err != nil {
				t.Fatal(err)
			}
			if db.SaveDocuments(false, nil, nil, revision) == nil {
				t.Fatal("a closed database saves documents")
			}
		}
		db, err := Open(path, DiskLimits{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = db.Close() }()
		values, savedRevision, err := db.LoadDocuments()
		got := map[string]string{}
		for _, value := range values {
			got[value.Key] = string(value.Value)
		}
		if err != nil || savedRevision != revision || !maps.Equal(got, want) {
			t.Fatalf("loaded documents: %v at %d, %v; want %v at %d", got, savedRevision, err, want, revision)
		}
		if shards, err := db.Shards(); err != nil || len(shards) != 0 {
			t.Fatalf("shards: %v, %v", shards, err)
		}
	})
}

// Checks that saved documents survive a power loss.
func TestPowerLossKeepsDocuments(t *testing.T) {
	is := is.New(t)
	disk := vfs.NewCrashableMem()
	db, err := OpenOn(disk, "/data/node", DiskLimits{})
	is.NoErr(err)
	is.NoErr(db.SaveDocuments(true, []ports.Value{{Key: "k", Value: []byte("v"), Revision: 3}}, nil, 3))
	reopened, err := OpenOn(disk.CrashClone(vfs.CrashCloneCfg{}), "/data/node", DiskLimits{})
	is.NoErr(err)
	values, revision, err := reopened.LoadDocuments()
	is.NoErr(err)
	is.Equal(revision, int64(3))
	is.Equal(len(values), 1)
}

// Checks that calls on a closed database return errors instead of panicking, and that a
// closed database with MaxBytes accepts no data.
func TestClosedDatabaseReturnsErrors(t *testing.T) {
	is := is.New(t)
	db, err := Open(t.TempDir(), DiskLimits{MaxBytes: 100 << 20})
	is.NoErr(err)
	is.True(db.Fits(10))
	is.NoErr(db.Close())
	_, revision, err := db.LoadDocuments()
	is.True(err != nil)
	is.Equal(revision, int64(-1))
	is.True(db.SaveDocuments(false, nil, nil, 1) != nil)
	is.True(!db.Fits(10))
}
