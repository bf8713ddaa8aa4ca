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

// Documents gives access to the documents that nodes exchange: the configuration, the
// runner list and the layout of the queues, each with its revision.
type Documents interface {
	// FillRequest sets the revisions of the local documents in a request.
	FillRequest(request *wirev1.PeerStateRequest)
	// FillReply adds the documents that are newer here than at the requesting node.
	FillReply(request *wirev1.PeerStateRequest, reply *wirev1.PeerStateReply)
	// ApplyReply stores the documents in a peer's reply that are newer than the local
	// ones.
	ApplyReply(reply *wirev1.PeerStateReply, from string)
	// Stale reports whether contact with the store is lost, so that documents may be
	// outdated.
	Stale() bool
	// Empty reports whether no configuration is known yet.
	Empty() bool
}

// Syncer exchanges node records and documents with peers, as client and as server.
type Syncer struct {
	Directory *Directory
	Documents Documents
	Pool      *rpc.Pool
	Seeds     []string // configured addresses to call even if the nodes there are not known
	// Watched returns the nodes with disks to probe in a large fleet; nil means none.
	Watched func() []*wirev1.NodeRecord
	// Reachability is the source and the receiver of the reachable disks that nodes send each
	// other with their records; nil if this node neither sends nor records them.
	Reachability Reachability

	partners partners
	// timeout is the timeout of a call; zero means callTimeout.
	timeout time.Duration
}

const (
	// syncInterval is the usual time between rounds; Syncer.interval lists the exceptions.
	syncInterval = 500 * time.Millisecond
	callTimeout  = 400 * time.Millisecond
	// unconfiguredInterval is the time between rounds until a configuration is known.
	unconfiguredInterval = 120 * time.Millisecond
	// roundsPerSync is the usual number of rounds between two calls to a random peer; see
	// syncsWithPeer for the exceptions. It is also the number of rounds between two probes
	// of all nodes with disks, which take place only if the fleet is not large.
	roundsPerSync = 2
	// largeFleetInterval and largeFleetDiskInterval are the times between rounds in a large
	// fleet, for nodes without and with a disk, while the store is reachable and after the
	// startup rounds.
	largeFleetInterval     = 2 * time.Second
	largeFleetDiskInterval = time.Second
	// startupRounds is the number of first rounds in which a node always calls a peer. If the
	// fleet is not large, a node with a disk also calls all seeds in these rounds.
	startupRounds = 6
	// largeFleetSeedRounds is the number of first rounds in which a node with a disk calls
	// all seeds in a large fleet. It is small to limit the load on the seeds.
	largeFleetSeedRounds = 2
)

// Serve handles a request from a peer's Syncer. It passes the peer's own record to the
// directory and replies with newer documents. By the first rule that applies, the reply also
// contains:
//   - for a probe: this node's own record, unless the prober knows its current incarnation
//   - in a large fleet, for a peer of another zone: a sample of the records of that zone
//   - for a request for parts: the exchanged records in these parts
//   - for a digest that differs from this node's digest: the digests of the parts
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
		reply.Nodes = s.Directory.SampleZone(request.Self.GetZone())
	case len(request.NodeParts) > 0:
		reply.Nodes = s.Directory.RecordsInParts(request.NodeParts)
	case request.NodesDigest != s.Directory.Digest():
		reply.PartDigests = s.Directory.PartDigests()
	}
	s.exchangeReachable(&request, reply)
	s.Documents.FillReply(&request, reply)
	return stream.Send(reply)
}

// Run exchanges records and documents with peers in rounds until the context ends. A node
// calls one random peer every roundsPerSync rounds, but in every round during the first
// startupRounds and while the store is unreachable. A node with a disk also probes the other
// nodes with disks every roundsPerSync rounds, and calls all seeds in the first rounds, so
// that it and the seeds know each other even if the store is unreachable. Rounds are shorter
// until a configuration is known.
//
// In a large fleet rounds are longer, and a node calls a few partners of its zone in turn; a
// node without a disk calls one in every round. A node with a disk probes only the watched
// nodes and the nodes for which a probe was requested, in every round.
func (s *Syncer) Run(ctx context.Context) {
	var calls tasks.Group
	defer calls.Wait()
	for round := 0; ctx.Err() == nil; round++ {
		large := s.Directory.Large()
		if s.syncsWithPeer(round, large) {
			peer := s.peer(large)
			calls.Go(func() { s.syncWith(ctx, peer) })
		}
		if s.Directory.Self().DiskId != "" {
			for _, seed := range s.seedsToSync(round, large) {
				calls.Go(func() { s.syncWith(ctx, seed) })
			}
			for _, node := range s.nodesToProbe(round, large) {
				calls.Go(func() { s.probe(ctx, node) })
			}
		}
		pause.For(ctx, s.interval(round, large))
	}
}

