// Package links provides the RPC server and the RPC connection pool of a node, which use
// plain TCP. It listens for other nodes on the node's peer address and, if set, also on the
// address in the setting Listen.Peers. Other modules register their handlers with the
// server. Edges and storage nodes run the package.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "roles.links"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, Roles: []string{role.Edge, role.Storage},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module provides *rpc.Server, *rpc.Pool and *rpc.Counters.
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
			return trace.Wrap(err, "listening for other nodes on %s", address)
		}
		m.listeners = append(m.listeners, listener)
		m.running.Go(func() {
			err := m.server.Serve(listener, nil)
			klog.V(1).InfoS("accepting links from other nodes ended", "address", address, "err", err)
		})
	}
	m.running.Go(func() { m.logTraffic(ctx) })
	return nil
}

// trafficLogInterval is the time between two log lines on the traffic with other nodes.
const trafficLogInterval = 10 * time.Second

// logTraffic periodically logs the traffic with other nodes until the context ends.
func (m *Module) logTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	previous := m.counters.Traffic()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := m.counters.Traffic()
		delta := current.Since(previous)
		previous = current
		klog.InfoS("traffic between nodes", "framesSent", delta.Sent, "framesReceived", delta.Received, "bytesSent", delta.BytesSent,
			"bytesReceived", delta.BytesReceived, "links", delta.Links, "dials", delta.Dials,
			"unanswered", delta.Unanswered, "unresponsive", delta.Unresponsive, "sent", delta.ByMethod())
	}
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	for _, listener := range m.listeners {
		_ = listener.Close()
	}
	m.pool.Close()
	m.server.Close()
	m.running.Wait()
}
