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

// Step handles one message. It drops messages of other generations, because a member set
// changes only by a sealed hand-over.
func (r *Replica) Step(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Generation != r.memberSet.Generation || message.To != r.self {
		return
	}
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

// upToDate reports whether a candidate's log contains every entry that this replica may
// have acknowledged.
func (r *Replica) upToDate(message *wirev1.ReplicaMessage) bool {
	if message.LastEpoch != r.lastEpoch() {
		return message.LastEpoch > r.lastEpoch()
	}
	return message.LastIndex >= r.lastIndex()
}

func (r *Replica) handlePrePrepare(now time.Time, message *wirev1.ReplicaMessage) {
	leaderAlive := r.role == Leader || now.Sub(r.lastLeaderContact) < r.electionTime()
	if r.Idle() && r.role != Leader {
		r.Wake(now) // the shard is needed, and a busy shard detects a lost leader sooner
	}
	granted := !leaderAlive && !r.hard.Frozen && r.upToDate(message)
	r.send(&wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_PRE_PROMISE, To: message.From, Epoch: r.hard.Promised, Granted: granted})
}

func (r *Replica) handlePrePromise(now time.Time, message *wirev1.ReplicaMessage) {
	if r.role != PreCandidate || !message.Granted {
		return
	}
	// The campaign needs an epoch above the ones that others have promised.
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
	if message.Epoch > r.hard.Promised {
		r.follow(now, message.Epoch, "")
	}
	r.send(&wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_PROMISE, To: message.From, Epoch: r.hard.Promised, Granted: granted})
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

// follow makes the replica a follower in an epoch at or above the promised epoch. The
// leader is "" if it is not known.
func (r *Replica) follow(now time.Time, epoch uint64, leader string) {
	r.raisePromised(epoch)
	r.role = Follower
	r.leader = leader
	r.progress = nil
	r.resetDeadline(now)
}

func (r *Replica) handleAppend(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Epoch < r.hard.Promised {
		r.reject(message, 0)
		return
	}
	if r.hard.Frozen && message.Epoch != r.hard.Promised {
		return
	}
	r.quickCampaigns = 0
	r.raisePromised(message.Epoch)
	r.followIdle(message.Rest)
	r.follow(now, message.Epoch, message.From)
	r.lastLeaderContact = now
	r.failedCampaigns = 0
	previousEpoch, known := r.epochAt(message.LastIndex)
	if message.LastIndex < r.baseIndex {
		known, previousEpoch = true, message.LastEpoch // entries below the base are committed, so they match
	}
	if !known || previousEpoch != message.LastEpoch {
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

// matchIndexHint returns an index before the mismatch at which the leader's log may match.
// It goes back to the first entry of an epoch, so that few rejections are needed.
func (r *Replica) matchIndexHint(mismatch uint64) uint64 {
	candidate := min(r.lastIndex(), mismatch-min(mismatch, 1))
	epoch, known := r.epochAt(candidate)
	for known && candidate > r.hard.Commit && candidate > r.baseIndex {
		previous, ok := r.epochAt(candidate - 1)
		if !ok || previous != epoch {
			break
		}
		candidate--
	}
	return max(candidate, r.hard.Commit)
}

func (r *Replica) reject(message *wirev1.ReplicaMessage, hint uint64) {
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED, To: message.From, Epoch: r.hard.Promised, MatchIndex: hint, Probe: message.Probe,
	})
}

// DeclineSnapshot rejects the offer of a snapshot that this replica does not need. The
// reply contains the last index of the log, so that the leader continues from there.
func (r *Replica) DeclineSnapshot(now time.Time, offer *wirev1.ReplicaMessage) {
	if offer.Generation != r.memberSet.Generation || offer.To != r.self || offer.Epoch < r.hard.Promised || r.hard.Frozen {
		return
	}
	r.follow(now, offer.Epoch, offer.From)
	r.lastLeaderContact = now
	r.reject(offer, r.lastIndex())
}

// appendReceived appends entries that are missing in the log and truncates conflicting
// ones. It reports false, and changes nothing, if an entry is damaged.
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
		epoch, known := r.epochAt(entry.Index)
		if known && epoch == entry.Epoch {
			continue
		}
		if known {
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
	p := r.progress[message.From]
	if r.role != Leader || p == nil || message.Epoch != r.hard.Promised {
		return
	}
	p.lastResponse = now
	p.probe = max(p.probe, message.Probe)
	if !message.Granted {
		p.inFlight = nil
		p.next = max(p.match, min(message.MatchIndex, r.lastIndex())) + 1
		p.resendFrom = p.next
		p.confirmed = false
		r.sendAppend(message.From, p, now, true)
		return
	}
	p.confirmed = true
	p.match = max(p.match, message.MatchIndex)
	p.next = max(p.next, p.match+1)
	p.acknowledge(p.match)
	r.advanceCommit()
	r.sendAppend(message.From, p, now, false)
}

// handleTransfer starts an election without pre-votes, because the leader requested it.
func (r *Replica) handleTransfer(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Epoch == r.hard.Promised && r.memberSet.Has(r.self) && !r.hard.Frozen {
		r.requestVotes(now)
	}
}
