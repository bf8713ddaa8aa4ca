// Package replica is the decision logic of one replica of a replicated log:
// election, replication and commitment after Raft (Ongaro, Ousterhout 2014)
// with the flexible quorums of Howard, Malkhi and Spiegelman 2016.
//
// An entry is committed once WriteQuorum members have it on disk; a leader is
// elected by ElectionQuorum members, chosen so that any two such sets share a
// member. With five members both are three; with three members the write
// quorum is all three and one vote elects, so that every acknowledged entry is
// on three disks and any single survivor can carry on.
//
// The package does no I/O and reads no clock. The driver persists what Ready
// says before it sends Ready.Messages; that order is the durability promise.
package replica

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Role is what a replica does at present.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String names the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// CopiesWanted is the number of fsynced copies before an acknowledgement: two
// disks may be lost together after it.
const CopiesWanted = 3

// Config is the member set of a shard. Members are disk identities, so a
// replaced disk at an old address is a new member.
type Config struct {
	Generation uint64   `json:"generation"`
	Members    []string `json:"members"`
	// Attempt counts hand-overs of this generation that were given up. Raising
	// it in the platform's service fences the sealer of the attempt before.
	Attempt uint64 `json:"attempt,omitempty"`
}

// WriteQuorum is the number of disks that must hold an entry to commit it.
func (c Config) WriteQuorum() int { return min(CopiesWanted, len(c.Members)) }

// ElectionQuorum is the number of votes that elect; it shares a member with
// every write quorum.
func (c Config) ElectionQuorum() int { return len(c.Members) - c.WriteQuorum() + 1 }

// Has reports whether the disk is a member.
func (c Config) Has(member string) bool { return c.index(member) >= 0 }

func (c Config) index(member string) int {
	for i, known := range c.Members {
		if known == member {
			return i
		}
	}
	return -1
}

// HardState is what a replica must never forget.
type HardState struct {
	// Promised is the highest epoch followed or voted for.
	Promised uint64
	// Commit is a lower bound of what is committed.
	Commit uint64
	// Frozen: the member takes no more part in Generation, which is being
	// handed over to a new member set.
	Frozen bool
	// FrozenAttempt is the attempt the freeze belongs to.
	FrozenAttempt uint64
	// Generation of the member set the state belongs to.
	Generation uint64
}

// EntryReader reads persisted entries lo to hi, both included, as far as
// maxBytes reach; at least one.
type EntryReader interface {
	Entries(lo, hi uint64, maxBytes int) ([]*wirev1.LogEntry, error)
}

// Timing holds the replica's times.
type Timing struct {
	// Heartbeat is the time between a leader's messages when idle.
	Heartbeat time.Duration
	// Election is the least time without a leader before a campaign; the most
	// is twice that.
	Election time.Duration
}

// DefaultTiming suits a node that leads and follows many shards: heartbeats are
// few, and the loss of a leader's node is told by LeaderLost long before the
// election time ends.
func DefaultTiming() Timing {
	return Timing{Heartbeat: time.Second, Election: 3 * time.Second}
}

// firstElection bounds the wait for the first leader of a new shard.
const firstElection = 300 * time.Millisecond

const (
	// maxAppendBytes bounds the entries of one message.
	maxAppendBytes = 1 << 20
	// maxInFlight bounds entries sent and not yet answered by a follower.
	maxInFlight = 4096
	// An epoch is made of the generation, a counter, and the candidate's place
	// in the member set. The place keeps candidates of one generation apart, the
	// generation those of different member sets: an entry's index and epoch must
	// name one command for ever.
	indexBits      = 8
	generationBits = 24
	counterBits    = 64 - indexBits - generationBits
)

// Ready is what a step asks of the driver, in this order: send Early; persist
// HardState, drop entries from TruncateFrom, append Entries, all fsynced;
// report Persisted; send Messages; apply entries up to Commit.
type Ready struct {
	HardState    *HardState
	TruncateFrom uint64
	Entries      []*wirev1.LogEntry
	Early        []*wirev1.ReplicaMessage
	Messages     []*wirev1.ReplicaMessage
	Commit       uint64
}

