package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/placement"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// ClusterLayout holds the member sets of all shards. It is stored as one value in the
// platform's store and changed by compare-and-swap. It changes when a region is
// bootstrapped and when a disk joins or is lost; jobs and requests do not change it.
type ClusterLayout struct {
	Shards []ShardLayout `json:"shards"`
	// revision is the revision of the stored value, for the compare-and-swap.
	revision int64
	// encoded is the stored value, which the node sends to other nodes.
	encoded []byte
}

// ShardLayout is the member set of one shard. All members are in the shard's region, so
// that each region keeps working when regions are disconnected from each other.
type ShardLayout struct {
	replica.MemberSet
	Region string `json:"region"`
}

func (l *ClusterLayout) hasRegion(region string) bool {
	for _, shard := range l.Shards {
		if shard.Region == region {
			return true
		}
	}
	return false
}

func (m *Module) layoutKey() string { return m.settings.Cluster + "/storage/layout" }

const (
	layoutInterval = time.Second
	// bootstrapDelay is how long the region must have enough disks before its shards
	// are created.
	bootstrapDelay = 2 * time.Second
	// maxReplicas is the maximum number of members of a shard.
	maxReplicas = 5
)

// layoutLoop watches the stored layout and applies it. If the layout has no shards of this
// node's region, it bootstraps the region. While the platform's store is unavailable, it
// gets the layout from other nodes.
func (m *Module) layoutLoop(ctx context.Context) {
	var enoughDisksSince time.Time
	for ctx.Err() == nil {
		values, revision, err := m.platform.List(ctx, m.layoutKey())
		if err == nil {
			for _, value := range values {
				m.applyLayout(value)
			}
			layout := m.layout.Load()
			if layout == nil || !layout.hasRegion(m.settings.Node.Region) {
				enoughDisksSince = m.bootstrapRegion(ctx, enoughDisksSince, layout)
			} else {
				m.watchLayout(ctx, revision)
			}
		} else {
			m.fetchLayoutFromPeers(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(layoutInterval):
		}
	}
}

// fetchLayoutFromPeers asks all other nodes with a disk for the layout and applies the newest
// revision.
func (m *Module) fetchLayoutFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, layoutInterval)
	defer cancel()
	for _, disk := range m.views.View().DiskMembers() {
		if disk.DiskId == m.db.DiskID() {
			continue
		}
		reply := &wirev1.ShardMapReply{}
		err := m.pool.Call(ctx, disk.Address, rpc.ClassControl, wirev1.Method_METHOD_SHARD_MAP, &wirev1.ShardMapRequest{WantLayout: true}, reply)
		if err == nil && len(reply.Layout) > 0 {
			m.applyLayout(ports.Value{Value: reply.Layout, Revision: reply.LayoutRevision})
		}
	}
}

func (m *Module) watchLayout(ctx context.Context, revision int64) {
	// When the watch ends, for whatever reason, layoutLoop lists the layout again.
	_ = m.platform.Watch(ctx, m.layoutKey(), revision, func(event ports.WatchEvent) {
		if !event.Deleted {
			m.applyLayout(event.Value)
		}
	})
}

// decodeLayout decodes a stored layout. It returns an error if the layout has no shards, or one
// with an unusable member set.
func decodeLayout(encoded []byte) (*ClusterLayout, error) {
	layout := &ClusterLayout{}
	if err := json.Unmarshal(encoded, layout); err != nil {
		return nil, trace.Wrap(err)
	}
	if len(layout.Shards) == 0 {
		return nil, trace.BadParameter("the layout has no shards")
	}
	for id, shardLayout := range layout.Shards {
		if err := shardLayout.MemberSet.Validate(); err != nil {
			return nil, trace.Wrap(err, "shard %d", id)
		}
	}
	return layout, nil
}

// applyLayout applies a stored layout, unless the node already has this revision or a newer
// one. An unusable value is logged and does not replace the known layout.
func (m *Module) applyLayout(value ports.Value) {
	layout, err := decodeLayout(value.Value)
	if err != nil {
		klog.ErrorS(err, "stored layout is unusable; the known one stays in force", "node", m.settings.Node.ID, "revision", value.Revision)
		return
	}
	layout.revision, layout.encoded = value.Revision, value.Value
	if existing := m.layout.Load(); existing != nil && existing.revision >= layout.revision {
		return
	}
	m.layout.Store(layout)
	for id, shardLayout := range layout.Shards {
		m.applyMemberSet(uint32(id), shardLayout.MemberSet)
	}
}

// applyMemberSet passes the member set to this node's replica of a shard. If the node
// has no replica and its disk is a member, it starts a replica.
func (m *Module) applyMemberSet(id uint32, memberSet replica.MemberSet) {
	if local := m.replica(id); local != nil {
		local.observeMemberSet(memberSet)
		return
	}
	if !memberSet.Has(m.db.DiskID()) {
		return
	}
	if err := m.host.Start(id, &memberSet); err != nil {
		klog.ErrorS(err, "starting a replica failed", "node", m.settings.Node.ID, "shard", id)
	}
}

