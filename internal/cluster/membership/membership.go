// Package membership implements a failure detector and the gossip of member records,
// after SWIM (Das, Gupta, Motivala 2002) with the suspicion and incarnation rules of that
// paper. It owns the table of members. The plain node runs it through
// modules/fleet/membership.
//
// The package does no I/O and reads no clock: Tick and Handle take the time and
// return messages to send. The number of messages that a node sends regularly does not
// depend on the size of the fleet: the node probes one member per ProbeInterval and compares
// its table with one random member per SyncInterval. A probe carries a bounded number of
// records. The replies in a table comparison, called an anti-entropy exchange, carry all
// records in those parts of the table that differ.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Member states, in increasing order of precedence within one incarnation.
const (
	Alive   = wirev1.MemberState_MEMBER_STATE_ALIVE
	Suspect = wirev1.MemberState_MEMBER_STATE_SUSPECT
	Leaving = wirev1.MemberState_MEMBER_STATE_LEAVING
	Dead    = wirev1.MemberState_MEMBER_STATE_DEAD
)

// Config holds the durations and limits of the failure detector.
type Config struct {
	// ProbeInterval is the time between direct probes, each of one member. A member that
	// does not acknowledge a probe within this time is suspected.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take before indirect probes start.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspected member has to refute the suspicion before
	// it is declared dead.
	SuspicionTimeout time.Duration
	// IndirectProbes is the maximum number of members that are asked to probe an
	// unresponsive member. Leave announces the departure to the same number of members.
	IndirectProbes int
	// MaxPiggyback is the maximum number of queued records attached to a message.
	MaxPiggyback int
	// SyncInterval is the minimum time between the anti-entropy exchanges that a node starts.
	// Up to a quarter of it is added at random.
	SyncInterval time.Duration
	// TombstoneTime is how long the record of a dead member is kept as a tombstone, which
	// keeps older records of the member from being stored again.
	TombstoneTime time.Duration
}

// DefaultConfig returns a configuration that detects a dead node within about three
// seconds.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    500 * time.Millisecond,
		ProbeTimeout:     200 * time.Millisecond,
		SuspicionTimeout: 1500 * time.Millisecond,
		IndirectProbes:   3,
		MaxPiggyback:     8,
		SyncInterval:     10 * time.Second,
		TombstoneTime:    10 * time.Minute,
	}
}

// Envelope is a message with the address to send it to.
type Envelope struct {
	Address string
	Message *wirev1.MembershipMessage
}

// Change describes a new or replaced member record. Before is nil for a new member. Removed
// tombstones and members that were already dead in their first received record cause no change.
type Change struct {
	Before, After *wirev1.MemberRecord
}

// Output holds the results of a step: messages to send and changed member records.
type Output struct {
	Send    []Envelope
	Changes []Change
}

// Seed is a machine through which a node joins the fleet. It is taken from the platform's
// machine list, which may be outdated.
type Seed struct {
	Address string
}

// member is a member's record with its timer and its gossip state.
type member struct {
	record    *wirev1.MemberRecord
	deadline  time.Time // end of the suspicion, or expiry of the tombstone; otherwise unused
	suspected bool      // whether this node's suspicion timer is running
	transmits int       // how often the current record was piggybacked
	hash      uint64    // hash of the record; see hashRecord
	bucket    int       // part of the table to which the member belongs
	index     int       // position in State.list
	queued    bool      // whether the member is in State.gossipQueue
}

// buckets is the number of parts of the table that the anti-entropy exchange compares.
const buckets = 16

// probe is a probe that this node sent and that is not acknowledged yet.
type probe struct {
	target   string
	started  time.Time
	indirect bool // whether other members were asked to probe the target
}

// relayedProbe is a probe on behalf of another node, to which the acknowledgement is
// forwarded.
type relayedProbe struct {
	requester string // address of the requesting node
	sequence  uint64 // sequence number of the requesting node's own probe
	started   time.Time
}

// State is one node's view of the fleet. It is not safe for concurrent use.
//
// Invariant: a record is replaced only by a record that supersedes it. The resulting table
// therefore does not depend on the order in which records arrive, except for expired
// tombstones.
type State struct {
	config      Config
	random      *rand.Rand
	self        *wirev1.MemberRecord
	members     map[string]*member
	list        []*member // all members, unordered
	gossipQueue []*member // members whose records are still to be piggybacked
	seeds       []Seed

	probeOrder    []*member // shuffled order of the current probe round
	probePosition int
	sequence      uint64
	probes        map[uint64]probe        // by sequence number
	relayedProbes map[uint64]relayedProbe // by sequence number
	nextProbe     time.Time
	nextSync      time.Time
	lastTick      time.Time
	hashes        [buckets]uint64 // exclusive or of the record hashes in each bucket

	bundleGeneration uint64
	peerGeneration   uint64 // highest bundle generation that a member reported
	peerAddress      string // address of that member
}

