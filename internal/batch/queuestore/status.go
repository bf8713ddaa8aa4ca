package queuestore

import (
	"context"
	"fmt"
	"strings"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// statusTimeout limits the wait for a shard's goroutine, and for the answer of another member,
// when the status of a shard is collected.
const statusTimeout = time.Second

// serveStatus handles a request for the status of a shard.
func (n *StorageNode) serveStatus(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QueueStatusRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	collector := StatusCollector{Directory: n.Directory, Layouts: n.Layouts, Sender: n.Pool, Contact: n.Contact, Local: n.replicaStatus}
	return stream.Send(collector.Collect(ctx, &request))
}

// replicaStatus returns the status of the local replica of a shard. If the replica has stopped
// or its goroutine does not respond within statusTimeout, the status has little more than the
// state.
func (n *StorageNode) replicaStatus(ctx context.Context, id uint32) *wirev1.ReplicaStatus {
	stored := storedMemberSet(n.Layouts, id, n.Contact.Lost())
	s := n.shard(id)
	if s == nil {
		return &wirev1.ReplicaStatus{
			Shard: id, Node: n.Node, Disk: n.DB.DiskID(), State: wirev1.ServingState_SERVING_STATE_NOT_STARTED, Stored: stored, Summary: n.notHere(id).Error(),
		}
	}
	status := s.status(ctx)
	status.Node, status.Stored = n.Node, stored
	return status
}

// status returns the status of the replica without the stored member set.
func (s *shard) status(ctx context.Context) *wirev1.ReplicaStatus {
	now := time.Now()
	serving := s.Serving(now)
	if serving.State == wirev1.ServingState_SERVING_STATE_STOPPED && s.HasStopped() {
		return s.describe(now)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	described := make(chan *wirev1.ReplicaStatus, 1)
	queued := s.TryRunInLoop(func() { described <- s.describe(time.Now()) })
	if queued {
		select {
		case status := <-described:
			return status
		case <-ctx.Done():
		}
	}
	now = time.Now()
	serving = s.Serving(now)
	return &wirev1.ReplicaStatus{
		Shard: s.ID, Disk: s.Disk, State: serving.State, StateMs: now.Sub(serving.Since).Milliseconds(), UnservedMs: serving.Unserved(now).Milliseconds(),
		Summary: serving.Text(now), Role: serving.Role.String(), Leader: serving.Leader, Epoch: serving.Epoch, Generation: serving.Generation, Attempt: serving.Attempt,
	}
}

// describe returns the status of the replica without the stored member set. It runs on the
// shard's goroutine, or after the shard has stopped.
func (s *shard) describe(now time.Time) *wirev1.ReplicaStatus {
	status := s.Status(now)
	for _, member := range status.Members {
		member.DiskState = s.diskState(now, member.Disk)
	}
	status.Leadership = s.leader.stateName()
	if status.LastHandOver != nil {
		status.LastHandOver.Obstacle = s.lastObstacle
	}
	if status.HandOver != nil {
		status.HandOver.Obstacle = s.handOverObstacle(now, status)
	}
	return status
}

// diskState returns what this node believes of a member's disk.
func (s *shard) diskState(now time.Time, member string) wirev1.DiskState {
	switch s.memberStatus(now, member) {
	case statusLost:
		return wirev1.DiskState_DISK_STATE_LOST
	case statusUnresponsive:
		return wirev1.DiskState_DISK_STATE_UNRESPONSIVE
	case statusRetiring:
		return wirev1.DiskState_DISK_STATE_RETIRING
	}
	record, known := s.node.Directory.Disk(member)
	switch {
	case !known:
		return wirev1.DiskState_DISK_STATE_UNKNOWN
	case member != s.Disk && s.node.Directory.Unresponsive(record.NodeId): // a replica that doesn't lead knows no better
		return wirev1.DiskState_DISK_STATE_UNRESPONSIVE
	default:
		return wirev1.DiskState_DISK_STATE_HEALTHY
	}
}

// handOverObstacle returns why the hand-over in the status does not go on; "" if nothing is
// known to prevent it.
func (s *shard) handOverObstacle(now time.Time, status *wirev1.ReplicaStatus) string {
	switch {
	case !status.Frozen:
		return s.sealObstacle(now, s.NextMemberSet())
	case len(status.HandOver.Unfrozen) > 0:
		return "freeze not confirmed by " + strings.Join(status.HandOver.Unfrozen, ",")
	case len(status.HandOver.LackingEntries) > 0:
		return "log not copied to " + strings.Join(status.HandOver.LackingEntries, ",")
	default:
		return ""
	}
}

// handOverDone is the outcome of a hand-over that was completed; see
// shardhost.Events.HandOverEnded.
const handOverDone = "done"

// recordObstacle records and logs what a hand-over waited for when it was given up. It has to be
// called before the hand-over is forgotten.
func (s *shard) recordObstacle(now time.Time, outcome string) {
	s.lastObstacle = ""
	if outcome == handOverDone {
		return
	}
	next := s.NextMemberSet()
	if s.Replica.Role() == replica.Leader { // only a leader knows who has caught up
		s.lastObstacle = s.sealObstacle(now, next)
	}
	klog.InfoS("hand-over given up", "shard", s.ID, "generation", next.Generation, "outcome", outcome, "obstacle", s.lastObstacle)
}

// stateName returns whether the leadership is "active", "suspended" or "none".
func (l *leadership) stateName() string {
	switch {
	case l == nil:
		return "none"
	case !l.suspendedAt.IsZero():
		return "suspended"
	default:
		return "active"
	}
}

// notLed returns the error for a request that needs an active leadership. Unlike NotLeader it
// tells a leader's replica without one.
func (s *shard) notLed() error {
	if !s.Replica.Serving() {
		return s.NotLeader()
	}
	refused := result.FromError(s.NotLeader())
	return result.New(refused.Code, "%s leadership=%s", refused.Message, s.leader.stateName())
}

// sealObstacle returns why the shard may not be sealed yet; "" if it may be. See MaySeal.
func (s *shard) sealObstacle(now time.Time, next replica.MemberSet) string {
	caughtUp := 0
	for _, member := range next.Members {
		if !s.isResponsive(now, member) {
			continue
		}
		if !s.Replica.CaughtUp(member) {
			return "not caught up: " + member
		}
		caughtUp++
	}
	switch {
	case s.node.Contact.Lost():
		return "no contact with the store"
	case caughtUp < next.WriteQuorum():
		return "too few members of the next set respond"
	default:
		return ""
	}
}

// notHere returns the error for a request for a shard without a local replica.
func (n *StorageNode) notHere(id uint32) error {
	stored := storedMemberSet(n.Layouts, id, n.Contact.Lost())
	if stored == nil {
		return result.New(result.NotLeader, "shard %d is not here: state=not_started, no layout with it is known", id)
	}
	member := false
	for _, disk := range stored.Members {
		member = member || disk == n.DB.DiskID()
	}
	return result.New(result.NotLeader, "shard %d is not here: state=not_started member=%t storedGeneration=%d storedAttempt=%d storeLost=%t",
		id, member, stored.Generation, stored.Attempt, stored.StoreLost)
}

// storedMemberSet returns the newest known member set of a shard; nil if none is known.
func storedMemberSet(layouts *Layouts, id uint32, storeLost bool) *wirev1.StoredMemberSet {
	layout := layouts.Current()
	if layout == nil || int(id) >= len(layout.Shards) {
		return nil
	}
	memberSet := layout.Shards[id]
	return &wirev1.StoredMemberSet{
		Generation: memberSet.Generation, Attempt: memberSet.Attempt, Revision: layout.shardRevisions[id], Members: memberSet.Members, StoreLost: storeLost,
	}
}

// unservedText formats the status of a shard that is not served for a log line.
func unservedText(status *wirev1.ReplicaStatus) []any {
	pairs := []any{"shard", status.Shard, "detail", status.Summary}
	if stored := status.Stored; stored != nil {
		pairs = append(pairs, "storedGeneration", stored.Generation, "storedAttempt", stored.Attempt, "storedRevision", stored.Revision, "storeLost", stored.StoreLost)
	}
	disks := make([]string, 0, len(status.Members))
	for _, member := range status.Members {
		disks = append(disks, fmt.Sprintf("%s:%s", memberName(member.Node, member.Disk), diskStateText(member)))
	}
	pairs = append(pairs, "disks", strings.Join(disks, ","))
	if handOver := status.HandOver; handOver != nil {
		pairs = append(pairs, "handOver", handOver.Generation, "obstacle", handOver.Obstacle)
	}
	if write := status.LastSwap; write != nil {
		pairs = append(pairs, "lastSwap", writeText(write))
	}
	if write := status.LastFence; write != nil {
		pairs = append(pairs, "lastFence", writeText(write))
	}
	return pairs
}
