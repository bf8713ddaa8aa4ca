package replica

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// LeaderLost tells a follower that its leader's node is lost or stopping. The follower
// campaigns within initialElectionDelay instead of waiting for the election time. The call
// has no effect on a leader, and on a replica that knows no leader.
func (r *Replica) LeaderLost(now time.Time) {
	if r.role == Leader || r.leader == "" {
		return
	}
	r.leader = ""
	r.lastLeaderContact = time.Time{}
	r.deadline = now.Add(time.Duration(r.random.Int64N(int64(initialElectionDelay))))
}

// LeaderAlive reports whether this replica leads, or has been in contact with a leader within
// the election time. For a frozen member, the leader is the sealer: one that has restarted does
// not continue its hand-over.
func (r *Replica) LeaderAlive(now time.Time) bool {
	return r.role == Leader || now.Sub(r.lastLeaderContact) < r.electionTime()
}

// resetDeadline sets the time of the next campaign.
func (r *Replica) resetDeadline(now time.Time) {
	if r.quickCampaigns > 0 {
		r.quickCampaigns--
		r.deadline = now.Add(sealerCampaignDelay)
		return
	}
	election := r.electionTime()
	r.deadline = now.Add(election + time.Duration(r.random.Int64N(int64(election))))
}

// campaign requests pre-votes from the other members, or starts an election at once if the
// replica's own pre-vote suffices. A pre-vote does not raise the epoch, so a replica that
// returns from a partition does not depose a live leader.
func (r *Replica) campaign(now time.Time) {
	r.endIdle()
	r.resetDeadline(now)
	r.role = PreCandidate
	r.leader = ""
	r.votes = map[string]bool{r.self: true}
	if r.hasEnoughPreVotes() {
		r.requestVotes(now)
		return
	}
	r.campaignsWithoutLeader++
	r.broadcast(wirev1.ReplicaKind_REPLICA_KIND_PRE_PREPARE, r.hard.Promised)
}

// hasEnoughPreVotes reports whether the pre-votes allow an election. They must reach both a
// majority and the election quorum. After three campaigns without contact to a leader, the
// election quorum suffices. Safety depends on the election quorum only.
func (r *Replica) hasEnoughPreVotes() bool {
	needed := len(r.memberSet.Members)/2 + 1
	if r.campaignsWithoutLeader >= 3 {
		needed = r.memberSet.ElectionQuorum()
	}
	return len(r.votes) >= max(needed, r.memberSet.ElectionQuorum())
}

// requestVotes starts an election in a new epoch. The replica votes for itself and requests
// the votes of the other members.
func (r *Replica) requestVotes(now time.Time) {
	r.endIdle()
	r.resetDeadline(now)
	r.role = Candidate
	r.raisePromised(r.nextEpoch())
	r.votes = map[string]bool{r.self: true}
	r.broadcast(wirev1.ReplicaKind_REPLICA_KIND_PREPARE, r.hard.Promised)
	r.countVotes(now)
}

// nextEpoch returns an epoch of the current generation that is higher than the promised
// epoch and that no other member uses.
func (r *Replica) nextEpoch() uint64 {
	base := r.memberSet.Generation << (counterBits + indexBits)
	counter := uint64(0)
	if r.hard.Promised > base {
		counter = (r.hard.Promised - base) >> indexBits
	}
	return base + (counter+1)<<indexBits + uint64(r.memberSet.index(r.self)+1)
}

func (r *Replica) raisePromised(epoch uint64) {
	if epoch > r.hard.Promised {
		r.hard.Promised = epoch
		r.idleChanges = 0
		r.hardStateChanged = true
	}
}

func (r *Replica) broadcast(kind wirev1.ReplicaKind, epoch uint64) {
	for _, member := range r.memberSet.Members {
		if member == r.self {
			continue
		}
		r.send(&wirev1.ReplicaMessage{Kind: kind, To: member, Epoch: epoch, LastIndex: r.lastIndex(), LastEpoch: r.lastEpoch()})
	}
}

func (r *Replica) countVotes(now time.Time) {
	if r.role == Candidate && len(r.votes) >= r.memberSet.ElectionQuorum() {
		r.becomeLeader(now)
	}
}