// Empty reports whether nothing is to be done.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.TruncateFrom == 0 && len(r.Entries) == 0 && len(r.Early) == 0 && len(r.Messages) == 0
}

type progress struct {
	match     uint64 // known to be on the member's disk
	next      uint64 // next entry to send
	heardAt   time.Time
	seenAt    time.Time
	sentAt    time.Time
	confirmed bool // answered in this epoch
}

// Replica is one member's state.
//
// Invariants: the promised epoch never falls; entries at or below commit never
// change; an entry is counted towards commit only after its fsync was reported.
type Replica struct {
	shard  uint32
	self   string
	config Config
	timing Timing
	random *rand.Rand
	store  EntryReader

	hard  HardState
	dirty bool // hard state must be persisted

	// The log: entries after base, whose epochs are kept in memory.
	baseIndex uint64
	baseEpoch uint64
	epochs    []uint64
	persisted uint64

	pending  []*wirev1.LogEntry // appended, not yet persisted
	truncate uint64
	messages []*wirev1.ReplicaMessage
	early    []*wirev1.ReplicaMessage

	role        Role
	leader      string
	deadline    time.Time
	heartbeatAt time.Time
	leaderSeen  time.Time
	votes       map[string]bool
	lonely      int // campaigns in a row without a majority's pre-votes
	progress    map[string]*progress
	learners    []string
	epochStart  uint64 // index of the leader's first entry
	frozenBy    map[string]bool
}

// Restore returns a replica with what its disk holds: the hard state, the
// snapshot base, and the epochs of the entries after it.
func Restore(shard uint32, self string, config Config, timing Timing, random *rand.Rand, store EntryReader,
	hard HardState, baseIndex, baseEpoch uint64, epochs []uint64, now time.Time,
) *Replica {
	r := &Replica{
		shard: shard, self: self, config: config, timing: timing, random: random, store: store,
		hard: hard, baseIndex: baseIndex, baseEpoch: baseEpoch, epochs: epochs,
	}
	r.hard.Generation = config.Generation
	r.hard.Commit = max(hard.Commit, baseIndex)
	r.persisted = r.lastIndex()
	r.resetDeadline(now)
	if r.hard.Promised == 0 {
		r.deadline = now.Add(time.Duration(random.Int64N(int64(firstElection))))
	}
	return r
}

// LeaderLost tells a follower that its leader's node is known to be gone or
// going: it campaigns soon instead of waiting for the election time.
func (r *Replica) LeaderLost(now time.Time) {
	if r.role == Leader || r.leader == "" {
		return
	}
	r.leader = ""
	r.leaderSeen = time.Time{}
	r.deadline = now.Add(time.Duration(r.random.Int64N(int64(firstElection))))
}

// Role returns the present role.
func (r *Replica) Role() Role { return r.role }

// Leader returns the disk identity of the leader as far as known.
func (r *Replica) Leader() string { return r.leader }

// Epoch returns the promised epoch.
func (r *Replica) Epoch() uint64 { return r.hard.Promised }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.hard.Commit }

// Config returns the member set in use.
func (r *Replica) Config() Config { return r.config }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.lastIndex() }

// Base returns the index and epoch of the entry the log starts after.
func (r *Replica) Base() (uint64, uint64) { return r.baseIndex, r.baseEpoch }

// Serving reports whether a leader has committed an entry of its own epoch, by
// which it knows all that was committed before.
func (r *Replica) Serving() bool {
	return r.role == Leader && r.hard.Commit >= r.epochStart && !r.hard.Frozen
}

// LiveMembers counts members heard of within the election time, a leader's
// view.
func (r *Replica) LiveMembers(now time.Time) int {
	if r.role != Leader {
		return 0
	}
	live := 1
	for member, p := range r.progress {
		if r.config.Has(member) && now.Sub(p.heardAt) < r.timing.Election {
			live++
		}
	}
	return live
}

