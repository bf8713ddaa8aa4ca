package store

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/logstore/logstoretest"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shard"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// testdata/plain-disk.zip is a disk that a plain node of an earlier version wrote. Shard 3
// has a truncated log, a completed, an unfinished and a cancelled job, and a claim. Shard 7
// is frozen and has installed a snapshot. The file must not be generated again, because the
// tests check that disks in use can still be read.
const (
	storedDisk   = "testdata/plain-disk.zip"
	storedDiskID = "disk-07827689b01946dd"
	storedTenant = "tenant"
)

func TestDiskOfEarlierVersionIsRead(t *testing.T) {
	is := is.New(t)
	db, err := logstore.Open(logstoretest.Unpack(t, storedDisk), logstore.DiskLimits{})
	is.NoErr(err)
	defer func() { is.NoErr(db.Close()) }()
	is.Equal(db.DiskID(), storedDiskID)
	shards, err := db.Shards()
	is.NoErr(err)
	is.Equal(shards, []uint32{3, 7})

	first, err := db.Shard(3).Load()
	is.NoErr(err)
	const epoch = 1<<40 + 1<<8 + 1 // generation 1, first election, first member
	is.Equal(first, &logstore.RecoveredState{
		HardState: replica.HardState{Promised: epoch, Commit: 20, Generation: 1}, MemberSet: replica.MemberSet{Generation: 1, Members: []string{storedDiskID}, Copies: 1},
		BaseIndex: 12, BaseEpoch: epoch, Epochs: slices.Repeat([]uint64{epoch}, 12), Applied: 24, Exists: true,
	})
	second, err := db.Shard(7).Load()
	is.NoErr(err)
	const before = 4<<40 + 2<<8 + 2 // generation 4, second election, second member
	is.Equal(second, &logstore.RecoveredState{
		HardState: replica.HardState{Promised: 4<<40 + 3<<8 + 1, Commit: 41, Frozen: true, FrozenAttempt: 2, Generation: 4},
		MemberSet: replica.MemberSet{Generation: 4, Members: []string{storedDiskID, "disk-other", "disk-third"}, Attempt: 2},
		BaseIndex: 40, BaseEpoch: before, Epochs: []uint64{before, before, before}, Applied: 40, Exists: true,
	})
	for _, id := range shards {
		stored := db.Shard(id)
		_, err := stored.Load()
		is.NoErr(err)
		checkStoredState(t, stored.View())
	}
	entries, err := db.Shard(7).Entries(41, 43, 1<<20)
	is.NoErr(err)
	is.Equal(len(entries), 3)
	for i, entry := range entries {
		is.Equal(string(entry.Command), fmt.Sprintf("command-%d", i))
	}
}

// checkStoredState checks the files, jobs and results of the stored disk.
func checkStoredState(t *testing.T, state shard.KeyReader) {
	t.Helper()
	is := is.New(t)
	statuses := map[string]wirev1.JobStatus{
		"done": wirev1.JobStatus_JOB_STATUS_COMPLETED, "half": wirev1.JobStatus_JOB_STATUS_IN_PROGRESS, "cancelled": wirev1.JobStatus_JOB_STATUS_CANCELLED,
	}
	jobs, err := shard.TenantJobs(state, storedTenant, "", 10)
	is.NoErr(err)
	is.Equal(len(jobs), len(statuses))
	files, err := shard.TenantFiles(state, storedTenant, "", 10)
	is.NoErr(err)
	is.Equal(len(files), len(statuses))
	for id, status := range statuses {
		file, err := shard.File(state, "file-"+id)
		is.NoErr(err)
		is.True(file.Sealed)
		is.Equal([]string{file.Filename, file.Purpose, string(file.Digest)}, []string{id + ".jsonl", "batch", id})
		job, err := shard.Job(state, "job-"+id)
		is.NoErr(err)
		is.Equal(job.Status, status)
		is.Equal(job.Total, uint64(4))
		is.Equal(job.Spec.IdempotencyKey, "key-"+id)
		for segment := range uint32(2) {
			items, err := shard.Segment(state, "file-"+id, segment)
			is.NoErr(err)
			is.Equal(len(items), 2)
			for offset, item := range items {
				is.Equal(item.CustomId, fmt.Sprintf("%s-%d-%d", id, segment, offset))
				is.Equal(string(item.Body), fmt.Sprintf("body %s %d %d", id, segment, offset))
			}
		}
	}
	checkStoredOutcomes(t, state)
	claim, err := shard.IdempotencyClaim(state, storedTenant, "claim")
	is.NoErr(err)
	is.Equal(claim.Claim.RequestId, "request")
	is.Equal(string(claim.Claim.Fingerprint), "digest")
}

