// Package links listens on the node's internal address and manages the connections to
// other nodes, with mutual TLS if keys are configured. It owns the listener, the server on
// which modules register their handlers, and the pool of outgoing connections. It relies on
// package rpc for the server and the pool. The plain node runs it; edges and storage nodes
// run modules/roles/links instead.
package links

import (
	"context"
	"crypto/tls"
	"errors"
	"net"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/internal/transport/tlskeys"
)

// ModuleName is the name under which the module is registered.
const ModuleName = "fleet.links"

func init() {
	kernel.Register(kernel.Info{Name: ModuleName, New: func() kernel.Module { return &Module{} }})
}

// Module provides *rpc.Server, *rpc.Pool and *rpc.Counters. Other modules register their
// handlers on the server while they are provisioned.
type Module struct {
	settings *settings.Settings
	listener net.Listener
	keys     *tlskeys.MutualTLS
	counters *rpc.Counters
	server   *rpc.Server
	pool     *rpc.Pool

	background tasks.Group
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var loaded *settings.Settings
	var registry prometheus.Registerer
	err := ctx.Resolve(
		kernel.Dependency(&loaded), kernel.Dependency(&registry),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	m.settings = loaded
	if loaded.TLS.Nodes.IsSet() {
		m.keys, err = tlskeys.LoadMutualTLS(loaded.TLS.Nodes.Certificate, loaded.TLS.Nodes.Key, loaded.TLS.NodesAuthority)
		if err != nil {
			return trace.Wrap(err, "tls.nodes")
		}
	}
	m.counters = &rpc.Counters{}
	m.server = rpc.NewServer(loaded.Node.ID, loaded.Cluster, m.counters)
	m.pool = rpc.NewPool(loaded.Node.ID, loaded.Cluster, m.clientTLS(), m.counters)
	ctx.Provide(m.server)
	ctx.Provide(m.pool)
	ctx.Provide(m.counters)
	m.registerMetrics(registry)
	return nil
}

// clientTLS returns the source of the TLS configuration for outgoing connections, or nil if
// connections are not encrypted.
func (m *Module) clientTLS() func() *tls.Config {
	if m.keys == nil {
		return nil
	}
	return m.keys.Client
}

func (m *Module) registerMetrics(registry prometheus.Registerer) {
	counter := func(name, help string, read func() uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(
			prometheus.CounterOpts{Name: "cobaltramp_link_" + name, Help: help},
			func() float64 { return float64(read()) }))
	}
	counter("bytes_sent_total", "Bytes sent to other nodes.", m.counters.BytesSent.Load)
	counter("bytes_received_total", "Bytes received from other nodes.", m.counters.BytesReceived.Load)
	counter("frames_sent_total", "Frames sent to other nodes.", m.counters.FramesSent.Load)
	counter("frames_received_total", "Frames received from other nodes.", m.counters.FramesReceived.Load)
	counter("dials_total", "Connections dialled to other nodes.", m.counters.Dials.Load)
	counter("dial_failures_total", "Dials to other nodes that failed.", m.counters.DialFailures.Load)
}

// Start implements kernel.Starter. It accepts connections of other nodes on the internal address
// until Cleanup.
func (m *Module) Start(context.Context) error {
	listener, err := net.Listen("tcp", m.settings.Node.InternalAddress)
	if err != nil {
		return trace.Wrap(err, "listening on node.internal_address %s", m.settings.Node.InternalAddress)
	}
	m.listener = listener
	var serverTLS *tls.Config
	if m.keys != nil {
		serverTLS = m.keys.Server()
	}
	m.background.Go(func() {
		if err := m.server.Serve(listener, serverTLS); !errors.Is(err, net.ErrClosed) {
			klog.ErrorS(err, "server for connections of other nodes stopped", "node", m.settings.Node.ID)
		}
	})
	return nil
}

// Cleanup implements kernel.Cleaner. It closes the listener and all connections, and waits
// for the server to end.
func (m *Module) Cleanup() {
	if m.listener != nil {
		_ = m.listener.Close() // the node shuts down in any case
	}
	if m.pool != nil {
		m.pool.Close()
	}
	if m.server != nil {
		m.server.Close()
	}
	m.background.Wait()
}
