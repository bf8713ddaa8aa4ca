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

func (m *Module) receiveDigest(from string, payload []byte) {
	digest := &wirev1.LoadDigest{}
	if err := proto.Unmarshal(payload, digest); err != nil {
		klog.V(1).InfoS("decoding a load digest failed", "node", m.settings.Node.ID, "peer", from, "err", err)
		return
	}
	m.recordLoad(digest)
}

// recordLoad stores a digest unless a newer one of the same owner is known.
func (m *Module) recordLoad(digest *wirev1.LoadDigest) {
	if digest == nil {
		return
	}
	state := m.owner(digest.NodeId)
	for {
		known := state.load.Load()
		// A restarted owner's sequence numbers start from one again.
		outdated := known != nil && digest.Sequence <= known.Sequence && known.Sequence-digest.Sequence < restartSequenceGap
		if outdated {
			return
		}
		if state.load.CompareAndSwap(known, mergeLoads(known, digest)) {
			return
		}
	}
}

// restartSequenceGap is the difference from which a lower sequence number is taken for
// that of a restarted owner instead of an outdated digest.
const restartSequenceGap = 1000

// mergeLoads adds the models of an earlier digest to a digest with a single model,
// since the digest in a response covers only the response's model.
func mergeLoads(known, digest *wirev1.LoadDigest) *wirev1.LoadDigest {
	if known == nil || len(digest.Models) != 1 {
		return digest
	}
	merged := &wirev1.LoadDigest{NodeId: digest.NodeId, Sequence: digest.Sequence, Models: digest.Models[:1:1]}
	for _, load := range known.Models {
		if load.Model != digest.Models[0].Model {
			merged.Models = append(merged.Models, load)
		}
	}
	return merged
}

// digestLoop periodically sends this node's load to a few random nodes of its zone.
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
