package shardhost

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
)

// The serving state of a leader is published, keeps its start while it is unchanged, and names
// the freeze.
func TestServingStateIsPublished(t *testing.T) {
	is := is.New(t)
	s := startHost(t, t.TempDir()).Shard(0)
	awaitLeader(t, s)
	is.NoErr(s.RunInLoop(t.Context(), func() {
		now := time.Now()
		s.tickServing(now)
		serving := s.Serving(now)
		is.Equal(serving.State, wirev1.ServingState_SERVING_STATE_SERVING)
		is.Equal(serving.Unserved(now), time.Duration(0))
		s.tickServing(now.Add(time.Second))
		is.True(s.Serving(now) == serving) // nothing changed, so nothing was published
		is.True(s.Replica.Freeze())
		later := now.Add(time.Second)
		s.tickServing(later)
		frozen := s.Serving(later)
		is.Equal(frozen.State, wirev1.ServingState_SERVING_STATE_FROZEN)
		is.Equal(frozen.ServedAt, later)
		s.tickServing(later.Add(time.Second))
		is.Equal(s.Serving(later).Since, later)
		is.True(strings.Contains(s.Serving(later).Text(later.Add(time.Second)), "state=frozen for=1.0s generation=1 attempt=0 role=leader"))
		is.True(strings.Contains(s.Serving(later).Text(later.Add(time.Second)), "unserved=1.0s"))
	}))
}

// The status tells the outcomes of hand-overs and of writes of the member set.
func TestStatusTellsOutcomesOfHandOver(t *testing.T) {
	is := is.New(t)
	s := startHost(t, t.TempDir()).Shard(0)
	awaitLeader(t, s)
	is.NoErr(s.RunInLoop(t.Context(), func() {
		now := time.Now()
		is.Equal(s.Status(now).HandOver, nil)
		s.handOver.next, s.handOver.startedAt = replica.MemberSet{Generation: 2, Members: []string{s.Disk, "other"}, Copies: 2}, now
		is.True(s.Replica.Freeze())
		status := s.Status(now)
		is.Equal(status.HandOver.LackingEntries, []string{"other"})
		is.Equal(len(status.HandOver.Unfrozen), 0) // the only member is frozen
		s.endHandOver(&s.handOver, "timed out")
		s.serving.lastFence = memberSetWrite{now, replica.MemberSet{Generation: 1, Attempt: 3}, false, errors.New("store away")}
		status = s.Status(now)
		is.Equal(status.LastHandOver.Outcome, "timed out")
		is.Equal(status.LastHandOver.Generation, uint64(2))
		is.Equal(status.LastFence.Error, "store away")
		is.Equal(status.LastFence.Attempt, uint64(3))
	}))
}

// A failed replica tells its error to callers, also after its run loop has ended.
func TestFailedReplicaTellsItsError(t *testing.T) {
	is := is.New(t)
	s := startHost(t, t.TempDir()).Shard(0)
	awaitLeader(t, s)
	_ = s.RunInLoop(t.Context(), func() { s.Fail(errors.New("no space")) }) // may report that the shard has stopped
	<-s.done
	err := s.Confirm(t.Context())
	is.True(result.Is(err, result.NotLeader))
	is.True(strings.Contains(err.Error(), "state=stopped") && strings.Contains(err.Error(), "no space"))
	_, err = s.ProposeAndWait(t.Context(), anyCommand)
	is.True(strings.Contains(err.Error(), "no space"))
	is.True(s.HasStopped())
}

// BenchmarkTickServing measures what a tick of a replica costs while nothing changes.
func BenchmarkTickServing(b *testing.B) {
	for _, role := range []string{"leader", "follower"} {
		b.Run(role, func(b *testing.B) {
			s := startHost(b, b.TempDir()).Shard(0)
			awaitLeader(b, s)
			err := s.RunInLoop(b.Context(), func() {
				now := time.Now()
				if role == "follower" {
					epoch := s.Replica.Epoch() + 1
					s.Replica.Step(now, &wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_APPEND, From: "other", To: s.Disk, Generation: 1, Epoch: epoch, Serving: true})
				}
				s.tickServing(now)
				b.ResetTimer()
				for range b.N {
					s.tickServing(now)
				}
			})
			if err != nil {
				b.Fatal(err)
			}
		})
	}
}
