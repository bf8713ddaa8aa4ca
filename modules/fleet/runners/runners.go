// Package runners keeps the table of runners and their owners: the platform's
// runner list joined with the view of the fleet. It owns the last list read, which
// stays in force while the platform is down, and the table made of it; it relies on
// the platform's lists and on module fleet.membership. The plain node runs it.
package runners

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/modules/fleet/membership"
)

// ModuleName registers the module.
const ModuleName = "fleet.runners"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views is the part of membership this module uses.
type Views interface {
	View() *fleet.View
	OnView(func(*fleet.View))
}

// Module provides the runner table.
type Module struct {
	settings  *settings.Settings
	discovery ports.Discovery
	views     Views

	mutex     sync.Mutex
	listed    []ports.RunnerEntry
	changed   chan struct{}
	table     atomic.Pointer[fleet.Runners]
	listeners []func(*fleet.Runners)

	background tasks.Group
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&m.discovery), kernel.Dependency(&m.views),
	); err != nil {
		return trace.Wrap(err)
	}
	m.table.Store(fleet.NewRunners(m.views.View(), nil, nil))
	m.changed = make(chan struct{}, 1)
	m.views.OnView(func(*fleet.View) { m.noteChange() })
	ctx.Provide(m)
	return nil
}

// Table returns the present table.
func (m *Module) Table() *fleet.Runners { return m.table.Load() }

// OnTable calls listener with every new table. It is called while modules are
// provisioned.
func (m *Module) OnTable(listener func(*fleet.Runners)) { m.listeners = append(m.listeners, listener) }

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.background.Go(func() { m.listLoop(ctx) })
	m.background.Go(func() { m.viewLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. The loops end with the context of Start.
func (m *Module) Cleanup() { m.background.Wait() }

// rebuildInterval is the minimum time between two tables made for changed views:
// when a zone is lost, many changes share one table.
const rebuildInterval = 250 * time.Millisecond

func (m *Module) noteChange() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// viewLoop makes a new table at once for a first change, and one later for all
// that follow it closely.
func (m *Module) viewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
			m.rebuild(nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebuildInterval):
		}
	}
}

func (m *Module) listLoop(ctx context.Context) {
	for {
		listed, err := m.discovery.Runners(ctx)
		if err == nil {
			m.rebuild(listed)
		} else {
			klog.V(1).InfoS("runner list not read, the last one stays", "node", m.settings.Node.ID, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.Platform.ListInterval.Duration):
		}
	}
}

// rebuild swaps in a new table; a nil list keeps the last one read, which is
// what serves while the platform is down.
func (m *Module) rebuild(listed []ports.RunnerEntry) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if listed != nil {
		if slices.Equal(listed, m.listed) {
			return
		}
		m.listed = listed
	}
	table := fleet.NewRunners(m.views.View(), m.listed, m.table.Load())
	m.table.Store(table)
	for _, listener := range m.listeners {
		listener(table)
	}
}
