package shardhost

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// Guards against the loss of a copy of acknowledged entries: a disk that left the member set is a
// learner again, acknowledges entries on which a hand-over relies, and its replica is deleted
// before it learns that it is a member.
func TestRemovedReplicaThatIsALearnerAgainIsNotDropped(t *testing.T) {
	// Pebble's pools hold channels, which must not be used in two bubbles.
	t.Cleanup(func() { runtime.GC(); runtime.GC() })
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		db, err := logstore.OpenOn(vfs.NewMem(), "/data", logstore.DiskLimits{})
		is.NoErr(err)
		acknowledged := uint64(0)
		host := New(context.Background(), HostOptions{
			DB: db, Timing: replica.DefaultTiming(), Peer: func(string) (Peer, bool) { return Peer{}, false },
			Send: func(message *wirev1.ReplicaMessage) {
				if message.Granted {
					acknowledged = max(acknowledged, message.MatchIndex)
				}
			},
			SnapshotTimeout: time.Second, TruncateInterval: time.Hour,
		}, func(*Shard[*wirev1.QueueCommand, int]) Application[*wirev1.QueueCommand, int] { return &counter{} })
		t.Cleanup(func() {
			host.Stop()
			_ = db.Close()
		})
		is.NoErr(host.Start(0, &replica.MemberSet{Generation: 2, Members: []string{"b", "c"}, Copies: 2}))
		time.Sleep(removedRetention - 500*time.Millisecond)
		first := host.Shard(0)
		host.Receive(&wirev1.ReplicaBatch{Messages: []*wirev1.ReplicaMessage{{
			Kind: wirev1.ReplicaKind_REPLICA_KIND_APPEND, From: "b", To: db.DiskID(), Generation: 2, Epoch: 2<<40 | 1<<8 | 1, Learner: true,
			Entries: []*wirev1.LogEntry{{Index: 1, Epoch: 2<<40 | 1<<8 | 1, Checksum: replica.Checksum(nil)}},
		}}})
		time.Sleep(time.Second)
		is.Equal(acknowledged, uint64(1))
		is.True(host.Shard(0) == first) // the replica still runs, with the entry that it has acknowledged
	})
}