func (r *Replica) lastIndex() uint64 { return r.baseIndex + uint64(len(r.epochs)) }

// epochAt returns the epoch of an entry, false if it is not in the log.
func (r *Replica) epochAt(index uint64) (uint64, bool) {
	if index == r.baseIndex {
		return r.baseEpoch, true
	}
	if index < r.baseIndex || index > r.lastIndex() {
		return 0, false
	}
	return r.epochs[index-r.baseIndex-1], true
}

func (r *Replica) lastEpoch() uint64 {
	epoch, _ := r.epochAt(r.lastIndex())
	return epoch
}

func (r *Replica) resetDeadline(now time.Time) {
	r.deadline = now.Add(r.timing.Election + time.Duration(r.random.Int64N(int64(r.timing.Election))))
}

// Tick advances timers.
func (r *Replica) Tick(now time.Time) {
	if !r.config.Has(r.self) || r.hard.Frozen {
		if r.role == Leader {
			r.heartbeat(now)
		}
		return
	}
	if r.role == Leader {
		r.heartbeat(now)
		return
	}
	if now.After(r.deadline) {
		r.campaign(now)
	}
}

func (r *Replica) heartbeat(now time.Time) {
	if now.Before(r.heartbeatAt) {
		return
	}
	r.heartbeatAt = now.Add(r.timing.Heartbeat)
	for _, member := range r.followers() {
		p := r.progress[member]
		// No answer for two heartbeats: what was sent may be lost.
		if p.next > p.match+1 && now.Sub(p.heardAt) > 2*r.timing.Heartbeat {
			p.next = p.match + 1
		}
		busy := p.confirmed && now.Sub(p.sentAt) < r.timing.Heartbeat
		if !busy || p.next > p.match+1 {
			r.sendAppend(member, p, now, true)
		}
	}
}

// campaign asks for pre-votes first, which change nothing, so that a replica
// that was cut off does not disturb a live leader when it returns.
func (r *Replica) campaign(now time.Time) {
	r.resetDeadline(now)
	r.role = PreCandidate
	r.leader = ""
	r.votes = map[string]bool{r.self: true}
	if r.preVotesSuffice() {
		r.prepare(now)
		return
	}
	r.lonely++
	r.broadcast(wirev1.ReplicaKind_REPLICA_KIND_PRE_PREPARE, r.hard.Promised)
}

// preVotesSuffice asks for a majority while one can be had; a replica that has
// long been without contents itself with the election quorum, which is safe.
func (r *Replica) preVotesSuffice() bool {
	needed := len(r.config.Members)/2 + 1
	if r.lonely >= 3 {
		needed = r.config.ElectionQuorum()
	}
	return len(r.votes) >= max(needed, r.config.ElectionQuorum())
}

func (r *Replica) prepare(now time.Time) {
	r.resetDeadline(now)
	r.role = Candidate
	r.promise(r.nextEpoch())
	r.votes = map[string]bool{r.self: true}
	r.broadcast(wirev1.ReplicaKind_REPLICA_KIND_PREPARE, r.hard.Promised)
	r.countVotes(now)
}

func (r *Replica) nextEpoch() uint64 {
	base := r.config.Generation << (counterBits + indexBits)
	counter := uint64(0)
	if r.hard.Promised > base {
		counter = (r.hard.Promised - base) >> indexBits
	}
	return base + (counter+1)<<indexBits + uint64(r.config.index(r.self)+1)
}

func (r *Replica) promise(epoch uint64) {
	if epoch > r.hard.Promised {
		r.hard.Promised = epoch
		r.dirty = true
	}
}

func (r *Replica) broadcast(kind wirev1.ReplicaKind, epoch uint64) {
	for _, member := range r.config.Members {
		if member == r.self {
			continue
		}
		r.send(&wirev1.ReplicaMessage{Kind: kind, To: member, Epoch: epoch, LastIndex: r.lastIndex(), LastEpoch: r.lastEpoch()})
	}
}

