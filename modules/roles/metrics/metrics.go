// Package metrics serves the metrics of a node in the Prometheus text format, from the
// registry that all modules share. Edges and storage nodes run the module; it listens only
// if the settings name a port for metrics.
package metrics

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/role"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/nethttp"
)

// ModuleName is the name under which the module is registered.
const ModuleName = "roles.metrics"

// Path is the URL path of the metrics.
const Path = "/metrics"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, Roles: []string{role.Edge, role.Storage},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module serves the metrics of a node.
type Module struct {
	settings *settings.Role
	registry *prometheus.Registry
	server   *nethttp.Endpoint
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	return ctx.Resolve(kernel.Dependency(&m.settings), kernel.Dependency(&m.registry))
}

// headerTimeout bounds the time for reading the header of a request.
const headerTimeout = 3 * time.Second

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	if m.settings.Listen.MetricsPort == 0 {
		return nil
	}
	address := fmt.Sprintf("%s:%d", m.settings.Address, m.settings.Listen.MetricsPort)
	mux := http.NewServeMux()
	mux.Handle(Path, promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	var err error
	m.server, err = nethttp.Start(ctx, address, mux, nethttp.RequestLimits{HeaderTimeout: headerTimeout})
	return trace.Wrap(err, "starting the metrics server")
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.server != nil {
		m.server.Close()
	}
}
