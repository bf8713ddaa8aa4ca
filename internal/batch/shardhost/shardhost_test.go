package shardhost

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// counter is an application whose state is the number of applied commands.
type counter struct {
	NoEvents
	// wanted is the result of NextMembers; nil stands for the current members.
	wanted []string
	fences atomic.Int32 // calls of Fence
}

var counterKey = []byte("count")

// Apply implements StateMachine.
func (*counter) Apply(state *logstore.StateBatch, entry *wirev1.LogEntry, _ *wirev1.QueueCommand) (int, error) {
	text, err := state.Get(counterKey)
	if err != nil || len(entry.Command) == 0 {
		return len(text), err
	}
	return len(text) + 1, state.Set(counterKey, append(text, 'x'))
}

func (*counter) Applied(*wirev1.QueueCommand, int)       {}
func (*counter) FollowLeadership()                       {}
func (*counter) DropLeadership(string)                   {}
func (*counter) BeforeTick(time.Time)                    {}
func (*counter) Tick(time.Time)                          {}
func (*counter) TickInterval() time.Duration             { return 5 * time.Millisecond }
func (*counter) Proposed([][]byte, bool)                 {}
func (*counter) Persisted(*replica.Ready, time.Duration) {}
func (*counter) Truncated(uint64)                        {}

// TruncationPoint implements LogPolicy. It keeps two entries.
func (*counter) TruncationPoint(_ time.Time, _, settled uint64) uint64 {
	return settled - min(settled, 2)
}

// NextMembers implements MemberPolicy.
func (c *counter) NextMembers(_ time.Time, current replica.MemberSet) []string {
	if c.wanted != nil {
		return c.wanted
	}
	return current.Members
}

// MaySeal implements MemberPolicy.
func (*counter) MaySeal(time.Time, replica.MemberSet) bool { return false }

// Swap implements MemberPolicy.
func (*counter) Swap(context.Context, replica.MemberSet, replica.MemberSet) (bool, error) {
	return false, nil
}

// Fence implements MemberPolicy.
func (c *counter) Fence(context.Context, replica.MemberSet, replica.MemberSet) (bool, error) {
	c.fences.Add(1)
	return false, nil
}

type countingHost = Host[*wirev1.QueueCommand, int]

const (
	testFreezeTimeout = 10 * time.Minute
	testCheckInterval = time.Second
	// testSnapshotTimeout is so short that it has passed before a fetch starts.
	testSnapshotTimeout = time.Nanosecond
	// deadAddress refuses connections.
	deadAddress = "127.0.0.1:1"
)

// startHost runs the shards on a disk. It creates shard 0 with this disk as its only
// member.
func startHost(t testing.TB, folder string) *countingHost {
	t.Helper()
	is := is.New(t)
	db, err := logstore.Open(folder, logstore.DiskLimits{})
	is.NoErr(err)
	pool := rpc.NewPool("a", "test", nil, &rpc.Counters{})
	host := New(context.Background(), HostOptions{
		DB: db, FetchSnapshot: FetchOver(pool), Timing: replica.ElectionTiming{Heartbeat: 20 * time.Millisecond, Election: 60 * time.Millisecond},
		Peer: func(string) (Peer, bool) { return Peer{}, false }, Send: func(*wirev1.ReplicaMessage) {},
		SnapshotTimeout: testSnapshotTimeout, TruncateInterval: 10 * time.Millisecond,
		HandOver: HandOverTiming{CheckInterval: testCheckInterval, CatchUpTimeout: 10 * testCheckInterval, FreezeTimeout: testFreezeTimeout, SwapTimeout: time.Second},
	}, func(*Shard[*wirev1.QueueCommand, int]) Application[*wirev1.QueueCommand, int] { return &counter{} })
	t.Cleanup(func() {
		host.Stop()
		pool.Close()
		is.NoErr(db.Close())
	})
	is.NoErr(host.Restore())
	is.NoErr(host.Start(0, &replica.MemberSet{Generation: 1, Members: []string{db.DiskID()}, Copies: 1}))
	return host
}

