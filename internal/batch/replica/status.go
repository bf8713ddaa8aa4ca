package replica

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// observations holds what a replica has lately seen of the other members. It is for Status,
// ServingState and BlockedByFreeze, and has no effect on elections.
type observations struct {
	heard   map[string]time.Time
	answers map[string]VoteAnswer
	foreign ForeignGeneration
	// servingEpoch is the epoch in which a leader last reported that it serves.
	servingEpoch uint64
}

// VoteAnswer is a member's answer to a request for a vote or a pre-vote.
type VoteAnswer struct {
	PreVote    bool
	Granted    bool
	Refusal    wirev1.VoteRefusal
	Epoch      uint64 // promised epoch of the member
	Generation uint64
	At         time.Time
}

// ForeignGeneration describes the dropped messages of other generations. All but Count are
// those of the last message; the zero value means that none has arrived.
type ForeignGeneration struct {
	Generation uint64
	From       string
	At         time.Time
	Count      uint64
}

// recordDropped records a message that Step drops.
func (o *observations) recordDropped(now time.Time, message *wirev1.ReplicaMessage) {
	o.foreign = ForeignGeneration{Generation: message.Generation, From: message.From, At: now, Count: o.foreign.Count + 1}
}

// record records a message that Step handles.
func (o *observations) record(now time.Time, message *wirev1.ReplicaMessage) {
	if o.heard == nil {
		o.heard, o.answers = map[string]time.Time{}, map[string]VoteAnswer{}
	}
	o.heard[message.From] = now
	switch message.Kind {
	case wirev1.ReplicaKind_REPLICA_KIND_APPEND:
		if message.Serving {
			o.servingEpoch = message.Epoch
		}
	case wirev1.ReplicaKind_REPLICA_KIND_PRE_PROMISE, wirev1.ReplicaKind_REPLICA_KIND_PROMISE:
		o.answers[message.From] = VoteAnswer{
			PreVote: message.Kind == wirev1.ReplicaKind_REPLICA_KIND_PRE_PROMISE, Granted: message.Granted, Refusal: message.Refusal,
			Epoch: message.Epoch, Generation: message.Generation, At: now,
		}
	}
}

// preVoteRefusal returns why a pre-vote was not granted.
func (r *Replica) preVoteRefusal(granted, leaderAlive bool) wirev1.VoteRefusal {
	switch {
	case granted:
		return wirev1.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED
	case r.hard.Frozen:
		return wirev1.VoteRefusal_VOTE_REFUSAL_FROZEN
	case leaderAlive:
		return wirev1.VoteRefusal_VOTE_REFUSAL_LEADER_ALIVE
	default:
		return wirev1.VoteRefusal_VOTE_REFUSAL_LOG_BEHIND
	}
}

// voteRefusal returns why a vote was not granted. It has to be called before the replica
// adopts the epoch of the request.
func (r *Replica) voteRefusal(granted bool, request *wirev1.ReplicaMessage) wirev1.VoteRefusal {
	switch {
	case granted:
		return wirev1.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED
	case request.Epoch <= r.hard.Promised:
		return wirev1.VoteRefusal_VOTE_REFUSAL_EPOCH_NOT_HIGHER
	default:
		return wirev1.VoteRefusal_VOTE_REFUSAL_LOG_BEHIND
	}
}

const (
	// foreignRecent is how long a dropped message of another generation explains the lack of
	// a leader.
	foreignRecent = 3 * time.Second
	// failedCampaigns is the number of begun campaigns from which on one has failed.
	failedCampaigns = 2
)

// ServingState returns whether this replica serves or follows a leader that serves, and if
// not, why. It is cheap enough for each tick.
func (r *Replica) ServingState(now time.Time) wirev1.ServingState {
	switch {
	case len(r.memberSet.Members) == 0:
		return wirev1.ServingState_SERVING_STATE_LEARNER
	case !r.memberSet.Has(r.self):
		return wirev1.ServingState_SERVING_STATE_NOT_MEMBER
	case r.hard.Frozen:
		return wirev1.ServingState_SERVING_STATE_FROZEN
	case r.role == Leader:
		return r.leadingState(now)
	case r.hearsLeader(now):
		return r.followingState()
	case r.ForeignSeen(now):
		return wirev1.ServingState_SERVING_STATE_OTHER_GENERATION
	case r.campaignsWithoutLeader >= failedCampaigns:
		return wirev1.ServingState_SERVING_STATE_NO_VOTES
	default:
		return wirev1.ServingState_SERVING_STATE_ELECTING
	}
}

// hearsLeader reports whether another replica is known as leader and has been heard within the
// longest time before a campaign. After a thaw the leader that drove the hand-over stays known,
// although it leads no more.
func (r *Replica) hearsLeader(now time.Time) bool {
	return r.leader != "" && r.leader != r.self && now.Sub(r.lastLeaderContact) < 2*r.electionTime()
}

