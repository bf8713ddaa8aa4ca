package replica

import (
	"testing"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// delayedLink delivers the messages of one step a number of steps later, in order.
type delayedLink struct {
	steps  int
	queued [][]*wirev1.ReplicaMessage
}

func (l *delayedLink) exchange(sent []*wirev1.ReplicaMessage) []*wirev1.ReplicaMessage {
	l.queued = append(l.queued, sent)
	if len(l.queued) <= l.steps {
		return nil
	}
	due := l.queued[0]
	l.queued = l.queued[1:]
	return due
}

// Guards against a leader that answers each of many rejections for the same gap with the same
// entries, so that a member which catches up over a slow link, while reads confirm the
// leadership, receives its entries many times.
func TestMemberThatCatchesUpIsNotSentEntriesAgainAndAgain(t *testing.T) {
	const (
		epoch        = uint64(1)<<(counterBits+indexBits) + 1<<indexBits + 1
		last, behind = 400, 100
		commandSize  = 10 << 10
		readsPerStep = 10
	)
	memberSet := MemberSet{Generation: 1, Members: []string{"leader", "behind", "lost"}, Copies: 2}
	now := time.Unix(0, 0)
	restore := func(id string, last uint64) *truncatedMember {
		m := restoreTruncated(id, memberSet, 0, last, last, last, func(uint64) uint64 { return epoch }, now)
		for _, entry := range m.entries {
			entry.Command = make([]byte, commandSize)
			entry.Checksum = Checksum(entry.Command)
		}
		return m
	}
	members := map[string]*truncatedMember{"leader": restore("leader", last), "behind": restore("behind", last-behind)}
	leader := members["leader"].replica
	link := delayedLink{steps: 5}
	received := 0
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		leader.Tick(now)
		if leader.Role() == Leader {
			for range readsPerStep {
				leader.BeginProbe(now)
			}
		}
		sent := append(members["leader"].processReady(), members["behind"].processReady()...)
		for _, message := range link.exchange(sent) {
			if to := members[message.To]; to != nil {
				to.replica.Step(now, message)
			}
			if message.To == "behind" {
				received += commandBytes(message.Entries)
			}
		}
		if leader.Serving() && leader.CaughtUp("behind") && members["behind"].replica.LastIndex() == leader.LastIndex() {
			break
		}
	}
	if !leader.Serving() {
		t.Fatalf("the member did not catch up: %d of %d", members["behind"].replica.LastIndex(), leader.LastIndex())
	}
	const lacking = behind * commandSize
	if received > 2*lacking {
		t.Fatalf("the member lacked %d bytes and received %d", lacking, received)
	}
}