// awaitLeader waits until the leadership of the only member is confirmed.
func awaitLeader(t testing.TB, s *Shard[*wirev1.QueueCommand, int]) {
	t.Helper()
	var err error
	eventually.Require(t, "the shard is led", func() bool {
		err = s.Confirm(t.Context())
		return err == nil
	}, func() any { return err })
}

var anyCommand = &wirev1.QueueCommand{Kind: &wirev1.QueueCommand_End{End: "job"}}

// Checks that applied commands survive a restart after the log was truncated.
func TestAppliedStateSurvivesRestart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	const commands = 20
	t.Run("first run", func(t *testing.T) {
		is := is.New(t)
		s := startHost(t, folder).Shard(0)
		awaitLeader(t, s)
		for i := range commands {
			count, err := s.ProposeAndWait(t.Context(), anyCommand)
			is.NoErr(err)
			is.Equal(count, i+1)
		}
		eventually.Require(t, "the log is truncated", func() bool {
			base := uint64(0)
			is.NoErr(s.RunInLoop(t.Context(), func() { base, _ = s.Replica.Base() }))
			return base >= commands-2
		})
	})
	s := startHost(t, folder).Shard(0)
	awaitLeader(t, s)
	count, err := s.ProposeAndWait(t.Context(), anyCommand)
	is.NoErr(err)
	is.Equal(count, commands+1)
}

// Guards against a member that, after its restart, is sent entries or snapshots that it has
// applied already, because it no longer knows that they are committed.
func TestAppliedEntriesAreCommittedAfterRestart(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	applied := uint64(0)
	t.Run("first run", func(t *testing.T) {
		is := is.New(t)
		s := startHost(t, folder).Shard(0)
		awaitLeader(t, s)
		for range 3 {
			_, err := s.ProposeAndWait(t.Context(), anyCommand)
			is.NoErr(err)
		}
		is.NoErr(s.RunInLoop(t.Context(), func() { applied = s.applied }))
	})
	db, err := logstore.Open(folder, logstore.DiskLimits{})
	is.NoErr(err)
	defer func() { is.NoErr(db.Close()) }()
	host := New(context.Background(), HostOptions{DB: db}, func(*Shard[*wirev1.QueueCommand, int]) Application[*wirev1.QueueCommand, int] { return &counter{} })
	store := db.Shard(0)
	loaded, err := store.Load()
	is.NoErr(err)
	is.Equal(host.newShard(0, store, loaded).Replica.Commit(), applied)
}

// Checks that a member declines the offer of a snapshot whose last entry is in its log, although
// its state does not contain it yet: entries after it that the member has acknowledged are kept.
func TestOfferedSnapshotDoesNotReplaceMatchingLog(t *testing.T) {
	is := is.New(t)
	s := startHost(t, t.TempDir()).Shard(0)
	awaitLeader(t, s)
	_, err := s.ProposeAndWait(t.Context(), anyCommand)
	is.NoErr(err)
	is.NoErr(s.RunInLoop(t.Context(), func() {
		last := s.Replica.LastIndex()
		offer := &wirev1.ReplicaMessage{LastIndex: last, LastEpoch: s.Replica.EpochAt(last)}
		s.applied = last - 1
		is.True(s.hasSnapshot(offer))
		s.applied = last
		is.True(s.hasSnapshot(&wirev1.ReplicaMessage{LastIndex: last, LastEpoch: offer.LastEpoch + 1}))
		is.True(!s.hasSnapshot(&wirev1.ReplicaMessage{LastIndex: last + 1, LastEpoch: offer.LastEpoch}))
	}))
}

