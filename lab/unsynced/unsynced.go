// Package unsynced contains a file system of a disk that loses what was written and not synced when
// the process is killed. The kernel keeps such data after the end of a process, so that killing a
// process alone shows none of the effects of a loss of power.
//
// The data that is written to a file stays in the memory of the process until the file is synced.
// Changes of directories, which include new, renamed and removed files, take effect at once.
package unsynced

import (
	"errors"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"
)

// FS is a file system whose unsynced data is lost at the end of the process.
type FS struct {
	vfs.FS
	// SyncTime is the time that a sync takes. The data is not synced to a real disk.
	SyncTime time.Duration
}

// Create implements vfs.FS.
func (f FS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return f.wrap(f.FS.Create(name, category))
}

// ReuseForWrite implements vfs.FS.
func (f FS) ReuseForWrite(before, after string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return f.wrap(f.FS.ReuseForWrite(before, after, category))
}

// OpenReadWrite implements vfs.FS. It is not supported, because the database does not use it.
func (f FS) OpenReadWrite(name string, _ vfs.DiskWriteCategory, _ ...vfs.OpenOption) (vfs.File, error) {
	return nil, trace.NotImplemented("opening %s for reading and writing", name)
}

// OpenDir implements vfs.FS.
func (f FS) OpenDir(name string) (vfs.File, error) {
	folder, err := f.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &directory{File: folder, syncTime: f.SyncTime}, nil
}

// Unwrap implements vfs.FS.
func (f FS) Unwrap() vfs.FS { return f.FS }

func (f FS) wrap(opened vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &file{File: opened, syncTime: f.SyncTime}, nil
}

// directory is a directory whose syncs take syncTime.
type directory struct {
	vfs.File
	syncTime time.Duration
}

// Sync implements vfs.File.
func (d *directory) Sync() error {
	time.Sleep(d.syncTime)
	return nil
}

// file is a file that is written.
type file struct {
	vfs.File
	syncTime time.Duration
	// mutex guards unsynced, the data that was written since the last sync.
	mutex    sync.Mutex
	unsynced []byte
}

// Write implements vfs.File.
func (f *file) Write(data []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.unsynced = append(f.unsynced, data...)
	return len(data), nil
}

// WriteAt implements vfs.File. It is not supported, because the database only appends.
func (f *file) WriteAt([]byte, int64) (int, error) {
	return 0, trace.NotImplemented("writing to a file at an offset")
}

// Sync implements vfs.File. A process that is killed meanwhile may leave the first half of the data.
func (f *file) Sync() error {
	f.mutex.Lock()
	data := f.unsynced
	f.unsynced = nil
	f.mutex.Unlock()
	half := len(data) / 2
	for _, part := range [][]byte{data[:half], data[half:]} {
		time.Sleep(f.syncTime / 2)
		if _, err := f.File.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// SyncData implements vfs.File.
func (f *file) SyncData() error { return f.Sync() }

// SyncTo implements vfs.File. It is a request without a guarantee, which has no effect.
func (f *file) SyncTo(int64) (bool, error) { return false, nil }

// Preallocate implements vfs.File. It has no effect.
func (f *file) Preallocate(int64, int64) error { return nil }

// Fd implements vfs.File. Without a descriptor, the database syncs through Sync alone.
func (f *file) Fd() uintptr { return vfs.InvalidFd }

// Close implements vfs.File. It writes what was not synced, so that the process can read it.
func (f *file) Close() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	_, err := f.File.Write(f.unsynced)
	f.unsynced = nil
	return errors.Join(err, f.File.Close())
}
