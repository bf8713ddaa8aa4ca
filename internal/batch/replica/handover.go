package replica

import (
	"maps"
	"slices"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// A member set is replaced by a sealed hand-over. The leader that drives it is called
// the sealer:
//
//  1. New members catch up as learners, which store entries but do not count towards
//     any quorum.
//  2. The sealer freezes itself and asks the other old members to freeze. A frozen
//     leader rejects proposals. A frozen member does not vote or campaign, and accepts
//     entries only in its promised epoch. Once an election quorum is frozen, no new
//     entry can be committed in the old generation, because every write quorum has a
//     frozen member.
//  3. Once a write quorum of the new members has the sealer's whole log, the driver
//     replaces the member set in the platform's store by compare-and-swap. Of several
//     concurrent changes only one succeeds.
//  4. Members activate the new generation when they read the new member set. If a member
//     stays frozen for too long, or its sealer is gone, a driver raises the attempt by
//     compare-and-swap: its own, or that of a member that needs the frozen member's vote,
//     because the platform's store may turn single nodes away. A later swap by the sealer
//     then fails, and the members of the old generation thaw and continue when they read
//     the raised attempt.

const (
	// sealerCampaignDelay and sealerCampaigns are the delay and the number of the sealer's
	// campaigns in the new generation. Campaigns fail until the other members know the
	// new member set. The sealer retries fast, so that it stays leader: a change of
	// leaders would interrupt running work.
	sealerCampaignDelay = 80 * time.Millisecond
	sealerCampaigns     = 10
)

// SetLearners replaces the set of learners, the disks that receive entries without counting
// towards a quorum. Only a leader sends them entries.
func (r *Replica) SetLearners(now time.Time, learners []string) {
	r.learners = learners
	if r.role != Leader {
		return
	}
	// A disk that is a learner again later may have lost what it had confirmed.
	maps.DeleteFunc(r.progress, func(disk string, _ *progress) bool {
		return !r.memberSet.Has(disk) && !slices.Contains(learners, disk)
	})
	for _, learner := range learners {
		if r.progress[learner] == nil {
			r.progress[learner] = &progress{next: r.lastIndex() + 1, resendFrom: r.lastIndex() + 1, lastResponse: now}
		}
	}
}

// CaughtUp reports whether a member or learner has confirmed a matching log and lacks at
// most 64 entries. It reports true for this replica's own disk, and false for all others
// if this replica does not lead.
func (r *Replica) CaughtUp(member string) bool {
	const maxMissingEntries = 64
	if member == r.self {
		return true
	}
	p := r.progress[member]
	return r.role == Leader && p != nil && p.confirmed && p.match+maxMissingEntries >= r.lastIndex()
}

// Freeze freezes this leader and asks the other members to freeze. The leader rejects
// proposals until it thaws. Freeze has no effect and reports false if this replica does not
// lead.
func (r *Replica) Freeze() bool {
	if r.role != Leader {
		return false
	}
	r.hard.Frozen, r.hard.FrozenAttempt = true, r.memberSet.Attempt
	r.hardStateChanged = true
	r.frozenBy = map[string]bool{r.self: true}
	r.requestFreeze()
	return true
}

// requestFreeze asks the other members that have not confirmed the freeze to freeze.
func (r *Replica) requestFreeze() {
	for _, member := range r.memberSet.Members {
		if !r.frozenBy[member] {
			r.send(&wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_FREEZE, To: member, Epoch: r.hard.Promised, Attempt: r.memberSet.Attempt})
		}
	}
}

// Sealed reports whether this replica leads and is frozen, an election quorum of the current
// member set is frozen, and a write quorum of the next member set has the leader's whole log
// on disk. The current generation can then commit no new entries.
func (r *Replica) Sealed(next MemberSet) bool {
	if r.role != Leader || !r.hard.Frozen || len(r.frozenBy) < r.memberSet.ElectionQuorum() {
		return false
	}
	copies := 0
	for _, member := range next.Members {
		p := r.progress[member]
		if member == r.self && r.persisted >= r.lastIndex() || p != nil && p.match >= r.lastIndex() {
			copies++
		}
	}
	return copies >= next.WriteQuorum()
}

// Frozen reports whether this member is frozen.
func (r *Replica) Frozen() bool { return r.hard.Frozen }

