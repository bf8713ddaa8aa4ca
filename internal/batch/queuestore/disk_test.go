package queuestore

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// slowDisk is a file system whose syncs take an adjustable time and block while its gate is
// locked.
type slowDisk struct {
	vfs.FS
	delay atomic.Int64
	syncs atomic.Int64
	gate  sync.RWMutex
}

type slowFile struct {
	vfs.File
	disk *slowDisk
}

func (d *slowDisk) wait() {
	d.syncs.Add(1)
	time.Sleep(time.Duration(d.delay.Load()))
	d.gate.RLock()
	defer d.gate.RUnlock()
}

func (d *slowDisk) wrap(file vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &slowFile{file, d}, nil
}

// Create implements vfs.FS.
func (d *slowDisk) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.wrap(d.FS.Create(name, category))
}

// ReuseForWrite implements vfs.FS.
func (d *slowDisk) ReuseForWrite(before, after string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.wrap(d.FS.ReuseForWrite(before, after, category))
}

// Sync implements vfs.File.
func (f *slowFile) Sync() error {
	f.disk.wait()
	return f.File.Sync()
}

// SyncData implements vfs.File.
func (f *slowFile) SyncData() error {
	f.disk.wait()
	return f.File.SyncData()
}

// With a slow disk on the leader, jobs are still accepted, run and read, and one sync serves
// many submissions.
func TestJobsRunWithSlowLeaderDisk(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("first", 1)
	leader := c.nodes[c.leader()]
	leader.disk.delay.Store(int64(60 * time.Millisecond))
	before := leader.disk.syncs.Load()
	const jobs = 24
	var group sync.WaitGroup
	var failed atomic.Int64
	for i := range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 100 { // until it is accepted
				if c.trySubmit(fmt.Sprintf("job-%d", i), 1, 0) == nil {
					return
				}
			}
			failed.Add(1)
		}()
	}
	group.Wait()
	is.Equal(failed.Load(), int64(0))
	if c.leader() == leader.name {
		is.True(leader.disk.syncs.Load()-before < jobs) // one sync serves many
	}
	for i := range jobs {
		c.waitFinished(fmt.Sprintf("job-%d", i), 1)
	}
}

// While the leader's disk hangs, jobs are accepted once, run and read on the other members.
// When the disk recovers, its member catches up, and another disk may hang.
func TestJobsRunWhileDiskHangs(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.submit("first", 2)
	for round := range 2 {
		hanging := c.nodes[c.leader()]
		hanging.disk.gate.Lock()
		name := fmt.Sprintf("while-%d", round)
		c.submit(name, 3)
		c.waitFinished(name, 3)
		hanging.disk.gate.Unlock()
		c.eventually("the member has caught up", func() bool {
			leader := c.leader()
			return leader != "" && hanging.node.shard(reportingShard) != nil && hanging.applied() >= c.nodes[leader].applied()
		})
	}
	c.waitFinished("first", 2)
}

// applied returns the applied index of the node's replica of shard 0.
func (n *testNode) applied() uint64 {
	applied := uint64(0)
	_ = n.node.shard(reportingShard).RunInLoop(context.Background(), func() { applied = n.node.shard(reportingShard).AppliedIndex() })
	return applied
}

// A job that does not fit on the leader's disk is refused as not run and is not stored. Jobs
// accepted before complete.
func TestFullDiskRefusesJobs(t *testing.T) {
	is := is.New(t)
	c := newClusterWithLimits(t, logstore.DiskLimits{MaxBytes: 4 << 20}, "a", "b", "c")
	c.executor.setHold(true)
	c.submit("small", 1)
	var refusal error
	accepted := []string{}
	for i := range 40 {
		id := fmt.Sprintf("big-%d", i)
		c.eventually("decision on "+id, func() bool {
			refusal = c.trySubmitPadded(id, 1, 0, 256<<10)
			return refusal == nil || result.Is(refusal, result.StoreFull)
		})
		if refusal != nil {
			break
		}
		accepted = append(accepted, id)
	}
	is.True(result.Is(refusal, result.StoreFull))
	is.True(len(accepted) > 0)
	is.True(result.FromError(refusal).RetryAfter > 0)
	reply, err := c.read(fmt.Sprintf("big-%d", len(accepted)))
	is.NoErr(err)
	is.True(!reply.Found)
	c.executor.setHold(false)
	for _, id := range append(accepted, "small") {
		c.eventually(id+" is finished", func() bool {
			reply, err := c.read(id)
			return err == nil && len(reply.Results) == 1
		})
	}
}

// A job is also refused as not run if it does not fit on the disk of another member, whose
// replica would stop otherwise.
func TestFullMemberRefusesJobs(t *testing.T) {
	is := is.New(t)
	c := newClusterWithLimits(t, logstore.DiskLimits{MaxBytes: 4 << 20}, "a", "b", "c")
	c.executor.setHold(true)
	c.submit("small", 1)
	const size = 400 << 10
	full := ""
	for name, n := range c.nodes {
		if name == c.leader() {
			continue
		}
		filling := ports.Value{Key: "filling", Value: randomBytes(2500 << 10)}
		is.NoErr(n.db.SaveDocuments(false, []ports.Value{filling}, nil, 1))
		full = n.db.DiskID()
		break
	}
	c.eventually("the leader knows the free space of the full disk", func() bool {
		leader := c.nodes[c.leader()]
		return leader != nil && leader.node.shard(0).freeSpaceOf(full) < logstore.WriteAmplification*size
	})
	var err error
	c.eventually("the job is decided on", func() bool {
		err = c.trySubmitPadded("big", 1, 0, size)
		return err == nil || result.Is(err, result.StoreFull)
	})
	is.True(result.Is(err, result.StoreFull))
	reply, err := c.read("big")
	is.NoErr(err)
	is.True(!reply.Found)
	c.executor.setHold(false)
	c.waitFinished("small", 1)
}

// freeSpaceOf returns the free space that a member has reported.
func (s *shard) freeSpaceOf(member string) uint64 {
	room := uint64(math.MaxUint64)
	_ = s.RunInLoop(context.Background(), func() {
		if reported, known := s.memberFreeBytes[member]; known {
			room = reported
		}
	})
	return room
}

// randomBytes returns incompressible data.
func randomBytes(size int) []byte {
	bytes := make([]byte, size)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(bytes)
	return bytes
}