// New returns the state of a node that knows only itself.
func New(self *wirev1.MemberRecord, config Config, random *rand.Rand) *State {
	s := &State{
		config:        config,
		random:        random,
		self:          proto.Clone(self).(*wirev1.MemberRecord),
		members:       map[string]*member{},
		probes:        map[uint64]probe{},
		relayedProbes: map[uint64]relayedProbe{},
	}
	s.self.State = Alive
	s.store(s.self, &member{})
	return s
}

// SetSeeds replaces the list of seeds.
func (s *State) SetSeeds(seeds []Seed) { s.seeds = seeds }

// SetBundleGeneration sets the generation of this node's configuration bundle, which every
// message advertises.
func (s *State) SetBundleGeneration(generation uint64) { s.bundleGeneration = generation }

// AheadPeer returns the highest bundle generation that a member has reported so far and the
// address of that member, or 0 and "" if none was reported. The generation may be lower than
// this node's own.
func (s *State) AheadPeer() (uint64, string) { return s.peerGeneration, s.peerAddress }

// Self returns this node's record. The caller must not modify it.
func (s *State) Self() *wirev1.MemberRecord { return s.self }

// Records returns the records of all members, including this node and tombstones, sorted by
// id.
func (s *State) Records() []*wirev1.MemberRecord {
	records := make([]*wirev1.MemberRecord, 0, len(s.members))
	for _, known := range s.members {
		records = append(records, known.record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Id < records[j].Id })
	return records
}

// Leave marks this node as leaving and sends its record to a few random members. A leaving
// node does not become alive again until its process restarts.
func (s *State) Leave() Output {
	var out Output
	s.updateSelf(Leaving, s.self.Incarnation+1, &out)
	for range s.config.IndirectProbes {
		if target := s.randomMember(s.self.Id); target != nil {
			s.send(&out, target.record.Address, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_PING, Sequence: s.nextSequence()})
		}
	}
	return out
}

// Tick advances the timers and starts the probes and anti-entropy exchanges that are due. It
// has to be called several times per ProbeInterval.
func (s *State) Tick(now time.Time) Output {
	var out Output
	s.handlePause(now, &out)
	s.expireProbes(now, &out)
	s.expireSuspicions(now, &out)
	if !now.Before(s.nextProbe) {
		s.nextProbe = now.Add(s.config.ProbeInterval)
		s.startProbe(now, &out)
	}
	if !now.Before(s.nextSync) {
		jitter := time.Duration(s.random.Int64N(int64(s.config.SyncInterval/4) + 1))
		s.nextSync = now.Add(s.config.SyncInterval + jitter)
		s.startSync(&out)
	}
	return out
}

// Handle processes a received message and the member records attached to it.
func (s *State) Handle(now time.Time, message *wirev1.MembershipMessage) Output {
	var out Output
	for _, record := range message.Updates {
		s.merge(record, now, &out)
	}
	s.recordPeerGeneration(message)
	s.clearLocalSuspicion(message.From)
	switch message.Kind {
	case wirev1.MembershipKind_MEMBERSHIP_KIND_PING:
		s.send(&out, message.FromAddress, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_ACK, Sequence: message.Sequence, Target: s.self.Id})
	case wirev1.MembershipKind_MEMBERSHIP_KIND_ACK:
		s.handleAck(message, &out)
	case wirev1.MembershipKind_MEMBERSHIP_KIND_PING_REQUEST:
		s.handlePingRequest(now, message, &out)
	case wirev1.MembershipKind_MEMBERSHIP_KIND_SYNC:
		s.sendDifferences(&out, message, "")
	case wirev1.MembershipKind_MEMBERSHIP_KIND_SYNC_REPLY:
		s.handleSyncReply(message, &out)
	}
	return out
}

// recordPeerGeneration keeps the highest bundle generation that a member reported.
func (s *State) recordPeerGeneration(message *wirev1.MembershipMessage) {
	if message.BundleGeneration > s.peerGeneration {
		s.peerGeneration = message.BundleGeneration
		s.peerAddress = message.FromAddress
	}
}

// clearLocalSuspicion stops this node's suspicion timer for a member that is leaving but
// still sends messages. A member in the state Suspect has to refute the suspicion instead.
func (s *State) clearLocalSuspicion(id string) {
	known := s.members[id]
	if known != nil && known.record.State == Leaving {
		known.suspected = false
	}
}

// send adds a message with piggybacked records to the output.
func (s *State) send(out *Output, address string, message *wirev1.MembershipMessage) {
	message.Updates = s.piggyback()
	s.sendWithoutPiggyback(out, address, message)
}

// sendWithoutPiggyback fills in the sender and adds a message to the output.
func (s *State) sendWithoutPiggyback(out *Output, address string, message *wirev1.MembershipMessage) {
	message.From = s.self.Id
	message.FromAddress = s.self.Address
	message.BundleGeneration = s.bundleGeneration
	out.Send = append(out.Send, Envelope{Address: address, Message: message})
}

func (s *State) nextSequence() uint64 {
	s.sequence++
	return s.sequence
}
