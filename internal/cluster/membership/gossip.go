package membership

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// removeMember deletes an expired tombstone from the table. piggyback and nextTarget skip
// the removed entry.
func (s *State) removeMember(known *member) {
	s.hashes[known.bucket] ^= known.hash
	delete(s.members, known.record.Id)
	last := s.list[len(s.list)-1]
	s.list[known.index] = last
	last.index = known.index
	s.list = s.list[:len(s.list)-1]
}

// startSync sends the table hashes to a random member, and to a random seed that is unknown
// or considered dead, so that a node joins the fleet and partitions heal. A node that knows
// only itself sends the next hashes after ProbeInterval instead of SyncInterval.
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

// missingSeed returns the address of a random seed that belongs to no member or only to dead
// members, or "" if there is no such seed.
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

// handleSyncReply replies with this node's records of the buckets that still differ after
// the records in the message were merged. A message with a non-empty Target is itself the
// last one of the exchange and gets no reply.
func (s *State) handleSyncReply(message *wirev1.MembershipMessage, out *Output) {
	if message.Target == "" {
		s.sendDifferences(out, message, "last")
	}
}

// sendDifferences replies to a message with the records of the buckets whose hashes differ
// from those in the message. It sends nothing if all hashes are equal or the number of
// buckets is not the same. The mark becomes the Target of the reply.
func (s *State) sendDifferences(out *Output, message *wirev1.MembershipMessage, mark string) {
	if len(message.BucketHashes) != buckets {
		return
	}
	var records []*wirev1.MemberRecord
	for _, known := range s.list {
		if message.BucketHashes[known.bucket] != s.hashes[known.bucket] {
			records = append(records, known.record)
		}
	}
	if len(records) == 0 && s.hashesEqual(message.BucketHashes) {
		return
	}
	s.sendWithoutPiggyback(out, message.FromAddress, &wirev1.MembershipMessage{
		Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_SYNC_REPLY, BucketHashes: s.hashes[:], Updates: records, Target: mark,
	})
}

func (s *State) hashesEqual(hashes []uint64) bool {
	for bucket, hash := range hashes {
		if hash != s.hashes[bucket] {
			return false
		}
	}
	return true
}

// merge stores a received record if it supersedes the known one. A record about this node
// itself is refuted if it is wrong.
func (s *State) merge(received *wirev1.MemberRecord, now time.Time, out *Output) {
	if received.Id == s.self.Id {
		s.refute(received, out)
		return
	}
	known := s.members[received.Id]
	if known == nil {
		if received.State == Dead {
			// The tombstone keeps an older "alive" record that arrives later from being stored.
			known = &member{}
			s.store(received, known)
			s.setTimers(known, now)
			return
		}
		known = &member{}
		s.store(received, known)
		s.setTimers(known, now)
		out.Changes = append(out.Changes, Change{nil, received})
		return
	}
	if !supersedes(received, known.record) {
		return
	}
	s.replace(known, received, out)
	s.setTimers(known, now)
}

// supersedes reports whether a received record takes precedence over the known record, as
// in SWIM: the higher incarnation wins; within one incarnation, the higher state wins.
func supersedes(received, known *wirev1.MemberRecord) bool {
	if received.Incarnation != known.Incarnation {
		return received.Incarnation > known.Incarnation
	}
	return received.State > known.State
}

// setTimers starts the suspicion timer of a suspected member or the tombstone timer of a
// dead member. For a member in another state it stops the suspicion timer.
func (s *State) setTimers(known *member, now time.Time) {
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

// refute handles a received record about this node. If the received record would supersede
// this node's own record, refute raises the incarnation of the own record above it. The own
// record then supersedes the received record at every member.
func (s *State) refute(received *wirev1.MemberRecord, out *Output) {
	same := received.Incarnation == s.self.Incarnation && received.State == s.self.State
	if received.Incarnation < s.self.Incarnation || same {
		return
	}
	if received.Incarnation == s.self.Incarnation && received.State < s.self.State {
		return
	}
	s.updateSelf(s.self.State, received.Incarnation+1, out)
}

// updateSelf replaces this node's own record by one with the given state and incarnation.
func (s *State) updateSelf(state wirev1.MemberState, incarnation uint64, out *Output) {
	next := proto.Clone(s.self).(*wirev1.MemberRecord)
	next.State = state
	next.Incarnation = incarnation
	s.self = next
	s.replace(s.members[next.Id], next, out)
}

// replace stores a new record of a known member and adds the change to the output.
func (s *State) replace(known *member, next *wirev1.MemberRecord, out *Output) {
	before := known.record
	s.store(next, known)
	out.Changes = append(out.Changes, Change{before, next})
}

// store puts a record into the table and queues it for gossip. The entry is the member's
// entry in the table, or an empty one for a new member.
func (s *State) store(record *wirev1.MemberRecord, entry *member) {
	if s.members[record.Id] == nil {
		entry.bucket = int(xxhash.Sum64String(record.Id) % buckets)
		entry.index = len(s.list)
		s.list = append(s.list, entry)
		s.members[record.Id] = entry
	}
	s.hashes[entry.bucket] ^= entry.hash
	entry.record = record
	entry.transmits = 0
	entry.hash = hashRecord(record)
	s.hashes[entry.bucket] ^= entry.hash
	if !entry.queued {
		entry.queued = true
		s.gossipQueue = append(s.gossipQueue, entry)
	}
}

// hashRecord returns a hash of a record's id, incarnation and state.
func hashRecord(record *wirev1.MemberRecord) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(record.Incarnation<<3 | uint64(record.State))
	_, _ = digest.WriteString(record.Id)
	return digest.Sum64()
}

// transmitLimit returns how many times a record is piggybacked: three times the number of binary
// digits of the number of members.
func (s *State) transmitLimit() int { return 3 * bits.Len(uint(len(s.members))) }

// piggyback returns up to MaxPiggyback queued records, those transmitted least often first.
// It removes the records that reached the transmit limit and those of removed members from
// the queue.
func (s *State) piggyback() []*wirev1.MemberRecord {
	if len(s.gossipQueue) == 0 {
		return nil
	}
	sort.SliceStable(s.gossipQueue, func(i, j int) bool { return s.gossipQueue[i].transmits < s.gossipQueue[j].transmits })
	limit := s.transmitLimit()
	records := make([]*wirev1.MemberRecord, 0, min(len(s.gossipQueue), s.config.MaxPiggyback))
	kept := s.gossipQueue[:0]
	for _, known := range s.gossipQueue {
		if s.members[known.record.Id] != known {
			known.queued = false
			continue
		}
		if len(records) < s.config.MaxPiggyback {
			known.transmits++
			records = append(records, known.record)
		}
		known.queued = known.transmits < limit
		if known.queued {
			kept = append(kept, known)
		}
	}
	s.gossipQueue = kept
	return records
}
