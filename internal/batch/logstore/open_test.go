package logstore

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// openIntact opens a database that has entries 1 to 5 of shard 1, and checks that the disk kept
// its identity and its entries.
func openIntact(t interface {
	Fatalf(format string, args ...any)
}, fs vfs.FS, folder, identity string,
) *DB {
	reopened, err := OpenOn(fs, folder, DiskLimits{})
	if err != nil {
		t.Fatalf("opening: %v", err)
	}
	if reopened.DiskID() != identity {
		t.Fatalf("the disk %s has become %s", identity, reopened.DiskID())
	}
	loaded, err := reopened.Shard(1).Load()
	if err != nil || len(loaded.Epochs) != 5 {
		t.Fatalf("entries: %v, %v", loaded, err)
	}
	return reopened
}

// holderFolder names the environment variable that makes this test program a process that
// holds the database of a folder until its standard input ends.
const holderFolder = "COBALTRAMP_TEST_DATABASE_HOLDER"

func TestMain(m *testing.M) {
	if folder := os.Getenv(holderFolder); folder != "" {
		holdDatabase(folder)
		return
	}
	os.Exit(m.Run())
}

func holdDatabase(folder string) {
	db, err := Open(folder, DiskLimits{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(db.DiskID())
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// An intact disk is not given up because the node's earlier process has not ended yet: with
// another member's disk lost, the shard would have no quorum for good.
func TestDatabaseInUseByEarlierProcessIsNotReplaced(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	before := open(t, folder)
	persist(t, before.Shard(1), 1, 5)
	is.NoErr(before.Close())
	earlier := exec.Command(os.Args[0])
	earlier.Env = append(os.Environ(), holderFolder+"="+folder)
	input, err := earlier.StdinPipe()
	is.NoErr(err)
	output, err := earlier.StdoutPipe()
	is.NoErr(err)
	is.NoErr(earlier.Start())
	held, err := bufio.NewReader(output).ReadString('\n')
	is.NoErr(err)
	is.Equal(strings.TrimSpace(held), before.DiskID())
	time.AfterFunc(300*time.Millisecond, func() { _ = input.Close() })
	reopened := openIntact(t, vfs.Default, folder, before.DiskID())
	is.NoErr(earlier.Wait())
	is.NoErr(reopened.Close())
	movedAside, err := filepath.Glob(filepath.Join(folder, "damaged-*"))
	is.NoErr(err)
	is.Equal(len(movedAside), 0)
}

// refusingFS is a file system that refuses some accesses with an error of the operating system.
type refusingFS struct {
	vfs.FS
	// passed is the number of accesses that are let through, refused that of the following
	// ones that fail with err.
	passed, refused int
	err             syscall.Errno
}

func (f *refusingFS) access(name string) error {
	if f.passed > 0 {
		f.passed--
		return nil
	}
	if f.refused > 0 {
		f.refused--
		return &os.PathError{Op: "open", Path: name, Err: f.err}
	}
	return nil
}

func (f *refusingFS) Open(name string, options ...vfs.OpenOption) (vfs.File, error) {
	if err := f.access(name); err != nil {
		return nil, err
	}
	return f.FS.Open(name, options...)
}

func (f *refusingFS) List(name string) ([]string, error) {
	if err := f.access(name); err != nil {
		return nil, err
	}
	return f.FS.List(name)
}

func (f *refusingFS) Lock(name string) (io.Closer, error) {
	if err := f.access(name); err != nil {
		return nil, err
	}
	return f.FS.Lock(name)
}

// An intact disk is not given up because the operating system refuses some accesses to it, for
// instance for lack of descriptors, memory or space.
func TestRefusedAccessDoesNotReplaceDatabase(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := vfs.NewMem()
		before, err := OpenOn(memory, "/data", DiskLimits{})
		if err != nil {
			t.Fatalf("creating: %v", err)
		}
		ready := &replica.Ready{HardState: &replica.HardState{Promised: 7, Generation: 3}, Entries: entries(1, 5)}
		if err := before.Shard(1).Persist(ready, testMemberSet, 0, 0); err != nil {
			t.Fatalf("writing: %v", err)
		}
		if err := before.Close(); err != nil {
			t.Fatalf("closing: %v", err)
		}
		refusing := &refusingFS{
			FS: memory, passed: rapid.IntRange(0, 20).Draw(t, "passed"), refused: rapid.IntRange(1, 3).Draw(t, "refused"),
			err: rapid.SampledFrom([]syscall.Errno{syscall.EMFILE, syscall.ENOMEM, syscall.ENOSPC, syscall.EIO, syscall.EACCES, syscall.EAGAIN}).Draw(t, "error"),
		}
		reopened := openIntact(t, refusing, "/data", before.DiskID())
		if err := reopened.Close(); err != nil {
			t.Fatalf("closing: %v", err)
		}
	})
}

// A disk whose database is gone, while its identity is left, must not vote as the same member:
// it has forgotten its promises.
func TestIdentityWithoutDatabaseIsReplaced(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	before := open(t, folder)
	identity := before.DiskID()
	is.NoErr(before.Close())
	is.NoErr(os.RemoveAll(filepath.Join(folder, databaseFolder)))
	reopened := open(t, folder)
	is.True(reopened.DiskID() != identity)
	is.NoErr(reopened.Close())
}

// Guards against a node that ends at each start because its database is damaged, instead of giving
// the disk a new identity. A log that is shorter can't be told from one whose end was not synced.
func TestDamagedFilesDoNotKeepDiskClosed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		memory := vfs.NewMem()
		before, err := OpenOn(memory, "/data", DiskLimits{})
		if err != nil {
			t.Fatalf("creating: %v", err)
		}
		ready := &replica.Ready{HardState: &replica.HardState{Promised: 7, Generation: 3}, Entries: entries(1, 200)}
		if err := before.Shard(1).Persist(ready, testMemberSet, 0, 0); err != nil {
			t.Fatalf("writing: %v", err)
		}
		if rapid.Bool().Draw(t, "flushed") {
			_ = before.pebble.Flush()
		}
		if err := before.Close(); err != nil {
			t.Fatalf("closing: %v", err)
		}
		damageFile(t, memory, "/data/"+databaseFolder)
		reopened := &DB{fs: memory, folder: "/data"}
		if err := reopened.open(); err != nil {
			t.Fatalf("opening: %v", err)
		}
		if _, err := reopened.Shard(1).Load(); err != nil {
			t.Fatalf("loading: %v", err)
		}
		if err := reopened.Close(); err != nil {
			t.Fatalf("closing: %v", err)
		}
	})
}

// damageFile truncates, overwrites or removes one file of a folder.
func damageFile(t *rapid.T, fs vfs.FS, folder string) {
	names, err := fs.List(folder)
	if err != nil {
		t.Fatalf("listing: %v", err)
	}
	slices.Sort(names)
	path := folder + "/" + rapid.SampledFrom(names).Draw(t, "file")
	file, err := fs.Open(path)
	if err != nil {
		t.Fatalf("reading: %v", err)
	}
	content, err := io.ReadAll(file)
	if err != nil {
		t.Fatalf("reading: %v", err)
	}
	_ = file.Close()
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 0:
		_ = fs.Remove(path)
		return
	case 1:
		content = content[:rapid.IntRange(0, len(content)).Draw(t, "length")]
	case 2:
		for i := rapid.IntRange(0, len(content)).Draw(t, "zeroes from"); i < len(content); i++ {
			content[i] = 0
		}
	case 3:
		if len(content) > 0 {
			content[rapid.IntRange(0, len(content)-1).Draw(t, "byte")] ^= 0xff
		}
	}
	written, err := fs.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatalf("writing: %v", err)
	}
	_, _ = written.Write(content)
	_ = written.Close()
}
