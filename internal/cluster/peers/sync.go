package peers

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Documents are what nodes pass on: the configuration, the runner list and the
// layout of the queues, each with its revision.
type Documents interface {
	// Asking fills in which versions this node holds.
	Asking(request *wirev1.PeerStateRequest)
	// Newer fills in what is newer here than with the asker.
	Newer(request *wirev1.PeerStateRequest, reply *wirev1.PeerStateReply)
	// Take takes what a peer sent; older versions change nothing.
	Take(reply *wirev1.PeerStateReply, from string)
	// Stale reports whether the store has not answered lately.
	Stale() bool
	// Empty reports whether no configuration is known yet: the node can't serve.
	Empty() bool
}

// Syncer asks peers for what is newer there, and answers them.
type Syncer struct {
	Directory *Directory
	Documents Documents
	Pool      *rpc.Pool
	Seeds     []string
	// Watched lists the nodes with disks whose life this node has to know of in a
	// large fleet; nil stands for none.
	Watched func() []*wirev1.NodeRecord

	partners partners
	// timeout of a call; zero stands for callTimeout.
	timeout time.Duration
}

const (
	syncInterval = 500 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	// emptyInterval is the pause of a node that can't serve yet.
	emptyInterval = 120 * time.Millisecond
	// roundsPerQuestion: a node that the store serves asks a peer, and the nodes with
	// disks, in each second round.
	roundsPerQuestion = 2
	// In a large fleet a node pauses longer: what changes comes by relays, and records
	// reach a zone of a thousand nodes in some ten rounds. One with a disk asks of the
	// life of relays at each round, and a partner at each other one.
	largeInterval     = 2 * time.Second
	largeDiskInterval = time.Second
	// eagerRounds after its start a node asks at every round.
	eagerRounds = 6
	// largeSeedRounds after its start a node with a disk makes itself known to the
	// seeds in a large fleet: there are three of these for all nodes.
	largeSeedRounds = 2
)

// Serve answers a peer's question.
func (s *Syncer) Serve(_ context.Context, stream *rpc.ServerStream) error {
	var request wirev1.PeerStateRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	if request.Self != nil {
		s.Directory.Put(request.Self)
		s.Directory.RecordContact(request.Self.NodeId, time.Now())
	}
	if request.Large {
		s.Directory.MarkLarge()
	}
	self, large := s.Directory.Self(), s.Directory.Large()
	reply := &wirev1.PeerStateReply{Large: large}
	switch {
	case request.PeerIncarnation == self.Incarnation:
	case request.PeerIncarnation != 0:
		reply.Nodes = []*wirev1.NodeRecord{self}
	case large && request.Self.GetZone() != self.Zone:
		reply.Nodes = s.Directory.SampleOf(request.Self.GetZone())
	case len(request.NodeParts) > 0:
		reply.Nodes = s.Directory.InParts(request.NodeParts)
	case request.NodesDigest != s.Directory.Digest():
		reply.PartDigests = s.Directory.PartDigests()
	}
	s.Documents.Newer(&request, reply)
	return stream.Send(reply)
}

// Run asks until the context ends: one peer a second, one at each round while
// the store does not answer or no peer is known, and disk nodes each other. A
// node that can't serve yet asks more often. A node with a disk makes itself
// known to the seeds first: who starts while the store is down finds it there.
//
// In a large fleet a node asks one of few partners of its zone each other second,
// and of the nodes with disks only those whose life it has to know of.
func (s *Syncer) Run(ctx context.Context) {
	var asking tasks.Group
	defer asking.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		large := s.Directory.Large()
		if s.asksPeer(round, large) {
			peer := s.peer(large)
			asking.Go(func() { s.ask(ctx, peer) })
		}
		if s.Directory.Self().DiskId != "" {
			for _, seed := range s.seedsToAsk(round, large) {
				asking.Go(func() { s.ask(ctx, seed) })
			}
			for _, node := range s.disksToAsk(round, large) {
				asking.Go(func() { s.askSelf(ctx, node) })
			}
		}
		pause.For(ctx, s.interval(round, large))
	}
}

