// Package links opens a node's address for other nodes and keeps the connections to
// them. It owns the listeners, the server of calls between nodes (to which other modules
// add their handlers) and the pool of connections. Edges and storage nodes run it.
package links

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/role"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/internal/transport/sockets"
)

// ModuleName registers the module.
const ModuleName = "roles.links"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, Roles: []string{role.Edge, role.Storage},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module provides *rpc.Server and *rpc.Pool.
type Module struct {
	settings  *settings.Role
	server    *rpc.Server
	pool      *rpc.Pool
	counters  *rpc.Counters
	listeners []net.Listener
	running   tasks.Group
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := ctx.Resolve(kernel.Dependency(&m.settings)); err != nil {
		return trace.Wrap(err)
	}
	m.counters = &rpc.Counters{}
	m.server = rpc.NewServer(m.settings.Node, m.settings.Cluster, m.counters)
	m.pool = rpc.NewPool(m.settings.Node, m.settings.Cluster, nil, m.counters)
	ctx.Provide(m.counters)
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
		m.running.Go(func() {
			err := m.server.Serve(listener, nil)
			klog.V(1).InfoS("node listener closed", "address", address, "err", err)
		})
	}
	m.running.Go(func() { m.report(ctx) })
	return nil
}

// reportInterval is how often a node's traffic with others is logged, as one line.
const reportInterval = 10 * time.Second

// report logs how much this node sends to others and receives, until the context ends.
func (m *Module) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	last := m.counters.Traffic()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := m.counters.Traffic()
		since := now.Since(last)
		last = now
		klog.InfoS("traffic between nodes", "framesSent", since.Sent, "framesReceived", since.Received, "bytesSent", since.BytesSent,
			"bytesReceived", since.BytesReceived, "links", since.Links, "dials", since.Dials, "sent", since.ByMethod())
	}
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	for _, listener := range m.listeners {
		_ = listener.Close() // nobody listens from here on, whatever it says
	}
	m.pool.Close()
	m.server.Close()
	m.running.Wait()
}
