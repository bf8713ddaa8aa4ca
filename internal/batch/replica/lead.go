package replica

import (
	"sort"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// progress is the state of replication to one member or learner.
//
// Until the member has confirmed a log that matches the leader's up to next-1, the leader has
// at most one message with entries in flight to it, and next does not advance.
type progress struct {
	match uint64 // last index known to be on the member's disk
	next  uint64 // next index to send
	// resendFrom is the index after the end of the member's log, as assumed when this leader
	// was elected or as reported by the member's last rejection. If the member becomes
	// unresponsive, the leader sends entries again from resendFrom or from match+1,
	// whichever is higher.
	resendFrom   uint64
	lastResponse time.Time // initially the time at which the leader began to replicate to it
	diskSeenAt   time.Time // time of the last call of RecordSeen
	sentAt       time.Time // time of the last message with entries or heartbeat
	confirmed    bool      // a matching log was confirmed in this epoch, and no rejection followed
	probe        uint64    // highest probe that the member has responded to
	inFlight     []inFlightEntries
}

// inFlightEntries are the entries of one message that the member has not acknowledged.
type inFlightEntries struct {
	last  uint64 // index of the last entry
	bytes int    // size of the commands
}

func (p *progress) inFlightBytes() int {
	total := 0
	for _, sent := range p.inFlight {
		total += sent.bytes
	}
	return total
}

// acknowledge removes the in-flight entries up to an index.
func (p *progress) acknowledge(match uint64) {
	for len(p.inFlight) > 0 && p.inFlight[0].last <= match {
		p.inFlight = p.inFlight[1:]
	}
}

// BeginProbe returns the number of a new probe. A leader sends the probe to all followers.
// Once ConfirmedProbe reaches the number, it is certain that no other replica had been
// elected in a later epoch when the probe began.
func (r *Replica) BeginProbe(now time.Time) uint64 {
	r.probe++
	if r.role == Leader {
		for _, member := range r.followers() {
			r.sendAppend(member, r.progress[member], now, true)
		}
	}
	return r.probe
}

// ConfirmedProbe returns the number of the last probe that a write quorum, this leader
// included, has responded to. Every election quorum shares a member with that write quorum.
// It returns 0 if there is no such probe or this replica does not lead.
func (r *Replica) ConfirmedProbe() uint64 {
	if r.role != Leader {
		return 0
	}
	probes := []uint64{r.probe}
	for member, p := range r.progress {
		if r.memberSet.Has(member) {
			probes = append(probes, p.probe)
		}
	}
	quorum := r.memberSet.WriteQuorum()
	if len(probes) < quorum {
		return 0
	}
	sort.Slice(probes, func(i, j int) bool { return probes[i] > probes[j] })
	return probes[quorum-1]
}

// LiveMembers returns how many members, this leader included, have responded within the
// election time. After an election, all members count as live for that time. It returns 0
// if this replica does not lead.
func (r *Replica) LiveMembers(now time.Time) int {
	if r.role != Leader {
		return 0
	}
	live := 1
	for member, p := range r.progress {
		if r.memberSet.Has(member) && now.Sub(p.lastResponse) < r.electionTime() {
			live++
		}
	}
	return live
}

// LiveMatch returns the highest index up to which all other live members and learners have
// the leader's log on disk. A member or learner is live here if it has confirmed a matching
// log in this epoch and has responded within the election time. If there are none, or this
// replica does not lead, LiveMatch returns this replica's own last index.
func (r *Replica) LiveMatch(now time.Time) uint64 {
	match := r.lastIndex()
	for _, p := range r.progress {
		if p.confirmed && now.Sub(p.lastResponse) < r.electionTime() {
			match = min(match, p.match)
		}
	}
	return match
}

// heartbeat sends a heartbeat, with entries if possible, to the followers. It does so at most
// once per heartbeat time. It skips a follower that was sent a message within this time and
// has acknowledged all entries sent to it.
func (r *Replica) heartbeat(now time.Time) {
	if now.Before(r.heartbeatAt) {
		return
	}
	r.heartbeatAt = now.Add(r.heartbeatTime())
	if r.hard.Frozen {
		r.requestFreeze() // a request or its confirmation may be lost
	}
	for _, member := range r.followers() {
		p := r.progress[member]
		// The entries in flight may be lost. They are sent again once the member responds.
		if r.unresponsive(p, now) {
			p.next = min(p.next, max(p.match+1, p.resendFrom))
			p.inFlight = nil
		}
		recentlySent := p.confirmed && now.Sub(p.sentAt) < r.heartbeatTime()
		if !recentlySent || p.next > p.match+1 {
			r.sendAppend(member, p, now, true)
		}
	}
}

const (
	// unresponsiveHeartbeats is the number of heartbeat times without a response after
	// which a member is unresponsive.
	unresponsiveHeartbeats = 2
	// minTransferBytesPerSecond is the lowest assumed rate at which a member stores
	// entries. A response may have to wait for the entries sent before it.
	minTransferBytesPerSecond = 2 << 20
)

// unresponsive reports whether a member has not responded for unresponsiveHeartbeats and the
// transfer time of the entries in flight. The leader sends such a member heartbeats without
// entries: entries for a machine that is down or paused would fill the leader's send queue.
func (r *Replica) unresponsive(p *progress, now time.Time) bool {
	transfer := time.Duration(p.inFlightBytes()) * time.Second / minTransferBytesPerSecond
	return now.Sub(p.lastResponse) > unresponsiveHeartbeats*r.heartbeatTime()+transfer
}

// becomeLeader makes the replica the leader of its promised epoch.
func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.idleChanges = 0
	r.leader = r.self
	r.campaignsWithoutLeader = 0
	r.quickCampaigns = 0
	r.progress = map[string]*progress{}
	for _, member := range r.followers() {
		r.progress[member] = &progress{next: r.lastIndex() + 1, resendFrom: r.lastIndex() + 1, lastResponse: now}
	}
	r.frozenBy = nil
	// Committing an empty entry also commits the entries of earlier epochs.
	r.epochStart = r.appendCommands(now, [][]byte{nil})
	r.heartbeatAt = now
	r.heartbeat(now)
}

