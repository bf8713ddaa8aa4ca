// Package logstore keeps the replicated logs and states of a node's shards in
// one embedded pebble database under the data folder. All shards share its
// write-ahead log, so their fsyncs are grouped.
package logstore

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	databaseFolder = "db"
	identityFile   = "disk-id"
)

// DB is the database of one data folder.
type DB struct {
	folder  string
	diskID  string
	reserve int64
	pebble  *pebble.DB
}

// Open opens or creates the database of a data folder. A database that is
// damaged is moved aside and replaced by an empty one with a new identity: it
// may have forgotten promises, so it must not vote as the disk it was.
func Open(folder string, reserve int64) (*DB, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "data folder")
	}
	d := &DB{folder: folder, reserve: reserve}
	opened, err := openChecked(filepath.Join(folder, databaseFolder))
	if err != nil {
		klog.ErrorS(err, "database is damaged, moved aside; the disk gets a new identity", "folder", folder)
		if err := d.moveAside(); err != nil {
			return nil, err
		}
		if opened, err = openPebble(filepath.Join(folder, databaseFolder)); err != nil {
			return nil, trace.Wrap(err, "opening database in %s", folder)
		}
	}
	d.pebble = opened
	if d.diskID, err = d.identity(); err != nil {
		_ = opened.Close()
		return nil, err
	}
	return d, nil
}

// openChecked opens a database and checks every entry of every log.
func openChecked(path string) (*pebble.DB, error) {
	opened, err := openPebble(path)
	if err != nil {
		return nil, err
	}
	if err := (&DB{pebble: opened}).check(); err != nil {
		_ = opened.Close()
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

func openPebble(path string) (*pebble.DB, error) {
	options := &pebble.Options{
		Logger:       quietLogger{},
		MemTableSize: 16 << 20,
		// Values are small records and segments that are read once or twice.
		MaxOpenFiles: 256,
	}
	return pebble.Open(path, options)
}

// quietLogger drops pebble's routine messages; a fatal one ends the process,
// because a log that cannot be written must not acknowledge.
type quietLogger struct{}

// Infof implements pebble.Logger.
func (quietLogger) Infof(string, ...any) {}

// Errorf implements pebble.Logger.
func (quietLogger) Errorf(format string, args ...any) { klog.Errorf("storage: "+format, args...) }

// Fatalf implements pebble.Logger.
func (quietLogger) Fatalf(format string, args ...any) { klog.Fatalf("storage: "+format, args...) }

// identity returns the disk's identity, which lives beside the database and is
// replaced with it.
func (d *DB) identity() (string, error) {
	path := filepath.Join(d.folder, identityFile)
	text, err := os.ReadFile(path)
	if err == nil && len(strings.TrimSpace(string(text))) > 0 {
		return strings.TrimSpace(string(text)), nil
	}
	id := newDiskID()
	if err := writeSynced(path, []byte(id+"\n")); err != nil {
		return "", trace.Wrap(err, "writing disk identity")
	}
	return id, nil
}

// diskIDBytes of randomness name a disk; ids travel on every replica message.
const diskIDBytes = 8

func newDiskID() string {
	random := uuid.New()
	return fmt.Sprintf("disk-%x", random[:diskIDBytes])
}

func writeSynced(path string, text []byte) error {
	temporary := path + ".new"
	file, err := os.Create(temporary)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if _, err := file.Write(text); err != nil {
		_ = file.Close()
		return trace.ConvertSystemError(err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return trace.ConvertSystemError(err)
	}
	if err := file.Close(); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(temporary, path))
}

// moveAside keeps a damaged database for inspection and forgets its identity.
func (d *DB) moveAside() error {
	stamp := time.Now().UTC().Format("20060102-150405.000")
	from := filepath.Join(d.folder, databaseFolder)
	if err := os.Rename(from, filepath.Join(d.folder, "damaged-"+stamp)); err != nil && !os.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	if err := os.Remove(filepath.Join(d.folder, identityFile)); err != nil && !os.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	return nil
}

// DiskID returns the disk's identity.
func (d *DB) DiskID() string { return d.diskID }

// Close closes the database.
func (d *DB) Close() error { return trace.Wrap(d.pebble.Close()) }

// HasRoom reports whether more than the reserve is free under the data folder.
func (d *DB) HasRoom() bool {
	var stat unix.Statfs_t
	if err := unix.Statfs(d.folder, &stat); err != nil {
		return false
	}
	return int64(stat.Bavail)*stat.Bsize > d.reserve
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