func checkStoredOutcomes(t *testing.T, state shard.KeyReader) {
	t.Helper()
	is := is.New(t)
	outcomes := func(id string, segment uint32, errors bool) []string {
		job, err := shard.Job(state, "job-"+id)
		is.NoErr(err)
		list, err := shard.Outcomes(state, job, segment, errors)
		is.NoErr(err)
		var texts []string
		for _, outcome := range list {
			texts = append(texts, outcome.CustomId+": "+string(outcome.Result.Body)+outcome.Result.Message)
		}
		return texts
	}
	is.Equal(outcomes("done", 0, false), []string{"done-0-0: answer done 0", "done-0-1: answer done 1"})
	is.Equal(outcomes("done", 1, false), []string{"done-1-0: answer done 2"})
	is.Equal(outcomes("done", 1, true), []string{"done-1-1: refused by the engine"})
	is.Equal(outcomes("half", 0, false), []string{"half-0-0: answer half 0"})
	is.Equal(outcomes("half", 1, false), []string(nil))
}

type fixedView struct{ view *fleet.View }

func (v fixedView) View() *fleet.View { return v.view }

type noSnapshots struct{}

func (noSnapshots) Snapshot() *bundle.Snapshot { return nil }

// unavailableStore is a platform's store whose calls all fail.
type unavailableStore struct{}

func (unavailableStore) Get(context.Context, string) (ports.Value, bool, error) {
	return ports.Value{}, false, ports.ErrUnavailable
}

func (unavailableStore) List(context.Context, string) ([]ports.Value, int64, error) {
	return nil, 0, ports.ErrUnavailable
}

func (unavailableStore) Watch(context.Context, string, int64, func(ports.WatchEvent)) error {
	return ports.ErrUnavailable
}

func (unavailableStore) Commit(context.Context, []ports.Condition, []ports.Put) (bool, error) {
	return false, ports.ErrUnavailable
}

// Checks that a node started with the stored disk becomes the leader of its shard, returns
// finished results and accepts the missing results.
func TestNodeStartsOnDiskOfEarlierVersion(t *testing.T) {
	is := is.New(t)
	db, err := logstore.Open(logstoretest.Unpack(t, storedDisk), logstore.DiskLimits{})
	is.NoErr(err)
	defer func() { is.NoErr(db.Close()) }()
	m := startSingleNode(t, db)
	defer m.Cleanup()

	ctx := t.Context()
	reply := readWhenLed(t, m, wirev1.ReadKind_READ_KIND_JOB, "job-half")
	is.Equal(reply.Job.Status, wirev1.JobStatus_JOB_STATUS_IN_PROGRESS)
	is.Equal(reply.Job.Completed, uint64(1))
	missing := &wirev1.CompleteItems{AtUnixMs: 5000}
	for number := uint32(1); number < 4; number++ {
		key := &wirev1.ItemKey{JobId: "job-half", Segment: number / 2, Offset: number % 2}
		missing.Results = append(missing.Results, &wirev1.ItemResult{Item: key, Body: fmt.Appendf(nil, "answer half %d", number)})
	}
	command := &wirev1.Command{Kind: &wirev1.Command_CompleteItems{CompleteItems: missing}}
	commandResult, err := m.Propose(ctx, 3, command)
	is.NoErr(err)
	is.Equal(commandResult.Accepted, uint32(3))
	commandResult, err = m.Propose(ctx, 3, command)
	is.NoErr(err)
	is.Equal(commandResult.Accepted, uint32(0)) // each result is accepted once
	reply = readWhenLed(t, m, wirev1.ReadKind_READ_KIND_JOB, "job-half")
	is.Equal(reply.Job.Status, wirev1.JobStatus_JOB_STATUS_COMPLETED)
	reply = readWhenLed(t, m, wirev1.ReadKind_READ_KIND_RESULTS, "job-done")
	is.Equal(len(reply.Outcomes), 2)
}

