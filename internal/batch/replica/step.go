package replica

import (
	"hash/crc32"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the checksum of a command. It is stored with each entry and verified
// whenever the entry is read.
func Checksum(command []byte) uint32 { return crc32.Checksum(command, castagnoli) }

// Step handles one message of another replica. It drops messages of other generations and
// messages to other disks. Snapshot offers are handled by the driver, not by Step.
func (r *Replica) Step(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Generation != r.memberSet.Generation || message.To != r.self {
		r.observed.recordDropped(now, message)
		return
	}
	r.observed.record(now, message)
	switch message.Kind {
	case wirev1.ReplicaKind_REPLICA_KIND_PRE_PREPARE:
		r.handlePrePrepare(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_PRE_PROMISE:
		r.handlePrePromise(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_PREPARE:
		r.handlePrepare(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_PROMISE:
		r.handlePromise(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_APPEND:
		r.handleAppend(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED:
		r.handleAccepted(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_TRANSFER:
		r.handleTransfer(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_FREEZE:
		r.handleFreeze(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_FROZEN:
		r.handleFrozen(now, message)
	case wirev1.ReplicaKind_REPLICA_KIND_WAKE:
		r.handleWake(now, message)
	}
}

// upToDate reports whether the last entry of a candidate's log has a higher epoch than this
// replica's last entry, or the same epoch and an index that is not lower.
func (r *Replica) upToDate(message *wirev1.ReplicaMessage) bool {
	if message.LastEpoch != r.lastEpoch() {
		return message.LastEpoch > r.lastEpoch()
	}
	return message.LastIndex >= r.lastIndex()
}

func (r *Replica) handlePrePrepare(now time.Time, message *wirev1.ReplicaMessage) {
	leaderAlive := r.LeaderAlive(now)
	if r.Idle() && r.role != Leader {
		r.Wake(now) // another member has lost its leader; a busy shard elects a leader sooner
	}
	granted := !leaderAlive && !r.hard.Frozen && r.upToDate(message)
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_PRE_PROMISE, To: message.From, Epoch: r.hard.Promised, Granted: granted, Refusal: r.preVoteRefusal(granted, leaderAlive),
	})
}

func (r *Replica) handlePrePromise(now time.Time, message *wirev1.ReplicaMessage) {
	if r.role != PreCandidate || !message.Granted {
		return
	}
	// The election must use an epoch higher than the promised epochs of the other members.
	r.raisePromised(message.Epoch)
	r.votes[message.From] = true
	if r.hasEnoughPreVotes() {
		r.requestVotes(now)
	}
}

func (r *Replica) handlePrepare(now time.Time, message *wirev1.ReplicaMessage) {
	if r.hard.Frozen {
		return
	}
	granted := message.Epoch > r.hard.Promised && r.upToDate(message)
	refusal := r.voteRefusal(granted, message)
	if message.Epoch > r.hard.Promised {
		r.follow(now, message.Epoch, "")
	}
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_PROMISE, To: message.From, Epoch: r.hard.Promised, Granted: granted, Refusal: refusal,
	})
}

func (r *Replica) handlePromise(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Epoch > r.hard.Promised {
		r.follow(now, message.Epoch, "")
		return
	}
	if r.role == Candidate && message.Granted && message.Epoch == r.hard.Promised {
		r.votes[message.From] = true
		r.countVotes(now)
	}
}

// follow makes the replica a follower in an epoch that is not lower than the promised epoch.
// The leader is "" if it is not known.
func (r *Replica) follow(now time.Time, epoch uint64, leader string) {
	r.raisePromised(epoch)
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.resetDeadline(now)
}

func (r *Replica) handleAppend(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Epoch < r.hard.Promised {
		r.rejectEarlierEpoch(message)
		return
	}
	if r.hard.Frozen && message.Epoch != r.hard.Promised {
		return
	}
	if message.Frozen && message.Attempt < r.memberSet.Attempt {
		r.reportAttempt(message)
		return
	}
	r.quickCampaigns = 0
	r.raisePromised(message.Epoch)
	r.followIdle(message.Rest)
	r.follow(now, message.Epoch, message.From)
	r.lastLeaderContact = now
	r.campaignsWithoutLeader = 0
	previousEpoch, inLog := r.epochAt(message.LastIndex)
	if message.LastIndex < r.baseIndex {
		inLog, previousEpoch = true, message.LastEpoch // entries below the base are committed, so they match
	}
	if !inLog || previousEpoch != message.LastEpoch {
		r.reject(message, r.matchIndexHint(message.LastIndex))
		return
	}
	if !r.appendReceived(message.Entries) {
		return
	}
	matched := message.LastIndex + uint64(len(message.Entries))
	r.hard.Commit = max(r.hard.Commit, min(message.Commit, matched))
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED, To: message.From, Epoch: r.hard.Promised, Granted: true, MatchIndex: matched, Probe: message.Probe,
	})
}

// matchIndexHint returns the last index at which this replica's log may match the leader's,
// after a mismatch at the given index. It goes back to the first entry of an epoch, so that
// few rejections are needed, but not below the commit index.
func (r *Replica) matchIndexHint(mismatch uint64) uint64 {
	candidate := min(r.lastIndex(), mismatch-min(mismatch, 1))
	epoch, inLog := r.epochAt(candidate)
	for inLog && candidate > r.hard.Commit && candidate > r.baseIndex {
		previous, ok := r.epochAt(candidate - 1)
		if !ok || previous != epoch {
			break
		}
		candidate--
	}
	return max(candidate, r.hard.Commit)
}

// rejectEarlierEpoch responds to an append of a leader of an earlier epoch. The response is of this
// epoch, and so confirms none of that leader's probes: the sender may lead again, after a restart, and
// count other probes by the same numbers.
func (r *Replica) rejectEarlierEpoch(message *wirev1.ReplicaMessage) {
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED, To: message.From, Epoch: r.hard.Promised, LastIndex: message.LastIndex,
	})
}

// reject responds to an append of this epoch that was not accepted. The leader continues after the index
// in hint, unless this replica has acknowledged a higher one.
func (r *Replica) reject(message *wirev1.ReplicaMessage, hint uint64) {
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED, To: message.From, Epoch: r.hard.Promised, LastIndex: message.LastIndex, MatchIndex: hint, Probe: message.Probe,
	})
}

