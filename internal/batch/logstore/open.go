package logstore

import (
	"errors"
	"io"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors/oserror"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

const (
	// openTimeout is how long Open retries while the operating system refuses access to
	// the database, for instance because an earlier process of the node has not ended yet.
	openTimeout = 15 * time.Second
	// openRetryInterval is the pause between two attempts, and openLogInterval the
	// shortest time between their log lines.
	openRetryInterval = 50 * time.Millisecond
	openLogInterval   = 2 * time.Second
)

// Open opens or creates the database of a data folder.
//
// If the database is damaged, Open moves it aside and creates an empty one. The disk then
// gets a new identity: the epochs that its replicas have promised are lost with the old
// database, so the disk must not vote as the same member.
//
// An error of the operating system is no evidence of damage, and an intact database is a
// copy that the other members count on. Open retries after such an error. If it persists for
// openTimeout, Open returns it and leaves the database as it is.
func Open(folder string, limits DiskLimits) (*DB, error) { return OpenOn(vfs.Default, folder, limits) }

// OpenOn is like Open, but uses the given file system.
func OpenOn(fs vfs.FS, folder string, limits DiskLimits) (*DB, error) {
	d := &DB{fs: fs, folder: folder, limits: limits}
	deadline := time.Now().Add(openTimeout)
	loggedAt := time.Time{}
	for {
		err := d.open()
		if err == nil {
			return d, nil
		}
		now := time.Now()
		if now.After(deadline) {
			return nil, err
		}
		if now.Sub(loggedAt) >= openLogInterval {
			loggedAt = now
			klog.ErrorS(err, "database cannot be accessed; trying again", "folder", folder, "until", deadline)
		}
		time.Sleep(openRetryInterval)
	}
}

// open opens or creates the database and reads or creates the disk's identity. It moves a
// damaged database aside. A disk that has an identity but no database counts as damaged.
func (d *DB) open() error {
	if err := d.fs.MkdirAll(d.folder, 0o755); err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "creating data folder")
	}
	identity, err := d.readText(filepath.Join(d.folder, identityFile))
	if err != nil {
		return trace.Wrap(err, "reading disk identity")
	}
	opened, err := d.openChecked(identity != "")
	if err != nil && !isDamage(err) {
		return trace.Wrap(err, "opening database in %s", d.folder)
	}
	if err != nil {
		klog.ErrorS(err, "database is damaged; moving it aside and giving the disk a new identity", "folder", d.folder, "disk", identity)
		identity = ""
		if err := d.moveAside(); err != nil {
			return err
		}
		if opened, err = d.openPebble(false, &errorLogger{}); err != nil {
			return trace.Wrap(err, "creating database in %s", d.folder)
		}
	}
	if identity, err = d.confirmIdentity(identity); err != nil {
		closeIgnoringError(opened)
		return err
	}
	d.pebble, d.diskID = opened, identity
	return nil
}

// confirmIdentity returns the identity of a database that is open, and thus locked. It creates
// one if there was none. The identity that was read before must still hold: until the lock
// was taken, another process may have moved the database aside.
func (d *DB) confirmIdentity(before string) (string, error) {
	identity, err := d.readText(filepath.Join(d.folder, identityFile))
	switch {
	case err != nil:
		return "", trace.Wrap(err, "reading disk identity")
	case identity != before:
		return "", trace.Wrap(errReplaced)
	case identity == "":
		return d.createIdentity()
	default:
		return identity, nil
	}
}

var (
	// errInUse reports that another process, or another part of this one, uses the database.
	errInUse = errors.New("the database is in use")
	// errReplaced reports that another process has replaced the database or the identity.
	errReplaced = errors.New("the disk's identity has changed")
)

// isDamage reports whether an error from opening or checking a database shows that its
// files are damaged or missing. Any other error of the operating system may go away.
func isDamage(err error) bool {
	var refused syscall.Errno
	if errors.As(err, &refused) {
		return refused == syscall.ENOENT
	}
	return !errors.Is(err, errInUse)
}

// openChecked opens a database, and loads every shard to verify every entry of its log.
func (d *DB) openChecked(mustExist bool) (*pebble.DB, error) {
	logger := &errorLogger{}
	logger.checking.Store(true)
	defer logger.checking.Store(false)
	opened, err := d.openPebble(mustExist, logger)
	if err != nil {
		return nil, err
	}
	if err := (&DB{pebble: opened}).check(); err != nil {
		closeIgnoringError(opened)
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

// openPebble opens the database, and creates it unless it must exist.
func (d *DB) openPebble(mustExist bool, logger *errorLogger) (*pebble.DB, error) {
	options := &pebble.Options{
		FS:               lockErrorFS{d.fs},
		Logger:           logger,
		EventListener:    &pebble.EventListener{DataCorruption: logger.dataCorruption},
		MemTableSize:     memTableBytes(d.limits.MaxBytes),
		MaxOpenFiles:     256,
		ErrorIfNotExists: mustExist,
	}
	if d.limits.MaxBytes > 0 {
		// Most data is deleted soon after it was written. Early compaction frees its
		// space on a small disk.
		options.L0CompactionThreshold = 2
		options.LBaseMaxBytes = int64(options.MemTableSize)
	}
	return pebble.Open(filepath.Join(d.folder, databaseFolder), options)
}

// lockErrorFS returns errInUse for a file that cannot be locked.
type lockErrorFS struct{ vfs.FS }

// Lock implements vfs.FS.
func (f lockErrorFS) Lock(name string) (io.Closer, error) {
	lock, err := f.FS.Lock(name)
	if err != nil {
		return nil, trace.Wrap(errInUse, "locking %s: %v", name, err)
	}
	return lock, nil
}

// moveAside removes the disk's identity, and renames the database folder, so that it can be
// inspected. The identity goes first: after a power loss in between, it must not name an
// empty database. A missing folder or identity is no error.
func (d *DB) moveAside() error {
	if err := d.fs.Remove(filepath.Join(d.folder, identityFile)); err != nil && !oserror.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	if err := d.syncFolder(d.folder); err != nil {
		return err
	}
	stamp := time.Now().UTC().Format("20060102-150405.000")
	from := filepath.Join(d.folder, databaseFolder)
	if err := d.fs.Rename(from, filepath.Join(d.folder, "damaged-"+stamp)); err != nil && !oserror.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	return nil
}

// createIdentity writes a new identity to the identity file, which lies beside the database.
func (d *DB) createIdentity() (string, error) {
	id := newDiskID()
	if err := d.writeSynced(filepath.Join(d.folder, identityFile), []byte(id+"\n")); err != nil {
		return "", trace.Wrap(err, "writing disk identity")
	}
	return id, nil
}

// readText returns the content of a small file without surrounding white space, or "" if
// there is no such file.
func (d *DB) readText(path string) (string, error) {
	file, err := d.fs.Open(path)
	if oserror.IsNotExist(err) {
		return "", nil
	}
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	defer closeIgnoringError(file)
	text, err := io.ReadAll(file)
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	return strings.TrimSpace(string(text)), nil
}
