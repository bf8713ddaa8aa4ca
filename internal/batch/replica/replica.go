// Package replica implements one replica of a shard's replicated log: leader election,
// replication and commit as in Raft (Ongaro, Ousterhout 2014), with the flexible
// quorums of Howard, Malkhi and Spiegelman 2016.
//
// An entry is committed once WriteQuorum members have it on disk. A leader is elected
// by ElectionQuorum members. Every write quorum shares a member with every election
// quorum. With DefaultCopies and five members, both quorums are three. With DefaultCopies
// and three members, the write quorum is three and the election quorum is one, so that
// every acknowledged entry is on three disks and any single surviving member can lead.
//
// An epoch is the number of one leader's term. A generation is the number of a member set.
// The member set of a shard is replaced by a hand-over, which is described in handover.go.
//
// The package does no I/O and reads no clock. Its driver is package shardhost. The
// driver must persist the data in Ready before it sends Ready.Messages; durability
// depends on this order.
package replica

import (
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// ElectionRole is a replica's role in the election of a leader.
type ElectionRole uint8

// Roles of a replica.
const (
	Follower ElectionRole = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r ElectionRole) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// DefaultCopies is the default number of fsynced copies before an acknowledgement.
// With three copies, an acknowledged entry survives the loss of two disks.
const DefaultCopies = 3

// MemberSet is the member set of a shard. Members are disk identities: a new disk at the
// address of an old one is a new member.
type MemberSet struct {
	Generation uint64   `json:"generation"`
	Members    []string `json:"members"`
	// Attempt counts the cancelled hand-overs of this generation. Raising it in the
	// platform's store fences the sealer, the leader that drives a hand-over: the sealer's
	// compare-and-swap of the stored member set then fails.
	Attempt uint64 `json:"attempt,omitempty"`
	// Copies is the number of fsynced copies before an acknowledgement; 0 means
	// DefaultCopies. A smaller member set limits the number. Copies never changes during
	// the life of a shard.
	Copies int `json:"copies,omitempty"`
	// Owners holds the nodes that the members' disks belonged to when the member set was
	// stored, by disk identity, as far as they were known. The elections don't use it.
	Owners map[string]string `json:"owners,omitempty"`
}

// WriteQuorum returns the number of members that must have an entry on disk to commit it.
func (m MemberSet) WriteQuorum() int {
	copies := m.Copies
	if copies == 0 {
		copies = DefaultCopies
	}
	return min(copies, len(m.Members))
}

// ElectionQuorum returns the number of votes that elect a leader. Any such set of voters
// shares a member with every write quorum.
func (m MemberSet) ElectionQuorum() int { return len(m.Members) - m.WriteQuorum() + 1 }

// Has reports whether the disk is a member.
func (m MemberSet) Has(member string) bool { return m.index(member) >= 0 }

func (m MemberSet) index(member string) int {
	for i, other := range m.Members {
		if other == member {
			return i
		}
	}
	return -1
}

// HardState is the state of a replica that must be durable.
type HardState struct {
	// Promised is the highest epoch that the replica has adopted. It rejects entries of
	// lower epochs, and grants a vote only in a higher epoch.
	Promised uint64
	// Commit is the highest index known to be committed. The value on disk may be lower
	// than the value in memory, because an advance of Commit alone is not persisted.
	Commit uint64
	// Frozen is set while Generation is being handed over to a new member set. A frozen
	// member does not vote, and accepts entries only in its promised epoch.
	Frozen bool
	// FrozenAttempt is the hand-over attempt that froze the member.
	FrozenAttempt uint64
	// Generation is the generation of the member set that the state belongs to.
	Generation uint64
}

// EntryReader reads persisted entries.
type EntryReader interface {
	// Entries returns the entries lo to hi, both included. It stops before maxBytes would
	// be exceeded, but returns at least one entry.
	Entries(lo, hi uint64, maxBytes int) ([]*wirev1.LogEntry, error)
}

// ElectionTiming holds the heartbeat and election times of a replica. Both are multiplied by
// idleFactor while the shard is idle.
type ElectionTiming struct {
	// Heartbeat is the time between a leader's messages to a member if there are no
	// entries to send.
	Heartbeat time.Duration
	// Election is the shortest time without contact to a leader before a campaign. The
	// time is chosen at random up to twice this value.
	Election time.Duration
}

// DefaultTiming returns times for a node with many shards. The times can be long, because
// LeaderLost reports the loss of a leader's node well before the election time ends.
func DefaultTiming() ElectionTiming {
	return ElectionTiming{Heartbeat: time.Second, Election: 3 * time.Second}
}

// initialElectionDelay scales the random delay before a campaign when no leader is
// known: after a start, after a change of the member set, or after the loss of the
// leader's node.
const initialElectionDelay = 300 * time.Millisecond

const (
	// maxAppendBytes limits the size of the entries in one message.
	maxAppendBytes = 1 << 20
	// maxInFlight and maxInFlightBytes limit the number and the size of entries that were
	// sent to a member and not acknowledged. Without the limits, a leader would hold its
	// whole log in its send queues while a member catches up.
	maxInFlight      = 4096
	maxInFlightBytes = 4 << 20
	// An epoch consists of the generation, a counter, and the candidate's index in the
	// member set. The index distinguishes candidates of one generation, and the
	// generation distinguishes candidates of different member sets. Both are needed
	// because a log index and an epoch must together identify a single entry.
	indexBits      = 8
	generationBits = 24
	counterBits    = 64 - indexBits - generationBits
)

// Ready is the work that a replica requests from its driver, in this order: send Early;
// persist HardState, delete entries from TruncateFrom on and append Entries, all with an
// fsync; call Persisted; send Messages; apply entries up to Commit. A nil HardState is not to
// be persisted, and TruncateFrom is 0 if there are no entries to delete.
type Ready struct {
	HardState    *HardState
	TruncateFrom uint64
	Entries      []*wirev1.LogEntry
	Early        []*wirev1.ReplicaMessage
	Messages     []*wirev1.ReplicaMessage
	Commit       uint64
}

// Empty reports whether there is nothing to persist or send.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.TruncateFrom == 0 && len(r.Entries) == 0 && len(r.Early) == 0 && len(r.Messages) == 0
}

