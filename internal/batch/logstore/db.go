// Package logstore keeps the replicated logs and states of a node's shards in
// one embedded pebble database under the data folder, and what was last known of the
// platform's store. It owns the folder and the disk's identity. All shards share its
// write-ahead log, so their fsyncs are grouped. Storage nodes and plain nodes with a
// data folder run it; what it has written has to stay readable.
package logstore

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors/oserror"
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

// DiskLimits bound what a database takes of its disk; zero values bound nothing.
type DiskLimits struct {
	// ReservedBytes is how many bytes of the file system stay free.
	ReservedBytes int64
	// MaxBytes is how many bytes the database may take.
	MaxBytes int64
}

// DB is the database of one data folder.
type DB struct {
	fs     vfs.FS
	folder string
	diskID string
	limits DiskLimits
	pebble *pebble.DB
	// closing is held by those who may write while the database is closed.
	closing sync.RWMutex
	closed  bool
}

// Open opens or creates the database of a data folder. A database that is
// damaged is moved aside and replaced by an empty one with a new identity: it
// may have forgotten promises, so it must not vote as the disk it was.
func Open(folder string, limits DiskLimits) (*DB, error) { return OpenOn(vfs.Default, folder, limits) }

// OpenOn is Open on a file system.
func OpenOn(fs vfs.FS, folder string, limits DiskLimits) (*DB, error) {
	if err := fs.MkdirAll(folder, 0o755); err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "data folder")
	}
	d := &DB{fs: fs, folder: folder, limits: limits}
	opened, err := d.openChecked(filepath.Join(folder, databaseFolder))
	if err != nil {
		klog.ErrorS(err, "database is damaged, moved aside; the disk gets a new identity", "folder", folder)
		if err := d.moveAside(); err != nil {
			return nil, err
		}
		if opened, err = d.openPebble(filepath.Join(folder, databaseFolder)); err != nil {
			return nil, trace.Wrap(err, "opening database in %s", folder)
		}
	}
	d.pebble = opened
	if d.diskID, err = d.identity(); err != nil {
		closeUnneeded(opened)
		return nil, err
	}
	return d, nil
}

// openChecked opens a database and checks every entry of every log.
func (d *DB) openChecked(path string) (*pebble.DB, error) {
	opened, err := d.openPebble(path)
	if err != nil {
		return nil, err
	}
	if err := (&DB{pebble: opened}).check(); err != nil {
		closeUnneeded(opened)
		return nil, err
	}
	return opened, nil
}

func (d *DB) check() error {
	shards, err := d.Shards()
	if err != nil {
		return err
	}
	for _, id := range shards {
		if _, err := d.Shard(id).Load(); err != nil {
			return err
		}
	}
	return nil
}

func (d *DB) openPebble(path string) (*pebble.DB, error) {
	options := &pebble.Options{
		FS:           d.fs,
		Logger:       quietLogger{},
		MemTableSize: memTableBytes(d.limits.MaxBytes),
		// Values are small records and segments that are read once or twice.
		MaxOpenFiles: 256,
	}
	if d.limits.MaxBytes > 0 {
		// Most of what is written is soon dropped: it is merged early, so that it
		// takes little of the disk.
		options.L0CompactionThreshold = 2
		options.LBaseMaxBytes = int64(options.MemTableSize)
	}
	return pebble.Open(path, options)
}

const (
	maxMemTable = 16 << 20
	minMemTable = 1 << 20
	// memTablePart of a small disk: what is in memory is in the write-ahead log
	// too, of which there are several.
	memTablePart = 1.0 / 96
)

// memTableBytes is how much is collected in memory before it becomes a table.
func memTableBytes(disk int64) uint64 {
	if disk <= 0 {
		return maxMemTable
	}
	return uint64(min(max(memTablePart*float64(disk), minMemTable), maxMemTable))
}

// quietLogger drops pebble's routine messages; a fatal one ends the process,
// because a log that cannot be written must not acknowledge.
type quietLogger struct{}

// Infof implements pebble.Logger.
func (quietLogger) Infof(string, ...any) {}

// errorPause is how long the database's background work pauses after an error: it
// tries again at once, which a full disk would make it do without end.
const errorPause = 200 * time.Millisecond

// Errorf implements pebble.Logger.
func (quietLogger) Errorf(format string, args ...any) {
	klog.Errorf("storage: "+format, args...)
	time.Sleep(errorPause)
}

// Fatalf implements pebble.Logger.
func (quietLogger) Fatalf(format string, args ...any) { klog.Fatalf("storage: "+format, args...) }