// DeclineSnapshot rejects a snapshot offer that the driver does not need, because the applied
// state or the log contains the snapshot's last entry. The leader continues after the commit index, up
// to which the log is known to match the leader's; entries after it may conflict. The offer
// of an earlier epoch or of another generation is ignored, and so is any offer to a frozen
// member.
func (r *Replica) DeclineSnapshot(now time.Time, offer *wirev1.ReplicaMessage) {
	if offer.Generation != r.memberSet.Generation || offer.To != r.self || offer.Epoch < r.hard.Promised || r.hard.Frozen {
		return
	}
	r.follow(now, offer.Epoch, offer.From)
	r.lastLeaderContact = now
	r.hard.Commit = max(r.hard.Commit, offer.LastIndex)
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED, To: offer.From, Epoch: r.hard.Promised, MatchIndex: r.hard.Commit,
	})
}

// appendReceived appends the entries that the log does not contain, and first removes
// entries that conflict with them. It reports false, and changes nothing, if the checksum
// of any received entry is wrong.
func (r *Replica) appendReceived(entries []*wirev1.LogEntry) bool {
	for _, entry := range entries {
		if entry.Checksum != Checksum(entry.Command) {
			return false
		}
	}
	for _, entry := range entries {
		if entry.Index <= r.baseIndex {
			continue
		}
		epoch, inLog := r.epochAt(entry.Index)
		if inLog && epoch == entry.Epoch {
			continue
		}
		if inLog {
			r.truncateTail(entry.Index)
		}
		r.epochs = append(r.epochs, entry.Epoch)
		r.pending = append(r.pending, entry)
	}
	return true
}

// truncateTail removes the entries from an index on, which conflict with the log of a
// newer leader. Such entries were never committed.
func (r *Replica) truncateTail(index uint64) {
	r.epochs = r.epochs[:index-r.baseIndex-1]
	for len(r.pending) > 0 && r.pending[len(r.pending)-1].Index >= index {
		r.pending = r.pending[:len(r.pending)-1]
	}
	if r.truncateFrom == 0 || index < r.truncateFrom {
		r.truncateFrom = index
	}
	r.persisted = min(r.persisted, index-1)
}

func (r *Replica) handleAccepted(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Epoch > r.hard.Promised {
		r.follow(now, message.Epoch, "")
		return
	}
	r.adoptAttempt(now, message.Attempt)
	p := r.progress[message.From]
	if r.role != Leader || p == nil || message.Epoch != r.hard.Promised {
		return
	}
	p.lastResponse = now
	p.probe = max(p.probe, message.Probe)
	if !message.Granted {
		if isStaleRejection(p, message) {
			return
		}
		p.inFlight = nil
		p.next = max(p.match, min(message.MatchIndex, r.lastIndex())) + 1
		p.resendFrom = p.next
		p.confirmed = false
		r.sendAppend(message.From, p, now, true)
		return
	}
	if !p.confirmed {
		p.confirmed = true
		p.inFlight = nil
	}
	p.match = max(p.match, message.MatchIndex)
	p.next = max(p.next, p.match+1)
	p.acknowledge(p.match)
	r.advanceCommit()
	r.sendAppend(message.From, p, now, false)
}

// isStaleRejection reports whether a rejection responds to a message that the leader has
// reacted to already. Many messages may be rejected for the same gap in a member's log, and
// only one of the rejections may cause entries to be sent. A rejection names the index before
// the entries of the rejected message, or 0 if it always counts.
func isStaleRejection(p *progress, rejection *wirev1.ReplicaMessage) bool {
	rejected := rejection.LastIndex
	switch {
	case rejected == 0:
		return false
	case p.confirmed:
		return rejected <= p.match
	default:
		return rejected != p.next-1
	}
}

// handleTransfer starts an election without pre-votes, because the leader requested it.
func (r *Replica) handleTransfer(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Epoch == r.hard.Promised && r.memberSet.Has(r.self) && !r.hard.Frozen {
		r.requestVotes(now)
	}
}
