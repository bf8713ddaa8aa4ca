package kernel

import (
	"reflect"

	"github.com/gravitational/trace"
)

// Context holds the services modules provide to each other, found by type.
type Context struct {
	services []any
}

func newContext(services []any) *Context {
	return &Context{services: append([]any(nil), services...)}
}

// Provide offers a service to the modules provisioned later.
func (c *Context) Provide(service any) {
	c.services = append(c.services, service)
}

// Find returns the first service that is a T. T is usually an interface that
// the asking package declares.
func Find[T any](c *Context) (T, error) {
	for _, service := range c.services {
		if found, ok := service.(T); ok {
			return found, nil
		}
	}
	var none T
	return none, trace.NotFound("no module provides %v", reflect.TypeFor[T]())
}

// Resolver is one service a module cannot do without: a field to fill.
type Resolver func(*Context) error

// Dependency fills a field with the first service of its type.
func Dependency[T any](field *T) Resolver {
	return func(c *Context) error {
		found, err := Find[T](c)
		*field = found
		return trace.Wrap(err)
	}
}

// Resolve fills all fields, or says what is missing.
func (c *Context) Resolve(needs ...Resolver) error {
	for _, need := range needs {
		if err := need(c); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
