package peers

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/rpc"
)

// Documents are what nodes pass on: the configuration, the runner list and the
// layout of the queues, each with its revision.
type Documents interface {
	// Asking fills in which versions this node holds.
	Asking(request *wirev1.PeerStateRequest)
	// Newer fills in what the asker lacks.
	Newer(request *wirev1.PeerStateRequest, reply *wirev1.PeerStateReply)
	// Take takes what a peer sent; older versions change nothing.
	Take(reply *wirev1.PeerStateReply, from string)
	// Stale reports whether the store has not answered lately.
	Stale() bool
	// Empty reports whether no configuration is known yet: the node can't serve.
	Empty() bool
}

// Exchange asks peers.
type Exchange struct {
	Directory *Directory
	Documents Documents
	Pool      *rpc.Pool
	Seeds     []string
}

const (
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = 400 * time.Millisecond
	// emptyInterval is the pause of a node that can't serve yet.
	emptyInterval = 120 * time.Millisecond
	// calmEvery is how many rounds a node that the store serves skips between
	// two questions to nodes with disks.
	calmEvery = 2
	// eagerRounds after its start a node asks at every round.
	eagerRounds = 6
)

// Serve answers a peer's question.
func (e *Exchange) Serve(_ context.Context, stream *rpc.ServerStream) error {
	var request wirev1.PeerStateRequest
	if err := stream.Request(&request); err != nil {
		return err
	}
	if request.Self != nil {
		e.Directory.Put(request.Self)
		e.Directory.NoteHeard(request.Self.NodeId, time.Now())
	}
	reply := &wirev1.PeerStateReply{}
	self := e.Directory.Self()
	switch {
	case request.PeerIncarnation == self.Incarnation:
	case request.PeerIncarnation != 0:
		reply.Nodes = []*wirev1.NodeRecord{self}
	case len(request.NodeParts) > 0:
		reply.Nodes = e.Directory.InParts(request.NodeParts)
	case request.NodesDigest != e.Directory.Digest():
		reply.PartDigests = e.Directory.PartDigests()
	}
	e.Documents.Newer(&request, reply)
	return stream.Send(reply)
}

// Run asks until the context ends: one peer a second, one at each round while
// the store does not answer or no peer is known, and disk nodes each other. A
// node that can't serve yet asks more often. A node with a disk makes itself
// known to the seeds first: who starts while the store is down finds it there.
func (e *Exchange) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		if e.Documents.Stale() || round < eagerRounds || round%calmEvery == 0 {
			go e.ask(ctx, e.anyPeer())
		}
		if round < eagerRounds && e.Directory.Self().DiskId != "" {
			for _, seed := range e.Seeds {
				go e.ask(ctx, seed)
			}
		}
		if self := e.Directory.Self(); self.DiskId != "" && round%calmEvery == 0 {
			for _, disk := range e.Directory.Disks() {
				if disk.NodeId != self.NodeId {
					go e.askSelf(ctx, disk)
				}
			}
		}
		e.pause(ctx)
	}
}

// pause waits until the next round.
func (e *Exchange) pause(ctx context.Context) {
	interval := exchangeInterval
	if e.Documents.Empty() {
		interval = emptyInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// anyPeer draws a known node, or a seed as long as none is known.
func (e *Exchange) anyPeer() string {
	self := e.Directory.Self()
	var addresses []string
	for _, record := range e.Directory.Records() {
		if record.NodeId != self.NodeId {
			addresses = append(addresses, record.Address)
		}
	}
	if len(addresses) == 0 || rand.IntN(4) == 0 {
		addresses = append(addresses, e.Seeds...)
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// ask asks a peer for what is newer there: first for digests of its records, then
// for those parts of them that differ.
func (e *Exchange) ask(ctx context.Context, address string) {
	if address == "" {
		return
	}
	reply := e.call(ctx, address, &wirev1.PeerStateRequest{NodesDigest: e.Directory.Digest()})
	if reply == nil || len(reply.PartDigests) == 0 {
		return
	}
	if parts := e.Directory.Differing(reply.PartDigests); len(parts) > 0 {
		e.call(ctx, address, &wirev1.PeerStateRequest{NodeParts: parts})
	}
}

// askSelf asks a node with a disk whether it is still the one that is known.
func (e *Exchange) askSelf(ctx context.Context, node *wirev1.NodeRecord) {
	e.call(ctx, node.Address, &wirev1.PeerStateRequest{PeerIncarnation: node.Incarnation})
}

// call asks a peer and takes the answer; nil if none came.
func (e *Exchange) call(ctx context.Context, address string, request *wirev1.PeerStateRequest) *wirev1.PeerStateReply {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request.Self = e.Directory.Self()
	e.Documents.Asking(request)
	reply := &wirev1.PeerStateReply{}
	if err := e.Pool.Call(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_PEER_STATE, request, reply); err != nil {
		return nil // whoever has fallen silent is seen by when it was heard last
	}
	for _, record := range reply.Nodes {
		if e.Directory.Put(record) {
			klog.InfoS("node learnt from peer", "node", record.NodeId, "address", record.Address, "disk", record.DiskId, "incarnation", record.Incarnation, "peer", address)
		}
	}
	e.Directory.NoteAnswered(address, time.Now())
	e.Documents.Take(reply, address)
	return reply
}
