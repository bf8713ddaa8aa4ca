// Package membership is the decision logic of the nodes' failure detector and
// gossip, after SWIM (Das, Gupta, Motivala 2002) with the suspicion and
// incarnation rules of that paper.
//
// The package does no I/O and reads no clock: Tick and Handle take the time and
// return messages to send. Traffic per node is constant in the fleet's size:
// one probe per interval, a bounded number of piggybacked records, and an
// anti-entropy exchange that sends only the parts of the table that differ.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Shorthand for the wire's states, in order of precedence at one incarnation.
const (
	Alive   = wirev1.MemberState_MEMBER_STATE_ALIVE
	Suspect = wirev1.MemberState_MEMBER_STATE_SUSPECT
	Leaving = wirev1.MemberState_MEMBER_STATE_LEAVING
	Dead    = wirev1.MemberState_MEMBER_STATE_DEAD
)

// Config holds the detector's times and bounds.
type Config struct {
	// ProbeInterval is the time between direct probes of one random member.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take before indirect ones.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect has to refute.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of members asked to probe a silent one.
	IndirectProbes int
	// MaxPiggyback bounds the records on one message.
	MaxPiggyback int
	// SyncInterval is the time between anti-entropy exchanges.
	SyncInterval time.Duration
	// TombstoneTime is how long a dead member's record is kept.
	TombstoneTime time.Duration
}

// DefaultConfig detects a dead node within about three seconds.
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

// Envelope is a message to send.
type Envelope struct {
	Address string
	Message *wirev1.MembershipMessage
}

// Change tells of a member whose record changed in a way owners care about.
type Change struct {
	Before, After *wirev1.MemberRecord
}

// Output is what a step asks for.
type Output struct {
	Send    []Envelope
	Changes []Change
}

// Seed is a machine of the platform's list, which lags.
type Seed struct {
	Address string
}

type member struct {
	record    *wirev1.MemberRecord
	deadline  time.Time // suspicion ends or tombstone falls
	suspected bool      // a local suspicion is running
	transmits int       // gossip transmissions of the current record
	hash      uint64
	bucket    int
	listed    int // index in State.list
	fresh     bool
}

// buckets split the table for the anti-entropy exchange.
const buckets = 16

type probe struct {
	target   string
	started  time.Time
	indirect bool
}

// relay remembers for whom an indirect probe is being made.
type relay struct {
	requester string
	sequence  uint64
	started   time.Time
}

// State is one node's view of the fleet.
//
// Invariant: a record is replaced only by one that supersedes it, so views
// converge to the same table whatever the order of messages.
type State struct {
	config  Config
	random  *rand.Rand
	self    *wirev1.MemberRecord
	members map[string]*member
	list    []*member // all members, in no order
	fresh   []*member // those whose record is still being gossiped
	seeds   []Seed

	order     []*member // shuffled probe order
	position  int
	sequence  uint64
	probes    map[uint64]probe
	relays    map[uint64]relay
	nextProbe time.Time
	nextSync  time.Time
	lastTick  time.Time
	hashes    [buckets]uint64

	bundleGeneration uint64
	peerGeneration   uint64
	peerAhead        string
}

// New returns the view of a node that knows only itself.
func New(self *wirev1.MemberRecord, config Config, random *rand.Rand) *State {
	s := &State{
		config:  config,
		random:  random,
		self:    proto.Clone(self).(*wirev1.MemberRecord),
		members: map[string]*member{},
		probes:  map[uint64]probe{},
		relays:  map[uint64]relay{},
	}
	s.self.State = Alive
	s.store(s.self, &member{})
	return s
}

// SetSeeds replaces the machine list.
func (s *State) SetSeeds(seeds []Seed) { s.seeds = seeds }

// SetBundleGeneration sets the generation advertised on every message.
func (s *State) SetBundleGeneration(generation uint64) { s.bundleGeneration = generation }

