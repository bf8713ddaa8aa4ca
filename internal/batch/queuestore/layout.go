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
	// foundingWait is how long the known disks must have been the same before the
	// first layout is made of them, and foundingWaitFew if they are fewer than wanted.
	foundingWait    = time.Second
	foundingWaitFew = 3 * time.Second
	// foundingTurn is how much longer each node waits than the one before it by
	// name, so that one of them makes the layout and not all at once.
	foundingTurn = 200 * time.Millisecond
)

// membersWanted is how many disks a shard has so that it goes on when as many
// as may be lost are lost.
func (n *StorageNode) membersWanted() int { return 2*n.DiskLosses + 1 }

// layoutLoop applies layouts as they become known, and makes the first.
func (n *StorageNode) layoutLoop(ctx context.Context) {
	var waiting founding
	for ctx.Err() == nil {
		changed := n.Layouts.Changed()
		if layout := n.Layouts.Current(); layout != nil {
			n.applyLayout(layout)
			n.reportRetired(ctx, layout)
		} else {
			n.found(ctx, &waiting)
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
			s.observe(config)
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

func (s *shard) observe(config replica.MemberSet) {
	s.runIfRunning(func() {
		before := s.Replica.MemberSet().Generation
		s.Replica.Observe(time.Now(), config)
		if after := s.Replica.MemberSet().Generation; after != before {
			klog.InfoS("queue member set in force", "shard", s.ID, "generation", after, "members", config.Members)
		}
	})
}

// founding is what a node that makes the first layout waits for.
type founding struct {
	disks []string
	since time.Time
}

// ready reports whether the known disks have been the same for long enough.
func (f *founding) ready(disks []string, wanted, turn int, now time.Time) bool {
	if f.since.IsZero() || !placement.SameMembers(f.disks, disks) {
		f.disks, f.since = disks, now
	}
	wait := foundingWait
	if len(disks) < wanted {
		wait = foundingWaitFew
	}
	return now.Sub(f.since) >= wait+time.Duration(turn)*foundingTurn
}

// found makes the first layout once the known disks stay the same. Every
// storage node may try; the compare-and-swap lets one win.
func (n *StorageNode) found(ctx context.Context, waiting *founding) {
	disks := n.usableDisks()
	if len(disks) == 0 || n.Contact.Lost() {
		*waiting = founding{}
		return
	}
	ids := make([]string, 0, len(disks))
	turn := 0
	for _, disk := range disks {
		ids = append(ids, disk.DiskId)
		if disk.NodeId < n.Node {
			turn++
		}
	}
	if !waiting.ready(ids, n.membersWanted(), turn, time.Now()) {
		return
	}
	layout := n.firstLayout(disks)
	committed, err := n.commitLayout(ctx, layout)
	klog.InfoS("queue layout founded", "committed", committed, "err", err, "shards", len(layout.Shards), "disks", len(disks))
}

// firstLayout places every shard on the disks there are.
func (n *StorageNode) firstLayout(disks []*wirev1.NodeRecord) *Layout {
	layout := &Layout{}
	for id := range shardsWanted(len(disks), n.membersWanted()) {
		members := n.place(uint32(id), disks, nil, layout.held())
		layout.Shards = append(layout.Shards, replica.MemberSet{Generation: 1, Members: members, Copies: n.DiskLosses + 1})
	}
	return layout
}

// shardCount is how many shards there are, 0 while no layout is known: a node
// that starts while the store is down leads what its disk holds all the same.
func (n *StorageNode) shardCount() int {
	layout := n.Layouts.Current()
	if layout == nil {
		return 0
	}
	return len(layout.Shards)
}

// spreadFrom is how many times the disks of a shard there must be for more
// shards than one: with fewer, each disk would hold most of all shards anyway.
const spreadFrom = 2

// shardsWanted is how many shards the jobs are spread over, for good: one for
// each disk where a shard takes a small part of the disks only.
func shardsWanted(disks, members int) int {
	if disks < spreadFrom*members {
		return 1
	}
	return disks
}

// usableDisks are those of nodes that are not being emptied or leaving.
func (n *StorageNode) usableDisks() []*wirev1.NodeRecord {
	var usable []*wirev1.NodeRecord
	for _, disk := range n.Directory.Disks() {
		if !n.Directory.IsRetiring(disk.NodeId) && !disk.Leaving && disk.Region == n.Region {
			usable = append(usable, disk)
		}
	}
	return usable
}

// commitLayout stores the first layout if there is none. A lost answer is resolved
// by reading.
func (n *StorageNode) commitLayout(ctx context.Context, first *Layout) (bool, error) {
	committed, err := n.commit(ctx, LayoutKey, 0, first)
	n.reread(ctx, LayoutKey)
	return committed, err
}

// commit stores a value of the layout if the stored one is still of a revision.
func (n *StorageNode) commit(ctx context.Context, key string, revision int64, value any) (bool, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return false, trace.Wrap(err)
	}
	return n.Store.Commit(ctx, []ports.Condition{{Key: key, Revision: revision}}, []ports.Put{{Key: key, Value: text}})
}

// reread reads a value of the layout. What can't be read now comes with the store's
// changes later.
func (n *StorageNode) reread(ctx context.Context, key string) {
	if value, found, err := n.Store.Get(ctx, key); err == nil && found {
		n.Layouts.UpdateIfNewer(key, value.Value, value.Revision, "read")
	}
}

// swapConfig replaces one shard's member set if nothing changed it since the
// layout was read. It reports whether the change is known to be stored.
func (n *StorageNode) swapConfig(ctx context.Context, id uint32, before, after replica.MemberSet) (bool, error) {
	layout := n.Layouts.Current()
	if layout == nil || int(id) >= len(layout.Shards) {
		return false, trace.NotFound("no layout")
	}
	held := layout.Shards[id]
	if held.Generation != before.Generation || held.Attempt != before.Attempt {
		return false, nil
	}
	committed, err := n.commit(ctx, shardKey(id), layout.changed[id], after)
	n.reread(ctx, shardKey(id))
	return committed, err
}

// reportRetired says of nodes that are being emptied how far it is, once none
// of their disks is a member any more.
func (n *StorageNode) reportRetired(ctx context.Context, layout *Layout) {
	retiring := n.Directory.Retiring()
	if len(retiring) == 0 || !n.leads(reportingShard) {
		return
	}
	for _, node := range retiring {
		n.Retirement.Report(ctx, node, n.emptied(layout, node))
	}
}

// emptied reports whether a node holds nothing any more: every member of
// every shard is the present disk of another node. A member that no node has is
// a loss that is not made good yet, perhaps the node's own disk.
func (n *StorageNode) emptied(layout *Layout, node string) bool {
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

// reportingShard is the shard whose leader speaks for all.
const reportingShard = 0

// leads reports whether this node leads a shard, with a quorum in contact.
func (n *StorageNode) leads(id uint32) bool {
	s := n.shard(id)
	if s == nil {
		return false
	}
	leads := false
	s.runIfRunning(func() {
		leads = s.leader != nil && s.leader.suspended.IsZero() && s.leader.aloneSince.IsZero() && s.Replica.Serving()
	})
	return leads
}
