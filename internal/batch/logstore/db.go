// Package logstore stores the replicated logs and states of a node's shards in one
// embedded pebble database in the data folder. The same database holds a copy of the
// documents of the platform's store. The package also stores the disk's identity, by which
// the member sets of package replica name a disk. All shards share the database's
// write-ahead log, so that one fsync can cover the writes of several shards. Storage nodes
// and plain nodes with a data folder use the package. Later versions must be able to read
// the stored data.
package logstore

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

const (
	databaseFolder = "db"
	identityFile   = "disk-id"
)

// DiskLimits limits the disk space that a database uses. A zero value means no limit.
type DiskLimits struct {
	// ReservedBytes is the space on the file system that must stay free. HasFreeSpace
	// checks it; writes are not limited.
	ReservedBytes int64
	// MaxBytes is the disk space that the database may use. New data is refused before
	// this size is reached, see FreeBytes.
	MaxBytes int64
}

// DB is the database of one data folder.
type DB struct {
	fs     vfs.FS
	folder string
	diskID string
	limits DiskLimits
	pebble *pebble.DB
	// closing is read-locked by operations that use the database, and locked by Close.
	closing sync.RWMutex
	closed  bool
}

const (
	maxMemTableBytes = 16 << 20
	minMemTableBytes = 1 << 20
	// memTableFraction is the size of a memory table as a share of MaxBytes. It is small
	// because the disk holds several write-ahead logs, each as large as a memory table.
	memTableFraction = 1.0 / 96
)

// memTableBytes returns the size at which a memory table is flushed to disk. The argument is
// DiskLimits.MaxBytes.
func memTableBytes(disk int64) uint64 {
	if disk <= 0 {
		return maxMemTableBytes
	}
	return uint64(min(max(memTableFraction*float64(disk), minMemTableBytes), maxMemTableBytes))
}

// errorLogger logs pebble's errors and drops its routine messages. A fatal message ends
// the process, because a node whose log cannot be written must not acknowledge entries. While
// the database is being checked, damaged data does not end the process: the check reports it.
type errorLogger struct{ checking atomic.Bool }

// Infof implements pebble.Logger.
func (*errorLogger) Infof(string, ...any) {}

// errorRetryDelay is the delay after an error of the database's background work. Pebble
// itself retries at once, which would be a busy loop on a full disk.
const errorRetryDelay = 200 * time.Millisecond

// Errorf implements pebble.Logger.
func (*errorLogger) Errorf(format string, args ...any) {
	klog.Errorf("storage: "+format, args...)
	time.Sleep(errorRetryDelay)
}

// Fatalf implements pebble.Logger.
func (*errorLogger) Fatalf(format string, args ...any) { klog.Fatalf("storage: "+format, args...) }

// dataCorruption handles damaged data that pebble has found.
func (l *errorLogger) dataCorruption(info pebble.DataCorruptionInfo) {
	if l.checking.Load() {
		klog.Errorf("storage: %s", info)
		return
	}
	l.Fatalf("%s", info)
}

// diskIDBytes is the number of random bytes in a disk identity. It is small because
// every replica message contains two identities.
const diskIDBytes = 8

func newDiskID() string {
	random := uuid.New()
	return fmt.Sprintf("disk-%x", random[:diskIDBytes])
}

// writeSynced replaces a file atomically: after a power loss the file has either its
// old or its new content. It syncs the content before the rename, and the data folder and
// its parents before it returns.
func (d *DB) writeSynced(path string, content []byte) error {
	temporary := path + ".new"
	file, err := d.fs.Create(temporary, vfs.WriteCategoryUnspecified)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := file.Write(content); err != nil {
		closeIgnoringError(file)
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		closeIgnoringError(file)
		return trace.ConvertSystemError(err)
	}
	if err := file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := d.fs.Rename(temporary, path); err != nil {
		return trace.ConvertSystemError(err)
	}
	return d.syncFolders()
}

// syncFolders syncs the data folder and its parents, so that their directory entries
// survive a power loss.
func (d *DB) syncFolders() error {
	for folder := d.folder; ; folder = filepath.Dir(folder) {
		if err := d.syncFolder(folder); err != nil && folder == d.folder {
			return err // errors of the parents are ignored: the process may lack access
		}
		if folder == filepath.Dir(folder) {
			return nil
		}
	}
}

func (d *DB) syncFolder(folder string) error {
	opened, err := d.fs.OpenDir(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer closeIgnoringError(opened)
	return trace.ConvertSystemError(opened.Sync())
}

// closeIgnoringError closes a resource whose close error has no consequence: a reader,
// a batch that was committed or dropped, or a file whose write has failed already.
func closeIgnoringError(closer io.Closer) { _ = closer.Close() }

// DiskID returns the disk's identity.
func (d *DB) DiskID() string { return d.diskID }

// Close waits for calls that have acquired the database and closes it.
func (d *DB) Close() error {
	d.closing.Lock()
	defer d.closing.Unlock()
	d.closed = true
	return trace.Wrap(d.pebble.Close())
}

// acquire keeps the database open until release is called, or returns an error if the
// database is closed. Methods that other goroutines may call while the node closes the
// database need it: pebble panics when a closed database is used.
func (d *DB) acquire() (release func(), err error) {
	d.closing.RLock()
	if d.closed {
		d.closing.RUnlock()
		return nil, trace.ConnectionProblem(nil, "the database is closed")
	}
	return d.closing.RUnlock, nil
}

// HasFreeSpace reports whether the data folder's file system has more free space than
// ReservedBytes. It reports false if the free space cannot be read.
func (d *DB) HasFreeSpace() bool {
	usage, err := d.fs.GetDiskUsage(d.folder)
	return err == nil && int64(usage.AvailBytes) > d.limits.ReservedBytes
}

// usableFraction is the share of MaxBytes up to which new data is accepted. The rest is
// for completing accepted work, and for compactions, which write new tables before they
// delete the old ones.
const usableFraction = 0.7

// WriteAmplification is the number of copies of accepted data that a disk stores until the
// log and older tables are deleted.
const WriteAmplification = 2

// Fits reports whether WriteAmplification copies of data of the given size take less than
// FreeBytes.
func (d *DB) Fits(bytes int) bool { return uint64(WriteAmplification*bytes) < d.FreeBytes() }

// FreeBytes returns how many bytes, copies included, can be written before the database
// uses usableFraction of MaxBytes. Without MaxBytes, it returns a very large number.
func (d *DB) FreeBytes() uint64 {
	if d.limits.MaxBytes <= 0 {
		return math.MaxUint64 >> 1
	}
	usable := uint64(usableFraction * float64(d.limits.MaxBytes))
	return usable - min(usable, d.Used())
}

// Used returns the disk space of the database in bytes. For a closed database it returns
// the largest value, so that a database with MaxBytes accepts no data.
func (d *DB) Used() uint64 {
	release, err := d.acquire()
	if err != nil {
		return math.MaxUint64
	}
	defer release()
	return d.pebble.Metrics().DiskSpaceUsage()
}

// Metrics returns pebble's metrics. The database must not be closed.
func (d *DB) Metrics() *pebble.Metrics { return d.pebble.Metrics() }

// Key spaces of a shard. A key starts with the shard's number and the byte of the space.
const (
	spaceMeta  = 0x01
	spaceLog   = 0x02
	spaceState = 0x03 // a byte with the slot follows, see ShardLog
)

func shardPrefix(shard uint32, space byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, shard), space)
}