// AheadPeer returns the highest bundle generation heard of and the address of
// a member that had it.
func (s *State) AheadPeer() (uint64, string) { return s.peerGeneration, s.peerAhead }

// Self returns this node's record.
func (s *State) Self() *wirev1.MemberRecord { return s.self }

// Records returns all records, ordered by id.
func (s *State) Records() []*wirev1.MemberRecord {
	records := make([]*wirev1.MemberRecord, 0, len(s.members))
	for _, known := range s.members {
		records = append(records, known.record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Id < records[j].Id })
	return records
}

// Leave marks this node as leaving; it will not be alive again in this life.
func (s *State) Leave(now time.Time) Output {
	var out Output
	s.restate(Leaving, s.self.Incarnation+1, &out)
	for range s.config.IndirectProbes {
		if target := s.randomMember(s.self.Id); target != nil {
			s.send(&out, target.record.Address, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_PING, Sequence: s.nextSequence()})
		}
	}
	_ = now
	return out
}

// Tick advances timers. It is called a few times per ProbeInterval.
func (s *State) Tick(now time.Time) Output {
	var out Output
	s.noticePause(now, &out)
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

// noticePause drops outstanding probes and restarts suspicions when this
// process itself stood still: what it missed says nothing about the others.
// Those it suspects are told at once, so that they can refute in time.
func (s *State) noticePause(now time.Time, out *Output) {
	stood := now.Sub(s.lastTick)
	paused := !s.lastTick.IsZero() && stood > 3*s.config.ProbeInterval
	s.lastTick = now
	if !paused {
		return
	}
	clear(s.probes)
	clear(s.relays)
	for _, known := range s.list {
		if known.suspected {
			known.deadline = now.Add(s.config.SuspicionTimeout)
			s.ping(known, out)
		}
	}
}

// ping probes a member; a suspected one is shown its own record, whatever else
// is piggybacked (the "buddy system" of Lifeguard, Dadgar and others 2017).
func (s *State) ping(target *member, out *Output) uint64 {
	sequence := s.nextSequence()
	message := &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_PING, Sequence: sequence}
	s.send(out, target.record.Address, message)
	if target.suspected && !slices.Contains(message.Updates, target.record) {
		message.Updates = append(message.Updates, target.record)
	}
	return sequence
}

func (s *State) expireProbes(now time.Time, out *Output) {
	for _, sequence := range sortedKeys(s.probes) {
		running := s.probes[sequence]
		waited := now.Sub(running.started)
		if waited >= s.config.ProbeInterval {
			delete(s.probes, sequence)
			s.suspect(running.target, now, out)
			continue
		}
		if waited >= s.config.ProbeTimeout && !running.indirect {
			running.indirect = true
			s.probes[sequence] = running
			s.askOthers(sequence, running.target, out)
		}
	}
	for sequence, pending := range s.relays {
		if now.Sub(pending.started) >= 2*s.config.ProbeInterval {
			delete(s.relays, sequence)
		}
	}
}

// sortedKeys fixes the order in which probes expire, so that a run with one
// seed is always the same.
func sortedKeys(probes map[uint64]probe) []uint64 {
	keys := make([]uint64, 0, len(probes))
	for sequence := range probes {
		keys = append(keys, sequence)
	}
	slices.Sort(keys)
	return keys
}

func (s *State) askOthers(sequence uint64, target string, out *Output) {
	subject := s.members[target]
	if subject == nil {
		return
	}
	for range s.config.IndirectProbes {
		helper := s.randomMember(s.self.Id, target)
		if helper == nil {
			return
		}
		s.send(out, helper.record.Address, &wirev1.MembershipMessage{
			Kind:          wirev1.MembershipKind_MEMBERSHIP_KIND_PING_REQUEST,
			Sequence:      sequence,
			Target:        target,
			TargetAddress: subject.record.Address,
		})
	}
}

