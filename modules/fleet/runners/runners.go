// Package runners maintains the table of runners and their owners, computed from the
// platform's runner list and the view of the fleet. It owns the table and the last list
// read, which stays in use while the platform is unreachable. It relies on the platform's
// runner list and on module fleet.membership. The plain node runs it.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "fleet.runners"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views is the part of module fleet.membership that this module uses.
type Views interface {
	View() *fleet.View
	OnView(func(*fleet.View))
}

// Module maintains and provides the runner table.
type Module struct {
	settings  *settings.Settings
	discovery ports.Discovery
	views     Views

	mutex       sync.Mutex // protects listed and orders the rebuilds
	listed      []ports.RunnerEntry
	viewChanged chan struct{} // has room for one signal
	table       atomic.Pointer[fleet.Runners]
	listeners   []func(*fleet.Runners)

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
	m.viewChanged = make(chan struct{}, 1)
	m.views.OnView(func(*fleet.View) { m.signalViewChange() })
	ctx.Provide(m)
	return nil
}

// Table returns the current table.
func (m *Module) Table() *fleet.Runners { return m.table.Load() }

// OnTable registers a listener that is called with every new table, one call at a time and
// in order. Listeners must be registered while modules are provisioned.
func (m *Module) OnTable(listener func(*fleet.Runners)) { m.listeners = append(m.listeners, listener) }

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.background.Go(func() { m.listLoop(ctx) })
	m.background.Go(func() { m.viewLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. It waits for the loops, which end with the context of
// Start.
func (m *Module) Cleanup() { m.background.Wait() }

// rebuildInterval is the minimum time between two rebuilds for changed views. It limits the
// number of rebuilds when many members change at once.
const rebuildInterval = 250 * time.Millisecond

// signalViewChange wakes viewLoop without blocking.
func (m *Module) signalViewChange() {
	select {
	case m.viewChanged <- struct{}{}:
	default:
	}
}

// viewLoop rebuilds the table when the view has changed. After a rebuild it waits for
// rebuildInterval, and rebuilds once for all changes during the wait.
func (m *Module) viewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.viewChanged:
			m.rebuild(nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rebuildInterval):
		}
	}
}

// listLoop reads the runner list periodically and rebuilds the table if the list changed.
func (m *Module) listLoop(ctx context.Context) {
	for {
		listed, err := m.discovery.Runners(ctx)
		if err == nil {
			m.rebuild(listed)
		} else {
			klog.V(1).InfoS("reading the runner list failed; the table keeps the last list", "node", m.settings.Node.ID, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(m.settings.Platform.ListInterval.Duration):
		}
	}
}

// rebuild computes a new table from the given list and the current view, and passes it to
// the listeners. If the list equals the last one, rebuild does nothing. A nil list stands for
// the last list; the table is then rebuilt in any case.
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
