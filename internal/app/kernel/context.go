package kernel

import (
	"reflect"

	"github.com/gravitational/trace"
)

// Context holds the services that modules provide to each other. Modules find them by type.
type Context struct {
	services []any
}

func newContext(services []any) *Context {
	return &Context{services: append([]any(nil), services...)}
}

// Provide adds a service for the modules that are provisioned later.
func (c *Context) Provide(service any) {
	c.services = append(c.services, service)
}

// Find returns the first service of type T. T is usually an interface that the calling
// package declares.
func Find[T any](c *Context) (T, error) {
	for _, service := range c.services {
		if found, ok := service.(T); ok {
			return found, nil
		}
	}
	var none T
	return none, trace.NotFound("no module provides %v", reflect.TypeFor[T]())
}

// Resolver sets a field of a module to the service that it requires.
type Resolver func(*Context) error

// Dependency returns a Resolver that sets the field to the first service of its type.
func Dependency[T any](field *T) Resolver {
	return func(c *Context) error {
		found, err := Find[T](c)
		*field = found
		return trace.Wrap(err)
	}
}

// Resolve applies the resolvers in order. It returns an error if a service is missing.
func (c *Context) Resolve(resolvers ...Resolver) error {
	for _, resolve := range resolvers {
		if err := resolve(c); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
