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

// ClusterLayout is the member set of every shard. It is one value in the platform's
// service, changed by compare-and-swap: on founding and when a disk joins or
// is lost, never per job or request.
type ClusterLayout struct {
	Shards []ShardLayout `json:"shards"`
	// revision of the stored value, for the compare-and-swap.
	revision int64
	// text is the stored form, passed on to peers.
	text []byte
}

// ShardLayout is one shard's member set. All members stand in the shard's
// region, so that regions that lose each other go on by themselves.
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
	// foundingWait is how long enough disks must be seen before the cluster is
	// founded.
	foundingWait = 2 * time.Second
	// MaxReplicas per shard.
	maxReplicas = 5
)

// layoutLoop follows the layout by a watch; without one it founds the cluster.
func (m *Module) layoutLoop(ctx context.Context) {
	var stableSince time.Time
	for ctx.Err() == nil {
		values, revision, err := m.platform.List(ctx, m.layoutKey())
		if err == nil {
			for _, value := range values {
				m.takeLayout(value)
			}
			layout := m.layout.Load()
			if layout == nil || !layout.hasRegion(m.settings.Node.Region) {
				stableSince = m.found(ctx, stableSince, layout)
			} else {
				m.watchLayout(ctx, revision)
			}
		} else {
			m.askPeers(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(layoutInterval):
		}
	}
}

// askPeers gets the layout from other disk nodes, which is how a change or a
// founding reaches a node while the platform's service does not answer.
func (m *Module) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, layoutInterval)
	defer cancel()
	for _, disk := range m.views.View().DiskMembers() {
		if disk.DiskId == m.db.DiskID() {
			continue
		}
		reply := &wirev1.ShardMapReply{}
		err := m.pool.Call(ctx, disk.Address, rpc.ClassControl, wirev1.Method_METHOD_SHARD_MAP, &wirev1.ShardMapRequest{WantLayout: true}, reply)
		if err == nil && len(reply.Layout) > 0 {
			m.takeLayout(ports.Value{Value: reply.Layout, Revision: reply.LayoutRevision})
		}
	}
}

func (m *Module) watchLayout(ctx context.Context, revision int64) {
	// Whatever ends the watch, the loop lists the layout again.
	_ = m.platform.Watch(ctx, m.layoutKey(), revision, func(event ports.WatchEvent) {
		if !event.Deleted {
			m.takeLayout(event.Value)
		}
	})
}

func (m *Module) takeLayout(value ports.Value) {
	var layout ClusterLayout
	if err := json.Unmarshal(value.Value, &layout); err != nil {
		klog.ErrorS(err, "stored layout is unreadable", "node", m.settings.Node.ID)
		return
	}
	layout.revision, layout.text = value.Revision, value.Value
	if known := m.layout.Load(); known != nil && known.revision >= layout.revision {
		return
	}
	m.layout.Store(&layout)
	for id, config := range layout.Shards {
		m.applyConfig(uint32(id), config.MemberSet)
	}
}

// applyConfig gives a running replica its member set, or starts one.
func (m *Module) applyConfig(id uint32, config replica.MemberSet) {
	if held := m.replica(id); held != nil {
		held.observe(config)
		return
	}
	if !config.Has(m.db.DiskID()) {
		return
	}
	if err := m.host.Start(id, &config); err != nil {
		klog.ErrorS(err, "shard cannot be started", "node", m.settings.Node.ID, "shard", id)
	}
}

// found adds the shards of this node's region once enough of its disks have
// been there for a while. Every disk node may try; the compare-and-swap lets
// one win.
func (m *Module) found(ctx context.Context, stableSince time.Time, layout *ClusterLayout) time.Time {
	region := m.settings.Node.Region
	disks := regionDisks(m.views.View(), region)
	if len(disks) < replica.DefaultCopies {
		return time.Time{}
	}
	now := time.Now()
	if stableSince.IsZero() {
		return now
	}
	if now.Sub(stableSince) < foundingWait {
		return stableSince
	}
	next := ClusterLayout{}
	if layout != nil {
		next.Shards = append(next.Shards, layout.Shards...)
		next.revision = layout.revision
	}
	for range m.settings.Data.Shards {
		id := uint32(len(next.Shards))
		config := replica.MemberSet{Generation: 1, Members: place(id, disks, nil)}
		next.Shards = append(next.Shards, ShardLayout{MemberSet: config, Region: region})
	}
	committed, err := m.commitLayout(ctx, &next)
	if err == nil && committed {
		klog.InfoS("region founded", "node", m.settings.Node.ID, "region", region, "shards", m.settings.Data.Shards, "disks", len(disks))
	}
	return stableSince
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

// commitLayout stores a layout if the stored one is still of its revision.
func (m *Module) commitLayout(ctx context.Context, next *ClusterLayout) (bool, error) {
	text, err := json.Marshal(next)
	if err != nil {
		return false, trace.Wrap(err)
	}
	conditions := []ports.Condition{{Key: m.layoutKey(), Revision: next.revision}}
	return m.platform.Commit(ctx, conditions, []ports.Put{{Key: m.layoutKey(), Value: text}})
}

// place picks a shard's disks: those kept, then each time one from a zone that has the
// fewest of them. A disk whose node is leaving is not taken anew.
func place(shard uint32, disks []*wirev1.MemberRecord, keep []string) []string {
	var candidates []placement.Disk
	zones := map[string]string{}
	for _, disk := range disks {
		zones[disk.DiskId] = disk.Zone
		if disk.State != wirev1.MemberState_MEMBER_STATE_LEAVING {
			candidates = append(candidates, placement.Disk{ID: disk.DiskId, Zone: disk.Zone})
		}
	}
	zoneOf := func(disk string) (string, bool) {
		zone, known := zones[disk]
		return zone, known
	}
	rule := placement.Rule{MemberCount: maxReplicas, ZoneRank: placement.FewestFirst}
	return rule.Choose(shard, candidates, keep, zoneOf)
}

// swapConfig replaces one shard's member set if nothing changed it since the
// layout was read. It reports whether the change is known to be stored.
func (m *Module) swapConfig(ctx context.Context, id uint32, before, after replica.MemberSet) (bool, error) {
	layout := m.layout.Load()
	if layout == nil || int(id) >= len(layout.Shards) {
		return false, trace.NotFound("no layout")
	}
	held := layout.Shards[id]
	if held.Generation != before.Generation || held.Attempt != before.Attempt {
		return false, nil
	}
	next := ClusterLayout{Shards: append([]ShardLayout(nil), layout.Shards...), revision: layout.revision}
	next.Shards[id].MemberSet = after
	committed, err := m.commitLayout(ctx, &next)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !committed {
		m.rereadLayout(ctx)
	}
	return committed, nil
}

func (m *Module) rereadLayout(ctx context.Context) {
	if value, found, err := m.platform.Get(ctx, m.layoutKey()); err == nil && found {
		m.takeLayout(value)
	}
}

// diskAddress finds the node that has a disk.
func diskAddress(view *fleet.View, disk string) (*wirev1.MemberRecord, bool) {
	for _, record := range view.Members {
		if record.DiskId == disk && record.State != wirev1.MemberState_MEMBER_STATE_DEAD {
			return record, true
		}
	}
	return nil, false
}