func (s *State) suspect(id string, now time.Time, out *Output) {
	known := s.members[id]
	if known == nil || known.suspected || known.record.State == Dead {
		return
	}
	known.suspected = true
	known.deadline = now.Add(s.config.SuspicionTimeout)
	if known.record.State == Alive {
		next := proto.Clone(known.record).(*wirev1.MemberRecord)
		next.State = Suspect
		s.replace(known, next, out)
	}
}

func (s *State) expireSuspicions(now time.Time, out *Output) {
	for i := len(s.list) - 1; i >= 0; i-- {
		known := s.list[i]
		if known.record.State == Dead {
			if now.After(known.deadline) {
				s.forget(known)
			}
			continue
		}
		if known.suspected && now.After(known.deadline) {
			next := proto.Clone(known.record).(*wirev1.MemberRecord)
			next.State = Dead
			s.replace(known, next, out)
			s.settleTimers(known, now)
		}
	}
}

// forget drops a tombstone.
func (s *State) forget(known *member) {
	s.hashes[known.bucket] ^= known.hash
	delete(s.members, known.record.Id)
	last := s.list[len(s.list)-1]
	s.list[known.listed] = last
	last.listed = known.listed
	s.list = s.list[:len(s.list)-1]
}

func (s *State) startProbe(now time.Time, out *Output) {
	target := s.nextTarget()
	if target == nil {
		return
	}
	sequence := s.ping(target, out)
	s.probes[sequence] = probe{target: target.record.Id, started: now}
}

// nextTarget walks a shuffled round over all members that are not dead, so
// that each is probed within two rounds.
func (s *State) nextTarget() *member {
	for range 2 {
		for s.position < len(s.order) {
			known := s.order[s.position]
			s.position++
			current := s.members[known.record.Id] == known
			if current && known.record.Id != s.self.Id && known.record.State != Dead {
				return known
			}
		}
		s.reshuffle()
	}
	return nil
}

func (s *State) reshuffle() {
	s.order = append(s.order[:0], s.list...)
	s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	s.position = 0
}

// startSync exchanges table hashes with one random member, and with one listed
// machine that is unknown or believed dead, which joins and heals partitions.
func (s *State) startSync(out *Output) {
	if target := s.randomMember(s.self.Id); target != nil {
		s.send(out, target.record.Address, s.syncMessage())
	}
	if address := s.missingSeed(); address != "" {
		s.send(out, address, s.syncMessage())
	}
	if len(s.members) == 1 {
		s.nextSync = s.lastTick.Add(s.config.ProbeInterval)
	}
}

func (s *State) syncMessage() *wirev1.MembershipMessage {
	return &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_SYNC, BucketHashes: s.hashes[:]}
}

func (s *State) missingSeed() string {
	live := make(map[string]bool, len(s.members))
	for _, known := range s.list {
		if known.record.State != Dead {
			live[known.record.Address] = true
		}
	}
	var missing []string
	for _, seed := range s.seeds {
		if !live[seed.Address] {
			missing = append(missing, seed.Address)
		}
	}
	if len(missing) == 0 {
		return ""
	}
	return missing[s.random.IntN(len(missing))]
}

// Handle takes one message.
func (s *State) Handle(now time.Time, message *wirev1.MembershipMessage) Output {
	var out Output
	for _, record := range message.Updates {
		s.merge(record, now, &out)
	}
	s.noteGeneration(message)
	s.heardFrom(message.From, &out)
	switch message.Kind {
	case wirev1.MembershipKind_MEMBERSHIP_KIND_PING:
		s.send(&out, message.FromAddress, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_ACK, Sequence: message.Sequence, Target: s.self.Id})
	case wirev1.MembershipKind_MEMBERSHIP_KIND_ACK:
		s.handleAck(message, &out)
	case wirev1.MembershipKind_MEMBERSHIP_KIND_PING_REQUEST:
		s.handlePingRequest(now, message, &out)
	case wirev1.MembershipKind_MEMBERSHIP_KIND_SYNC:
		s.sendDifferent(&out, message, "")
	case wirev1.MembershipKind_MEMBERSHIP_KIND_SYNC_REPLY:
		s.handleSyncReply(message, &out)
	}
	return out
}

