// Package crashes runs the quarantine of requests that crash model engines. It
// connects internal/serving/quarantine to the fleet's members, the links between
// nodes and the platform's key-value service, and it watches the stored holds. The
// plain node runs it.
package crashes

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/fleet/membership"
)

// ModuleName is the name under which the module is registered.
const ModuleName = "serving.crashes"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views returns the view of the fleet.
type Views interface{ View() *fleet.View }

// Module provides the *quarantine.Coordinator of the node to other modules.
type Module struct {
	store       ports.KeyValueStore
	holdWriter  *quarantine.HoldWriter
	coordinator *quarantine.Coordinator

	background tasks.Group
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var views Views
	var pool *rpc.Pool
	var server *rpc.Server
	var registry prometheus.Registerer
	err := ctx.Resolve(
		kernel.Dependency(&m.store), kernel.Dependency(&views), kernel.Dependency(&pool), kernel.Dependency(&server), kernel.Dependency(&registry),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	m.holdWriter = quarantine.NewHoldWriter(m.store)
	m.coordinator = quarantine.NewCoordinator(nodeDirectory{views}, pool, prober{httpcall.NewClient(nil)}, m.holdWriter, registry)
	server.HandleNotice(wirev1.Method_METHOD_QUARANTINE, m.coordinator.ReceiveNotice)
	server.Handle(wirev1.Method_METHOD_QUARANTINE_ADMIN, m.coordinator.ServeAdmin)
	ctx.Provide(m.coordinator)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	for _, run := range []func(context.Context){m.coordinator.Run, m.holdWriter.Run, m.followHolds} {
		m.background.Go(func() { run(ctx) })
	}
	return nil
}

// Cleanup implements kernel.Cleaner. It waits for the loops, which end with the context of
// Start.
func (m *Module) Cleanup() { m.background.Wait() }

// retryDelay is the delay before the stored holds are read again, after a failed read or
// the end of a watch.
const retryDelay = 2 * time.Second

// followHolds applies the stored holds at the start and after each change, until the
// context ends.
func (m *Module) followHolds(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.followOnce(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("reading or watching the stored quarantine failed; retrying later", "err", err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
}

// followOnce reads the stored holds once and then watches them until the watch breaks. It
// ignores the deletion of the document.
func (m *Module) followOnce(ctx context.Context) error {
	values, revision, err := m.store.List(ctx, quarantine.DocumentKey)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, value := range values {
		m.coordinator.ReceiveDocument(value.Value, value.Revision)
	}
	err = m.store.Watch(ctx, quarantine.DocumentKey, revision, func(event ports.WatchEvent) {
		if !event.Deleted {
			m.coordinator.ReceiveDocument(event.Value.Value, event.Value.Revision)
		}
	})
	return trace.Wrap(err)
}

// nodeDirectory adapts the fleet's view to notify.NodeDirectory.
type nodeDirectory struct{ views Views }

var _ notify.NodeDirectory = nodeDirectory{}

// Self implements notify.NodeDirectory.
func (d nodeDirectory) Self() *wirev1.NodeRecord { return recordOf(d.views.View().Self) }

// Records implements notify.NodeDirectory.
func (d nodeDirectory) Records() []*wirev1.NodeRecord {
	view := d.views.View()
	var records []*wirev1.NodeRecord
	for _, candidate := range view.Candidates {
		records = append(records, recordOf(view.Members[candidate.ID]))
	}
	return records
}

// recordOf converts a member record to a node record.
func recordOf(member *wirev1.MemberRecord) *wirev1.NodeRecord {
	return &wirev1.NodeRecord{NodeId: member.Id, Address: member.Address, Zone: member.Zone, Region: member.Region}
}

// prober probes the addresses of engines over HTTP.
type prober struct{ http *httpcall.Client }

var _ quarantine.Prober = prober{}

// ConnectionRefused implements quarantine.Prober.
func (p prober) ConnectionRefused(ctx context.Context, address string) bool {
	return p.http.ConnectionRefused(ctx, "http://"+address+"/")
}