// startSingleNode starts the replicas of a disk on the only node of a fleet.
func startSingleNode(t *testing.T, db *logstore.DB) *Module {
	t.Helper()
	is := is.New(t)
	self := &wirev1.MemberRecord{Id: "a", Address: "127.0.0.1:1", Region: "r", Zone: "z", DiskId: db.DiskID()}
	pool := rpc.NewPool("a", "test", nil, &rpc.Counters{})
	t.Cleanup(pool.Close)
	m := &Module{
		settings: &settings.Settings{Cluster: "c", Node: settings.NodeSettings{ID: "a", Region: "r"}}, db: db,
		views: fixedView{fleet.NewView(self, []*wirev1.MemberRecord{self})}, snapshots: noSnapshots{}, platform: unavailableStore{},
		pool: pool, metrics: newMetrics(prometheus.NewRegistry(), db),
	}
	m.createHost()
	is.NoErr(m.host.Restore())
	return m
}

// readWhenLed reads from shard 3 as soon as it has a leader.
func readWhenLed(t *testing.T, m *Module, kind wirev1.ReadKind, id string) *wirev1.ReadReply {
	t.Helper()
	var reply *wirev1.ReadReply
	var err error
	eventually.Require(t, "shard 3 has a leader", func() bool {
		reply, err = m.read(t.Context(), &wirev1.ReadRequest{Shard: 3, Kind: kind, Id: id, Tenant: storedTenant})
		return !result.Is(err, result.NotLeader)
	}, func() any { return err })
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// blockingStore blocks listings of the layout until release is closed, even if the caller's
// context ends.
type blockingStore struct {
	unavailableStore
	listCalled chan struct{}
	release    chan struct{}
	layout     []byte
}

func (s *blockingStore) List(context.Context, string) ([]ports.Value, int64, error) {
	close(s.listCalled)
	<-s.release
	return []ports.Value{{Key: "layout", Value: s.layout, Revision: 1}}, 1, nil
}

// Checks that Cleanup waits until a layout that is being read has been applied. The disk is
// closed after Cleanup, and a shard that the layout starts writes to the disk.
func TestCleanupWaitsForLayoutUpdate(t *testing.T) {
	is := is.New(t)
	db, err := logstore.Open(logstoretest.Unpack(t, storedDisk), logstore.DiskLimits{})
	is.NoErr(err)
	m := startSingleNode(t, db)
	store := &blockingStore{
		listCalled: make(chan struct{}), release: make(chan struct{}),
		layout: fmt.Appendf(nil, `{"shards":[{"generation":1,"members":[%q],"region":"r"}]}`, storedDiskID),
	}
	m.platform = store
	ctx, cancel := context.WithCancel(context.Background())
	is.NoErr(m.Start(ctx))
	<-store.listCalled
	cancel()
	cleanupDone := make(chan struct{})
	go func() {
		m.Cleanup()
		close(cleanupDone)
	}()
	select {
	case <-cleanupDone:
		t.Fatal("Cleanup returned while the layout was being read")
	case <-time.After(100 * time.Millisecond):
	}
	close(store.release)
	<-cleanupDone
	is.NoErr(db.Close())
}
