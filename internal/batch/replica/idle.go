package replica

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// The driver of a leader marks a shard without work as idle, which reduces the number of
// heartbeats between nodes with disks. The leader tells the other members, and all of them
// multiply their heartbeat and election times by idleFactor until the shard is busy again.
// Safety does not depend on these times.

// idleFactor is the factor by which the heartbeat and election times of an idle shard are
// longer. It must be small enough for a lost member to be noticed and replaced in time: heartbeats of
// 80 ms come every 640 ms.
const idleFactor = 8

// idleScaled returns a time, multiplied by idleFactor if the shard is idle.
func (r *Replica) idleScaled(time time.Duration) time.Duration {
	if r.Idle() {
		return idleFactor * time
	}
	return time
}

func (r *Replica) heartbeatTime() time.Duration { return r.idleScaled(r.timing.Heartbeat) }

func (r *Replica) electionTime() time.Duration { return r.idleScaled(r.timing.Election) }

// Idle reports whether the shard is idle as far as this replica knows.
func (r *Replica) Idle() bool { return r.idleChanges%2 == 1 }

// endIdle marks the shard as busy at this replica only.
func (r *Replica) endIdle() {
	if r.Idle() {
		r.idleChanges++
	}
}

// followIdle adopts the leader's count of changes between idle and busy, unless the count
// is older than this replica's.
func (r *Replica) followIdle(changes uint64) { r.idleChanges = max(r.idleChanges, changes) }

// SetIdle marks the shard as idle or busy and tells the members and learners. It has no
// effect if this replica does not lead. A shard does not become idle before every member
// and learner has confirmed the whole log.
func (r *Replica) SetIdle(now time.Time, idle bool) {
	if r.role != Leader || idle == r.Idle() || idle && !r.allCaughtUp() {
		return
	}
	r.idleChanges++
	r.heartbeatAt = now.Add(r.heartbeatTime())
	for _, member := range r.followers() { // at once: the members expect heartbeats at the old interval
		r.sendAppend(member, r.progress[member], now, true)
	}
}

// allCaughtUp reports whether every other member and every learner has confirmed the whole log.
func (r *Replica) allCaughtUp() bool {
	for _, member := range r.followers() {
		if p := r.progress[member]; p == nil || !p.confirmed || p.match != r.lastIndex() {
			return false
		}
	}
	return true
}

// Wake makes an idle shard busy. A replica that does not lead marks the shard as busy
// itself, so that it detects a lost leader within the normal election time, and asks its
// leader, if it knows one, to wake the others. Wake has no effect on a busy shard.
func (r *Replica) Wake(now time.Time) {
	if !r.Idle() {
		return
	}
	if r.role == Leader {
		r.SetIdle(now, false)
		return
	}
	r.endIdle()
	// The leader gets the normal election time to respond before a campaign starts.
	r.lastLeaderContact = now
	r.resetDeadline(now)
	if r.leader != "" {
		r.send(&wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_WAKE, To: r.leader, Epoch: r.hard.Promised})
	}
}

// handleWake handles a member's request that the leader make the shard busy.
func (r *Replica) handleWake(now time.Time, message *wirev1.ReplicaMessage) {
	if r.role == Leader && message.Epoch == r.hard.Promised {
		r.SetIdle(now, false)
	}
}
