package shardhost

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

const (
	// firstEpoch, isolatedEpoch and nextEpoch are epochs of generation 1. In isolatedEpoch, a
	// leader appended entries that no other member has.
	firstEpoch    = 1<<40 | 1<<8 | 1
	isolatedEpoch = 1<<40 | 2<<8 | 1
	nextEpoch     = 1<<40 | 3<<8 | 2
	// commonEntries is the number of entries that all members have, and isolatedLast and
	// nextLast are the last entries of isolatedEpoch and nextEpoch.
	commonEntries = 100
	isolatedLast  = 150
	nextLast      = 200
	// storedCommit is the commit index on the isolated leader's disk, which is often lower than
	// its applied index. The log of the next leader starts after leaderBase, between the two.
	storedCommit = 60
	leaderBase   = 90
)

// memoryLog is the log of a replica without a disk.
type memoryLog struct{ entries []*wirev1.LogEntry }

// Entries implements replica.EntryReader.
func (m *memoryLog) Entries(lo, hi uint64, _ int) ([]*wirev1.LogEntry, error) {
	return m.entries[lo-1 : hi], nil
}

func testEntry(index, epoch uint64) *wirev1.LogEntry {
	return &wirev1.LogEntry{Index: index, Epoch: epoch, Checksum: replica.Checksum(nil)}
}

// startIsolated runs a member that has led alone in isolatedEpoch and was killed.
func startIsolated(t *testing.T, memberSet replica.MemberSet, send func(*wirev1.ReplicaMessage)) (*countingHost, string) {
	t.Helper()
	is := is.New(t)
	db, err := logstore.Open(t.TempDir(), logstore.DiskLimits{})
	is.NoErr(err)
	memberSet.Members = append(memberSet.Members, db.DiskID())
	log := db.Shard(0)
	_, err = log.Load()
	is.NoErr(err)
	ready := replica.Ready{HardState: &replica.HardState{Promised: isolatedEpoch, Commit: storedCommit, Generation: 1}}
	for index := uint64(1); index <= isolatedLast; index++ {
		epoch := uint64(firstEpoch)
		if index > commonEntries {
			epoch = isolatedEpoch
		}
		ready.Entries = append(ready.Entries, testEntry(index, epoch))
	}
	is.NoErr(log.Persist(&ready, memberSet, 0, 0))
	is.NoErr(log.Begin().Commit(commonEntries))
	host := New(context.Background(), HostOptions{
		DB: db, Timing: replica.ElectionTiming{Heartbeat: 20 * time.Millisecond, Election: time.Minute},
		Peer: func(disk string) (Peer, bool) { return Peer{disk, disk}, true }, Send: send,
		FetchSnapshot: func(context.Context, string, uint32, func(*wirev1.SnapshotChunk) error) error {
			return context.DeadlineExceeded
		},
		SnapshotTimeout: time.Second, TruncateInterval: time.Hour,
	}, func(*Shard[*wirev1.QueueCommand, int]) Application[*wirev1.QueueCommand, int] { return &counter{} })
	t.Cleanup(func() {
		host.Stop()
		is.NoErr(db.Close())
	})
	is.NoErr(host.Restore())
	return host, db.DiskID()
}

// leadAfterIsolation returns a leader that has the common entries and those of nextEpoch, the
// first leaderBase of them only in its state. Its votes are those of another member, "c".
func leadAfterIsolation(t *testing.T, memberSet replica.MemberSet) (*replica.Replica, *memoryLog) {
	t.Helper()
	log := &memoryLog{}
	var epochs []uint64
	for index := uint64(1); index <= nextLast; index++ {
		epoch := uint64(firstEpoch)
		if index > commonEntries {
			epoch = nextEpoch
		}
		log.entries = append(log.entries, testEntry(index, epoch))
		if index > leaderBase {
			epochs = append(epochs, epoch)
		}
	}
	timing := replica.ElectionTiming{Heartbeat: 20 * time.Millisecond, Election: time.Minute}
	hard := replica.HardState{Promised: nextEpoch, Commit: nextLast, Generation: 1}
	now := time.Now()
	leader := replica.Restore(0, "b", memberSet, timing, rand.New(rand.NewPCG(1, 1)), log, hard, leaderBase, firstEpoch, epochs, now)
	leader.Tick(now.Add(time.Hour))
	vote := func(kind wirev1.ReplicaKind) {
		leader.Step(now, &wirev1.ReplicaMessage{Kind: kind, From: "c", To: "b", Generation: 1, Epoch: leader.Epoch(), Granted: true})
	}
	vote(wirev1.ReplicaKind_REPLICA_KIND_PRE_PROMISE)
	vote(wirev1.ReplicaKind_REPLICA_KIND_PROMISE)
	is.New(t).Equal(leader.Role(), replica.Leader)
	return leader, log
}

// Guards against a member that never catches up: it has a conflicting tail of its own, its
// stored commit index is below the base of the leader's log, and it declines the leader's
// snapshot because its state is newer. Without it, a shard that has lost one disk commits nothing.
func TestMemberWithConflictingTailCatchesUp(t *testing.T) {
	is := is.New(t)
	memberSet := replica.MemberSet{Generation: 1, Members: []string{"b", "c"}, Copies: 2}
	replies := make(chan *wirev1.ReplicaMessage, 10000)
	host, disk := startIsolated(t, memberSet, func(message *wirev1.ReplicaMessage) { replies <- message })
	memberSet.Members = append(memberSet.Members, disk)
	leader, log := leadAfterIsolation(t, memberSet)
	exchanges := 0
	for deadline := time.Now().Add(3 * time.Second); !leader.CaughtUp(disk) && time.Now().Before(deadline); {
		leader.Tick(time.Now())
		ready := leader.Ready()
		log.entries = append(log.entries, ready.Entries...)
		leader.Persisted(uint64(len(log.entries)))
		for _, message := range append(ready.Early, ready.Messages...) {
			if message.To == disk {
				exchanges++
				host.Receive(&wirev1.ReplicaBatch{Messages: []*wirev1.ReplicaMessage{message}})
			}
		}
		select {
		case reply := <-replies:
			if reply.To == "b" {
				leader.Step(time.Now(), reply)
			}
		case <-time.After(5 * time.Millisecond):
		}
	}
	t.Logf("%d messages to the member", exchanges)
	is.True(leader.CaughtUp(disk)) // the member confirms a matching log
}