// syncsWithPeer reports whether the node calls a peer in a round.
func (s *Syncer) syncsWithPeer(round int, large bool) bool {
	if s.Documents.Stale() || round < startupRounds {
		return true
	}
	if large && s.Directory.Self().DiskId == "" {
		return true
	}
	return round%roundsPerSync == 0
}

// seedsToSync returns the addresses of the seeds that a node with a disk calls in a round.
func (s *Syncer) seedsToSync(round int, large bool) []string {
	if large && round >= largeFleetSeedRounds || round >= startupRounds {
		return nil
	}
	return s.Seeds
}

// nodesToProbe returns the records of the other nodes that a node with a disk probes in a
// round.
func (s *Syncer) nodesToProbe(round int, large bool) []*wirev1.NodeRecord {
	var list []*wirev1.NodeRecord
	switch {
	case large:
		list = s.Directory.requestedProbes(time.Now())
		if s.Watched != nil {
			list = append(list, s.Watched()...)
		}
	case round%roundsPerSync == 0:
		list = s.Directory.Disks()
	}
	self := s.Directory.Self().NodeId
	return slices.DeleteFunc(list, func(node *wirev1.NodeRecord) bool { return node.NodeId == self })
}

// interval returns the time to wait after a round.
func (s *Syncer) interval(round int, large bool) time.Duration {
	switch {
	case s.Documents.Empty():
		return unconfiguredInterval
	case !large || round < startupRounds || s.Documents.Stale():
		return syncInterval
	case s.Directory.Self().DiskId != "":
		return largeFleetDiskInterval
	default:
		return largeFleetInterval
	}
}

// peer returns the address of the peer to call next, or "" if none is known. In a large
// fleet it is the next partner, or a random seed if there is no partner.
func (s *Syncer) peer(large bool) string {
	if !large {
		return s.randomPeer()
	}
	if partner := s.partners.next(s.Directory); partner != "" {
		return partner
	}
	if len(s.Seeds) == 0 {
		return ""
	}
	return s.Seeds[rand.IntN(len(s.Seeds))]
}

// randomPeer returns the address of a random known node other than this node, or "" if there
// is none. The seeds are among the candidates in a quarter of the calls, and always while no
// other node is known.
func (s *Syncer) randomPeer() string {
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

// syncWith fetches newer documents and records from a peer. It compares digests of the
// records first and then requests the parts that differ. An empty address has no effect.
func (s *Syncer) syncWith(ctx context.Context, address string) {
	if address == "" {
		return
	}
	reply := s.call(ctx, address, &wirev1.PeerStateRequest{NodesDigest: s.Directory.Digest()})
	if reply == nil || len(reply.PartDigests) == 0 {
		return
	}
	if parts := s.Directory.DifferingParts(reply.PartDigests); len(parts) > 0 {
		s.call(ctx, address, &wirev1.PeerStateRequest{NodeParts: parts})
	}
}

// probe calls a node and records it as unresponsive if the call fails before the context
// ends. The node returns its own record if the incarnation known here is not the current one.
func (s *Syncer) probe(ctx context.Context, node *wirev1.NodeRecord) {
	if s.call(ctx, node.Address, &wirev1.PeerStateRequest{PeerIncarnation: node.Incarnation}) == nil && ctx.Err() == nil {
		s.Directory.RecordUnresponsive(node.Address, time.Now())
	}
}

// call adds this node's record and document revisions to a request, sends it to a peer,
// applies the reply and returns it. If the call fails, the peer is removed from the partners
// and call returns nil.
func (s *Syncer) call(ctx context.Context, address string, request *wirev1.PeerStateRequest) *wirev1.PeerStateReply {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(s.timeout, callTimeout))
	defer cancel()
	request.Self, request.Large = s.Directory.Self(), s.Directory.Large()
	s.fillReachable(request)
	s.Documents.FillRequest(request)
	reply := &wirev1.PeerStateReply{}
	if err := s.Pool.Call(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_PEER_STATE, request, reply); err != nil {
		s.partners.remove(address)
		return nil
	}
	if reply.Large {
		s.Directory.MarkLarge()
	}
	s.Directory.PutAll(reply.Nodes, address)
	now := time.Now()
	s.Directory.RecordContactAt(address, now)
	s.recordReachable(address, reply.ReachableDisks, now)
	s.Documents.ApplyReply(reply, address)
	return reply
}
