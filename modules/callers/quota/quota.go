// Package quota holds this node's share of tenants' limits: it reports demand to the
// node that divides a tenant's limits, and divides those of the tenants that fall to
// this node (internal/serving/quota). It owns the shares in use, in memory; it relies on
// the view of the fleet for which node divides, and on the links between nodes. The
// plain node runs it.
package quota

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/serving/quota"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/fleet/membership"
)

// ModuleName registers the module.
const ModuleName = "callers.quota"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views gives the view of the fleet.
type Views interface{ View() *fleet.View }

// Module provides shares.
type Module struct {
	views Views
	pool  *rpc.Pool
	// due is signalled for a tenant that is new here: it is reported at once.
	due chan struct{}

	dividing sync.Mutex
	divider  *quota.Divider

	mutex   sync.Mutex
	tenants map[string]*tenantShare

	background tasks.Group
}

// tenantShare is what this node knows of one tenant.
type tenantShare struct {
	demand   float64
	share    float64
	received time.Time
	used     time.Time
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var server *rpc.Server
	if err := ctx.Resolve(
		kernel.Dependency(&m.views), kernel.Dependency(&m.pool), kernel.Dependency(&server),
	); err != nil {
		return trace.Wrap(err)
	}
	m.divider = quota.NewDivider()
	m.tenants = map[string]*tenantShare{}
	m.due = make(chan struct{}, 1)
	server.Handle(wirev1.Method_METHOD_QUOTA, m.serve)
	ctx.Provide(m)
	return nil
}

const (
	reportInterval = time.Second
	reportTimeout  = time.Second
	// staleAfter: a share that is not renewed is used this long, then the node falls
	// back to an even share.
	staleAfter = 10 * time.Second
	// idleAfter: a tenant not seen for this long is no longer reported.
	idleAfter = 5 * time.Second
)

// Share counts one request of a tenant and returns this node's share of the
// tenant's limits.
func (m *Module) Share(tenant string) float64 {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.tenants[tenant]
	if known == nil {
		known = &tenantShare{}
		m.tenants[tenant] = known
		m.wake() // do not wait for the next report
	}
	known.demand++
	known.used = now
	if now.Sub(known.received) > staleAfter {
		return 1 / float64(max(1, len(m.views.View().Candidates)))
	}
	return known.share
}

func (m *Module) wake() {
	select {
	case m.due <- struct{}{}:
	default:
	}
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.background.Go(func() { m.reportLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() { m.background.Wait() }

func (m *Module) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.due:
		}
		m.report(ctx)
	}
}

// report sends this node's demand to the nodes that divide the tenants' limits, one
// message to each.
func (m *Module) report(ctx context.Context) {
	view := m.views.View()
	var reports tasks.Group
	for divider, entries := range m.collect(view) {
		address, known := view.Address(divider)
		if !known {
			continue
		}
		reports.Go(func() {
			m.reportTo(ctx, address, &wirev1.QuotaMessage{NodeId: view.Self.Id, Entries: entries})
		})
	}
	reports.Wait()
	m.dividing.Lock()
	defer m.dividing.Unlock()
	m.divider.RemoveExpired(time.Now())
}

// collect takes the demand since the last report, by the node that divides.
func (m *Module) collect(view *fleet.View) map[string][]*wirev1.QuotaEntry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	byDivider := map[string][]*wirev1.QuotaEntry{}
	for tenant, known := range m.tenants {
		if now.Sub(known.used) > idleAfter {
			delete(m.tenants, tenant)
			continue
		}
		divider := view.Rendezvous.Owner(ownership.Runner{ID: "quota/" + tenant, Region: view.Self.Region})
		byDivider[divider] = append(byDivider[divider], &wirev1.QuotaEntry{Tenant: tenant, Value: known.demand})
		known.demand = 0
	}
	return byDivider
}

func (m *Module) reportTo(ctx context.Context, address string, message *wirev1.QuotaMessage) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply := &wirev1.QuotaMessage{}
	if err := m.pool.Call(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_QUOTA, message, reply); err != nil {
		// The shares in use hold until staleAfter, and the next report is near.
		klog.V(1).InfoS("demand of tenants not reported", "peer", address, "tenants", len(message.Entries), "err", err)
		return
	}
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, entry := range reply.Entries {
		if known := m.tenants[entry.Tenant]; known != nil {
			known.share, known.received = entry.Value, now
		}
	}
}

// serve answers another node's report.
func (m *Module) serve(_ context.Context, stream *rpc.ServerStream) error {
	var message wirev1.QuotaMessage
	if err := stream.DecodeRequest(&message); err != nil {
		return err
	}
	now := time.Now()
	reply := &wirev1.QuotaMessage{}
	m.dividing.Lock()
	for _, entry := range message.Entries {
		share := m.divider.Report(now, entry.Tenant, message.NodeId, entry.Value)
		reply.Entries = append(reply.Entries, &wirev1.QuotaEntry{Tenant: entry.Tenant, Value: share})
	}
	m.dividing.Unlock()
	return stream.Send(reply)
}
