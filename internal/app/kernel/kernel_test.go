package kernel

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// recorder is a module that logs the calls of its lifecycle methods and can fail in one.
type recorder struct {
	name string
	fail string
	log  *[]string
}

func (r *recorder) record(step string) error {
	*r.log = append(*r.log, step+" "+r.name)
	if r.fail == step {
		return errors.New("fails to " + step)
	}
	return nil
}

func (r *recorder) Provision(*Context) error    { return r.record("provision") }
func (r *recorder) Validate() error             { return r.record("validate") }
func (r *recorder) Start(context.Context) error { return r.record("start") }
func (r *recorder) Drain(context.Context)       { _ = r.record("drain") }
func (r *recorder) Cleanup()                    { _ = r.record("cleanup") }

// registrations counts the calls of register, to make the names of modules unique.
var registrations int

// register registers recorders named "<test>.<run>.<name>" with the given dependencies. The
// module in fail, written "<name> <step>", fails in that step. It returns the log of the
// recorders and their names.
func register(t *testing.T, fail string, dependencies map[string][]string) (*[]string, []string) {
	log := &[]string{}
	registrations++
	prefix := fmt.Sprintf("%s.%d.", t.Name(), registrations)
	var names []string
	for name, dependsOn := range dependencies {
		full := prefix + name
		names = append(names, full)
		var prefixed []string
		for _, dependency := range dependsOn {
			prefixed = append(prefixed, prefix+dependency)
		}
		Register(Info{Name: full, DependsOn: prefixed, New: func() Module {
			module := &recorder{name: name, log: log}
			if at, step, found := strings.Cut(fail, " "); found && at == name {
				module.fail = step
			}
			return module
		}})
	}
	return log, names
}

func TestModulesRunInDependencyOrder(t *testing.T) {
	is := is.New(t)
	log, names := register(t, "", map[string][]string{"api": {"router"}, "router": {"links"}, "links": nil})
	k, err := New(names)
	is.NoErr(err)
	is.NoErr(k.Start())
	k.Drain(context.Background())
	k.Kill()
	is.Equal(*log, []string{
		"provision links", "provision router", "provision api",
		"validate links", "validate router", "validate api",
		"start links", "start router", "start api",
		"drain api", "drain router", "drain links",
		"cleanup api", "cleanup router", "cleanup links",
	})
}

func TestFailedStepCleansUpEarlierModules(t *testing.T) {
	for _, step := range []string{"provision", "validate", "start"} {
		t.Run(step, func(t *testing.T) {
			is := is.New(t)
			log, names := register(t, "b "+step, map[string][]string{"a": nil, "b": {"a"}})
			k, err := New(names)
			if err == nil {
				err = k.Start()
			}
			is.True(err != nil)
			is.True(strings.Contains(strings.Join(*log, ","), "cleanup a")) // the earlier module is released
		})
	}
}

func TestInvalidModuleSetsAreRejected(t *testing.T) {
	is := is.New(t)
	_, cycle := register(t, "", map[string][]string{"x": {"y"}, "y": {"x"}})
	_, err := New(cycle)
	is.True(err != nil)
	_, err = New([]string{"nobody.knows"})
	is.True(err != nil)
	_, err = New(cycle[:1])
	is.True(err != nil) // its dependency is not among the modules
}

func TestServicesAreFoundByType(t *testing.T) {
	is := is.New(t)
	ctx := newContext([]any{"text", 7})
	var number int
	var text string
	is.NoErr(ctx.Resolve(Dependency(&number), Dependency(&text)))
	is.Equal(number, 7)
	is.Equal(text, "text")
	var missing float64
	is.True(ctx.Resolve(Dependency(&missing)) != nil)
}
