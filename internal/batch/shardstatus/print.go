package shardstatus

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Print writes the status of a shard as text: the serving leader or that there is none, and
// then one paragraph for each replica.
func Print(writer io.Writer, shard uint32, reply *wirev1.QueueStatusReply) {
	fmt.Fprintf(writer, "shard %d as node %s sees it: %s\n", shard, reply.Node, headline(reply))
	if reply.Stored == nil {
		fmt.Fprintf(writer, "stored: no layout with this shard is known to node %s\n", reply.Node)
	} else {
		fmt.Fprintf(writer, "stored: %s\n", storedText(reply.Stored))
	}
	for _, status := range reply.Replicas {
		printReplica(writer, status)
	}
	for _, failure := range reply.Failures {
		fmt.Fprintf(writer, "%s (%s): not asked or no answer: %s\n", cmp.Or(failure.Node, "unknown node"), failure.Disk, failure.Error)
	}
}

// headline names the serving leader, or the states of the replicas if there is none.
func headline(reply *wirev1.QueueStatusReply) string {
	var states []string
	for _, status := range reply.Replicas {
		if status.State == wirev1.ServingState_SERVING_STATE_SERVING {
			return "served by " + status.Node
		}
		states = append(states, status.Node+" "+StateName(status.State))
	}
	if len(states) == 0 {
		return "no serving leader; no replica answered"
	}
	return "no serving leader; " + strings.Join(states, ", ")
}

func storedText(stored *wirev1.StoredMemberSet) string {
	text := fmt.Sprintf("generation %d, attempt %d, revision %d, members %s", stored.Generation, stored.Attempt, stored.Revision, strings.Join(stored.Members, ", "))
	if stored.StoreLost {
		text += "; no contact with the store"
	}
	return text
}

func printReplica(writer io.Writer, status *wirev1.ReplicaStatus) {
	fmt.Fprintf(writer, "%s (%s): %s\n", status.Node, status.Disk, status.Summary)
	if status.Stored != nil && (status.Stored.Generation != status.Generation || status.Stored.Attempt != status.Attempt || status.Stored.StoreLost) {
		fmt.Fprintf(writer, "  it knows as stored: %s\n", storedText(status.Stored))
	}
	if len(status.Members) > 0 {
		fmt.Fprintf(writer, "  log: last %d, on disk %d, committed %d, applied %d; %d votes elect, %d copies commit; leader heard %s\n", status.LastIndex, status.PersistedIndex,
			status.CommitIndex, status.AppliedIndex, status.ElectionQuorum, status.WriteQuorum, Ago(status.LeaderHeardAgoMs))
	}
	if status.State == wirev1.ServingState_SERVING_STATE_SERVING && status.Leadership != "active" {
		fmt.Fprintf(writer, "  it leads, but the work of the leader is: %s\n", cmp.Or(status.Leadership, "not known"))
	}
	for _, member := range status.Members {
		if member.Disk != status.Disk {
			printMember(writer, status, member)
		}
	}
	if foreign := status.Foreign; foreign != nil {
		fmt.Fprintf(writer, "  other generation: %d messages dropped, the last of generation %d from %s, %s\n", foreign.Count, foreign.Generation,
			cmp.Or(foreign.Node, foreign.Disk), Ago(foreign.AgoMs))
	}
	printHandOver(writer, status)
	if status.StoppedError != "" {
		fmt.Fprintf(writer, "  stopped by: %s\n", status.StoppedError)
	}
	if status.InstallingSnapshot {
		fmt.Fprintf(writer, "  installing a snapshot for %s\n", Age(status.InstallingMs))
	}
}

func printMember(writer io.Writer, status *wirev1.ReplicaStatus, member *wirev1.MemberStatus) {
	kind := "member"
	if member.Learner {
		kind = "learner"
	}
	fmt.Fprintf(writer, "  %s %s (%s) at %s: disk %s, heard %s", kind, cmp.Or(member.Node, "of an unknown node"), member.Disk, cmp.Or(member.Address, "an unknown address"),
		DiskStateName(member.DiskState), Ago(member.HeardAgoMs))
	if status.Role == "leader" {
		fmt.Fprintf(writer, ", has the log up to %d", member.MatchIndex)
	}
	if answer := member.Answer; answer != nil {
		fmt.Fprintf(writer, ", %s %s", answerText(answer), Ago(answer.AgoMs))
	}
	fmt.Fprintln(writer)
}

func answerText(answer *wirev1.VoteAnswer) string {
	vote := "vote"
	if answer.PreVote {
		vote = "pre-vote"
	}
	switch {
	case answer.Granted:
		return vote + " granted"
	case answer.Refusal == wirev1.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED:
		return vote + " refused"
	default:
		return vote + " refused (" + RefusalName(answer.Refusal) + ")"
	}
}

func printHandOver(writer io.Writer, status *wirev1.ReplicaStatus) {
	if handOver := status.HandOver; handOver != nil {
		fmt.Fprintf(writer, "  hand-over to generation %d (%s) for %s, swapping %t, waits for: %s\n", handOver.Generation, strings.Join(handOver.Members, ", "),
			Age(handOver.StartedAgoMs), handOver.Swapping, cmp.Or(handOver.Obstacle, "nothing known"))
	}
	if last := status.LastHandOver; last != nil {
		fmt.Fprintf(writer, "  last hand-over: to generation %d, %s, %s", last.Generation, last.Outcome, Ago(last.AgoMs))
		if last.Obstacle != "" {
			fmt.Fprintf(writer, ", had waited for: %s", last.Obstacle)
		}
		fmt.Fprintln(writer)
	}
	if status.Frozen {
		fmt.Fprintf(writer, "  frozen for %s by attempt %d, fencing %t\n", Age(status.FrozenMs), status.FrozenAttempt, status.Fencing)
	}
	printWrite(writer, "swap", status.LastSwap)
	printWrite(writer, "fence", status.LastFence)
}

func printWrite(writer io.Writer, kind string, write *wirev1.MemberSetWrite) {
	if write == nil {
		return
	}
	fmt.Fprintf(writer, "  last %s: generation %d, attempt %d, committed %t, %s", kind, write.Generation, write.Attempt, write.Committed, Ago(write.AgoMs))
	if write.Error != "" {
		fmt.Fprintf(writer, ": %s", write.Error)
	}
	fmt.Fprintln(writer)
}