// Replica is one member or learner of a shard. It is not safe for concurrent use.
//
// Invariants: the promised epoch never decreases; entries up to the commit index never
// change; an entry counts towards commit only after its fsync was reported.
type Replica struct {
	shard     uint32
	self      string
	memberSet MemberSet
	timing    ElectionTiming
	random    *rand.Rand
	store     EntryReader

	hard             HardState
	hardStateChanged bool // the hard state must be persisted

	// The log starts after the base entry. The epochs of its entries are kept in memory.
	baseIndex uint64
	baseEpoch uint64
	epochs    []uint64
	persisted uint64 // last index on this disk

	pending      []*wirev1.LogEntry // appended, but not given to the driver yet
	truncateFrom uint64
	messages     []*wirev1.ReplicaMessage
	early        []*wirev1.ReplicaMessage

	role                   ElectionRole
	leader                 string
	deadline               time.Time // time of the next campaign, see resetDeadline
	heartbeatAt            time.Time
	lastLeaderContact      time.Time
	votes                  map[string]bool // members that granted a pre-vote or a vote in this campaign
	campaignsWithoutLeader int             // campaigns since the last contact to a leader or own election
	quickCampaigns         int             // remaining campaigns with a short delay, see sealerCampaigns
	progress               map[string]*progress
	learners               []string
	// idleChanges counts the leader's changes between idle and busy in this epoch. It is
	// odd while the shard is idle, see SetIdle. The counter orders reports, because an
	// older message may arrive after a newer one.
	idleChanges uint64
	epochStart  uint64          // index of the leader's first entry
	probe       uint64          // number of the last probe, see BeginProbe
	frozenBy    map[string]bool // members that confirmed the freeze; set at the sealer, nil at others
	observed    observations    // for Status only
}

// Restore returns a replica with the state that was loaded from its disk: the hard state,
// the index and epoch of the base, and the epochs of the entries after the base.
func Restore(shard uint32, self string, memberSet MemberSet, timing ElectionTiming, random *rand.Rand, store EntryReader,
	hard HardState, baseIndex, baseEpoch uint64, epochs []uint64, now time.Time,
) *Replica {
	r := &Replica{
		shard: shard, self: self, memberSet: memberSet, timing: timing, random: random, store: store,
		hard: hard, baseIndex: baseIndex, baseEpoch: baseEpoch, epochs: epochs,
	}
	r.hard.Generation = memberSet.Generation
	r.hard.Commit = max(hard.Commit, baseIndex)
	r.persisted = r.lastIndex()
	// A replica that has just started knows no leader and campaigns soon. Members in contact
	// with a leader reject the pre-vote.
	r.deadline = now.Add(time.Duration(random.Int64N(int64(2 * initialElectionDelay))))
	return r
}

