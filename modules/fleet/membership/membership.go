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

// DiskIdentity provides the id of the node's disk. Module batch.disk provides an
// implementation on nodes with a disk.
type DiskIdentity interface{ DiskID() string }

// Module runs the failure detector and provides views of the fleet.
type Module struct {
	settings  *settings.Settings
	pool      *rpc.Pool
	discovery ports.Discovery
	metrics   *metrics

	mutex sync.Mutex // protects state
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

// initState creates the detector with this node's record and publishes the first view.
func (m *Module) initState(diskID string) {
	self := &wirev1.MemberRecord{
		Id: m.settings.Node.ID, Address: m.settings.Node.InternalAddress,
		Zone: m.settings.Node.Zone, Region: m.settings.Node.Region, DiskId: diskID,
		// With the start time as incarnation, this record supersedes the record of an
		// earlier run. If the clock was set back since then, the detector raises the
		// incarnation when it receives the record of the earlier run.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	m.state = membership.New(self, membership.DefaultConfig(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	m.publishView()
}

// View returns the current view.
func (m *Module) View() *fleet.View { return m.view.Load() }

// OnView registers a listener that is called with the view at the start and then with every
// new view. Calls may run concurrently, so that an older view may follow a newer one; View
// returns the newest. Listeners must be registered while modules are provisioned.
func (m *Module) OnView(listener func(*fleet.View)) { m.listeners = append(m.listeners, listener) }

// SetBundleRevision sets the revision of this node's configuration bundle, which is
// advertised to other members. The detector calls it the bundle generation.
func (m *Module) SetBundleRevision(revision uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.SetBundleGeneration(revision)
}

// AheadPeer returns the highest bundle revision that a member has reported so far and the
// address of that member, or 0 and "" if none was reported. The revision may be lower than
// this node's own.
func (m *Module) AheadPeer() (uint64, string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.state.AheadPeer()
}

// tickInterval is the time between two ticks of the detector. It has to be several times
// shorter than the detector's probe interval.
const tickInterval = 100 * time.Millisecond

// Start implements kernel.Starter. It passes the first view to the listeners and starts the
// loops.
func (m *Module) Start(ctx context.Context) error {
	m.notifyListeners(m.view.Load())
	m.background.Go(func() { m.tickLoop(ctx) })
	m.background.Go(func() { m.seedLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. It waits for the loops, which end with the context of
// Start.
func (m *Module) Cleanup() { m.background.Wait() }

// tickLoop calls the detector's Tick every tickInterval.
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

// seedLoop reads the machine list periodically and sets the detector's seeds from it. If
// reading fails, the seeds stay as they are.
func (m *Module) seedLoop(ctx context.Context) {
	for {
		machines, err := m.discovery.Machines(ctx)
		if err == nil {
			m.setSeeds(machines)
		} else {
			klog.V(1).InfoS("reading the machine list failed; the seeds stay unchanged", "node", m.settings.Node.ID, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.Platform.ListInterval.Duration):
		}
	}
}

// setSeeds sets the detector's seeds to the machines that are not leaving, without this node.
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

// receive passes a membership message of another node to the detector.
func (m *Module) receive(from string, payload []byte) {
	var message wirev1.MembershipMessage
	if err := proto.Unmarshal(payload, &message); err != nil {
		klog.V(1).InfoS("malformed membership message dropped", "node", m.settings.Node.ID, "peer", from, "err", err)
		return
	}
	m.step(func(state *membership.State) membership.Output { return state.Handle(time.Now(), &message) })
}

// step runs one transition of the detector and sends the resulting messages. If member
// records changed, it publishes a new view and calls the listeners. It takes the mutex for
// the transition and the publication only.
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

// recordChanges counts the changes in the metrics, logs new members and changed states, and
// closes the connections to members that died.
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
