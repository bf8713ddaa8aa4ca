// Package quota divides tenants' limits among the nodes. For each tenant, one node, the
// tenant's divider, divides the limits. Every node that receives requests of the tenant
// reports their number to the divider about once a second, and the divider replies with
// the node's share of the limits (see internal/serving/quota). The module keeps the
// shares in memory. It depends on the view of the fleet, which determines the dividers,
// and on the connections between nodes. Plain nodes run it.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "callers.quota"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views provides the current view of the fleet.
type Views interface{ View() *fleet.View }

// Module provides this node's shares of tenants' limits.
type Module struct {
	views Views
	pool  *rpc.Pool
	// reportRequests wakes the report loop when a request arrives from a tenant that has
	// no entry in tenants.
	reportRequests chan struct{}

	dividerMutex sync.Mutex // guards divider
	divider      *quota.Divider

	mutex   sync.Mutex // guards tenants
	tenants map[string]*tenantState

	background tasks.Group
}

// tenantState is the state of a tenant at this node.
type tenantState struct {
	demand     float64   // requests since the last report
	share      float64   // this node's share of the tenant's limits, from 0 to 1
	receivedAt time.Time // when share was received; zero until the first reply
	lastUsed   time.Time // time of the tenant's last request
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
	m.tenants = map[string]*tenantState{}
	m.reportRequests = make(chan struct{}, 1)
	server.Handle(wirev1.Method_METHOD_QUOTA, m.serve)
	ctx.Provide(m)
	return nil
}

const (
	reportInterval = time.Second
	reportTimeout  = time.Second
	// shareLifetime is how long a share is used after it was received.
	shareLifetime = 10 * time.Second
	// idleTimeout is how long a tenant is reported after its last request.
	idleTimeout = 5 * time.Second
)

// Share counts a request of the tenant and returns this node's share of the tenant's
// limits, from 0 to 1. Until the divider has replied, and when the last reply is older
// than shareLifetime, it returns an equal share for each candidate node of the fleet.
func (m *Module) Share(tenant string) float64 {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := m.tenants[tenant]
	if state == nil {
		state = &tenantState{}
		m.tenants[tenant] = state
		m.requestReport()
	}
	state.demand++
	state.lastUsed = now
	if now.Sub(state.receivedAt) > shareLifetime {
		return 1 / float64(max(1, len(m.views.View().Candidates)))
	}
	return state.share
}

func (m *Module) requestReport() {
	select {
	case m.reportRequests <- struct{}{}:
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
		case <-m.reportRequests:
		}
		m.report(ctx)
	}
}

// report sends the demand of this node's tenants to the dividers, with one message to
// each divider, and stores the shares that they return. The demand is lost if the
// divider's address is unknown or the call fails. report also removes expired reports
// that this node has received as a divider.
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
	m.dividerMutex.Lock()
	defer m.dividerMutex.Unlock()
	m.divider.RemoveExpired(time.Now())
}

// collect returns the demand since the last report, grouped by divider, and resets it.
// It removes tenants that have sent no request for idleTimeout.
func (m *Module) collect(view *fleet.View) map[string][]*wirev1.QuotaEntry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	byDivider := map[string][]*wirev1.QuotaEntry{}
	for tenant, state := range m.tenants {
		if now.Sub(state.lastUsed) > idleTimeout {
			delete(m.tenants, tenant)
			continue
		}
		divider := view.Rendezvous.Owner(ownership.Runner{ID: "quota/" + tenant, Region: view.Self.Region})
		byDivider[divider] = append(byDivider[divider], &wirev1.QuotaEntry{Tenant: tenant, Value: state.demand})
		state.demand = 0
	}
	return byDivider
}

func (m *Module) reportTo(ctx context.Context, address string, message *wirev1.QuotaMessage) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply := &wirev1.QuotaMessage{}
	if err := m.pool.Call(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_QUOTA, message, reply); err != nil {
		// Shares stay in use until shareLifetime has passed since they were received;
		// the next report follows within reportInterval.
		klog.V(1).InfoS("cannot report the demand of tenants", "peer", address, "tenants", len(message.Entries), "err", err)
		return
	}
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, entry := range reply.Entries {
		if state := m.tenants[entry.Tenant]; state != nil {
			state.share, state.receivedAt = entry.Value, now
		}
	}
}

// serve handles a report that a node sends to this node as the divider of its entries'
// tenants: it records the demand and replies with the node's shares.
func (m *Module) serve(_ context.Context, stream *rpc.ServerStream) error {
	var message wirev1.QuotaMessage
	if err := stream.DecodeRequest(&message); err != nil {
		return err
	}
	now := time.Now()
	reply := &wirev1.QuotaMessage{}
	m.dividerMutex.Lock()
	for _, entry := range message.Entries {
		share := m.divider.Report(now, entry.Tenant, message.NodeId, entry.Value)
		reply.Entries = append(reply.Entries, &wirev1.QuotaEntry{Tenant: entry.Tenant, Value: share})
	}
	m.dividerMutex.Unlock()
	return stream.Send(reply)
}
