// Package owner schedules work on the runners that this node owns. All of their
// traffic passes through it: online streams dispatched by accepting nodes, and batch
// items that the node itself runs in the remaining capacity.
//
// It keeps, in memory, the streams on each owned runner, the runner's health and its
// orders (which model to load). The list of owned runners comes from module
// fleet.runners, their models and policy from the active bundle, the number of streams
// that may run from internal/serving/arbiter, and the connections to the engines from
// internal/serving/engine. The plain node runs it.
package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/engine"
	"cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"
	"cobaltramp.example/cobaltramp/internal/serving/scheduling/plugins"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/config/bundles"
	"cobaltramp.example/cobaltramp/modules/fleet/runners"
)

// ModuleName registers the module.
const ModuleName = "serving.owner"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{runners.ModuleName, bundles.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Tables is the part of module fleet.runners that this package uses.
type Tables interface {
	Table() *fleet.Runners
	OnTable(func(*fleet.Runners))
}

// Snapshots is the part of the bundle module that this package uses.
type Snapshots interface {
	Snapshot() *bundle.Snapshot
	OnSnapshot(func(*bundle.Snapshot))
}

// Module manages the owned runners. Its mutex guards the runners' state and is never
// held during I/O.
type Module struct {
	settings  *settings.Settings
	tables    Tables
	snapshots Snapshots
	engines   *engine.Client
	scheduler *framework.Scheduler
	metrics   *metrics

	mutex    sync.Mutex
	runners  map[string]*runner
	random   *rand.Rand
	draining bool
	sequence uint64
	freed    chan struct{}
	acquired chan struct{} // a runner was acquired and has to be checked at once

	// background runs the loops and the engine calls that no stream waits for.
	// lifetime is the context of Start, which ends them.
	background tasks.Group
	lifetime   context.Context
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Drainer = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var server *rpc.Server
	var registry prometheus.Registerer
	if err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&m.tables), kernel.Dependency(&m.snapshots),
		kernel.Dependency(&server), kernel.Dependency(&registry),
	); err != nil {
		return trace.Wrap(err)
	}
	m.metrics = newMetrics(registry)
	m.engines = engine.NewClient()
	m.runners = map[string]*runner{}
	m.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.freed = make(chan struct{}, 1)
	m.acquired = make(chan struct{}, 1)
	m.scheduler = newScheduler()
	m.tables.OnTable(func(*fleet.Runners) { m.refresh() })
	m.snapshots.OnSnapshot(func(*bundle.Snapshot) { m.refresh() })
	server.Handle(wirev1.Method_METHOD_DISPATCH, m.serveDispatch)
	server.Handle(wirev1.Method_METHOD_REATTACH, m.serveReattach)
	ctx.Provide(m)
	return nil
}

func newScheduler() *framework.Scheduler {
	return &framework.Scheduler{
		Filters: []framework.Filter{plugins.Available{}, plugins.WithFreeSlots{}},
		Scorers: []framework.WeightedScorer{
			{Scorer: plugins.LeastLoad{}, Weight: 1},
			{Scorer: plugins.PrefixAffinity{}, Weight: 0.4},
			{Scorer: plugins.LeastPreemption{}, Weight: 0.3},
		},
		Picker: plugins.Best{},
	}
}

// tickInterval is the time between two updates of the arbiters.
const tickInterval = 50 * time.Millisecond

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.refresh()
	m.lifetime = ctx
	m.background.Go(func() { m.tickLoop(ctx) })
	m.background.Go(func() { m.orderLoop(ctx) })
	return nil
}

// viewPropagationTime is how long other members may still send requests to a leaving
// node because they have not received its state yet.
const viewPropagationTime = 2 * time.Second

// Drain implements kernel.Drainer. It waits until the other members have chosen other
// owners and the last stream on this node has ended.
func (m *Module) Drain(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(viewPropagationTime):
	}
	for !m.Idle() && ctx.Err() == nil {
		time.Sleep(tickInterval)
	}
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	m.background.Wait()
	if m.engines != nil {
		m.engines.Close()
	}
}

// cancelAtEngine cancels a stream that is no longer read. If the call fails, the
// engine ends the stream by itself a little later.
func (m *Module) cancelAtEngine(address, id string) {
	m.background.Go(func() {
		if err := m.engines.Cancel(m.lifetime, address, id); err != nil {
			klog.V(1).InfoS("cancelling a stream at its engine failed", "node", m.settings.Node.ID, "engine", address, "id", id, "err", err)
		}
	})
}

func (m *Module) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.tick(now)
		}
	}
}

// tick adjusts the batch limits, preempts batch streams above them, and evicts streams
// from runners whose drain timeout has passed.
func (m *Module) tick(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	online, batch, limit := 0, 0, 0
	drainTimeout := m.drainTimeout()
	for _, r := range m.runners {
		if r.leaving && now.Sub(r.leavingSince) > drainTimeout {
			m.evictStreams(r)
		}
		m.preempt(r, r.arbiter.Tick(now))
		online += r.arbiter.Online()
		batch += r.arbiter.Batch()
		limit += r.arbiter.BatchLimit()
	}
	m.metrics.online.Set(float64(online))
	m.metrics.batch.Set(float64(batch))
	m.metrics.limit.Set(float64(limit))
	if batch < limit {
		m.signalFreed()
	}
}

func (m *Module) signalFreed() {
	select {
	case m.freed <- struct{}{}:
	default:
	}
}

// Freed returns a channel that receives a value when batch slots may have become free.
func (m *Module) Freed() <-chan struct{} { return m.freed }