// Checks that a stopped host rejects calls and starts no shard.
func TestStoppedHostRejectsCalls(t *testing.T) {
	is := is.New(t)
	host := startHost(t, t.TempDir())
	s := host.Shard(0)
	awaitLeader(t, s)
	host.Stop()
	_, err := s.ProposeAndWait(t.Context(), anyCommand)
	is.True(result.Is(err, result.NotLeader) || result.Is(err, result.CommitUnknown))
	is.True(result.Is(s.Confirm(t.Context()), result.NotLeader))
	is.True(host.Start(1, &replica.MemberSet{Generation: 1, Members: []string{s.Disk}, Copies: 1}) != nil)
	is.Equal(host.Shard(1), nil)
}

// Checks that a stopped host starts no shard and does not read its closed database.
func TestStoppedHostDoesNotReadDatabase(t *testing.T) {
	is := is.New(t)
	var host *countingHost
	t.Run("until the database is closed", func(t *testing.T) { host = startHost(t, t.TempDir()) })
	is.True(host.Start(1, nil) != nil)
}

// Checks that each freeze gets its full timeout, even if the member was frozen and thawed
// before.
func TestEachFreezeHasItsOwnTimeout(t *testing.T) {
	is := is.New(t)
	s := startHost(t, t.TempDir()).Shard(0)
	awaitLeader(t, s)
	now := time.Now()
	is.NoErr(s.RunInLoop(t.Context(), func() {
		s.handOver = handOver{frozenAt: now.Add(-2 * testFreezeTimeout)} // from an earlier freeze
		s.tickHandOver(now)
		is.True(s.Replica.Freeze())
		s.tickHandOver(now)
		is.True(!s.handOver.fencing) // the timeout starts with the new freeze
	}))
}

// Guards against a shard that stays frozen for the whole timeout, which the replacement of a
// lost disk has no time for, although the sealer has restarted and will never end the hand-over.
func TestRestartedFrozenMemberDoesNotWaitForItsSealer(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	t.Run("until the freeze is on disk", func(t *testing.T) {
		is := is.New(t)
		s := startHost(t, folder).Shard(0)
		awaitLeader(t, s)
		is.NoErr(s.RunInLoop(t.Context(), func() { is.True(s.Replica.Freeze()) }))
		is.NoErr(s.RunInLoop(t.Context(), func() {})) // the freeze was written before
	})
	s := startHost(t, folder).Shard(0)
	application := s.application.(*counter)
	eventually.Require(t, "the hand-over is cancelled", func() bool { return application.fences.Load() > 0 }, func() any { return s.Serving(time.Now()) })
}

// Guards against a member that stays stopped after an error that has gone, so that a shard which
// loses another disk has no quorum for good.
func TestFailedReplicaIsStartedAgain(t *testing.T) {
	is := is.New(t)
	host := startHost(t, t.TempDir())
	failed := host.Shard(0)
	awaitLeader(t, failed)
	_, err := failed.ProposeAndWait(t.Context(), anyCommand)
	is.NoErr(err)
	_ = failed.RunInLoop(t.Context(), func() { failed.Fail(errors.New("the disk does not respond")) })
	eventually.Require(t, "the replica runs again", func() bool { return host.Shard(0) != failed }, func() any { return failed.Serving(time.Now()) })
	s := host.Shard(0)
	awaitLeader(t, s)
	count, err := s.ProposeAndWait(t.Context(), anyCommand)
	is.NoErr(err)
	is.Equal(count, 2)
}

// Guards against a member that fails each time it runs, but seems to be alive to the others because
// it is started again at once, so that no spare disk replaces it.
func TestReplicaThatFailsAgainAndAgainIsStartedLessOften(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	failure := replicaFailure{}
	var delays []time.Duration
	for range 4 {
		delay := failure.nextDelay(now)
		delays = append(delays, delay)
		failure = replicaFailure{at: now, delay: delay}
		now = now.Add(delay + time.Second)
	}
	is.Equal(delays, []time.Duration{failedRestartDelay, 4 * time.Second, maxFailedRestartDelay, maxFailedRestartDelay})
	is.Equal(failure.nextDelay(now.Add(2*failedRestartMemory)), failedRestartDelay)
}

