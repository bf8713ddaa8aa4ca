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
		klog.V(1).InfoS("unreadable load digest dropped", "node", m.settings.Node.ID, "peer", from, "err", err)
		return
	}
	m.noteLoad(digest)
}

// noteLoad keeps the newest digest; one that was overtaken is dropped.
func (m *Module) noteLoad(digest *wirev1.LoadDigest) {
	if digest == nil {
		return
	}
	state := m.owner(digest.NodeId)
	for {
		known := state.load.Load()
		// A restarted owner counts from one again.
		overtaken := known != nil && digest.Sequence <= known.Sequence && known.Sequence-digest.Sequence < restartGap
		if overtaken {
			return
		}
		if state.load.CompareAndSwap(known, mergeLoads(known, digest)) {
			return
		}
	}
}

// restartGap is the distance in sequence numbers from which a lower one counts as
// that of a restarted owner, not of a digest that was overtaken.
const restartGap = 1000

// mergeLoads keeps what an earlier digest said of models this one is silent
// about: an answer carries the load of its own model only.
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

// digestLoop advertises this node's load to a few nodes of its zone at a time.
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
		for _, id := range spread.Sample(view.Self.Id, view.Rendezvous.Zone(view.Self.Zone), spread.DigestFanout, random) {
			if address, known := view.Address(id); known {
				m.pool.Notify(address, rpc.ClassControl, wirev1.Method_METHOD_LOAD_DIGEST, digest)
			}
		}
	}
}

// digestInterval is the time between two digests of this node's load.
const digestInterval = time.Second