// asksPeer reports whether a peer is asked in a round.
func (s *Syncer) asksPeer(round int, large bool) bool {
	if s.Documents.Stale() || round < eagerRounds {
		return true
	}
	if large && s.Directory.Self().DiskId == "" {
		return true
	}
	return round%roundsPerQuestion == 0
}

// seedsToAsk lists the seeds that a node with a disk makes itself known to in a round.
func (s *Syncer) seedsToAsk(round int, large bool) []string {
	if large && round >= largeSeedRounds || round >= eagerRounds {
		return nil
	}
	return s.Seeds
}

// disksToAsk lists the nodes with disks that are asked in a round whether they live.
func (s *Syncer) disksToAsk(round int, large bool) []*wirev1.NodeRecord {
	var list []*wirev1.NodeRecord
	switch {
	case large:
		list = s.Directory.wantedContacts(time.Now())
		if s.Watched != nil {
			list = append(list, s.Watched()...)
		}
	case round%roundsPerQuestion == 0:
		list = s.Directory.Disks()
	}
	self := s.Directory.Self().NodeId
	return slices.DeleteFunc(list, func(node *wirev1.NodeRecord) bool { return node.NodeId == self })
}

// interval returns the time between two rounds.
func (s *Syncer) interval(round int, large bool) time.Duration {
	switch {
	case s.Documents.Empty():
		return emptyInterval
	case !large || round < eagerRounds || s.Documents.Stale():
		return syncInterval
	case s.Directory.Self().DiskId != "":
		return largeDiskInterval
	default:
		return largeInterval
	}
}

// peer chooses whom to ask next.
func (s *Syncer) peer(large bool) string {
	if !large {
		return s.anyPeer()
	}
	if partner := s.partners.next(s.Directory); partner != "" {
		return partner
	}
	if len(s.Seeds) == 0 {
		return ""
	}
	return s.Seeds[rand.IntN(len(s.Seeds))]
}

// anyPeer draws a known node, or a seed as long as none is known.
func (s *Syncer) anyPeer() string {
	self := s.Directory.Self()
	var addresses []string
	for _, record := range s.Directory.Records() {
		if record.NodeId != self.NodeId {
			addresses = append(addresses, record.Address)
		}
	}
	if len(addresses) == 0 || rand.IntN(4) == 0 {
		addresses = append(addresses, s.Seeds...)
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// ask asks a peer for what is newer there: first for digests of its records, then
// for those parts of them that differ.
func (s *Syncer) ask(ctx context.Context, address string) {
	if address == "" {
		return
	}
	reply := s.call(ctx, address, &wirev1.PeerStateRequest{NodesDigest: s.Directory.Digest()})
	if reply == nil || len(reply.PartDigests) == 0 {
		return
	}
	if parts := s.Directory.Differing(reply.PartDigests); len(parts) > 0 {
		s.call(ctx, address, &wirev1.PeerStateRequest{NodeParts: parts})
	}
}

// askSelf asks a node with a disk whether it is still the one that is known.
func (s *Syncer) askSelf(ctx context.Context, node *wirev1.NodeRecord) {
	if s.call(ctx, node.Address, &wirev1.PeerStateRequest{PeerIncarnation: node.Incarnation}) == nil && ctx.Err() == nil {
		s.Directory.RecordUnresponsive(node.Address, time.Now())
	}
}

// call asks a peer and takes the answer; nil if none came.
func (s *Syncer) call(ctx context.Context, address string, request *wirev1.PeerStateRequest) *wirev1.PeerStateReply {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(s.timeout, callTimeout))
	defer cancel()
	request.Self, request.Large = s.Directory.Self(), s.Directory.Large()
	s.Documents.Asking(request)
	reply := &wirev1.PeerStateReply{}
	if err := s.Pool.Call(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_PEER_STATE, request, reply); err != nil {
		s.partners.drop(address)
		return nil // whoever does not answer is known by the time of its last contact
	}
	if reply.Large {
		s.Directory.MarkLarge()
	}
	s.Directory.PutAll(reply.Nodes, address)
	s.Directory.RecordContactAt(address, time.Now())
	s.Documents.Take(reply, address)
	return reply
}
