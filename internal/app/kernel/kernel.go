// Package kernel starts and stops the modules a node is made of.
//
// A module registers itself by name from an init function, names the modules
// it needs, and is then driven through its life in order of need: New,
// Provision, Validate, Start; and in reverse order: Drain, Cleanup. Only the
// lifecycle lives here; what modules offer each other is found by type through
// the Context.
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
	// Provision reads settings, finds services of needed modules and provides
	// its own. It must not start goroutines or open sockets others can reach.
	Provision(*Context) error
}

// Validator is a module that checks itself after all modules are provisioned.
type Validator interface{ Validate() error }

// Starter is a module that opens sockets or starts goroutines. Start returns
// once the module serves; the context ends when the node is killed.
type Starter interface{ Start(context.Context) error }

// Drainer is a module that stops taking new work and finishes what it has.
// Drain returns when it is idle or the context ends.
type Drainer interface{ Drain(context.Context) }

// Cleaner is a module that releases what Start and Provision took.
type Cleaner interface{ Cleanup() }

// Info describes a module for registration.
type Info struct {
	// Name is "<namespace>.<module>", unique in the process.
	Name string
	// DependsOn names modules that are provisioned and started before this one.
	DependsOn []string
	// Roles lists the roles the module is part of; empty: of the plain node.
	Roles []string
	// New returns a fresh instance; a process may run several nodes.
	New func() Module
}

var (
	registryMutex sync.Mutex
	registry      = map[string]Info{}
)

// Register adds a module to the process's set. It panics on a name used twice,
// which is a defect found at start.
func Register(info Info) {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	if _, taken := registry[info.Name]; taken {
		panic("kernel: module registered twice: " + info.Name)
	}
	registry[info.Name] = info
}

// Names lists the modules of the plain node in alphabetical order.
func Names() []string {
	return namesWhere(func(info Info) bool { return len(info.Roles) == 0 })
}

// NamesOf lists the modules of a role in alphabetical order.
func NamesOf(role string) []string {
	return namesWhere(func(info Info) bool { return slices.Contains(info.Roles, role) })
}

func namesWhere(wanted func(Info) bool) []string {
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

// Kernel runs one node's modules.
type Kernel struct {
	context *Context
	modules []instance
	stop    context.CancelFunc
}

type instance struct {
	name   string
	module Module
}

// New orders the named modules by need and provisions them. The services
// given are available to all modules.
func New(names []string, services ...any) (*Kernel, error) {
	ordered, err := order(names)
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

// Context returns the services of the kernel's modules.
func (k *Kernel) Context() *Context { return k.context }

// Start starts the modules in order; on a failure those started are cleaned up.
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

// Drain drains the modules in reverse order, so that what takes callers' work
// stops before what carries it out.
func (k *Kernel) Drain(ctx context.Context) {
	for i := len(k.modules) - 1; i >= 0; i-- {
		if drainer, ok := k.modules[i].module.(Drainer); ok {
			drainer.Drain(ctx)
		}
	}
}

// Kill ends the node at once, without draining.
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

// order returns the named modules so that each comes after those it needs.
func order(names []string) ([]Info, error) {
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
		return trace.BadParameter("modules need each other in a circle at %s", name)
	}
	info, known := registry[name]
	if !known {
		return trace.NotFound("module %s is not registered", name)
	}
	s.state[name] = visiting
	for _, need := range info.DependsOn {
		if !s.wanted[need] {
			return trace.BadParameter("module %s needs %s, which is not in the set", name, need)
		}
		if err := s.visit(need); err != nil {
			return err
		}
	}
	s.state[name] = visited
	s.ordered = append(s.ordered, info)
	return nil
}
