// Package links opens a role's address for other nodes and keeps the
// connections to them.
package links

import (
	"context"
	"net"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/kernel"
	"cobaltramp.example/cobaltramp/internal/role"
	"cobaltramp.example/cobaltramp/internal/rpc"
	"cobaltramp.example/cobaltramp/internal/settings"
	"cobaltramp.example/cobaltramp/internal/sockets"
)

// ModuleName registers the module.
const ModuleName = "roles.links"

func init() {
	kernel.Register(kernel.Info{Name: ModuleName, Roles: []string{role.Edge, role.Storage}, New: func() kernel.Module { return &Module{} }})
}

// Module provides *rpc.Server and *rpc.Pool.
type Module struct {
	settings  *settings.Role
	server    *rpc.Server
	pool      *rpc.Pool
	listeners []net.Listener
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := ctx.Fill(kernel.Into(&m.settings)); err != nil {
		return trace.Wrap(err)
	}
	counters := &rpc.Counters{}
	m.server = rpc.NewServer(m.settings.Node, m.settings.Cluster, counters)
	m.pool = rpc.NewPool(m.settings.Node, m.settings.Cluster, nil, counters)
	ctx.Provide(counters)
	ctx.Provide(m.server)
	ctx.Provide(m.pool)
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	addresses := []string{m.settings.PeerAddress()}
	if m.settings.Listen.Peers != "" {
		addresses = append(addresses, m.settings.Listen.Peers)
	}
	for _, address := range addresses {
		listener, err := sockets.ListenConfig().Listen(ctx, "tcp", address)
		if err != nil {
			return trace.Wrap(err, "listening for nodes on %s", address)
		}
		m.listeners = append(m.listeners, listener)
		go func() {
			err := m.server.Serve(listener, nil)
			klog.V(1).InfoS("node listener closed", "address", address, "err", err)
		}()
	}
	return nil
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	for _, listener := range m.listeners {
		_ = listener.Close()
	}
	m.pool.Close()
	m.server.Close()
}
