package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// handlePause detects that this process was paused, for instance because the machine was
// suspended: the last tick is more than three probe intervals ago. A missing acknowledgement
// then does not indicate a failed member, so handlePause discards outstanding probes and
// restarts the suspicion timers. It pings the suspected members at once, so that they can
// refute the suspicion before the timers end.
func (s *State) handlePause(now time.Time, out *Output) {
	elapsed := now.Sub(s.lastTick)
	paused := !s.lastTick.IsZero() && elapsed > 3*s.config.ProbeInterval
	s.lastTick = now
	if !paused {
		return
	}
	clear(s.probes)
	clear(s.relayedProbes)
	for _, known := range s.list {
		if known.suspected {
			known.deadline = now.Add(s.config.SuspicionTimeout)
			s.ping(known, out)
		}
	}
}

// ping sends a ping to a member and returns its sequence number. A ping to a suspected
// member always carries the record of that member, so that the member can refute it (the
// "buddy system" of Lifeguard, Dadgar and others 2017).
func (s *State) ping(target *member, out *Output) uint64 {
	sequence := s.nextSequence()
	message := &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_PING, Sequence: sequence}
	s.send(out, target.record.Address, message)
	if target.suspected && !slices.Contains(message.Updates, target.record) {
		message.Updates = append(message.Updates, target.record)
	}
	return sequence
}

// expireProbes starts indirect probes of a member that has not acknowledged a probe within
// ProbeTimeout, and suspects the member after ProbeInterval. It discards relayed probes after
// two probe intervals.
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
			s.sendIndirectProbes(sequence, running.target, out)
		}
	}
	for sequence, pending := range s.relayedProbes {
		if now.Sub(pending.started) >= 2*s.config.ProbeInterval {
			delete(s.relayedProbes, sequence)
		}
	}
}

// sortedKeys returns the sequence numbers in order, so that probes expire in an order that
// is reproducible for a given random seed.
func sortedKeys(probes map[uint64]probe) []uint64 {
	keys := make([]uint64, 0, len(probes))
	for sequence := range probes {
		keys = append(keys, sequence)
	}
	slices.Sort(keys)
	return keys
}

// sendIndirectProbes asks random members to probe the target of an unacknowledged probe. The
// same member may be selected more than once.
func (s *State) sendIndirectProbes(sequence uint64, target string, out *Output) {
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

// suspect starts a member's suspicion timer, unless it is running or the member is dead. An
// alive member becomes suspect; a leaving member stays leaving.
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

// expireSuspicions declares suspected members dead after the suspicion timeout and removes
// expired tombstones.
func (s *State) expireSuspicions(now time.Time, out *Output) {
	for i := len(s.list) - 1; i >= 0; i-- {
		known := s.list[i]
		if known.record.State == Dead {
			if now.After(known.deadline) {
				s.removeMember(known)
			}
			continue
		}
		if known.suspected && now.After(known.deadline) {
			next := proto.Clone(known.record).(*wirev1.MemberRecord)
			next.State = Dead
			s.replace(known, next, out)
			s.setTimers(known, now)
		}
	}
}

// startProbe probes the next member of the probe round.
func (s *State) startProbe(now time.Time, out *Output) {
	target := s.nextTarget()
	if target == nil {
		return
	}
	sequence := s.ping(target, out)
	s.probes[sequence] = probe{target: target.record.Id, started: now}
}

// nextTarget returns the next member to probe, or nil if all other members are dead. Each
// round visits all members once in a new random order and skips this node and dead members.
func (s *State) nextTarget() *member {
	for range 2 {
		for s.probePosition < len(s.probeOrder) {
			known := s.probeOrder[s.probePosition]
			s.probePosition++
			current := s.members[known.record.Id] == known
			if current && known.record.Id != s.self.Id && known.record.State != Dead {
				return known
			}
		}
		s.reshuffle()
	}
	return nil
}

// reshuffle starts a probe round with all current members.
func (s *State) reshuffle() {
	s.probeOrder = append(s.probeOrder[:0], s.list...)
	s.random.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	s.probePosition = 0
}

// handleAck ends this node's probe that a message acknowledges. The acknowledgement of a
// relayed probe is forwarded to the requesting node.
func (s *State) handleAck(message *wirev1.MembershipMessage, out *Output) {
	if running, found := s.probes[message.Sequence]; found && running.target == message.Target {
		delete(s.probes, message.Sequence)
		return
	}
	pending, found := s.relayedProbes[message.Sequence]
	if !found {
		return
	}
	delete(s.relayedProbes, message.Sequence)
	s.send(out, pending.requester, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_ACK, Sequence: pending.sequence, Target: message.Target})
}

// handlePingRequest probes a member on behalf of another node.
func (s *State) handlePingRequest(now time.Time, message *wirev1.MembershipMessage, out *Output) {
	sequence := s.nextSequence()
	s.relayedProbes[sequence] = relayedProbe{requester: message.FromAddress, sequence: message.Sequence, started: now}
	s.send(out, message.TargetAddress, &wirev1.MembershipMessage{Kind: wirev1.MembershipKind_MEMBERSHIP_KIND_PING, Sequence: sequence})
}

// maxRandomTries is the number of attempts of randomMember to find an eligible member.
const maxRandomTries = 32

// randomMember returns a random member that is neither dead nor excluded, or nil if it
// finds none in maxRandomTries attempts.
func (s *State) randomMember(excluded ...string) *member {
	for range maxRandomTries {
		known := s.list[s.random.IntN(len(s.list))]
		if known.record.State != Dead && !slices.Contains(excluded, known.record.Id) {
			return known
		}
	}
	return nil
}
