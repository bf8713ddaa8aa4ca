// Package kernel starts and stops the modules of a node.
//
// A module registers itself under its name from an init function and lists the modules that
// it depends on. The kernel calls New, Provision, Validate and Start of all modules in the
// order of their dependencies, and Drain and Cleanup in reverse order. Modules find each
// other's services by type in the Context.
package kernel

import (
	"context"
	"slices"
	"sort"
	"sync"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// Module is a part of a node. The optional interfaces below add lifecycle steps.
type Module interface {
	// Provision reads settings, finds the services of other modules and provides the
	// module's own. It must not start goroutines or listen on sockets.
	Provision(*Context) error
}

// Validator is a module that checks its state after all modules are provisioned.
type Validator interface{ Validate() error }

// Starter is a module that listens on sockets or starts goroutines. Start returns when the
// module is serving. The context ends when the node is killed.
type Starter interface{ Start(context.Context) error }

// Drainer is a module that stops accepting new work and finishes the work in progress.
// Drain returns when the module is idle or the context ends.
type Drainer interface{ Drain(context.Context) }

// Cleaner is a module that releases the resources acquired by Start and Provision.
type Cleaner interface{ Cleanup() }

// Info describes a module for registration.
type Info struct {
	// Name has the form "<namespace>.<module>" and is unique in the process.
	Name string
	// DependsOn lists the names of the modules that are provisioned and started before this
	// module.
	DependsOn []string
	// Roles lists the roles that run the module. If it is empty, the plain node runs it.
	Roles []string
	// New returns a new instance, since a process may run several nodes.
	New func() Module
}

var (
	registryMutex sync.Mutex
	registry      = map[string]Info{}
)

// Register adds a module to the registry of the process. It panics if the name is already
// registered.
func Register(info Info) {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	if _, taken := registry[info.Name]; taken {
		panic("kernel: module registered twice: " + info.Name)
	}
	registry[info.Name] = info
}

// PlainNodeModules returns the names of the plain node's modules in alphabetical order.
func PlainNodeModules() []string {
	return filterModules(func(info Info) bool { return len(info.Roles) == 0 })
}

// RoleModules returns the names of a role's modules in alphabetical order.
func RoleModules(role string) []string {
	return filterModules(func(info Info) bool { return slices.Contains(info.Roles, role) })
}

func filterModules(wanted func(Info) bool) []string {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	var names []string
	for name, info := range registry {
		if wanted(info) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Kernel runs the modules of a node.
type Kernel struct {
	context *Context
	modules []instance
	stop    context.CancelFunc
}

type instance struct {
	name   string
	module Module
}

// New provisions and validates the named modules in the order of their dependencies. The
// given services are available to all modules.
func New(names []string, services ...any) (*Kernel, error) {
	ordered, err := sortByDependency(names)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	k := &Kernel{context: newContext(services)}
	for _, info := range ordered {
		module := info.New()
		k.modules = append(k.modules, instance{info.Name, module})
		if err := module.Provision(k.context); err != nil {
			k.cleanup()
			return nil, trace.Wrap(err, "provisioning module %s", info.Name)
		}
	}
	for _, item := range k.modules {
		if validator, ok := item.module.(Validator); ok {
			if err := validator.Validate(); err != nil {
				k.cleanup()
				return nil, trace.Wrap(err, "validating module %s", item.name)
			}
		}
	}
	return k, nil
}

// Context returns the Context that holds the modules' services.
func (k *Kernel) Context() *Context { return k.context }

// Start starts the modules in the order of their dependencies. If a module fails to start,
// all modules are cleaned up.
func (k *Kernel) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	for _, item := range k.modules {
		starter, ok := item.module.(Starter)
		if !ok {
			continue
		}
		if err := starter.Start(ctx); err != nil {
			k.Kill()
			return trace.Wrap(err, "starting module %s", item.name)
		}
		klog.V(2).InfoS("module started", "module", item.name)
	}
	return nil
}

// Drain drains the modules in reverse order, so that modules which accept callers' work
// stop before the modules which execute it.
func (k *Kernel) Drain(ctx context.Context) {
	for i := len(k.modules) - 1; i >= 0; i-- {
		if drainer, ok := k.modules[i].module.(Drainer); ok {
			drainer.Drain(ctx)
		}
	}
}

// Kill stops the node at once, without draining.
func (k *Kernel) Kill() {
	if k.stop != nil {
		k.stop()
	}
	k.cleanup()
}

func (k *Kernel) cleanup() {
	for i := len(k.modules) - 1; i >= 0; i-- {
		if cleaner, ok := k.modules[i].module.(Cleaner); ok {
			cleaner.Cleanup()
		}
	}
}

// sortByDependency returns the named modules, each after the modules that it depends on.
func sortByDependency(names []string) ([]Info, error) {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	sorter := &topologicalSort{wanted: map[string]bool{}, state: map[string]visitState{}}
	for _, name := range names {
		sorter.wanted[name] = true
	}
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	for _, name := range sorted {
		if err := sorter.visit(name); err != nil {
			return nil, err
		}
	}
	return sorter.ordered, nil
}

type visitState uint8

const (
	unvisited visitState = iota
	visiting
	visited
)

type topologicalSort struct {
	wanted  map[string]bool
	state   map[string]visitState
	ordered []Info
}

func (s *topologicalSort) visit(name string) error {
	switch s.state[name] {
	case visited:
		return nil
	case visiting:
		return trace.BadParameter("modules have a cyclic dependency at %s", name)
	}
	info, known := registry[name]
	if !known {
		return trace.NotFound("module %s is not registered", name)
	}
	s.state[name] = visiting
	for _, dependency := range info.DependsOn {
		if !s.wanted[dependency] {
			return trace.BadParameter("module %s depends on %s, which is not among the modules to run", name, dependency)
		}
		if err := s.visit(dependency); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.ordered = append(s.ordered, info)
	return nil
}
