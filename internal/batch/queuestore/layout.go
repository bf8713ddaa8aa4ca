package queuestore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/placement"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

const (
	// layoutInterval is the maximum time between two iterations of layoutLoop.
	layoutInterval = 500 * time.Millisecond
	// bootstrapDelay is how long the set of usable disks must be unchanged before the
	// initial layout is created. bootstrapDelayFewDisks applies instead if there are fewer
	// disks than a shard should have members.
	bootstrapDelay         = time.Second
	bootstrapDelayFewDisks = 3 * time.Second
	// bootstrapStagger is the time by which each node waits longer than the node before
	// it in the order of names, so that usually only one node tries to create the layout.
	bootstrapStagger = 200 * time.Millisecond
)

// wantedMemberCount returns the number of members that a shard should have, which is enough
// to keep a quorum when DiskLosses of them are lost.
func (n *StorageNode) wantedMemberCount() int { return 2*n.DiskLosses + 1 }

// copies returns the number of disks that hold an entry before it is acknowledged, so that
// DiskLosses of them may be lost.
func (n *StorageNode) copies() int { return n.DiskLosses + 1 }

// layoutLoop applies the layout and reports retiring nodes, or creates the initial layout if
// none is known. It runs until the context ends.
func (n *StorageNode) layoutLoop(ctx context.Context) {
	var waiting bootstrapWait
	for ctx.Err() == nil {
		changed := n.Layouts.Changed()
		if layout := n.Layouts.Current(); layout != nil {
			n.applyLayout(layout)
			n.reportRetired(ctx, layout)
		} else {
			n.bootstrapLayout(ctx, &waiting)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(layoutInterval):
		}
	}
}

// applyLayout passes the member sets of the layout to the local replicas, and starts the
// missing replicas of shards that have this node's disk as a member.
func (n *StorageNode) applyLayout(layout *Layout) {
	for id, memberSet := range layout.Shards {
		if s := n.shard(uint32(id)); s != nil {
			s.observeMemberSet(memberSet)
			continue
		}
		// A new replica must not vote by an outdated member set.
		if !memberSet.Has(n.DB.DiskID()) || !layout.certain(uint32(id)) {
			continue
		}
		if err := n.host.Start(uint32(id), &memberSet); err != nil {
			klog.ErrorS(err, "queue replica cannot be started", "shard", id)
		}
	}
}

// observeMemberSet passes the member set of the layout to the replica. It must not be called
// on the shard's goroutine.
func (s *shard) observeMemberSet(memberSet replica.MemberSet) {
	s.runIfRunning(func() {
		before := s.Replica.MemberSet().Generation
		s.Replica.Observe(time.Now(), memberSet)
		if after := s.Replica.MemberSet().Generation; after != before {
			klog.InfoS("queue member set updated", "shard", s.ID, "generation", after, "members", memberSet.Members)
		}
	})
}

// bootstrapWait records since when the set of usable disks has been unchanged.
type bootstrapWait struct {
	disks []string
	since time.Time
}

// ready reports whether this node may create the initial layout because the usable disks
// have been unchanged for long enough, and suffice for all copies of an entry. copies is their
// number, wanted the wanted number of members of a shard, and rank the number of usable disks
// whose nodes precede this node in the order of names.
func (w *bootstrapWait) ready(disks []string, copies, wanted, rank int, now time.Time) bool {
	if w.since.IsZero() || !placement.SameMembers(w.disks, disks) {
		w.disks, w.since = disks, now
		if len(disks) < copies {
			klog.InfoS("no initial queue layout yet: there are fewer disks than copies", "disks", len(disks), "copies", copies)
		}
	}
	if len(disks) < copies {
		return false
	}
	wait := bootstrapDelay
	if len(disks) < wanted {
		wait = bootstrapDelayFewDisks
	}
	return now.Sub(w.since) >= wait+time.Duration(rank)*bootstrapStagger
}

// bootstrapLayout creates the initial layout once the set of usable disks is stable and the
// store can be reached. Several storage nodes may try; the compare-and-swap in the store
// lets only one of them succeed.
func (n *StorageNode) bootstrapLayout(ctx context.Context, waiting *bootstrapWait) {
	disks := n.usableDisks()
	if len(disks) == 0 || n.Contact.Lost() {
		*waiting = bootstrapWait{}
		return
	}
	ids := make([]string, 0, len(disks))
	rank := 0
	for _, disk := range disks {
		ids = append(ids, disk.DiskId)
		if disk.NodeId < n.Node {
			rank++
		}
	}
	if !waiting.ready(ids, n.copies(), n.wantedMemberCount(), rank, time.Now()) {
		return
	}
	layout := n.initialLayout(disks)
	committed, err := n.commitInitialLayout(ctx, layout)
	klog.InfoS("initial queue layout proposed", "committed", committed, "err", err, "shards", len(layout.Shards), "disks", len(disks))
}