func (r *Replica) leadingState(now time.Time) wirev1.ServingState {
	switch {
	case !r.Serving():
		return wirev1.ServingState_SERVING_STATE_CANNOT_COMMIT
	case r.LiveMembers(now) < r.memberSet.WriteQuorum():
		return wirev1.ServingState_SERVING_STATE_NO_QUORUM
	default:
		return wirev1.ServingState_SERVING_STATE_SERVING
	}
}

// followingState tells from the leader's own report or from a committed entry of its epoch
// whether the leader serves.
func (r *Replica) followingState() wirev1.ServingState {
	if r.observed.servingEpoch == r.hard.Promised || r.EpochAt(r.hard.Commit) == r.hard.Promised {
		return wirev1.ServingState_SERVING_STATE_FOLLOWING
	}
	return wirev1.ServingState_SERVING_STATE_AWAITING_COMMIT
}

// ForeignSeen reports whether a message of another generation was dropped within
// foreignRecent.
func (r *Replica) ForeignSeen(now time.Time) bool {
	foreign := r.observed.foreign
	return foreign.Count > 0 && foreign.Generation != r.memberSet.Generation && now.Sub(foreign.At) < foreignRecent
}

// Status returns the replica's part of the status of a shard. The names of nodes, the state of
// disks and all that the driver knows are left out.
func (r *Replica) Status(now time.Time) *wirev1.ReplicaStatus {
	status := &wirev1.ReplicaStatus{
		Shard: r.shard, Disk: r.self, State: r.ServingState(now), Role: r.role.String(), Leader: r.leader, LeaderHeardAgoMs: AgeMs(now, r.lastLeaderContact),
		Epoch: r.hard.Promised, Generation: r.memberSet.Generation, Attempt: r.memberSet.Attempt,
		WriteQuorum: uint32(r.memberSet.WriteQuorum()), ElectionQuorum: uint32(r.memberSet.ElectionQuorum()),
		CampaignsWithoutLeader: uint32(r.campaignsWithoutLeader), Votes: uint32(len(r.votes)),
		Frozen: r.hard.Frozen, FrozenAttempt: r.hard.FrozenAttempt,
		LastIndex: r.lastIndex(), PersistedIndex: r.persisted, CommitIndex: r.hard.Commit,
	}
	if r.role == Leader {
		status.EpochStartIndex = r.epochStart
	}
	if foreign := r.observed.foreign; foreign.Count > 0 {
		status.Foreign = &wirev1.ForeignGeneration{Generation: foreign.Generation, Disk: foreign.From, AgoMs: AgeMs(now, foreign.At), Count: foreign.Count}
	}
	for _, member := range r.memberSet.Members {
		status.Members = append(status.Members, r.memberStatus(now, member))
	}
	for _, learner := range r.learners {
		if !r.memberSet.Has(learner) {
			status.Members = append(status.Members, r.memberStatus(now, learner))
		}
	}
	return status
}

func (r *Replica) memberStatus(now time.Time, member string) *wirev1.MemberStatus {
	status := &wirev1.MemberStatus{
		Disk: member, Learner: !r.memberSet.Has(member), HeardAgoMs: AgeMs(now, r.observed.heard[member]), Frozen: r.frozenBy[member],
	}
	if answer, found := r.observed.answers[member]; found && answer.Generation == r.memberSet.Generation {
		status.Answer = &wirev1.VoteAnswer{PreVote: answer.PreVote, Granted: answer.Granted, Refusal: answer.Refusal, Epoch: answer.Epoch, AgoMs: AgeMs(now, answer.At)}
	}
	if p := r.progress[member]; p != nil {
		status.MatchIndex = p.match
	}
	if member == r.self {
		status.HeardAgoMs, status.MatchIndex = 0, r.persisted
	}
	return status
}

// AgeMs returns the time since an event in milliseconds, or -1 if the time of the event is
// zero, which means that it has not happened.
func AgeMs(now, event time.Time) int64 {
	if event.IsZero() {
		return -1
	}
	return now.Sub(event).Milliseconds()
}

// SealObstacles returns what Sealed waits for: the members that have not confirmed the freeze,
// if too few have, and the members of the next set without the leader's whole log on disk, if
// too few have it. Both are empty if this replica does not lead.
func (r *Replica) SealObstacles(next MemberSet) (unfrozen, lacking []string) {
	if r.role != Leader {
		return nil, nil
	}
	for _, member := range r.memberSet.Members {
		if !r.frozenBy[member] {
			unfrozen = append(unfrozen, member)
		}
	}
	if len(r.frozenBy) >= r.memberSet.ElectionQuorum() {
		unfrozen = nil
	}
	for _, member := range next.Members {
		if p := r.progress[member]; member != r.self && (p == nil || p.match < r.lastIndex()) || member == r.self && r.persisted < r.lastIndex() {
			lacking = append(lacking, member)
		}
	}
	if len(next.Members)-len(lacking) >= next.WriteQuorum() {
		lacking = nil
	}
	return unfrozen, lacking
}
