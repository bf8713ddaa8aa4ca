package router

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/spread"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// receiveDigest handles a notice with the load of another owner.
func (m *Module) receiveDigest(from string, payload []byte) {
	received := &wirev1.LoadDigest{}
	if err := proto.Unmarshal(payload, received); err != nil {
		klog.V(1).InfoS("decoding a load digest failed", "node", m.settings.Node.ID, "peer", from, "err", err)
		return
	}
	m.recordLoad(received)
}

// recordLoad stores the load digest of an owner, unless it is outdated: the sequence
// number is not higher than the stored one, and is less than restartSequenceGap below it.
// It ignores nil.
func (m *Module) recordLoad(digest *wirev1.LoadDigest) {
	if digest == nil {
		return
	}
	state := m.owner(digest.NodeId)
	for {
		previous := state.load.Load()
		outdated := previous != nil && digest.Sequence <= previous.Sequence && previous.Sequence-digest.Sequence < restartSequenceGap
		if outdated {
			return
		}
		if state.load.CompareAndSwap(previous, mergeLoads(previous, digest)) {
			return
		}
	}
}

// restartSequenceGap is the minimum decrease of the sequence number that indicates a
// restarted owner, whose numbers start from 1 again. After a restart with a smaller
// decrease, digests are ignored until their numbers exceed the stored number.
const restartSequenceGap = 1000

// mergeLoads returns the digest to store. A received digest with exactly one model is
// treated as part of a response, which reports only the model of its request: the other
// models are copied from the previous digest. Any other digest replaces the previous one,
// which may be nil.
func mergeLoads(previous, received *wirev1.LoadDigest) *wirev1.LoadDigest {
	if previous == nil || len(received.Models) != 1 {
		return received
	}
	merged := &wirev1.LoadDigest{NodeId: received.NodeId, Sequence: received.Sequence, Models: received.Models[:1:1]}
	for _, load := range previous.Models {
		if load.Model != received.Models[0].Model {
			merged.Models = append(merged.Models, load)
		}
	}
	return merged
}

// digestLoop sends this node's load to a few random nodes of its zone in each
// digestInterval, unless the node has no ready runners.
func (m *Module) digestLoop(ctx context.Context) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		digest := m.local.Load("")
		if len(digest.Models) == 0 {
			continue
		}
		view := m.views.View()
		for _, id := range spread.Sample(view.Self.Id, view.Rendezvous.NodesInZone(view.Self.Zone), spread.DigestFanout, random) {
			if address, known := view.Address(id); known {
				m.pool.Notify(address, rpc.ClassControl, wirev1.Method_METHOD_LOAD_DIGEST, digest)
			}
		}
	}
}

// digestInterval is the time between two load digests of this node.
const digestInterval = time.Second
