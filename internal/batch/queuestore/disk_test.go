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

// slowDisk is a file system whose syncs take an additional time and block while syncLock is
// locked.
type slowDisk struct {
	vfs.FS
	delay    atomic.Int64
	syncs    atomic.Int64
	syncLock sync.RWMutex
}

// slowFile is a file of a slowDisk.
type slowFile struct {
	vfs.File
	disk *slowDisk
}

// beforeSync counts a sync and delays it.
func (d *slowDisk) beforeSync() {
	d.syncs.Add(1)
	time.Sleep(time.Duration(d.delay.Load()))
	d.syncLock.RLock()
	defer d.syncLock.RUnlock()
}

// wrap returns a slowFile for a file that was opened without an error.
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
	f.disk.beforeSync()
	return f.File.Sync()
}

// SyncData implements vfs.File.
func (f *slowFile) SyncData() error {
	f.disk.beforeSync()
	return f.File.SyncData()
}

// With a slow disk on the leader, jobs are still accepted, run and read. If the leader does not
// change, several submissions share a sync of its disk.
func TestJobsRunWithSlowLeaderDisk(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a", "b", "c")
	c.submit("first", 1)
	leader := c.nodes[c.awaitLeader()]
	leader.disk.delay.Store(int64(60 * time.Millisecond))
	syncsBefore := leader.disk.syncs.Load()
	const jobs = 24
	var group sync.WaitGroup
	var failed atomic.Int64
	for i := range jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 100 { // until the job is accepted
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
		is.True(leader.disk.syncs.Load()-syncsBefore < jobs) // fewer syncs than submissions
	}
	for i := range jobs {
		c.waitFinished(fmt.Sprintf("job-%d", i), 1)
	}
}

// While the leader's disk hangs, the other members accept and run jobs and return their results.
// After the disk recovers, its replica catches up. The disk of the next leader then hangs.
func TestJobsRunWhileDiskHangs(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.submit("first", 2)
	for round := range 2 {
		hanging := c.nodes[c.awaitLeader()]
		hanging.disk.syncLock.Lock()
		name := fmt.Sprintf("while-%d", round)
		c.submit(name, 3)
		c.waitFinished(name, 3)
		hanging.disk.syncLock.Unlock()
		c.eventually("the member has caught up", func() bool {
			leader := c.leader()
			return leader != "" && hanging.node.shard(retirementShard) != nil && hanging.applied() >= c.nodes[leader].applied()
		})
	}
	c.waitFinished("first", 2)
}

// applied returns the applied index of the node's replica of shard 0.
func (n *testNode) applied() uint64 {
	applied := uint64(0)
	_ = n.node.shard(retirementShard).RunInLoop(context.Background(), func() { applied = n.node.shard(retirementShard).AppliedIndex() })
	return applied
}

// A job that does not fit on the leader's disk is refused with StoreFull and is not stored. Jobs
// that were accepted earlier still finish.
func TestLeaderRefusesJobsThatDoNotFitOnItsDisk(t *testing.T) {
	is := is.New(t)
	c := newClusterWithLimits(t, logstore.DiskLimits{MaxBytes: 4 << 20}, "a", "b", "c")
	c.executor.setFull(true)
	c.submit("small", 1)
	var refusal error
	accepted := []string{}
	for i := range 40 {
		id := fmt.Sprintf("big-%d", i)
		c.eventually("acceptance or refusal of "+id, func() bool {
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
	c.executor.setFull(false)
	for _, id := range append(accepted, "small") {
		c.eventually(id+" is finished", func() bool {
			reply, err := c.read(id)
			return err == nil && len(reply.Results) == 1
		})
	}
}

// The leader refuses a job with StoreFull and does not store it if the job does not fit on the
// disk of a follower, whose replica would stop when its disk is full.
func TestLeaderRefusesJobsThatDoNotFitOnFollower(t *testing.T) {
	is := is.New(t)
	c := newClusterWithLimits(t, logstore.DiskLimits{MaxBytes: 4 << 20}, "a", "b", "c")
	c.executor.setFull(true)
	c.submit("small", 1)
	const size = 400 << 10
	fullDisk := ""
	for name, n := range c.nodes {
		if name == c.leader() {
			continue
		}
		filling := ports.Value{Key: "filling", Value: randomBytes(2500 << 10)}
		is.NoErr(n.db.SaveDocuments(false, []ports.Value{filling}, nil, 1))
		fullDisk = n.db.DiskID()
		break
	}
	c.eventually("the leader knows the free space of the full disk", func() bool {
		leader := c.nodes[c.leader()]
		return leader != nil && leader.node.shard(0).reportedFreeBytes(fullDisk) < logstore.WriteAmplification*size
	})
	var err error
	c.eventually("the job is accepted or refused", func() bool {
		err = c.trySubmitPadded("big", 1, 0, size)
		return err == nil || result.Is(err, result.StoreFull)
	})
	is.True(result.Is(err, result.StoreFull))
	reply, err := c.read("big")
	is.NoErr(err)
	is.True(!reply.Found)
	c.executor.setFull(false)
	c.waitFinished("small", 1)
}

// reportedFreeBytes returns the free space that the member with the given disk ID has reported
// to this replica, or MaxUint64 if it has reported none.
func (s *shard) reportedFreeBytes(disk string) uint64 {
	freeBytes := uint64(math.MaxUint64)
	_ = s.RunInLoop(context.Background(), func() {
		if reported, found := s.memberFreeBytes[disk]; found {
			freeBytes = reported
		}
	})
	return freeBytes
}

// randomBytes returns incompressible data.
func randomBytes(size int) []byte {
	bytes := make([]byte, size)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(bytes)
	return bytes
}
