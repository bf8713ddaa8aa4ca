// Package membership runs the failure detector of internal/cluster/membership over
// the node's links and publishes the view of the fleet. It owns the detector's state
// and the view in force, both in memory; it relies on the links, on the platform's
// machine list for the first members, and on the disk's identity, if the node has a
// disk. The plain node runs it.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/membership"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/batch/disk"
	"cobaltramp.example/cobaltramp/modules/fleet/links"
	"cobaltramp.example/cobaltramp/modules/platform/httpsd"
)

// ModuleName registers the module.
const ModuleName = "fleet.membership"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{links.ModuleName, httpsd.ModuleName, disk.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// DiskIdentity is provided by the module that owns the data folder; nodes
// without one have none.
type DiskIdentity interface{ DiskID() string }

// Module provides fleet views.
type Module struct {
	settings  *settings.Settings
	pool      *rpc.Pool
	discovery ports.Discovery
	metrics   *metrics

	mutex sync.Mutex
	state *membership.State

	view      atomic.Pointer[fleet.View]
	listeners []func(*fleet.View)

	background tasks.Group
}

type metrics struct {
	members *prometheus.GaugeVec
	changes *prometheus.CounterVec
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var server *rpc.Server
	var registry prometheus.Registerer
	if err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&m.pool), kernel.Dependency(&m.discovery),
		kernel.Dependency(&server), kernel.Dependency(&registry),
	); err != nil {
		return trace.Wrap(err)
	}
	m.metrics = newMetrics(registry)
	m.begin(diskIdentity(ctx))
	server.HandleNotice(wirev1.Method_METHOD_MEMBERSHIP, m.receive)
	ctx.Provide(m)
	return nil
}

func diskIdentity(ctx *kernel.Context) string {
	disk, err := kernel.Find[DiskIdentity](ctx)
	if err != nil {
		return ""
	}
	return disk.DiskID()
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "cobaltramp_members", Help: "Members by state as this node sees them."}, []string{"state"}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_member_changes_total", Help: "Member state changes by new state."}, []string{"state"}),
	}
	registry.MustRegister(m.members, m.changes)
	return m
}

func (m *Module) begin(diskID string) {
	self := &wirev1.MemberRecord{
		Id: m.settings.Node.ID, Address: m.settings.Node.InternalAddress,
		Zone: m.settings.Node.Zone, Region: m.settings.Node.Region, DiskId: diskID,
		// A restart should outrank the life before it. If the clock went back,
		// the first gossip about this node raises the incarnation.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	m.state = membership.New(self, membership.DefaultConfig(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	m.publish()
}

// View returns the present view.
func (m *Module) View() *fleet.View { return m.view.Load() }

// OnView calls listener with every new view, from one goroutine at a time. It
// is called while modules are provisioned.
func (m *Module) OnView(listener func(*fleet.View)) { m.listeners = append(m.listeners, listener) }

// SetBundleRevision sets the revision advertised to other members.
func (m *Module) SetBundleRevision(revision uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.SetBundleGeneration(revision)
}

// AheadPeer returns the highest bundle revision that a member reported, and that
// member's address.
func (m *Module) AheadPeer() (uint64, string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.AheadPeer()
}

// tickInterval is the time between two ticks of the detector, a few in each probe
// interval.
const tickInterval = 100 * time.Millisecond

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.notify(m.view.Load())
	m.background.Go(func() { m.tickLoop(ctx) })
	m.background.Go(func() { m.seedLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. The loops end with the context of Start.
func (m *Module) Cleanup() { m.background.Wait() }

func (m *Module) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.step(func(state *membership.State) membership.Output { return state.Tick(time.Now()) })
		}
	}
}

// seedLoop reads the machine list, which seeds the detector.
func (m *Module) seedLoop(ctx context.Context) {
	for {
		machines, err := m.discovery.Machines(ctx)
		if err == nil {
			m.seed(machines)
		} else {
			klog.V(1).InfoS("machine list not read, the last one stays", "node", m.settings.Node.ID, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.Platform.ListInterval.Duration):
		}
	}
}

func (m *Module) seed(machines []ports.MachineEntry) {
	var seeds []membership.Seed
	for _, machine := range machines {
		if !machine.Leaving && machine.Address != m.settings.Node.InternalAddress {
			seeds = append(seeds, membership.Seed{Address: machine.Address})
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.SetSeeds(seeds)
}

func (m *Module) receive(from string, payload []byte) {
	var message wirev1.MembershipMessage
	if err := proto.Unmarshal(payload, &message); err != nil {
		klog.V(1).InfoS("unreadable membership message dropped", "node", m.settings.Node.ID, "peer", from, "err", err)
		return
	}
	m.step(func(state *membership.State) membership.Output { return state.Handle(time.Now(), &message) })
}

// step runs one transition, sends its messages and publishes a changed view.
func (m *Module) step(transition func(*membership.State) membership.Output) {
	m.mutex.Lock()
	out := transition(m.state)
	var view *fleet.View
	if len(out.Changes) > 0 {
		view = m.publish()
	}
	m.mutex.Unlock()
	for _, envelope := range out.Send {
		m.pool.Notify(envelope.Address, rpc.ClassControl, wirev1.Method_METHOD_MEMBERSHIP, envelope.Message)
	}
	if view != nil {
		m.report(out.Changes)
		m.notify(view)
	}
}

// publish swaps in a new view; the caller holds the mutex.
func (m *Module) publish() *fleet.View {
	records := m.state.Records()
	view := fleet.NewView(m.state.Self(), records)
	m.view.Store(view)
	m.metrics.members.Reset()
	for _, record := range records {
		m.metrics.members.WithLabelValues(stateName(record.State)).Inc()
	}
	return view
}

func (m *Module) notify(view *fleet.View) {
	for _, listener := range m.listeners {
		listener(view)
	}
}

func (m *Module) report(changes []membership.Change) {
	for _, change := range changes {
		m.metrics.changes.WithLabelValues(stateName(change.After.State)).Inc()
		if change.Before != nil && change.Before.State == change.After.State {
			continue
		}
		klog.InfoS("member changed", "node", m.settings.Node.ID, "member", change.After.Id, "state", stateName(change.After.State))
		if change.After.State == membership.Dead {
			m.pool.CloseLinks(change.After.Address)
		}
	}
}

func stateName(state wirev1.MemberState) string {
	switch state {
	case membership.Alive:
		return "alive"
	case membership.Suspect:
		return "suspect"
	case membership.Leaving:
		return "leaving"
	case membership.Dead:
		return "dead"
	default:
		return "unknown"
	}
}

// Leave announces to the fleet that this node takes nothing new.
func (m *Module) Leave() {
	m.step(func(state *membership.State) membership.Output { return state.Leave() })
}
