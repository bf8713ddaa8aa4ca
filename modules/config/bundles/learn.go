package bundles

import (
	"context"
	"math/rand/v2"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/spread"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// ApplyHead loads the head's newest generation as the accepted bundle, activates the
// generation that the head assigns to this node's zone, and notifies a few other nodes.
// A head that is not newer than the current one is ignored. If peer is not empty,
// generations that are not in memory are fetched from that address first. On an error
// the head and the active bundle stay as they were; the accepted bundle may already be
// the new one.
func (m *Module) ApplyHead(ctx context.Context, head *bundle.Head, peer string) error {
	m.updateMutex.Lock()
	defer m.updateMutex.Unlock()
	if head.Revision <= m.revision() {
		return nil
	}
	accepted, err := m.loadSnapshot(ctx, head.Generation, head.Digest, peer)
	if err != nil {
		return trace.Wrap(err, "content of generation %d", head.Generation)
	}
	if err := m.checkSignOffs(head, accepted); err != nil {
		return trace.Wrap(err)
	}
	m.accepted.Store(accepted)
	if err := m.activate(ctx, head, peer); err != nil {
		return trace.Wrap(err)
	}
	m.head.Store(head)
	m.metrics.revision.Set(float64(head.Revision))
	m.members.SetBundleRevision(head.Revision)
	m.notifyOthers(head.Revision)
	return nil
}

// checkSignOffs verifies the signatures of a head whose generation directly follows the
// accepted one, or is generation 1. It returns nil without a check for the accepted
// generation, unless that is generation 1, and when the accepted bundle is not the
// generation directly before: this node then lacks the operators' keys of that
// generation, and relies on the nodes that have verified the signatures.
func (m *Module) checkSignOffs(head *bundle.Head, accepted *bundle.Snapshot) error {
	authority := m.accepted.Load()
	if authority == nil && head.Generation == 1 {
		authority = accepted
	}
	if authority == nil || (authority != accepted && authority.Generation+1 != head.Generation) {
		return nil
	}
	if authority.Generation == head.Generation && head.Generation != 1 {
		return nil
	}
	return bundle.VerifySignOffs(authority, m.settings.Cluster, head.Generation, head.Digest, head.SignOffs)
}

// activate activates the generation that the head assigns to this node's zone. It does
// nothing if the head assigns none, or none newer than the active one. The caller must
// hold updateMutex.
func (m *Module) activate(ctx context.Context, head *bundle.Head, peer string) error {
	generation, digest := head.GenerationFor(m.settings.Node.Zone)
	current := m.active.Load()
	if generation == 0 || (current != nil && current.Generation >= generation) {
		return nil
	}
	snapshot, err := m.loadSnapshot(ctx, generation, digest, peer)
	if err != nil {
		return trace.Wrap(err, "content of generation %d", generation)
	}
	m.previous.Store(current)
	m.active.Store(snapshot)
	m.metrics.generation.Set(float64(generation))
	m.metrics.applied.Inc()
	klog.InfoS("bundle activated", "node", m.settings.Node.ID, "generation", generation)
	for _, listener := range m.listeners {
		listener(snapshot)
	}
	return nil
}

// notifyOthers sends the revision of the head to a few random nodes. A node that has
// an older head fetches the new one and notifies further nodes.
func (m *Module) notifyOthers(revision uint64) {
	view := m.members.View()
	random := rand.New(rand.NewPCG(rand.Uint64(), revision))
	for _, id := range spread.Targets(view.Self.Id, view.Candidates, random) {
		if address, known := view.Address(id); known {
			m.pool.Notify(address, rpc.ClassControl, wirev1.Method_METHOD_BUNDLE_NOTICE, &wirev1.BundleNotice{Revision: revision})
		}
	}
}
