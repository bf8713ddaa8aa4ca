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

// What was kept of the platform's store comes back after a restart as it was
// last kept, and is no shard.
func TestDocumentsComeBack(t *testing.T) {
	folder := t.TempDir()
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		round++
		path := fmt.Sprint(folder, "/", round)
		want := map[string]string{}
		revision := int64(-1)
		for range rapid.IntRange(0, 6).Draw(t, "saves") {
			revision += rapid.Int64Range(1, 5).Draw(t, "revisions")
			whole := revision < 5 || rapid.Bool().Draw(t, "whole")
			if whole {
				want = map[string]string{}
			}
			var values []ports.Value
			var gone []string
			for _, key := range []string{"", "a", "a/b", "b"} {
				switch rapid.IntRange(0, 2).Draw(t, "change") {
				case 0:
					text := rapid.StringN(0, 5, 20).Draw(t, "value")
					values = append(values, ports.Value{Key: key, Value: []byte(text), Revision: revision})
					want[key] = text
				case 1:
					gone = append(gone, key)
					delete(want, key)
				}
			}
			db, err := Open(path, DiskLimits{})
			if err != nil {
				t.Fatal(err)
			}
			if err := db.SaveDocuments(whole, values, gone, revision); err != nil {
				t.Fatal(err)
			}
			if err := db.Close(); err != nil {
				t.Fatal(err)
			}
			if db.SaveDocuments(false, nil, nil, revision) == nil {
				t.Fatal("a closed database takes documents")
			}
		}
		db, err := Open(path, DiskLimits{})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = db.Close() }()
		values, at, err := db.LoadDocuments()
		got := map[string]string{}
		for _, value := range values {
			got[value.Key] = string(value.Value)
		}
		if err != nil || at != revision || !maps.Equal(got, want) {
			t.Fatalf("came back: %v at %d, %v; want %v at %d", got, at, err, want, revision)
		}
		if shards, err := db.Shards(); err != nil || len(shards) != 0 {
			t.Fatalf("shards: %v, %v", shards, err)
		}
	})
}

// Documents kept last are there after a loss of power.
func TestPowerLossKeepsDocuments(t *testing.T) {
	is := is.New(t)
	disk := vfs.NewCrashableMem()
	db, err := OpenOn(disk, "/data/node", DiskLimits{})
	is.NoErr(err)
	is.NoErr(db.SaveDocuments(true, []ports.Value{{Key: "k", Value: []byte("v"), Revision: 3}}, nil, 3))
	again, err := OpenOn(disk.CrashClone(vfs.CrashCloneCfg{}), "/data/node", DiskLimits{})
	is.NoErr(err)
	values, revision, err := again.LoadDocuments()
	is.NoErr(err)
	is.Equal(revision, int64(3))
	is.Equal(len(values), 1)
}

// A database that was closed, as by a node that stops while it starts, answers with
// errors and takes nothing: no goroutine that still reads ends the process.
func TestClosedDatabase(t *testing.T) {
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