// Guards against the deletion of a learner's copy, on which a sealed hand-over may count, because
// an earlier member set left its disk out.
func TestLearnerOfAnEarlierMemberSetIsKept(t *testing.T) {
	is := is.New(t)
	host := startHost(t, t.TempDir())
	s := host.Shard(0)
	awaitLeader(t, s)
	is.NoErr(s.RunInLoop(t.Context(), func() {
		now := time.Now()
		s.Replica.Observe(now, replica.MemberSet{Generation: 2, Members: []string{"other"}, Copies: 1})
		s.removedSince = now.Add(-removedRetention)
		s.Replica.Step(now, &wirev1.ReplicaMessage{
			Kind: wirev1.ReplicaKind_REPLICA_KIND_APPEND, From: "other", To: s.Disk, Generation: 2, Epoch: 2 * s.Replica.Epoch(), Learner: true,
			LastIndex: s.Replica.LastIndex(), LastEpoch: s.Replica.EpochAt(s.Replica.LastIndex()),
		})
		s.tickRemoved(now.Add(time.Millisecond))
		is.True(s.removedSince.IsZero())
		now = now.Add(time.Minute)
		s.tickRemoved(now)
		is.Equal(s.removedSince, now) // no leader sends entries any more
	}))
}

// Guards against hand-overs that wait until their timeout for a member that was lost after they
// began, as when two disks are lost together and one is missed a moment before the other.
func TestHandOverEndsIfAKeptMemberIsLost(t *testing.T) {
	is := is.New(t)
	s := startHost(t, t.TempDir()).Shard(0)
	awaitLeader(t, s)
	now := time.Now().Add(time.Minute)
	is.NoErr(s.RunInLoop(t.Context(), func() {
		application := s.application.(*counter)
		application.wanted = []string{s.Disk, "spare"}
		s.handOver = handOver{}
		s.tickHandOver(now)
		is.Equal(s.handOver.next.Members, application.wanted)

		application.wanted = []string{s.Disk, "better spare"} // no reason to begin anew
		now = now.Add(testCheckInterval)
		s.tickHandOver(now)
		is.Equal(s.handOver.next.Members, []string{s.Disk, "spare"})

		application.wanted = []string{"spare", "other spare"} // this node's disk counts as lost
		now = now.Add(testCheckInterval)
		s.tickHandOver(now)
		now = now.Add(testCheckInterval)
		s.tickHandOver(now)
		is.Equal(s.handOver.next.Members, application.wanted)
		application.wanted = nil
		s.handOver = handOver{}
	}))
}

// Checks that a replica handles messages again after each of several failed fetches of a
// snapshot.
func TestFailedSnapshotFetchEndsInstallation(t *testing.T) {
	is := is.New(t)
	s := startHost(t, t.TempDir()).Shard(0)
	awaitLeader(t, s)
	for round := range 20 {
		is.NoErr(s.RunInLoop(t.Context(), func() { s.installing = true }))
		s.fetchSnapshot(deadAddress, nil)
		installing := true
		is.NoErr(s.RunInLoop(t.Context(), func() { installing = s.installing }))
		if installing {
			t.Fatalf("round %d: the replica is still installing a snapshot", round)
		}
	}
}

// Guards against a storage node that ends because the time without a leader, which it adds to a
// counter, is negative: the replica may tick between the caller's reading of the clock and that
// of the state.
func TestTimeWithoutLeaderIsNeverNegative(t *testing.T) {
	now := time.Now()
	electing := Serving{State: wirev1.ServingState_SERVING_STATE_ELECTING, ServedAt: now.Add(time.Millisecond)}
	is.New(t).Equal(electing.Unserved(now), time.Duration(0))
}
