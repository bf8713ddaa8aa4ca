package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// truncatedMember is a replica whose log starts after a base, because older entries were
// truncated.
type truncatedMember struct {
	replica *Replica
	base    uint64
	entries []*wirev1.LogEntry
	applied uint64 // last entry that the member's state contains
}

// restoreTruncated restores a member with a log from base+1 to last, and with entries up to
// applied in its state. epochOf returns the epoch of an entry.
func restoreTruncated(id string, memberSet MemberSet, base, last, applied, commit uint64, epochOf func(index uint64) uint64, now time.Time) *truncatedMember {
	m := &truncatedMember{base: base, applied: applied}
	var epochs []uint64
	for index := base + 1; index <= last; index++ {
		m.entries = append(m.entries, &wirev1.LogEntry{Index: index, Epoch: epochOf(index), Checksum: Checksum(nil)})
		epochs = append(epochs, epochOf(index))
	}
	hard := HardState{Promised: epochOf(last), Commit: commit, Generation: memberSet.Generation}
	m.replica = Restore(0, id, memberSet, testTiming(), rand.New(rand.NewPCG(1, uint64(memberSet.index(id)))), m, hard, base, epochOf(base), epochs, now)
	return m
}

func (m *truncatedMember) Entries(lo, hi uint64, _ int) ([]*wirev1.LogEntry, error) {
	if lo <= m.base || hi > m.base+uint64(len(m.entries)) {
		return nil, fmt.Errorf("entries %d to %d of %d to %d", lo, hi, m.base+1, m.base+uint64(len(m.entries)))
	}
	return m.entries[lo-m.base-1 : hi-m.base], nil
}

func (m *truncatedMember) processReady() []*wirev1.ReplicaMessage {
	ready := m.replica.Ready()
	if ready.TruncateFrom > 0 {
		m.entries = m.entries[:ready.TruncateFrom-m.base-1]
	}
	m.entries = append(m.entries, ready.Entries...)
	m.replica.Persisted(m.base + uint64(len(m.entries)))
	return append(ready.Early, ready.Messages...)
}

// handleSnapshotOffer declines, as the driver does, a snapshot that the member does not need.
func (m *truncatedMember) handleSnapshotOffer(now time.Time, offer *wirev1.ReplicaMessage) {
	if offer.LastIndex <= m.applied || m.replica.EpochAt(offer.LastIndex) == offer.LastEpoch {
		m.replica.DeclineSnapshot(now, offer)
	}
}

// Checks that three of five members, restarted with truncated logs of different lengths,
// elect a serving leader after messages were lost. The leader has to find the end of each
// member's log although it has truncated the entries before its base.
func TestRestartWithTruncatedLogsElectsLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base, epoch = 100, uint64(1)<<(counterBits+indexBits) + 1<<indexBits + 1
		memberSet := MemberSet{Generation: 1, Members: []string{"d0", "d1", "d2", "d3", "d4"}}
		survivors := memberSet.Members[:3]
		now := time.Unix(0, 0)
		members := map[string]*truncatedMember{}
		for i, id := range survivors {
			m := &truncatedMember{base: base, applied: base}
			for n := range rapid.IntRange(0, 6).Draw(t, "entries") {
				m.entries = append(m.entries, &wirev1.LogEntry{Index: base + uint64(n) + 1, Epoch: epoch, Checksum: Checksum(nil)})
			}
			epochs := make([]uint64, len(m.entries))
			for n := range epochs {
				epochs[n] = epoch
			}
			hard := HardState{Promised: epoch, Commit: base, Generation: 1}
			m.replica = Restore(0, id, memberSet, testTiming(), rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), uint64(i))), m, hard, base, epoch, epochs, now)
			members[id] = m
		}
		losses := rapid.IntRange(0, 150).Draw(t, "steps with losses")
		for step := range losses + 600 {
			now = now.Add(20 * time.Millisecond)
			var sent []*wirev1.ReplicaMessage
			for _, id := range survivors {
				members[id].replica.Tick(now)
				sent = append(sent, members[id].processReady()...)
			}
			for _, message := range sent {
				entries := message.Kind == wirev1.ReplicaKind_REPLICA_KIND_APPEND || message.Kind == wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED
				if step < losses && entries && rapid.IntRange(0, 2).Draw(t, "lost") > 0 {
					continue
				}
				to := members[message.To]
				if to == nil {
					continue
				}
				if message.Kind == wirev1.ReplicaKind_REPLICA_KIND_SNAPSHOT_OFFER {
					to.handleSnapshotOffer(now, message)
				} else {
					to.replica.Step(now, message)
				}
			}
		}
		for _, m := range members {
			if m.replica.Serving() {
				return
			}
		}
		t.Fatal("no member serves")
	})
}

// A member that led while it was cut off, and restarts with entries that were never committed,
// follows a leader whose log starts after the entries that this member knew as committed. Else
// the leader offers snapshots that the member does not need, and no entry is ever committed.
func TestConflictingTailOfRestartedLeaderIsReplaced(t *testing.T) {
	const older, newer = uint64(1)<<(counterBits+indexBits) + 1<<indexBits + 1, uint64(1)<<(counterBits+indexBits) + 2<<indexBits + 2
	const committed = 60 // last entry that both members have
	memberSet := MemberSet{Generation: 1, Members: []string{"restarted", "leader", "lost"}, Copies: 2}
	now := time.Unix(0, 0)
	members := map[string]*truncatedMember{
		"restarted": restoreTruncated("restarted", memberSet, 0, committed+20, committed, 20, func(uint64) uint64 { return older }, now),
		"leader": restoreTruncated("leader", memberSet, committed-10, committed+15, committed+10, committed+10, func(index uint64) uint64 {
			if index > committed {
				return newer
			}
			return older
		}, now),
	}
	for range 500 {
		now = now.Add(20 * time.Millisecond)
		exchange(members, now)
		if members["leader"].replica.Serving() {
			return
		}
	}
	t.Fatalf("no leader serves: %s and %s", members["leader"].replica.Role(), members["restarted"].replica.Role())
}

// exchange ticks the members and delivers their messages once.
func exchange(members map[string]*truncatedMember, now time.Time) {
	var sent []*wirev1.ReplicaMessage
	for _, m := range members {
		m.replica.Tick(now)
		sent = append(sent, m.processReady()...)
	}
	for _, message := range sent {
		to := members[message.To]
		switch {
		case to == nil:
		case message.Kind == wirev1.ReplicaKind_REPLICA_KIND_SNAPSHOT_OFFER:
			to.handleSnapshotOffer(now, message)
		default:
			to.replica.Step(now, message)
		}
	}
}
