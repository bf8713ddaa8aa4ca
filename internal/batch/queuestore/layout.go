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
	layoutInterval = 500 * time.Millisecond
	// bootstrapDelay is how long the set of known disks must be unchanged before the
	// initial layout is created; bootstrapDelayFewDisks applies while there are fewer
	// disks than a shard has members.
	bootstrapDelay         = time.Second
	bootstrapDelayFewDisks = 3 * time.Second
	// bootstrapStagger is the additional delay of each node in the order of node names,
	// so that usually only one node tries to create the layout.
	bootstrapStagger = 200 * time.Millisecond
)

// wantedMemberCount returns the number of members of a shard that keeps a quorum after
// DiskLosses disks are lost.
func (n *StorageNode) wantedMemberCount() int { return 2*n.DiskLosses + 1 }

// layoutLoop applies each new layout and creates the initial one.
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

func (n *StorageNode) applyLayout(layout *Layout) {
	for id, config := range layout.Shards {
		if s := n.shard(uint32(id)); s != nil {
			s.observeMemberSet(config)
			continue
		}
		if !config.Has(n.DB.DiskID()) {
			continue
		}
		if err := n.host.Start(uint32(id), &config); err != nil {
			klog.ErrorS(err, "queue replica cannot be started", "shard", id)
		}
	}
}

// observeMemberSet passes the member set of the layout to the replica.
func (s *shard) observeMemberSet(config replica.MemberSet) {
	s.runIfRunning(func() {
		before := s.Replica.MemberSet().Generation
		s.Replica.Observe(time.Now(), config)
		if after := s.Replica.MemberSet().Generation; after != before {
			klog.InfoS("queue member set updated", "shard", s.ID, "generation", after, "members", config.Members)
		}
	})
}

// bootstrapWait records since when the set of known disks has been unchanged.
type bootstrapWait struct {
	disks []string
	since time.Time
}

// ready reports whether the known disks have been unchanged for long enough. Rank is the
// node's position in the order of node names.
func (w *bootstrapWait) ready(disks []string, wanted, rank int, now time.Time) bool {
	if w.since.IsZero() || !placement.SameMembers(w.disks, disks) {
		w.disks, w.since = disks, now
	}
	wait := bootstrapDelay
	if len(disks) < wanted {
		wait = bootstrapDelayFewDisks
	}
	return now.Sub(w.since) >= wait+time.Duration(rank)*bootstrapStagger
}

// bootstrapLayout creates the initial layout once the set of known disks is stable. Every
// storage node may try; the compare-and-swap in the store lets one succeed.
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
	if !waiting.ready(ids, n.wantedMemberCount(), rank, time.Now()) {
		return
	}
	layout := n.initialLayout(disks)
	committed, err := n.commitInitialLayout(ctx, layout)
	klog.InfoS("initial queue layout proposed", "committed", committed, "err", err, "shards", len(layout.Shards), "disks", len(disks))
}

// initialLayout chooses the members of every shard from the given disks.
func (n *StorageNode) initialLayout(disks []*wirev1.NodeRecord) *Layout {
	layout := &Layout{}
	for id := range wantedShardCount(len(disks), n.wantedMemberCount()) {
		members := n.chooseMembers(uint32(id), disks, nil, layout.shardsPerDisk())
		layout.Shards = append(layout.Shards, replica.MemberSet{Generation: 1, Members: members, Copies: n.DiskLosses + 1})
	}
	return layout
}

// shardCount returns the number of shards, or 0 while no layout is known. A node that starts
// while the store is down leads the shards on its disk without knowing a layout.
func (n *StorageNode) shardCount() int {
	layout := n.Layouts.Current()
	if layout == nil {
		return 0
	}
	return len(layout.Shards)
}

// minSpreadFactor is the minimum ratio of disks to members per shard for using more than one
// shard. With fewer disks, each would hold most of the shards anyway.
const minSpreadFactor = 2

// wantedShardCount returns the number of shards of a new layout: one per disk, or a single
// shard if there are few disks. The number never changes later.
func wantedShardCount(disks, members int) int {
	if disks < minSpreadFactor*members {
		return 1
	}
	return disks
}

// usableDisks returns the disks of this region's nodes that are neither retiring nor leaving.
func (n *StorageNode) usableDisks() []*wirev1.NodeRecord {
	var usable []*wirev1.NodeRecord
	for _, disk := range n.Directory.Disks() {
		if !n.Directory.IsRetiring(disk.NodeId) && !disk.Leaving && disk.Region == n.Region {
			usable = append(usable, disk)
		}
	}
	return usable
}

// commitInitialLayout stores the initial layout if there is none, and then reads the stored
// one, which also resolves a lost response.
func (n *StorageNode) commitInitialLayout(ctx context.Context, initial *Layout) (bool, error) {
	committed, err := n.commitValue(ctx, LayoutKey, 0, initial)
	n.refreshValue(ctx, LayoutKey)
	return committed, err
}

// commitValue stores a value of the layout if the stored value still has the given revision.
func (n *StorageNode) commitValue(ctx context.Context, key string, revision int64, value any) (bool, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return false, trace.Wrap(err)
	}
	return n.Store.Commit(ctx, []ports.Condition{{Key: key, Revision: revision}}, []ports.Put{{Key: key, Value: text}})
}

// refreshValue reads a value of the layout from the store. If that fails, the value arrives
// later with the watched changes of the store.
func (n *StorageNode) refreshValue(ctx context.Context, key string) {
	if value, found, err := n.Store.Get(ctx, key); err == nil && found {
		n.Layouts.UpdateIfNewer(key, value.Value, value.Revision, "read")
	}
}

// swapMemberSet replaces the member set of a shard if it has not changed since the layout
// was read. It reports whether the change is known to be stored.
func (n *StorageNode) swapMemberSet(ctx context.Context, id uint32, before, after replica.MemberSet) (bool, error) {
	layout := n.Layouts.Current()
	if layout == nil || int(id) >= len(layout.Shards) {
		return false, trace.NotFound("no queue layout with this shard is known")
	}
	current := layout.Shards[id]
	if current.Generation != before.Generation || current.Attempt != before.Attempt {
		return false, nil
	}
	committed, err := n.commitValue(ctx, shardKey(id), layout.changed[id], after)
	n.refreshValue(ctx, shardKey(id))
	return committed, err
}

// reportRetired reports for each retiring node whether its disks still hold replicas. Only
// the leader of reportingShard reports.
func (n *StorageNode) reportRetired(ctx context.Context, layout *Layout) {
	retiring := n.Directory.Retiring()
	if len(retiring) == 0 || !n.leads(reportingShard) {
		return
	}
	for _, node := range retiring {
		n.Retirement.Report(ctx, node, n.hasNoReplicas(layout, node))
	}
}

// hasNoReplicas reports whether a node holds no replicas, which means that every member of
// every shard is the current disk of another node. A member that no node has is a lost disk
// that has not been replaced yet, and may have belonged to the node.
func (n *StorageNode) hasNoReplicas(layout *Layout, node string) bool {
	for _, config := range layout.Shards {
		for _, member := range config.Members {
			record, known := n.Directory.Disk(member)
			if !known || record.NodeId == node {
				return false
			}
		}
	}
	return true
}

// reportingShard is the shard whose leader reports the progress of retiring nodes.
const reportingShard = 0

// leads reports whether this node leads a shard and is in contact with a quorum.
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