// followers lists the other members, then the learners, in a fixed order.
func (r *Replica) followers() []string {
	list := make([]string, 0, len(r.memberSet.Members)+len(r.learners))
	for _, member := range r.memberSet.Members {
		if member != r.self {
			list = append(list, member)
		}
	}
	for _, learner := range r.learners {
		if learner != r.self && !r.memberSet.Has(learner) {
			list = append(list, learner)
		}
	}
	return list
}

// Propose appends commands to the log and returns the index of the first one. An idle shard
// becomes busy. It returns false if this replica does not lead or is frozen, or if there are
// no commands.
func (r *Replica) Propose(now time.Time, commands [][]byte) (uint64, bool) {
	if r.role != Leader || r.hard.Frozen || len(commands) == 0 {
		return 0, false
	}
	if r.Idle() {
		r.idleChanges++
		r.heartbeatAt = now
	}
	first := r.appendCommands(now, commands)
	for _, member := range r.followers() {
		r.sendAppend(member, r.progress[member], now, false)
	}
	return first, true
}

func (r *Replica) appendCommands(_ time.Time, commands [][]byte) uint64 {
	first := r.lastIndex() + 1
	for _, command := range commands {
		entry := &wirev1.LogEntry{Index: r.lastIndex() + 1, Epoch: r.hard.Promised, Command: command, Checksum: Checksum(command)}
		r.pending = append(r.pending, entry)
		r.epochs = append(r.epochs, entry.Epoch)
	}
	return first
}

// sendAppend sends a member the entries that it lacks, within the limits for entries in
// flight. If there are none to send, it sends an empty message if heartbeat is set, and
// nothing otherwise. If the log no longer has the next entry, it offers a snapshot if
// heartbeat is set.
func (r *Replica) sendAppend(member string, p *progress, now time.Time, heartbeat bool) {
	if p.next <= r.baseIndex {
		if heartbeat {
			r.offerSnapshot(member)
		}
		return
	}
	for {
		var entries []*wirev1.LogEntry
		if r.maySendEntries(p, now) && p.next <= r.lastIndex() {
			entries = r.entriesFrom(p.next)
		}
		if len(entries) == 0 && !heartbeat {
			return
		}
		previous := p.next - 1
		previousEpoch, inLog := r.epochAt(previous)
		if !inLog {
			return
		}
		r.sendEarly(&wirev1.ReplicaMessage{
			Kind: wirev1.ReplicaKind_REPLICA_KIND_APPEND, To: member, Epoch: r.hard.Promised,
			LastIndex: previous, LastEpoch: previousEpoch, Commit: r.hard.Commit, Entries: entries,
			Learner: !r.memberSet.Has(member), Probe: r.probe, Rest: r.idleChanges, Serving: r.Serving(),
			Frozen: r.hard.Frozen, Attempt: r.hard.FrozenAttempt,
		})
		p.sentAt = now
		if len(entries) > 0 {
			p.inFlight = append(p.inFlight, inFlightEntries{previous + uint64(len(entries)), commandBytes(entries)})
		}
		if len(entries) == 0 || !p.confirmed {
			return
		}
		p.next += uint64(len(entries))
		heartbeat = false
	}
}