func (r *Replica) address(message *wirev1.ReplicaMessage) *wirev1.ReplicaMessage {
	message.Shard = r.shard
	message.From = r.self
	message.Generation = r.config.Generation
	return message
}

// send queues a message that waits for the disk.
func (r *Replica) send(message *wirev1.ReplicaMessage) {
	r.messages = append(r.messages, r.address(message))
}

// sendEarly queues a message that asserts nothing about this disk.
func (r *Replica) sendEarly(message *wirev1.ReplicaMessage) {
	r.early = append(r.early, r.address(message))
}

func (r *Replica) countVotes(now time.Time) {
	if r.role == Candidate && len(r.votes) >= r.config.ElectionQuorum() {
		r.lead(now)
	}
}

func (r *Replica) lead(now time.Time) {
	r.role = Leader
	r.leader = r.self
	r.lonely = 0
	r.progress = map[string]*progress{}
	for _, member := range r.followers() {
		r.progress[member] = &progress{next: r.lastIndex() + 1, heardAt: now}
	}
	r.frozenBy = nil
	// An empty entry commits all that earlier epochs left.
	r.epochStart = r.append(now, [][]byte{nil})
	r.heartbeatAt = now
	r.heartbeat(now)
}

// followers lists the other members, then learners, in a fixed order.
func (r *Replica) followers() []string {
	list := make([]string, 0, len(r.config.Members)+len(r.learners))
	for _, member := range r.config.Members {
		if member != r.self {
			list = append(list, member)
		}
	}
	for _, learner := range r.learners {
		if learner != r.self && !r.config.Has(learner) {
			list = append(list, learner)
		}
	}
	return list
}

// Propose appends commands if this replica leads and is not handing over. It
// returns the index of the first.
func (r *Replica) Propose(now time.Time, commands [][]byte) (uint64, bool) {
	if r.role != Leader || r.hard.Frozen || len(commands) == 0 {
		return 0, false
	}
	first := r.append(now, commands)
	for _, member := range r.followers() {
		r.sendAppend(member, r.progress[member], now, false)
	}
	return first, true
}

func (r *Replica) append(_ time.Time, commands [][]byte) uint64 {
	first := r.lastIndex() + 1
	for _, command := range commands {
		entry := &wirev1.LogEntry{Index: r.lastIndex() + 1, Epoch: r.hard.Promised, Command: command, Checksum: Checksum(command)}
		r.pending = append(r.pending, entry)
		r.epochs = append(r.epochs, entry.Epoch)
	}
	return first
}

// sendAppend sends a member what it lacks, or an empty message as heartbeat.
func (r *Replica) sendAppend(member string, p *progress, now time.Time, heartbeat bool) {
	if p.next <= r.baseIndex {
		if heartbeat {
			r.offerSnapshot(member)
		}
		return
	}
	for {
		// A member that has not answered in this epoch is probed one message
		// at a time.
		blocked := !p.confirmed && !heartbeat || p.next-p.match > maxInFlight
		var entries []*wirev1.LogEntry
		if !blocked && p.next <= r.lastIndex() {
			entries = r.read(p.next)
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
			Learner: !r.config.Has(member),
		})
		p.sentAt = now
		p.next += uint64(len(entries))
		heartbeat = false
		if len(entries) == 0 || !p.confirmed {
			return
		}
	}
}

func (r *Replica) offerSnapshot(member string) {
	r.sendEarly(&wirev1.ReplicaMessage{
		Kind: wirev1.ReplicaKind_REPLICA_KIND_SNAPSHOT_OFFER, To: member, Epoch: r.hard.Promised,
		LastIndex: r.baseIndex, LastEpoch: r.baseEpoch, Learner: !r.config.Has(member),
	})
}

// read returns entries from an index on: those in memory that await the disk,
// or persisted ones.
func (r *Replica) read(from uint64) []*wirev1.LogEntry {
	if len(r.pending) > 0 && from >= r.pending[0].Index {
		return bounded(r.pending[from-r.pending[0].Index:])
	}
	to := r.lastIndex()
	if len(r.pending) > 0 {
		to = r.pending[0].Index - 1
	}
	entries, err := r.store.Entries(from, to, maxAppendBytes)
	if err != nil {
		return nil
	}
	return entries
}

