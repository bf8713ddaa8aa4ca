package unsynced

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/batch/logstore"
)

// What was written and not synced is not in the file that remains when the process ends.
func TestUnsyncedDataIsLost(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "log")
	file, err := FS{FS: vfs.Default}.Create(path, vfs.WriteCategoryUnspecified)
	is.NoErr(err)
	_, err = file.Write([]byte("synced"))
	is.NoErr(err)
	is.NoErr(file.Sync())
	_, err = file.Write([]byte(" and lost"))
	is.NoErr(err)
	remaining, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(remaining), "synced")
}

// A database keeps its data and its identity on such a file system, also when it is opened again.
func TestDatabaseCanBeReopened(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	db, err := logstore.OpenOn(FS{FS: vfs.Default}, folder, logstore.DiskLimits{})
	is.NoErr(err)
	identity := db.DiskID()
	is.NoErr(db.Close())
	reopened, err := logstore.OpenOn(FS{FS: vfs.Default}, folder, logstore.DiskLimits{})
	is.NoErr(err)
	defer func() { _ = reopened.Close() }()
	is.Equal(reopened.DiskID(), identity)
}
