// Package router dispatches online requests from the accepting node, which received them
// from a caller, to owners, and returns the responses. An owner is a node that owns
// runners; it may be the accepting node. If an owner or a runner is lost, the package
// resumes the response, so that the caller receives either the text without gaps and
// repeats, or an error.
//
// For each owner, the package keeps in memory the reported load, the health and the number
// of requests in flight. It uses the runner table, the view of the fleet and the active
// bundle, chooses owners with internal/serving/scheduling, and calls module serving.owner
// on the owner's node. The plain node runs it.
package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/health"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/retry"
	"cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/serving/crashes"
	"cobaltramp.example/cobaltramp/modules/serving/owner"
)

// ModuleName is the name under which the module is registered.
const ModuleName = "serving.router"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{owner.ModuleName, crashes.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views returns the view of the fleet.
type Views interface{ View() *fleet.View }

// RunnerTables returns the runner table.
type RunnerTables interface{ Table() *fleet.Runners }

// Snapshots returns the snapshot of the active bundle, which is its compiled form; nil if
// no bundle has been loaded.
type Snapshots interface{ Snapshot() *bundle.Snapshot }

// LocalOwner runs requests on the runners that this node owns.
type LocalOwner interface {
	Dispatch(context.Context, *wirev1.DispatchRequest, owner.Emit) error
	Reattach(context.Context, *wirev1.ReattachRequest, owner.Emit) error
	Load(model string) *wirev1.LoadDigest
}

// Module routes online requests (Generate).
type Module struct {
	settings     *settings.Settings
	views        Views
	runnerTables RunnerTables
	snapshots    Snapshots
	local        LocalOwner
	pool         *rpc.Pool
	scheduler    *framework.Scheduler
	budget       *retry.Budget
	guard        quarantine.Guard
	metrics      *metrics

	owners sync.Map // node id → *ownerState

	background tasks.Group
}

// ownerState is the state of one owner as this node knows it.
type ownerState struct {
	// inFlight is the number of this node's requests that the owner is running.
	inFlight atomic.Int64
	// load is the latest load digest of the owner; nil if there was none yet.
	load atomic.Pointer[wirev1.LoadDigest]

	mutex  sync.Mutex
	health health.Failures
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
		kernel.Dependency(&m.settings), kernel.Dependency(&m.views), kernel.Dependency(&m.runnerTables),
		kernel.Dependency(&m.snapshots), kernel.Dependency(&m.local), kernel.Dependency(&m.pool),
		kernel.Dependency(&server), kernel.Dependency(&registry), kernel.Dependency(&m.guard),
	); err != nil {
		return trace.Wrap(err)
	}
	m.metrics = newMetrics(registry)
	m.budget = retry.NewBudget()
	m.scheduler = newScheduler()
	server.HandleNotice(wirev1.Method_METHOD_LOAD_DIGEST, m.receiveDigest)
	ctx.Provide(m)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.background.Go(func() { m.digestLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. It waits for digestLoop, which ends with the context
// of Start.
func (m *Module) Cleanup() { m.background.Wait() }

// owner returns the state of an owner, which it creates if necessary.
func (m *Module) owner(id string) *ownerState {
	if known, found := m.owners.Load(id); found {
		return known.(*ownerState)
	}
	made, _ := m.owners.LoadOrStore(id, &ownerState{})
	return made.(*ownerState)
}

func (s *ownerState) recordFailure() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.health.RecordFailure(time.Now())
}

func (s *ownerState) recordSuccess() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.health.RecordSuccess()
}

func (s *ownerState) ejectedUntil() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.health.EjectedUntil()
}