// initialLayout returns a layout whose shards are spread over the given disks.
func (n *StorageNode) initialLayout(disks []*wirev1.NodeRecord) *Layout {
	layout := &Layout{}
	for id := range wantedShardCount(len(disks), n.wantedMemberCount()) {
		members := n.chooseMembers(uint32(id), disks, nil, layout.shardsPerDisk())
		layout.Shards = append(layout.Shards, replica.MemberSet{Generation: 1, Members: members, Copies: n.copies(), Owners: n.diskOwners(uint32(id), members)})
	}
	return layout
}

// shardCount returns the number of shards, or 0 while no layout is known. A node that starts
// while the store is unavailable may lead shards on its disk without knowing a layout.
func (n *StorageNode) shardCount() int {
	layout := n.Layouts.Current()
	if layout == nil {
		return 0
	}
	return len(layout.Shards)
}

// minSpreadFactor is the minimum ratio of disks to members per shard for using more than one
// shard. With fewer disks, each disk would hold most of the shards.
const minSpreadFactor = 2

// wantedShardCount returns the number of shards of the initial layout: as many as there are
// disks, or 1 if there are fewer than minSpreadFactor*members disks. Once the layout is
// stored, the number of shards does not change.
func wantedShardCount(disks, members int) int {
	if disks < minSpreadFactor*members {
		return 1
	}
	return disks
}

// usableDisks returns the disks in this region that may become members, which are those of
// nodes that are neither retiring nor leaving.
func (n *StorageNode) usableDisks() []*wirev1.NodeRecord {
	var usable []*wirev1.NodeRecord
	for _, disk := range n.Directory.Disks() {
		if !n.Directory.IsRetiring(disk.NodeId) && !disk.Leaving && disk.Region == n.Region {
			usable = append(usable, disk)
		}
	}
	return usable
}

// commitInitialLayout stores the initial layout if the store has none. It then reads the
// stored layout, because another node may have stored one, or the response may have been
// lost. It reports whether this layout is known to be stored.
func (n *StorageNode) commitInitialLayout(ctx context.Context, initial *Layout) (bool, error) {
	committed, err := n.commitValue(ctx, LayoutKey, 0, initial)
	n.refreshValue(ctx, LayoutKey)
	return committed, err
}

// commitValue stores a value of the layout if the stored value still has the given revision;
// 0 means that no value is stored.
func (n *StorageNode) commitValue(ctx context.Context, key string, revision int64, value any) (bool, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return false, trace.Wrap(err)
	}
	return n.Store.Commit(ctx, []ports.Condition{{Key: key, Revision: revision}}, []ports.Put{{Key: key, Value: text}})
}

// refreshValue reads a value of the layout from the store. An error is ignored, because
// changes of the value also arrive through the node's watch of the store.
func (n *StorageNode) refreshValue(ctx context.Context, key string) {
	if value, found, err := n.Store.Get(ctx, key); err == nil && found {
		n.Layouts.UpdateIfNewer(key, value.Value, value.Revision, "read")
	}
}

// swapMemberSet replaces the member set of a shard in the store by after. It returns false
// without an error if the known or the stored member set is no longer before, and true only
// if after is known to be stored.
func (n *StorageNode) swapMemberSet(ctx context.Context, id uint32, before, after replica.MemberSet) (bool, error) {
	layout := n.Layouts.Current()
	if layout == nil || int(id) >= len(layout.Shards) {
		return false, trace.NotFound("no queue layout with this shard is known")
	}
	current := layout.Shards[id]
	if current.Generation != before.Generation || current.Attempt != before.Attempt {
		return false, nil
	}
	after.Owners = n.diskOwners(id, after.Members)
	committed, err := n.commitValue(ctx, shardKey(id), layout.shardRevisions[id], after)
	n.refreshValue(ctx, shardKey(id))
	return committed, err
}

// reportRetired reports for each retiring node whether it holds no more replicas. Only the
// leader of retirementShard reports.
func (n *StorageNode) reportRetired(ctx context.Context, layout *Layout) {
	retiring := n.Directory.Retiring()
	if len(retiring) == 0 || !n.leads(retirementShard) {
		return
	}
	for _, node := range retiring {
		n.Retirement.Report(ctx, node, n.hasNoReplicas(layout, node))
	}
}

// hasNoReplicas reports whether a node holds no replicas. It is true only if every member of
// every shard is known as the current disk of another node: an unknown disk may be a lost
// disk of the given node that has not been replaced yet.
func (n *StorageNode) hasNoReplicas(layout *Layout, node string) bool {
	for _, memberSet := range layout.Shards {
		for _, member := range memberSet.Members {
			record, known := n.Directory.Disk(member)
			if !known || record.NodeId == node {
				return false
			}
		}
	}
	return true
}

// retirementShard is the shard whose leader reports the progress of retiring nodes.
const retirementShard = 0

// leads reports whether this node is the serving leader of a shard and is in contact with a
// quorum. It must not be called on the shard's goroutine.
func (n *StorageNode) leads(id uint32) bool {
	s := n.shard(id)
	if s == nil {
		return false
	}
	leads := false
	s.runIfRunning(func() {
		leads = s.leader != nil && s.leader.suspendedAt.IsZero() && s.leader.quorumLostAt.IsZero() && s.Replica.Serving()
	})
	return leads
}
