// Package metrics serves a node's counters and histograms as text, from the registry
// that all modules share. Edges and storage nodes run it, if their settings name a port.
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

// ModuleName registers the module.
const ModuleName = "roles.metrics"

// Path is where the figures are.
const Path = "/metrics"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, Roles: []string{role.Edge, role.Storage},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module serves the figures if the settings name a port.
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
	return trace.Wrap(err, "serving metrics")
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.server != nil {
		m.server.Close()
	}
}
