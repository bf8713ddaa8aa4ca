package shardhost

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// SnapshotFetcher requests a snapshot of a shard from the node at an address, and passes the
// chunks to receive in their order. It returns nil once receive has accepted the last chunk.
type SnapshotFetcher func(ctx context.Context, address string, shard uint32, receive func(*wirev1.SnapshotChunk) error) error

// FetchOver returns a SnapshotFetcher that uses the connections of a pool.
func FetchOver(pool *rpc.Pool) SnapshotFetcher {
	return func(ctx context.Context, address string, shard uint32, receive func(*wirev1.SnapshotChunk) error) error {
		stream, err := pool.Open(ctx, address, rpc.ClassBulk, wirev1.Method_METHOD_SNAPSHOT, &wirev1.SnapshotRequest{Shard: shard})
		if err != nil {
			return trace.Wrap(err)
		}
		defer stream.Close()
		for {
			chunk := &wirev1.SnapshotChunk{}
			if err := stream.Receive(ctx, chunk); err != nil {
				if errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
				}
				return trace.Wrap(err, "receiving snapshot")
			}
			if err := receive(chunk); err != nil {
				return trace.Wrap(err)
			}
			if chunk.Last {
				return nil
			}
		}
	}
}

// serveSnapshot handles a follower's request for a snapshot.
func (h *Host[Command, Result]) serveSnapshot(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.SnapshotRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	return h.SendSnapshot(ctx, request.Shard, func(chunk *wirev1.SnapshotChunk) error { return stream.Send(chunk) })
}

// SendSnapshot sends the applied state of the leader of a shard in chunks. A follower needs a
// snapshot if the leader's log no longer has the entries that the follower lacks. It returns
// NotLeader if the shard is not led here.
func (h *Host[Command, Result]) SendSnapshot(ctx context.Context, shard uint32, send func(*wirev1.SnapshotChunk) error) error {
	s := h.Shard(shard)
	if s == nil {
		return result.New(result.NotLeader, "shard %d is not here", shard)
	}
	var view *logstore.StateView
	var index, epoch uint64
	err := s.RunInLoop(ctx, func() {
		if s.Replica.Role() == replica.Leader {
			view = s.Store.Snapshot()
			index = s.applied
			epoch = s.Replica.EpochAt(index)
		}
	})
	if err != nil {
		return err
	}
	if view == nil {
		return s.notLeader()
	}
	defer view.Close()
	s.application.SnapshotSent()
	return view.SendChunks(index, epoch, func(chunk *wirev1.SnapshotChunk) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return send(chunk)
	})
}

// handleSnapshotOffer starts to fetch a snapshot that a leader offers, or declines the offer if
// this replica has the entries of the snapshot. It ignores the offer of an older epoch or of
// another generation, an offer during another fetch, and one from an unknown node.
func (s *Shard[Command, Result]) handleSnapshotOffer(offer *wirev1.ReplicaMessage) {
	stale := offer.Epoch < s.Replica.Epoch() || offer.Generation != s.Replica.MemberSet().Generation
	if s.installing || stale {
		return
	}
	if s.hasSnapshot(offer) {
		s.Replica.DeclineSnapshot(time.Now(), offer)
		return
	}
	peer, known := s.host.options.Peer(offer.From)
	if !known {
		return
	}
	installer, err := s.Store.NewInstaller()
	if err != nil {
		s.Fail(err)
		return
	}
	s.application.SnapshotRequested(peer, offer.LastIndex)
	s.installing = s.host.tasks.Go(func() { s.fetchSnapshot(peer.Address, installer) })
}

// hasSnapshot reports whether the state or the log contains the last entry of an offered
// snapshot, and thus all entries before it. The log must not be replaced in that case: this
// replica may have acknowledged later entries.
func (s *Shard[Command, Result]) hasSnapshot(offer *wirev1.ReplicaMessage) bool {
	return offer.LastIndex <= s.applied || s.Replica.EpochAt(offer.LastIndex) == offer.LastEpoch
}

func (s *Shard[Command, Result]) fetchSnapshot(address string, installer *logstore.Installer) {
	ctx, cancel := context.WithTimeout(s.host.context, s.host.options.SnapshotTimeout)
	defer cancel()
	index, epoch, err := s.receiveSnapshot(ctx, address, installer)
	// This call has no time limit: the replica handles no messages while installing is
	// set, so installing must be cleared even if the fetch has timed out.
	s.runInLoopUnlessStopped(func() {
		s.installing = false
		s.application.SnapshotReceived(index, err)
		if err == nil {
			s.finishSnapshot(installer, index, epoch)
		}
	})
}

func (s *Shard[Command, Result]) receiveSnapshot(ctx context.Context, address string, installer *logstore.Installer) (index, epoch uint64, err error) {
	err = s.host.options.FetchSnapshot(ctx, address, s.ID, func(chunk *wirev1.SnapshotChunk) error {
		index, epoch = chunk.LastIndex, chunk.LastEpoch
		return installer.Add(chunk)
	})
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	return index, epoch, nil
}

// finishSnapshot replaces the log and the state by a fetched snapshot, unless the state
// contains the snapshot's last entry already.
func (s *Shard[Command, Result]) finishSnapshot(installer *logstore.Installer, index, epoch uint64) {
	if index <= s.applied {
		return
	}
	s.application.DropLeadership("snapshot installed")
	s.Replica.InstallSnapshot(index, epoch)
	if err := installer.Activate(s.Replica.HardState(), s.Replica.MemberSet(), index, epoch); err != nil {
		s.Fail(err)
		return
	}
	s.applied = index
	s.application.SnapshotInstalled(index)
}
