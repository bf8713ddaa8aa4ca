package queuestore

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/logstore/logstoretest"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// testdata/queue-disk.zip contains the data folder of a storage node of an earlier version. Do
// not regenerate the archive: the tests check that this version reads the data of earlier ones.
//
// Shard 0 has a truncated log, jobs that are finished, one job that was ended and one with saved
// progress. Shard 1 has the same jobs and is in the state of a member that has installed a
// snapshot and is frozen, which means that it does not vote while the member set is changed.
const (
	storedDisk   = "testdata/queue-disk.zip"
	storedDiskID = "disk-7852727576314e55"
	storedLayout = `{"shards":[{"generation":1,"members":["disk-7852727576314e55"],"copies":1}]}`
)

func TestStoredDiskIsRead(t *testing.T) {
	is := is.New(t)
	db, err := logstore.Open(logstoretest.Unpack(t, storedDisk), logstore.DiskLimits{})
	is.NoErr(err)
	defer func() { is.NoErr(db.Close()) }()
	is.Equal(db.DiskID(), storedDiskID)
	shards, err := db.Shards()
	is.NoErr(err)
	is.Equal(shards, []uint32{0, 1})

	shard0, err := db.Shard(0).Load()
	is.NoErr(err)
	const epoch = 1<<40 + 1<<8 + 1 // bits 40 and up: generation, bits 8 to 39: election, bits 0 to 7: member
	is.Equal(shard0, &logstore.RecoveredState{
		HardState: replica.HardState{Promised: epoch, Commit: 45, Generation: 1}, MemberSet: replica.MemberSet{Generation: 1, Members: []string{storedDiskID}, Copies: 1},
		BaseIndex: 37, BaseEpoch: epoch, Epochs: slices.Repeat([]uint64{epoch}, 14), Applied: 51, Exists: true,
	})
	shard1, err := db.Shard(1).Load()
	is.NoErr(err)
	const snapshotEpoch = 4<<40 + 2<<8 + 2 // generation 4, second election, second member
	is.Equal(shard1, &logstore.RecoveredState{
		HardState: replica.HardState{Promised: 4<<40 + 3<<8 + 1, Commit: 40, Frozen: true, FrozenAttempt: 2, Generation: 4},
		MemberSet: replica.MemberSet{Generation: 4, Members: []string{storedDiskID, "disk-other"}, Attempt: 2, Copies: 2},
		BaseIndex: 40, BaseEpoch: snapshotEpoch, Epochs: []uint64{snapshotEpoch, snapshotEpoch, snapshotEpoch}, Applied: 40, Exists: true,
	})

	documents, revision, err := db.LoadDocuments()
	is.NoErr(err)
	is.Equal(revision, int64(19))
	is.Equal(documents, []ports.Value{
		{Key: "settings/one", Revision: 17, Value: []byte("first")},
		{Key: "settings/two", Revision: 19, Value: []byte("second")},
	})
	for _, id := range shards {
		shard := db.Shard(id)
		_, err := shard.Load()
		is.NoErr(err)
		checkStoredJobs(t, shard.View())
	}
	entries, err := db.Shard(1).Entries(41, 43, 1<<20)
	is.NoErr(err)
	is.Equal(len(entries), 3)
	for i, entry := range entries {
		is.Equal(string(entry.Command), fmt.Sprintf("command-%d", i))
	}
}

// checkStoredJobs checks that a shard of the stored disk has the expected jobs with their items,
// results and saved progress.
func checkStoredJobs(t *testing.T, state queue.StateReader) {
	t.Helper()
	is := is.New(t)
	items := map[string]int{"done": 3, "half": 2, "ended": 2}
	for i := range 10 {
		items[fmt.Sprint("old-", i)] = 3
	}
	records := map[string]*wirev1.QueueRecord{}
	is.NoErr(queue.Records(state, func(record *wirev1.QueueRecord) { records[record.Id] = record }))
	is.Equal(len(records), len(items))
	for id, count := range items {
		record := records[id]
		is.True(record != nil)
		is.Equal(len(record.Items), count)
		is.Equal(record.Ended, id == "ended")
		is.Equal([]string{record.Host, record.Path, record.Route, record.Tenant}, []string{testHost, "/p", "route", "t"})
		is.True(record.Index > 0 && record.AcceptedUnixMs > 0)
		for number, info := range record.Items {
			item, err := queue.Item(state, id, uint32(number))
			is.NoErr(err)
			is.Equal(info.Id, fmt.Sprintf("%s-%d", id, number))
			is.Equal(info.Tokens, uint64(10))
			is.Equal(info.Position > 0, id != "half")
			is.Equal(item == nil, info.Position > 0) // the body is deleted when the item has a result
			if item != nil {
				is.Equal(string(item.Body), fmt.Sprintf("body %s %d", id, number))
			}
		}
		checkStoredResults(t, state, id, count)
	}
}

// checkStoredResults checks the results of a stored job, or the saved progress of the job "half".
func checkStoredResults(t *testing.T, state queue.StateReader, id string, count int) {
	t.Helper()
	is := is.New(t)
	results, err := queue.Results(state, id, 0, 1<<20)
	is.NoErr(err)
	if id == "half" {
		is.Equal(len(results), 0)
		for number := range count {
			saved, err := queue.Progress(state, id, uint32(number))
			is.NoErr(err)
			is.Equal(saved.Last, int64(1))
			is.Equal(string(saved.Text), fmt.Sprintf("body half %d/1", number))
		}
		return
	}
	is.Equal(len(results), count)
	for _, result := range results {
		is.Equal(result.Dead, result.ItemId == "done-2")
		if !result.Dead {
			is.Equal(result.Last, int64(2))
			is.Equal(string(result.Text), fmt.Sprintf("body %s %d/1\nbody %s %d/2", id, result.Item, id, result.Item))
		}
	}
}

// A node that starts on the stored disk leads shard 0, returns the results of finished jobs, runs
// unfinished items from their last saved event on, and accepts new jobs.
func TestNodeStartsOnStoredDisk(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.retention = 100 * 365 * 24 * time.Hour // longer than the age of the stored disk
	c.store.values = map[string]ports.Value{LayoutKey: {Key: LayoutKey, Value: []byte(storedLayout), Revision: 1}}
	c.store.sendAll(c.layouts)
	folder := logstoretest.Unpack(t, storedDisk)
	c.nodes["a"] = &testNode{name: "a", disk: slowDisk{FS: vfs.Default}, folder: filepath.Clean(folder), address: "127.0.0.1:0"}
	c.start("a")
	is.Equal(c.nodes["a"].db.DiskID(), storedDiskID)
	for i := range 10 {
		c.waitFinished(fmt.Sprint("old-", i), 3)
	}
	c.waitFinished("half", 2)
	var done *wirev1.QueueReadReply
	c.eventually("the finished job is read", func() bool {
		var err error
		done, err = c.read("done")
		return err == nil && len(done.Results) == 3
	})
	dead := 0
	for _, result := range done.Results {
		if result.Dead {
			dead++
		}
	}
	is.Equal(dead, 1)
	is.Equal(c.executor.runs["half-0"], 1)
	is.Equal(c.executor.runs["done-2"], 0)
	c.submit("new", 2)
	c.waitFinished("new", 2)
	memberSet := c.layouts.Current().Shards[0]
	is.Equal(memberSet, replica.MemberSet{Generation: 1, Members: []string{storedDiskID}, Copies: 1})
}