func bounded(entries []*wirev1.LogEntry) []*wirev1.LogEntry {
	size := 0
	for i, entry := range entries {
		size += len(entry.Command)
		if i > 0 && size > maxAppendBytes {
			return entries[:i]
		}
	}
	return entries
}

// Persisted reports that all entries up to an index are on this disk.
func (r *Replica) Persisted(index uint64) {
	r.persisted = max(r.persisted, index)
	r.advanceCommit()
}

// advanceCommit commits the highest entry of the own epoch that a write quorum
// has on disk; entries of earlier epochs are committed with it.
func (r *Replica) advanceCommit() {
	if r.role != Leader {
		return
	}
	matches := []uint64{min(r.persisted, r.lastIndex())}
	for member, p := range r.progress {
		if r.config.Has(member) {
			matches = append(matches, p.match)
		}
	}
	quorum := r.config.WriteQuorum()
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

// Ready returns what the driver has to do and forgets it.
func (r *Replica) Ready() Ready {
	ready := Ready{
		TruncateFrom: r.truncate, Entries: r.pending, Early: r.early, Messages: r.messages, Commit: r.hard.Commit,
	}
	if r.dirty {
		state := r.hard
		ready.HardState = &state
		// A promise must be on disk before anything is said under its epoch:
		// an epoch that was forgotten could be used twice.
		ready.Messages = append(ready.Early, ready.Messages...)
		ready.Early = nil
	}
	r.dirty, r.truncate, r.pending, r.early, r.messages = false, 0, nil, nil, nil
	return ready
}

// Truncate tells the replica that entries up to an applied index were dropped
// from the disk's log.
func (r *Replica) Truncate(index uint64) error {
	epoch, known := r.epochAt(index)
	if !known || index > r.hard.Commit {
		return fmt.Errorf("cannot truncate at %d: log is %d to %d, commit %d", index, r.baseIndex, r.lastIndex(), r.hard.Commit)
	}
	r.epochs = append([]uint64(nil), r.epochs[index-r.baseIndex:]...)
	r.baseIndex, r.baseEpoch = index, epoch
	return nil
}

// InstallSnapshot replaces the log by a snapshot that ends at an entry.
func (r *Replica) InstallSnapshot(index, epoch uint64) {
	r.baseIndex, r.baseEpoch = index, epoch
	r.epochs, r.pending = nil, nil
	r.truncate = 0
	r.persisted = index
	r.hard.Commit = index
	r.dirty = true
}

// TransferLeadership asks the most caught-up member to take over, as before a
// planned stop. It reports whether there was one.
func (r *Replica) TransferLeadership(now time.Time, preferred func(string) bool) bool {
	if r.role != Leader {
		return false
	}
	best := ""
	for _, member := range r.followers() {
		p := r.progress[member]
		fresh := now.Sub(p.heardAt) < r.timing.Election && p.match == r.lastIndex()
		if r.config.Has(member) && fresh && preferred(member) {
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

// HardState returns what must never be forgotten, as it is now.
func (r *Replica) HardState() HardState { return r.hard }

// EpochAt returns the epoch of an entry of the log, 0 if it is not in it.
func (r *Replica) EpochAt(index uint64) uint64 {
	epoch, _ := r.epochAt(index)
	return epoch
}

// NoteSeen records that a member's disk is in the fleet, whether or not it
// answers as a replica.
func (r *Replica) NoteSeen(member string, now time.Time) {
	if p := r.progress[member]; p != nil {
		p.seenAt = now
	}
}

// UnseenFor returns how long a leader has neither heard of a member nor seen
// its disk in the fleet.
func (r *Replica) UnseenFor(member string, now time.Time) time.Duration {
	p := r.progress[member]
	if p == nil {
		return 0
	}
	latest := p.heardAt
	if p.seenAt.After(latest) {
		latest = p.seenAt
	}
	return now.Sub(latest)
}