// maySendEntries reports whether a message to the member may contain entries.
func (r *Replica) maySendEntries(p *progress, now time.Time) bool {
	switch {
	case r.unresponsive(p, now):
		return false
	case !p.confirmed:
		return len(p.inFlight) == 0
	default:
		return p.next-p.match <= maxInFlight && p.inFlightBytes() <= maxInFlightBytes
	}
}

func (r *Replica) offerSnapshot(member string) {
	r.sendEarly(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_SNAPSHOT_OFFER, To: member, Epoch: r.hard.Promised,
		LastIndex: r.baseIndex, LastEpoch: r.baseEpoch, Learner: !r.memberSet.Has(member),
	})
}

// entriesFrom returns entries from an index on for one message. It takes them from memory if
// the driver has not fetched them yet, otherwise from disk. It returns nil if they cannot be
// read.
func (r *Replica) entriesFrom(from uint64) []*wirev1.LogEntry {
	if len(r.pending) > 0 && from >= r.pending[0].Index {
		return limitToMessage(r.pending[from-r.pending[0].Index:])
	}
	to := r.lastIndex()
	if len(r.pending) > 0 {
		to = r.pending[0].Index - 1
	}
	entries, err := r.store.Entries(from, to, maxAppendBytes)
	if err != nil {
		// Send nothing now. If the driver still has to apply these entries, its own read
		// fails and it stops the replica.
		return nil
	}
	return entries
}

func commandBytes(entries []*wirev1.LogEntry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Command)
	}
	return size
}

// limitToMessage returns the leading entries that fit into one message, at least one.
func limitToMessage(entries []*wirev1.LogEntry) []*wirev1.LogEntry {
	size := 0
	for i, entry := range entries {
		size += len(entry.Command)
		if i > 0 && size > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// Persisted records that all entries up to an index are on this replica's disk. The driver
// calls it after the fsync. A leader may commit entries as a result.
func (r *Replica) Persisted(index uint64) {
	r.persisted = max(r.persisted, index)
	r.advanceCommit()
}

// advanceCommit commits the highest entry of the leader's epoch that a write quorum has on
// disk. Entries of earlier epochs are committed with it.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	matches := []uint64{min(r.persisted, r.lastIndex())}
	for member, p := range r.progress {
		if r.memberSet.Has(member) {
			matches = append(matches, p.match)
		}
	}
	quorum := r.memberSet.WriteQuorum()
	if len(matches) < quorum {
		return
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	candidate := matches[quorum-1]
	epoch, inLog := r.epochAt(candidate)
	if inLog && candidate > r.hard.Commit && epoch == r.hard.Promised {
		r.hard.Commit = candidate
	}
}

// TransferLeadership asks another member to become leader, for instance before a planned
// stop. The member must be accepted by preferred, have the whole log, and have responded
// within the election time. It reports whether a member was asked; it reports false if this
// replica does not lead.
func (r *Replica) TransferLeadership(now time.Time, preferred func(string) bool) bool {
	if r.role != Leader {
		return false
	}
	target := ""
	for _, member := range r.followers() {
		p := r.progress[member]
		liveAndCaughtUp := now.Sub(p.lastResponse) < r.electionTime() && p.match == r.lastIndex()
		if r.memberSet.Has(member) && liveAndCaughtUp && preferred(member) {
			target = member
			break
		}
	}
	if target == "" {
		return false
	}
	r.send(&wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_TRANSFER, To: target, Epoch: r.hard.Promised})
	return true
}

// RecordSeen records that the disk of a member or learner is present in the cluster, even if
// its replica does not respond. It has no effect if this replica does not lead.
func (r *Replica) RecordSeen(member string, now time.Time) {
	if p := r.progress[member]; p != nil {
		p.diskSeenAt = now
	}
}

// UnseenFor returns the time since the leader last received a response from a member or
// learner, or recorded its disk as seen, whichever was later. It returns 0 if this replica
// does not lead or does not replicate to the disk.
func (r *Replica) UnseenFor(member string, now time.Time) time.Duration {
	p := r.progress[member]
	if p == nil {
		return 0
	}
	latest := p.lastResponse
	if p.diskSeenAt.After(latest) {
		latest = p.diskSeenAt
	}
	return now.Sub(latest)
}
