package kernel

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// recorder is a module that writes down its life.
type recorder struct {
	name string
	fail string
	log  *[]string
}

func (r *recorder) note(step string) error {
	*r.log = append(*r.log, step+" "+r.name)
	if r.fail == step {
		return errors.New("fails to " + step)
	}
	return nil
}

func (r *recorder) Provision(*Context) error    { return r.note("provision") }
func (r *recorder) Validate() error             { return r.note("validate") }
func (r *recorder) Start(context.Context) error { return r.note("start") }
func (r *recorder) Drain(context.Context)       { _ = r.note("drain") }
func (r *recorder) Cleanup()                    { _ = r.note("cleanup") }

// registrations tells the runs of a test apart: a name is registered once a process.
var registrations int

// register adds recorders "<test>.<run>.<name>" with needs, and returns their log.
func register(t *testing.T, fail string, needs map[string][]string) (*[]string, []string) {
	log := &[]string{}
	registrations++
	prefix := fmt.Sprintf("%s.%d.", t.Name(), registrations)
	var names []string
	for name, wants := range needs {
		full := prefix + name
		names = append(names, full)
		var prefixed []string
		for _, want := range wants {
			prefixed = append(prefixed, prefix+want)
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

func TestModulesLiveInOrderOfNeed(t *testing.T) {
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

func TestFailedStepsCleanUp(t *testing.T) {
	for _, step := range []string{"provision", "validate", "start"} {
		t.Run(step, func(t *testing.T) {
			is := is.New(t)
			log, names := register(t, "b "+step, map[string][]string{"a": nil, "b": {"a"}})
			k, err := New(names)
			if err == nil {
				err = k.Start()
			}
			is.True(err != nil)
			is.True(strings.Contains(strings.Join(*log, ","), "cleanup a")) // what came before is released
		})
	}
}

func TestBadSetsAreRefused(t *testing.T) {
	is := is.New(t)
	_, circle := register(t, "", map[string][]string{"x": {"y"}, "y": {"x"}})
	_, err := New(circle)
	is.True(err != nil)
	_, err = New([]string{"nobody.knows"})
	is.True(err != nil)
	_, err = New(circle[:1])
	is.True(err != nil) // needs what is not in the set
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
