package shardstatus

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

func printed(reply *wirev1.QueueStatusReply) string {
	var text strings.Builder
	Print(&text, 0, reply)
	return text.String()
}

// The text names the states of all replicas if none serves, and what each refuses and waits for.
func TestPrintTellsWhyNoReplicaServes(t *testing.T) {
	is := is.New(t)
	reply := &wirev1.QueueStatusReply{
		Node:   "edge-1",
		Stored: &wirev1.StoredMemberSet{Generation: 4, Attempt: 1, Revision: 77, Members: []string{"disk-a", "disk-b"}, StoreLost: true},
		Replicas: []*wirev1.ReplicaStatus{{
			Node: "a", Disk: "disk-a", State: wirev1.ServingState_SERVING_STATE_FROZEN, Summary: "state=frozen", Role: "leader", Generation: 3, Frozen: true, FrozenMs: 2300,
			LeaderHeardAgoMs: -1,
			Members: []*wirev1.MemberStatus{
				{Disk: "disk-a"},
				{Disk: "disk-b", Node: "b", Address: "10.0.0.2:7000", DiskState: wirev1.DiskState_DISK_STATE_HEALTHY, HeardAgoMs: 200, MatchIndex: 9, Answer: &wirev1.VoteAnswer{
					PreVote: true, Refusal: wirev1.VoteRefusal_VOTE_REFUSAL_LOG_BEHIND, AgoMs: 400,
				}},
				{Disk: "disk-c", DiskState: wirev1.DiskState_DISK_STATE_LOST, HeardAgoMs: -1, Learner: true},
			},
			Stored:    &wirev1.StoredMemberSet{Generation: 4},
			Foreign:   &wirev1.ForeignGeneration{Generation: 4, Node: "b", AgoMs: 100, Count: 12},
			HandOver:  &wirev1.HandOverStatus{Generation: 4, Members: []string{"disk-a", "disk-b"}, Obstacle: "freeze not confirmed by disk-c", StartedAgoMs: 3000},
			LastFence: &wirev1.MemberSetWrite{Generation: 3, Attempt: 2, Error: "store away", AgoMs: 500},
		}},
		Failures: []*wirev1.MemberFailure{{Disk: "disk-c", Error: "disk lost"}},
	}
	text := printed(reply)
	for _, part := range []string{
		"shard 0 as node edge-1 sees it: no serving leader; a frozen",
		"stored: generation 4, attempt 1, revision 77, members disk-a, disk-b; no contact with the store",
		"a (disk-a): state=frozen", "it knows as stored: generation 4",
		"member b (disk-b) at 10.0.0.2:7000: disk healthy, heard 0.2s ago, has the log up to 9, pre-vote refused (log_behind) 0.4s ago",
		"learner of an unknown node (disk-c) at an unknown address: disk lost, heard never",
		"other generation: 12 messages dropped, the last of generation 4 from b, 0.1s ago",
		"waits for: freeze not confirmed by disk-c", "frozen for 2.3s by attempt 0",
		"last fence: generation 3, attempt 2, committed false, 0.5s ago: store away", "unknown node (disk-c): not asked or no answer: disk lost",
	} {
		if !strings.Contains(text, part) {
			t.Errorf("%q lacks %q", text, part)
		}
	}
	is.True(!strings.Contains(text, "(disk-a) at")) // a replica doesn't list itself
}

func TestPrintNamesTheServingLeader(t *testing.T) {
	is := is.New(t)
	text := printed(&wirev1.QueueStatusReply{Node: "edge-1", Replicas: []*wirev1.ReplicaStatus{{Node: "b", State: wirev1.ServingState_SERVING_STATE_SERVING}}})
	is.True(strings.Contains(text, "served by b"))
	is.True(strings.Contains(text, "no layout with this shard is known to node edge-1"))
	is.True(strings.Contains(printed(&wirev1.QueueStatusReply{}), "no serving leader; no replica answered"))
}

// A shard counts as not served in every state that a member may be in but two.
func TestServedStates(t *testing.T) {
	is := is.New(t)
	served, judging := 0, 0
	for number := range wirev1.ServingState_name {
		state := wirev1.ServingState(number)
		if Served(state) {
			served++
			is.True(Judges(state))
		}
		if Judges(state) {
			judging++
		}
		is.True(state == 0 || !strings.Contains(StateName(state), "SERVING"))
	}
	is.Equal(served, 2)
	is.Equal(judging, len(wirev1.ServingState_name)-3)
}
