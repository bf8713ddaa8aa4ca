// Package owner schedules work on the runners that this node owns. Two kinds of work run
// there: online streams, which accepting nodes dispatch to this node, and batch items,
// which this node runs itself in the remaining slots. An accepting node is the node that
// received the caller's request (module serving.router); it may be this node.
//
// For each owned runner, the package keeps in memory the running streams, the runner's
// health and the model that its engine is ordered to load. The list of owned runners
// comes from module fleet.runners, and their models and policy from the active bundle.
// Package arbiter decides how many streams may run, and package engine sends the
// requests. The plain node runs this module.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "serving.owner"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{runners.ModuleName, bundles.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// RunnerTables is the part of module fleet.runners that this package uses.
type RunnerTables interface {
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
	settings     *settings.Settings
	runnerTables RunnerTables
	snapshots    Snapshots
	engines      *engine.Client
	scheduler    *framework.Scheduler
	metrics      *metrics

	mutex           sync.Mutex
	runners         map[string]*runner
	random          *rand.Rand
	batchStopped    bool   // set by StopBatch
	loadSequence    uint64 // of the latest load digest (Load)
	freedBatchSlots chan struct{}
	acquired        chan struct{} // receives a value when a runner was acquired and has to be checked at once

	// background runs the loops, and the calls to engines that no stream waits for.
	// lifetime is the context of Start; both end with it.
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
		kernel.Dependency(&m.settings), kernel.Dependency(&m.runnerTables), kernel.Dependency(&m.snapshots),
		kernel.Dependency(&server), kernel.Dependency(&registry),
	); err != nil {
		return trace.Wrap(err)
	}
	m.metrics = newMetrics(registry)
	m.engines = engine.NewClient()
	m.runners = map[string]*runner{}
	m.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	m.freedBatchSlots = make(chan struct{}, 1)
	m.acquired = make(chan struct{}, 1)
	m.scheduler = newScheduler()
	m.runnerTables.OnTable(func(*fleet.Runners) { m.refresh() })
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

// tickInterval is the time between two calls of tick, and between two checks by Drain.
const tickInterval = 50 * time.Millisecond

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.refresh()
	m.lifetime = ctx
	m.background.Go(func() { m.tickLoop(ctx) })
	m.background.Go(func() { m.orderLoop(ctx) })
	return nil
}

// viewPropagationTime is how long Drain waits for the other nodes to learn that this
// node is leaving. Until then they may still dispatch requests to it.
const viewPropagationTime = 2 * time.Second

// Drain implements kernel.Drainer. It waits for viewPropagationTime and then until no
// stream runs (Idle), or until the context ends.
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

// cancelAtEngine asks an engine, in the background, to cancel a stream that is no longer
// read. If the call fails, the engine ends the unread stream after its own timeout.
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

// tick adjusts the batch limit of each runner and preempts batch streams above it. It
// evicts the streams of runners that have been leaving for longer than the drain
// timeout, and updates the metrics.
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
	m.metrics.onlineStreams.Set(float64(online))
	m.metrics.batchStreams.Set(float64(batch))
	m.metrics.batchLimit.Set(float64(limit))
	if batch < limit {
		m.signalFreedBatchSlots()
	}
}

// signalFreedBatchSlots sends a value to the channel of Freed, unless one is pending.
func (m *Module) signalFreedBatchSlots() {
	select {
	case m.freedBatchSlots <- struct{}{}:
	default:
	}
}

// Freed returns a channel that receives a value when batch slots may have become free.
// Values that are not read at once are merged into one.
func (m *Module) Freed() <-chan struct{} { return m.freedBatchSlots }
