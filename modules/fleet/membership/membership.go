// Package membership runs the failure detector of internal/cluster/membership over the
// node's connections and publishes the view of the fleet. It owns the state of the detector
// and the current view, both in memory. It relies on module fleet.links for connections, on
// the platform's machine list for seeds, and on module batch.disk for the id of the disk, if
// the node has one. The plain node runs it.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "fleet.membership"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{links.ModuleName, httpsd.ModuleName, disk.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// DiskIdentity provides the id of the node's disk. Module batch.disk implements it; it is not
// available on nodes without a disk.
type DiskIdentity interface{ DiskID() string }

// Module runs the failure detector and provides views of the fleet.
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
	m.initState(findDiskID(ctx))
	server.HandleNotice(wirev1.Method_METHOD_MEMBERSHIP, m.receive)
	ctx.Provide(m)
	return nil
}

// findDiskID returns the id of the node's disk, or "" if the node has none.
func findDiskID(ctx *kernel.Context) string {
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

func (m *Module) initState(diskID string) {
	self := &wirev1.MemberRecord{
		Id: m.settings.Node.ID, Address: m.settings.Node.InternalAddress,
		Zone: m.settings.Node.Zone, Region: m.settings.Node.Region, DiskId: diskID,
		// The start time as incarnation supersedes the record of an earlier run. If the
		// clock was set back meanwhile, gossip about the earlier run makes the detector
		// raise the incarnation.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	m.state = membership.New(self, membership.DefaultConfig(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	m.publishView()
}

// View returns the current view.
func (m *Module) View() *fleet.View { return m.view.Load() }

// OnView registers a listener that is called with every new view. Listeners must be
// registered while modules are provisioned.
func (m *Module) OnView(listener func(*fleet.View)) { m.listeners = append(m.listeners, listener) }

// SetBundleRevision sets the bundle revision that is advertised to other members.
func (m *Module) SetBundleRevision(revision uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.SetBundleGeneration(revision)
}

// AheadPeer returns the highest bundle revision that a member reported, and the address of
// that member.
func (m *Module) AheadPeer() (uint64, string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.AheadPeer()
}

// tickInterval is the time between two ticks of the detector; there are several ticks in
// each probe interval.
const tickInterval = 100 * time.Millisecond

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.notifyListeners(m.view.Load())
	m.background.Go(func() { m.tickLoop(ctx) })
	m.background.Go(func() { m.seedLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. It waits for the loops, which end with the context of
// Start.
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

// seedLoop reads the machine list periodically and sets the detector's seeds from it.
func (m *Module) seedLoop(ctx context.Context) {
	for {
		machines, err := m.discovery.Machines(ctx)
		if err == nil {
			m.setSeeds(machines)
		} else {
			klog.V(1).InfoS("reading the machine list failed; keeping the last one", "node", m.settings.Node.ID, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.Platform.ListInterval.Duration):
		}
	}
}

func (m *Module) setSeeds(machines []ports.MachineEntry) {
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
		klog.V(1).InfoS("malformed membership message dropped", "node", m.settings.Node.ID, "peer", from, "err", err)
		return
	}
	m.step(func(state *membership.State) membership.Output { return state.Handle(time.Now(), &message) })
}

// step runs one transition of the detector, sends the resulting messages and, if members
// changed, publishes a new view.
func (m *Module) step(transition func(*membership.State) membership.Output) {
	m.mutex.Lock()
	out := transition(m.state)
	var view *fleet.View
	if len(out.Changes) > 0 {
		view = m.publishView()
	}
	m.mutex.Unlock()
	for _, envelope := range out.Send {
		m.pool.Notify(envelope.Address, rpc.ClassControl, wirev1.Method_METHOD_MEMBERSHIP, envelope.Message)
	}
	if view != nil {
		m.recordChanges(out.Changes)
		m.notifyListeners(view)
	}
}

// publishView replaces the current view and updates the member metrics. The caller holds the
// mutex.
func (m *Module) publishView() *fleet.View {
	records := m.state.Records()
	view := fleet.NewView(m.state.Self(), records)
	m.view.Store(view)
	m.metrics.members.Reset()
	for _, record := range records {
		m.metrics.members.WithLabelValues(stateName(record.State)).Inc()
	}
	return view
}

func (m *Module) notifyListeners(view *fleet.View) {
	for _, listener := range m.listeners {
		listener(view)
	}
}

// recordChanges updates the metrics, logs changed states and closes the connections to dead
// members.
func (m *Module) recordChanges(changes []membership.Change) {
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

// Leave announces to the other members that this node is leaving.
func (m *Module) Leave() {
	m.step(func(state *membership.State) membership.Output { return state.Leave() })
}