// frozenAnswerLifetime is how long the answer of a frozen member shows that it is frozen. It is
// longer than the time between two campaigns.
const frozenAnswerLifetime = 3 * time.Second

// BlockedByFreeze reports whether this member is not frozen itself, knows no leader, and was
// refused a vote by a frozen member.
func (r *Replica) BlockedByFreeze(now time.Time) bool {
	if r.hard.Frozen || r.leader != "" {
		return false
	}
	for member, answer := range r.observed.answers {
		frozen := answer.Refusal == wirev1.VoteRefusal_VOTE_REFUSAL_FROZEN && answer.Generation == r.memberSet.Generation
		if frozen && r.memberSet.Has(member) && now.Sub(answer.At) < frozenAnswerLifetime {
			return true
		}
	}
	return false
}

// Observe handles a member set from the platform's store. It activates a newer generation.
// A higher attempt in the current generation is adopted, and thaws a member that an earlier
// attempt froze. An older member set is ignored.
func (r *Replica) Observe(now time.Time, stored MemberSet) {
	if stored.Generation > r.memberSet.Generation {
		r.activate(now, stored)
		return
	}
	if stored.Generation == r.memberSet.Generation {
		r.adoptAttempt(now, stored.Attempt)
	}
}

// adoptAttempt adopts an attempt of the current generation, which is stored, if it is higher
// than the known one. A replica that an earlier attempt froze thaws.
func (r *Replica) adoptAttempt(now time.Time, attempt uint64) {
	if attempt <= r.memberSet.Attempt {
		return
	}
	r.memberSet.Attempt = attempt
	clear(r.observed.answers) // the members that were frozen thaw as well
	if r.hard.Frozen && r.hard.FrozenAttempt < attempt {
		r.thaw(now)
	}
}

// reportAttempt responds to a sealer whose hand-over was cancelled, and which may not be able to
// read that from the platform's store. Its message is no contact with a leader: the members
// that have thawed must elect another.
func (r *Replica) reportAttempt(message *wirev1.ReplicaMessage) {
	r.send(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_ACCEPTED, To: message.From, Epoch: r.hard.Promised, LastIndex: message.LastIndex,
		Attempt: r.memberSet.Attempt, Probe: message.Probe,
	})
}

// thaw ends the freeze and makes the replica a follower that knows no leader and campaigns
// soon, because the sealer does not lead any more either.
func (r *Replica) thaw(now time.Time) {
	r.hard.Frozen = false
	r.hardStateChanged = true
	r.frozenBy = nil
	r.role = Follower
	r.leader = ""
	r.lastLeaderContact = time.Time{}
	r.progress = nil
	r.deadline = now.Add(time.Duration(r.random.Int64N(int64(initialElectionDelay))))
}

// activate changes to the member set of a newer generation. The replica thaws and becomes a
// follower; its log stays unchanged.
func (r *Replica) activate(now time.Time, next MemberSet) {
	sealer := r.frozenBy != nil
	r.quickCampaigns = 0
	if sealer {
		r.quickCampaigns = sealerCampaigns
	}
	r.memberSet = next
	r.hard.Generation = next.Generation
	r.learners = nil
	r.idleChanges = 0
	r.thaw(now)
	// The new generation has no leader yet. The sealer campaigns first.
	r.deadline = now.Add(sealerCampaignDelay)
	if !sealer {
		r.deadline = now.Add(initialElectionDelay + time.Duration(r.random.Int64N(int64(initialElectionDelay))))
	}
}

func (r *Replica) handleFreeze(now time.Time, message *wirev1.ReplicaMessage) {
	if message.Epoch < r.hard.Promised {
		return
	}
	if message.Attempt < r.memberSet.Attempt {
		r.reportAttempt(message)
		return
	}
	r.follow(now, message.Epoch, message.From)
	r.lastLeaderContact = now
	if !r.hard.Frozen || r.hard.FrozenAttempt != message.Attempt {
		r.hard.Frozen, r.hard.FrozenAttempt = true, message.Attempt
		r.hardStateChanged = true
	}
	r.send(&wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_FROZEN, To: message.From, Epoch: r.hard.Promised})
}

func (r *Replica) handleFrozen(_ time.Time, message *wirev1.ReplicaMessage) {
	if r.role == Leader && r.frozenBy != nil && message.Epoch == r.hard.Promised {
		r.frozenBy[message.From] = true
	}
}