// Role returns the current role.
func (r *Replica) Role() ElectionRole { return r.role }

// Leader returns the disk identity of the leader, or "" if no leader is known.
func (r *Replica) Leader() string { return r.leader }

// Epoch returns the promised epoch.
func (r *Replica) Epoch() uint64 { return r.hard.Promised }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.hard.Commit }

// MemberSet returns the current member set.
func (r *Replica) MemberSet() MemberSet { return r.memberSet }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.lastIndex() }

// Base returns the index and epoch of the base entry. The log starts after the base.
func (r *Replica) Base() (uint64, uint64) { return r.baseIndex, r.baseEpoch }

// Serving reports whether the replica leads, has committed an entry of its own epoch, and
// is not frozen. Once its own entry is committed, a leader knows that all entries before
// it are committed too.
func (r *Replica) Serving() bool {
	return r.role == Leader && r.hard.Commit >= r.epochStart && !r.hard.Frozen
}

func (r *Replica) lastIndex() uint64 { return r.baseIndex + uint64(len(r.epochs)) }

// epochAt returns the epoch of the base or of an entry after the base, and false if the log
// does not contain the entry.
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

// Tick sends heartbeats if this replica leads, or starts a campaign if the deadline has
// passed. A frozen replica, and a replica outside the member set, does not campaign.
func (r *Replica) Tick(now time.Time) {
	if !r.memberSet.Has(r.self) || r.hard.Frozen {
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

// setOrigin sets the shard, the sender and the generation of a message.
func (r *Replica) setOrigin(message *wirev1.ReplicaMessage) *wirev1.ReplicaMessage {
	message.Shard = r.shard
	message.From = r.self
	message.Generation = r.memberSet.Generation
	return message
}

// send queues a message that is sent after the next durable write.
func (r *Replica) send(message *wirev1.ReplicaMessage) {
	r.messages = append(r.messages, r.setOrigin(message))
}

// sendEarly queues a message that may be sent before the next durable write, because it
// makes no statement about data on this disk.
func (r *Replica) sendEarly(message *wirev1.ReplicaMessage) {
	r.early = append(r.early, r.setOrigin(message))
}

// Ready returns the pending work for the driver and clears it.
func (r *Replica) Ready() Ready {
	ready := Ready{
		TruncateFrom: r.truncateFrom, Entries: r.pending, Early: r.early, Messages: r.messages, Commit: r.hard.Commit,
	}
	if r.hardStateChanged {
		state := r.hard
		ready.HardState = &state
		// A promise must be on disk before a message of its epoch is sent: after a crash,
		// an epoch that was not persisted could be used twice.
		ready.Messages = append(ready.Early, ready.Messages...)
		ready.Early = nil
	}
	r.hardStateChanged, r.truncateFrom, r.pending, r.early, r.messages = false, 0, nil, nil, nil
	return ready
}

// Truncate removes the entries up to and including an index from the log in memory, and
// makes the index the base. The driver deletes the entries from disk. It returns an error,
// and changes nothing, if the entry is not committed or not in the log.
func (r *Replica) Truncate(index uint64) error {
	epoch, inLog := r.epochAt(index)
	if !inLog || index > r.hard.Commit {
		return trace.BadParameter("cannot truncate at %d: log is %d to %d, commit %d", index, r.baseIndex, r.lastIndex(), r.hard.Commit)
	}
	r.epochs = append([]uint64(nil), r.epochs[index-r.baseIndex:]...)
	r.baseIndex, r.baseEpoch = index, epoch
	return nil
}

// InstallSnapshot replaces the log by a snapshot of the state after the entry with the given
// index and epoch. This entry becomes the base, and the log is then empty.
func (r *Replica) InstallSnapshot(index, epoch uint64) {
	r.baseIndex, r.baseEpoch = index, epoch
	r.epochs, r.pending = nil, nil
	r.truncateFrom = 0
	r.persisted = index
	r.hard.Commit = index
	r.hardStateChanged = true
}

// HardState returns the current hard state.
func (r *Replica) HardState() HardState { return r.hard }

// EpochAt returns the epoch of the base or of an entry after the base, or 0 if the log does
// not contain the entry.
func (r *Replica) EpochAt(index uint64) uint64 {
	epoch, _ := r.epochAt(index)
	return epoch
}