func (s *State) noteGeneration(message *wirev1.MembershipMessage) {
	if message.BundleGeneration > s.peerGeneration {
		s.peerGeneration = message.BundleGeneration
		s.peerAhead = message.FromAddress
	}
}

// heardFrom clears a local suspicion of a leaving member that still answers.
// Suspicions that were gossiped are cleared only by a refutation.
func (s *State) heardFrom(id string, _ *Output) {
	known := s.members[id]
	if known != nil && known.record.State == Leaving {
		known.suspected = false
	}
}

func (s *State) handleAck(message *wirev1.MembershipMessage, out *Output) {
	if running, found := s.probes[message.Sequence]; found && running.target == message.Target {
		delete(s.probes, message.Sequence)
		return
	}
	pending, found := s.relays[message.Sequence]
	if !found {
		return
	}
	delete(s.relays, message.Sequence)
	s.send(out, pending.requester, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_ACK, Sequence: pending.sequence, Target: message.Target})
}

func (s *State) handlePingRequest(now time.Time, message *wirev1.MembershipMessage, out *Output) {
	sequence := s.nextSequence()
	s.relays[sequence] = relay{requester: message.FromAddress, sequence: message.Sequence, started: now}
	s.send(out, message.TargetAddress, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_PING, Sequence: sequence})
}

// handleSyncReply has merged the peer's records already; it answers with its
// own where the tables still differ. Target marks that answer as the last.
func (s *State) handleSyncReply(message *wirev1.MembershipMessage, out *Output) {
	if message.Target == "" {
		s.sendDifferent(out, message, "last")
	}
}

// sendDifferent sends the records of the buckets whose hashes differ.
func (s *State) sendDifferent(out *Output, message *wirev1.MembershipMessage, mark string) {
	if len(message.BucketHashes) != buckets {
		return
	}
	var records []*wirev1.MemberRecord
	for _, known := range s.list {
		if message.BucketHashes[known.bucket] != s.hashes[known.bucket] {
			records = append(records, known.record)
		}
	}
	if len(records) == 0 && s.sameTable(message.BucketHashes) {
		return
	}
	s.sendRaw(out, message.FromAddress, &wirev1.MembershipMessage{
		Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_SYNC_REPLY, BucketHashes: s.hashes[:], Updates: records, Target: mark,
	})
}

func (s *State) sameTable(hashes []uint64) bool {
	for bucket, hash := range hashes {
		if hash != s.hashes[bucket] {
			return false
		}
	}
	return true
}

// merge takes a record heard of. Records about this node itself are refuted.
func (s *State) merge(heard *wirev1.MemberRecord, now time.Time, out *Output) {
	if heard.Id == s.self.Id {
		s.refute(heard, out)
		return
	}
	known := s.members[heard.Id]
	if known == nil {
		if heard.State == Dead {
			// Keep the tombstone: an older "alive" may still be on its way.
			known = &member{}
			s.store(heard, known)
			s.settleTimers(known, now)
			return
		}
		known = &member{}
		s.store(heard, known)
		s.settleTimers(known, now)
		out.Changes = append(out.Changes, Change{nil, heard})
		return
	}
	if !supersedes(heard, known.record) {
		return
	}
	s.replace(known, heard, out)
	s.settleTimers(known, now)
}

// supersedes is the precedence of SWIM: the higher incarnation, then the
// graver state.
func supersedes(heard, known *wirev1.MemberRecord) bool {
	if heard.Incarnation != known.Incarnation {
		return heard.Incarnation > known.Incarnation
	}
	return heard.State > known.State
}

func (s *State) settleTimers(known *member, now time.Time) {
	switch known.record.State {
	case Suspect:
		known.suspected = true
		known.deadline = now.Add(s.config.SuspicionTimeout)
	case Dead:
		known.suspected = false
		known.deadline = now.Add(s.config.TombstoneTime)
	default:
		known.suspected = false
	}
}