// identity returns the disk's identity, which lives beside the database and is
// replaced with it.
func (d *DB) identity() (string, error) {
	path := filepath.Join(d.folder, identityFile)
	if text := d.read(path); text != "" {
		return text, nil
	}
	id := newDiskID()
	if err := d.writeSynced(path, []byte(id+"\n")); err != nil {
		return "", trace.Wrap(err, "writing disk identity")
	}
	return id, nil
}

// read returns a small file's text without its end, "" if it can't be read.
func (d *DB) read(path string) string {
	file, err := d.fs.Open(path)
	if err != nil {
		return ""
	}
	defer closeUnneeded(file)
	text, err := io.ReadAll(file)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}

// diskIDBytes of randomness name a disk; ids travel on every replica message.
const diskIDBytes = 8

func newDiskID() string {
	random := uuid.New()
	return fmt.Sprintf("disk-%x", random[:diskIDBytes])
}

// writeSynced replaces a file so that a loss of power leaves the old or the
// new one: the text is synced before the name, and the name before return.
func (d *DB) writeSynced(path string, text []byte) error {
	temporary := path + ".new"
	file, err := d.fs.Create(temporary, vfs.WriteCategoryUnspecified)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := file.Write(text); err != nil {
		closeUnneeded(file)
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		closeUnneeded(file)
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

// syncFolders makes the names in the data folder, and its own, last.
func (d *DB) syncFolders() error {
	for folder := d.folder; ; folder = filepath.Dir(folder) {
		if err := d.syncFolder(folder); err != nil && folder == d.folder {
			return err // the folders above may be out of reach
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
	defer closeUnneeded(opened)
	return trace.ConvertSystemError(opened.Sync())
}

// closeUnneeded closes what was only read, a batch that is committed or dropped, or
// what another error has made useless: an error of the close itself can't matter.
func closeUnneeded(closer io.Closer) { _ = closer.Close() }

// moveAside keeps a damaged database for inspection and forgets its identity.
func (d *DB) moveAside() error {
	stamp := time.Now().UTC().Format("20060102-150405.000")
	from := filepath.Join(d.folder, databaseFolder)
	if err := d.fs.Rename(from, filepath.Join(d.folder, "damaged-"+stamp)); err != nil && !oserror.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	if err := d.fs.Remove(filepath.Join(d.folder, identityFile)); err != nil && !oserror.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	return nil
}

// DiskID returns the disk's identity.
func (d *DB) DiskID() string { return d.diskID }

// Close closes the database.
func (d *DB) Close() error {
	d.closing.Lock()
	defer d.closing.Unlock()
	d.closed = true
	return trace.Wrap(d.pebble.Close())
}

// use keeps the database open until it is released; the error says that it is closed.
// A node that stops, or whose start has failed, closes it while others still read.
func (d *DB) use() (release func(), err error) {
	d.closing.RLock()
	if d.closed {
		d.closing.RUnlock()
		return nil, trace.ConnectionProblem(nil, "the database is closed")
	}
	return d.closing.RUnlock, nil
}

// HasFreeSpace reports whether more than the reserve is free under the data folder.
func (d *DB) HasFreeSpace() bool {
	usage, err := d.fs.GetDiskUsage(d.folder)
	return err == nil && int64(usage.AvailBytes) > d.limits.ReservedBytes
}

// usablePart of the disk may be taken when something is accepted: what is accepted has
// to be finished, and tables are written anew before old ones go.
const usablePart = 0.7

// WriteAmplification is how many times what is accepted lies on a disk until the log
// and older tables are dropped.
const WriteAmplification = 2

// Fits reports whether something of that size may be accepted.
func (d *DB) Fits(bytes int) bool { return uint64(WriteAmplification*bytes) < d.FreeBytes() }

// FreeBytes returns how many bytes may be written before nothing is accepted any
// more.
func (d *DB) FreeBytes() uint64 {
	if d.limits.MaxBytes <= 0 {
		return math.MaxUint64 >> 1
	}
	full := uint64(usablePart * float64(d.limits.MaxBytes))
	return full - min(full, d.Used())
}

// Used returns how many bytes the database takes of the disk; all of them once it is
// closed, so that nothing is accepted.
func (d *DB) Used() uint64 {
	release, err := d.use()
	if err != nil {
		return math.MaxUint64
	}
	defer release()
	return d.pebble.Metrics().DiskSpaceUsage()
}

// Metrics returns pebble's metrics.
func (d *DB) Metrics() *pebble.Metrics { return d.pebble.Metrics() }

// Key spaces of a shard.
const (
	spaceMeta  = 0x01
	spaceLog   = 0x02
	spaceState = 0x03 // followed by the slot
)

func shardPrefix(shard uint32, space byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, shard), space)
}
