package replica

import (
	"sort"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// progress is the state of replication to one member or learner.
type progress struct {
	match uint64 // last index known to be on the member's disk
	next  uint64 // next index to send
	// resendFrom is the presumed next index of the member's log. If the member does not
	// respond and match is lower, the leader sends entries from this index again.
	resendFrom   uint64
	lastResponse time.Time
	diskSeenAt   time.Time
	sentAt       time.Time
	confirmed    bool // a matching log was confirmed in this epoch
	probe        uint64
	inFlight     []inFlightEntries
}

// inFlightEntries are the entries of one message that the member has not acknowledged.
type inFlightEntries struct {
	last  uint64
	bytes int
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

// BeginProbe sends a probe to all followers and returns its number. Once ConfirmedProbe
// reaches the number, it is certain that no other replica led when the probe began.
func (r *Replica) BeginProbe(now time.Time) uint64 {
	r.probe++
	if r.role == Leader {
		for _, member := range r.followers() {
			r.sendAppend(member, r.progress[member], now, true)
		}
	}
	return r.probe
}

// ConfirmedProbe returns the number of the last probe that a write quorum has answered.
// Every election quorum shares a member with that write quorum.
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
// election time. It returns 0 if this replica does not lead.
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

// LiveMatch returns the highest index up to which all live members and learners have the
// log on disk. A member is live if it has confirmed a matching log in this epoch and has
// responded within the election time. A follower returns its own last index.
func (r *Replica) LiveMatch(now time.Time) uint64 {
	match := r.lastIndex()
	for _, p := range r.progress {
		if p.confirmed && now.Sub(p.lastResponse) < r.electionTime() {
			match = min(match, p.match)
		}
	}
	return match
}

func (r *Replica) heartbeat(now time.Time) {
	if now.Before(r.heartbeatAt) {
		return
	}
	r.heartbeatAt = now.Add(r.heartbeatTime())
	for _, member := range r.followers() {
		p := r.progress[member]
		// The entries in flight may be lost: send them again.
		if p.next > max(p.match+1, p.resendFrom) && r.unresponsive(p, now) {
			p.next = max(p.match+1, p.resendFrom)
			p.inFlight = nil
		}
		busy := p.confirmed && now.Sub(p.sentAt) < r.heartbeatTime()
		if !busy || p.next > p.match+1 {
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

// unresponsive reports whether a member has not responded for some heartbeat times. The
// leader sends such a member no entries: they would fill the send queue of a machine
// that is down or paused.
func (r *Replica) unresponsive(p *progress, now time.Time) bool {
	transfer := time.Duration(p.inFlightBytes()) * time.Second / minTransferBytesPerSecond
	return now.Sub(p.lastResponse) > unresponsiveHeartbeats*r.heartbeatTime()+transfer
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = Leader
	r.idleChanges = 0
	r.leader = r.self
	r.failedCampaigns = 0
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

// Propose appends commands to the log and returns the index of the first one. It returns
// false if this replica does not lead or is frozen.
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

// sendAppend sends a member the entries that it lacks, or an empty message as heartbeat.
func (r *Replica) sendAppend(member string, p *progress, now time.Time, heartbeat bool) {
	if p.next <= r.baseIndex {
		if heartbeat {
			r.offerSnapshot(member)
		}
		return
	}
	for {
		// Until a member has confirmed a matching log in this epoch, it is sent one message
		// at a time.
		blocked := !p.confirmed && !heartbeat || r.unresponsive(p, now) || p.next-p.match > maxInFlight || p.inFlightBytes() > maxInFlightBytes
		var entries []*wirev1.LogEntry
		if !blocked && p.next <= r.lastIndex() {
			entries = r.entriesFrom(p.next)
		}
		if len(entries) == 0 && !heartbeat {
			return
		}
		previous := p.next - 1
		previousEpoch, known := r.epochAt(previous)
		if !known {
			return
		}
		r.sendEarly(&wirev1.ReplicaMessage{
			Kind: wirev1.ReplicaKind_REPLICA_KIND_APPEND, To: member, Epoch: r.hard.Promised,
			LastIndex: previous, LastEpoch: previousEpoch, Commit: r.hard.Commit, Entries: entries,
			Learner: !r.memberSet.Has(member), Probe: r.probe, Rest: r.idleChanges,
		})
		p.sentAt = now
		p.next += uint64(len(entries))
		if len(entries) > 0 {
			p.inFlight = append(p.inFlight, inFlightEntries{p.next - 1, commandBytes(entries)})
		}
		heartbeat = false
		if len(entries) == 0 || !p.confirmed {
			return
		}
	}
}

func (r *Replica) offerSnapshot(member string) {
	r.sendEarly(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_SNAPSHOT_OFFER, To: member, Epoch: r.hard.Promised,
		LastIndex: r.baseIndex, LastEpoch: r.baseEpoch, Learner: !r.memberSet.Has(member),
	})
}

// entriesFrom returns entries from an index on, either from memory if they are not
// persisted yet, or from disk.
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
		// Send nothing now. The driver stops the replica when it applies the same entries
		// and cannot read them.
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

// Persisted records that all entries up to an index are on this replica's disk.
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
	epoch, known := r.epochAt(candidate)
	if known && candidate > r.hard.Commit && epoch == r.hard.Promised {
		r.hard.Commit = candidate
	}
}

// TransferLeadership asks a live, caught-up and preferred member to become leader, as
// before a planned stop. It reports whether there is such a member.
func (r *Replica) TransferLeadership(now time.Time, preferred func(string) bool) bool {
	if r.role != Leader {
		return false
	}
	best := ""
	for _, member := range r.followers() {
		p := r.progress[member]
		fresh := now.Sub(p.lastResponse) < r.electionTime() && p.match == r.lastIndex()
		if r.memberSet.Has(member) && fresh && preferred(member) {
			best = member
			break
		}
	}
	if best == "" {
		return false
	}
	r.send(&wirev1.ReplicaMessage{Kind: wirev1.ReplicaKind_REPLICA_KIND_TRANSFER, To: best, Epoch: r.hard.Promised})
	return true
}

// RecordSeen records that a member's disk is present in the cluster, even if its replica
// does not respond.
func (r *Replica) RecordSeen(member string, now time.Time) {
	if p := r.progress[member]; p != nil {
		p.diskSeenAt = now
	}
}

// UnseenFor returns the time since the leader last received a response from a member or saw
// its disk in the cluster.
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