// refute answers a record about this node that is not what it says of itself:
// a higher incarnation of its own state wins everywhere.
func (s *State) refute(heard *wirev1.MemberRecord, out *Output) {
	sameLife := heard.Incarnation == s.self.Incarnation && heard.State == s.self.State
	if heard.Incarnation < s.self.Incarnation || sameLife {
		return
	}
	if heard.Incarnation == s.self.Incarnation && heard.State < s.self.State {
		return
	}
	s.restate(s.self.State, heard.Incarnation+1, out)
}

func (s *State) restate(state wirev1.MemberState, incarnation uint64, out *Output) {
	next := proto.Clone(s.self).(*wirev1.MemberRecord)
	next.State = state
	next.Incarnation = incarnation
	s.self = next
	s.replace(s.members[next.Id], next, out)
}

func (s *State) replace(known *member, next *wirev1.MemberRecord, out *Output) {
	before := known.record
	s.store(next, known)
	out.Changes = append(out.Changes, Change{before, next})
}

func (s *State) store(record *wirev1.MemberRecord, known *member) {
	if s.members[record.Id] == nil {
		known.bucket = int(xxhash.Sum64String(record.Id) % buckets)
		known.listed = len(s.list)
		s.list = append(s.list, known)
		s.members[record.Id] = known
	}
	s.hashes[known.bucket] ^= known.hash
	known.record = record
	known.transmits = 0
	known.hash = hashRecord(record)
	s.hashes[known.bucket] ^= known.hash
	if !known.fresh {
		known.fresh = true
		s.fresh = append(s.fresh, known)
	}
}

func hashRecord(record *wirev1.MemberRecord) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(record.Incarnation<<3 | uint64(record.State))
	_, _ = digest.WriteString(record.Id)
	return digest.Sum64()
}

// transmitLimit is how often a record is piggybacked: a few times log2(n).
func (s *State) transmitLimit() int { return 3 * bits.Len(uint(len(s.members))) }

// piggyback picks the records transmitted least often and retires those that
// have been transmitted enough.
func (s *State) piggyback() []*wirev1.MemberRecord {
	if len(s.fresh) == 0 {
		return nil
	}
	sort.SliceStable(s.fresh, func(i, j int) bool { return s.fresh[i].transmits < s.fresh[j].transmits })
	limit := s.transmitLimit()
	records := make([]*wirev1.MemberRecord, 0, min(len(s.fresh), s.config.MaxPiggyback))
	kept := s.fresh[:0]
	for _, known := range s.fresh {
		if s.members[known.record.Id] != known {
			known.fresh = false
			continue
		}
		if len(records) < s.config.MaxPiggyback {
			known.transmits++
			records = append(records, known.record)
		}
		known.fresh = known.transmits < limit
		if known.fresh {
			kept = append(kept, known)
		}
	}
	s.fresh = kept
	return records
}

func (s *State) send(out *Output, address string, message *wirev1.MembershipMessage) {
	message.Updates = s.piggyback()
	s.sendRaw(out, address, message)
}

func (s *State) sendRaw(out *Output, address string, message *wirev1.MembershipMessage) {
	message.From = s.self.Id
	message.FromAddress = s.self.Address
	message.BundleGeneration = s.bundleGeneration
	out.Send = append(out.Send, Envelope{Address: address, Message: message})
}

func (s *State) nextSequence() uint64 {
	s.sequence++
	return s.sequence
}

// randomTries bounds the draws of randomMember; in a fleet that is mostly
// alive the first few succeed.
const randomTries = 32

// randomMember returns a random member that is not dead and not excluded, nil
// if none was drawn.
func (s *State) randomMember(excluded ...string) *member {
	for range randomTries {
		known := s.list[s.random.IntN(len(s.list))]
		if known.record.State != Dead && !slices.Contains(excluded, known.record.Id) {
			return known
		}
	}
	return nil
}