// bootstrapRegion adds the shards of this node's region to the layout once the region has
// had at least replica.DefaultCopies disks for bootstrapDelay. Several nodes may try at the
// same time; the compare-and-swap lets only one of them succeed. It returns the time since
// which the region has had enough disks, zero if the region has too few.
func (m *Module) bootstrapRegion(ctx context.Context, enoughDisksSince time.Time, layout *ClusterLayout) time.Time {
	region := m.settings.Node.Region
	disks := regionDisks(m.views.View(), region)
	if len(disks) < replica.DefaultCopies {
		return time.Time{}
	}
	now := time.Now()
	if enoughDisksSince.IsZero() {
		return now
	}
	if now.Sub(enoughDisksSince) < bootstrapDelay {
		return enoughDisksSince
	}
	next := ClusterLayout{}
	if layout != nil {
		next.Shards = append(next.Shards, layout.Shards...)
		next.revision = layout.revision
	}
	for range m.settings.Data.Shards {
		id := uint32(len(next.Shards))
		memberSet := replica.MemberSet{Generation: 1, Members: chooseDisks(id, disks, nil)}
		next.Shards = append(next.Shards, ShardLayout{MemberSet: memberSet, Region: region})
	}
	committed, err := m.commitLayout(ctx, &next)
	if err == nil && committed {
		klog.InfoS("shards of the region created", "node", m.settings.Node.ID, "region", region, "shards", m.settings.Data.Shards, "disks", len(disks))
	}
	return enoughDisksSince
}

func regionDisks(view *fleet.View, region string) []*wirev1.MemberRecord {
	var disks []*wirev1.MemberRecord
	for _, disk := range view.DiskMembers() {
		if disk.Region == region {
			disks = append(disks, disk)
		}
	}
	return disks
}

// commitLayout stores a layout if the revision of the stored value is still next.revision.
func (m *Module) commitLayout(ctx context.Context, next *ClusterLayout) (bool, error) {
	encoded, err := json.Marshal(next)
	if err != nil {
		return false, trace.Wrap(err)
	}
	conditions := []ports.Condition{{Key: m.layoutKey(), Revision: next.revision}}
	return m.platform.Commit(ctx, conditions, []ports.Put{{Key: m.layoutKey(), Value: encoded}})
}

// chooseDisks returns the disks of a shard. It keeps the disks in keep and adds disks until
// there are maxReplicas, each time from a zone that has the fewest disks of the shard. It
// adds no disk whose node is leaving.
func chooseDisks(shard uint32, disks []*wirev1.MemberRecord, keep []string) []string {
	var candidates []placement.Disk
	zones := map[string]string{}
	for _, disk := range disks {
		zones[disk.DiskId] = disk.Zone
		if disk.State != wirev1.MemberState_MEMBER_STATE_LEAVING {
			candidates = append(candidates, placement.Disk{ID: disk.DiskId, Zone: disk.Zone})
		}
	}
	zoneOf := func(disk string) (string, bool) {
		zone, found := zones[disk]
		return zone, found
	}
	rule := placement.Rule{MemberCount: maxReplicas, ZoneRank: placement.FewestFirst}
	return rule.Choose(shard, candidates, keep, zoneOf)
}

// swapMemberSet replaces the member set of a shard in the stored layout. It returns false if
// the shard's generation or attempt differs from before, or if the stored layout is newer
// than this node's; in the second case it reads the layout again. After an error, the change
// may have been stored.
func (m *Module) swapMemberSet(ctx context.Context, id uint32, before, after replica.MemberSet) (bool, error) {
	layout := m.layout.Load()
	if layout == nil || int(id) >= len(layout.Shards) {
		return false, trace.NotFound("the layout does not contain the shard")
	}
	current := layout.Shards[id]
	if current.Generation != before.Generation || current.Attempt != before.Attempt {
		return false, nil
	}
	next := ClusterLayout{Shards: append([]ShardLayout(nil), layout.Shards...), revision: layout.revision}
	next.Shards[id].MemberSet = after
	committed, err := m.commitLayout(ctx, &next)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !committed {
		m.reloadLayout(ctx)
	}
	return committed, nil
}

// reloadLayout reads the stored layout and applies it. It does nothing if the layout cannot
// be read.
func (m *Module) reloadLayout(ctx context.Context) {
	if value, found, err := m.platform.Get(ctx, m.layoutKey()); err == nil && found {
		m.applyLayout(value)
	}
}

// memberWithDisk returns the node that has a disk, unless the node is dead.
func memberWithDisk(view *fleet.View, disk string) (*wirev1.MemberRecord, bool) {
	for _, record := range view.Members {
		if record.DiskId == disk && record.State != wirev1.MemberState_MEMBER_STATE_DEAD {
			return record, true
		}
	}
	return nil, false
}
