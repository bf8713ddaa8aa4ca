package bundles

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Keys in the key-value service begin with the cluster's name.

func (m *Module) headKey() string { return HeadKey(m.settings.Cluster) }

// HeadKey returns the key of the head.
func HeadKey(cluster string) string { return cluster + "/bundle/head" }

// GenerationKey returns the key of a generation's delta.
func GenerationKey(cluster string, generation uint64) string {
	return fmt.Sprintf("%s/bundle/generations/%020d", cluster, generation)
}

// OperationKey returns the key of an operation's record: the head that the operation
// wrote. The record exists only if the operation took effect.
func OperationKey(cluster, operation string) string {
	return cluster + "/bundle/operations/" + operation
}

// fullGenerationInterval is the number of generations from one that is stored as a full
// delta to the next. It bounds the number of deltas that a new node reads.
const fullGenerationInterval = 16

// loadSnapshot returns the snapshot of a generation with the given digest from memory,
// from the peer or from the key-value service, in this order. An empty peer is skipped.
// The caller must hold updateMutex.
func (m *Module) loadSnapshot(ctx context.Context, generation uint64, digest, peer string) (*bundle.Snapshot, error) {
	if cached := m.cached(generation); cached != nil && cached.Digest == digest {
		return cached, nil
	}
	if peer != "" {
		if snapshot, err := m.fetchFromPeer(ctx, generation, digest, peer); err == nil {
			m.metrics.fetches.WithLabelValues("peer").Inc()
			return snapshot, nil
		}
	}
	snapshot, err := m.fetchFromPlatform(ctx, generation)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if snapshot.Digest != digest {
		return nil, trace.BadParameter("stored generation %d has digest %s, head says %s", generation, snapshot.Digest, digest)
	}
	m.metrics.fetches.WithLabelValues("platform").Inc()
	return snapshot, nil
}

func (m *Module) fetchFromPeer(ctx context.Context, generation uint64, digest, peer string) (*bundle.Snapshot, error) {
	reply, err := m.callFetch(ctx, peer, generation)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	delta, err := bundle.DecodeDelta(reply.Delta)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if delta.Generation != generation || delta.Digest != digest {
		return nil, trace.NotFound("peer has generation %d", delta.Generation)
	}
	return m.accepted.Load().Apply(delta)
}

// fetchFromPlatform reads the stored deltas from the given generation back to the
// accepted snapshot or to a full delta, whichever is reached first, and applies them in
// ascending order.
func (m *Module) fetchFromPlatform(ctx context.Context, generation uint64) (*bundle.Snapshot, error) {
	base := m.accepted.Load()
	var chain []*bundle.Delta
	for wanted := generation; ; wanted-- {
		if base != nil && base.Generation == wanted {
			break
		}
		delta, err := m.storedDelta(ctx, wanted)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		chain = append(chain, delta)
		if delta.Full {
			base = nil
			break
		}
	}
	snapshot := base
	for i := len(chain) - 1; i >= 0; i-- {
		next, err := snapshot.Apply(chain[i])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		snapshot = next
	}
	return snapshot, nil
}

func (m *Module) storedDelta(ctx context.Context, generation uint64) (*bundle.Delta, error) {
	value, found, err := m.store.Get(ctx, GenerationKey(m.settings.Cluster, generation))
	m.platformReachable.Store(err == nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !found {
		return nil, trace.NotFound("generation %d is not stored", generation)
	}
	return bundle.DecodeDelta(value.Value)
}

// serveFetch replies to a peer with the head. If the peer requests a generation, the
// reply also contains the delta from the peer's own generation, or a full delta if that
// generation is not in memory here. The reply is empty if this node has no head yet.
func (m *Module) serveFetch(_ context.Context, stream *rpc.ServerStream) error {
	var request wirev1.BundleFetchRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	head := m.head.Load()
	if head == nil {
		return stream.Send(&wirev1.BundleFetchReply{})
	}
	reply := &wirev1.BundleFetchReply{Head: head.Encode()}
	wanted := request.WantGeneration
	if wanted == 0 {
		return stream.Send(reply)
	}
	snapshot := m.cached(wanted)
	if snapshot == nil {
		return result.New(result.NotFound, "generation %d is not held here", wanted)
	}
	encoded, err := snapshot.DeltaFrom(m.cached(request.HaveGeneration)).Encode()
	if err != nil {
		return trace.Wrap(err)
	}
	reply.Delta = encoded
	return stream.Send(reply)
}

func (m *Module) cached(generation uint64) *bundle.Snapshot {
	for _, snapshot := range []*bundle.Snapshot{m.accepted.Load(), m.active.Load(), m.previous.Load()} {
		if snapshot != nil && snapshot.Generation == generation {
			return snapshot
		}
	}
	return nil
}
