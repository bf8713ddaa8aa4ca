// Package node runs a plain node: a kernel with all modules that are registered without a
// role. It owns the kernel and the registry of metrics. A process usually runs one node; the
// lab runs several.
package node

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
)

// Node is a running plain node.
type Node struct {
	settings *settings.Settings
	kernel   *kernel.Kernel
}

// Start starts a node with all modules of the plain node.
func Start(loaded *settings.Settings) (*Node, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	k, err := kernel.New(kernel.PlainNodeModules(), loaded, registry)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := k.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	klog.InfoS("node started", "node", loaded.Node.ID, "zone", loaded.Node.Zone, "api", loaded.Node.APIAddress, "data", loaded.Data.Folder)
	return &Node{settings: loaded, kernel: k}, nil
}

// Stop shuts the node down gracefully: the node leaves the fleet, accepts no new work, and
// ends when the work in progress is finished or the stop timeout has passed.
func (n *Node) Stop(ctx context.Context) {
	klog.InfoS("node stopping", "node", n.settings.Node.ID)
	ctx, cancel := context.WithTimeout(ctx, n.settings.Limits.StopTimeout.Duration)
	defer cancel()
	n.kernel.Drain(ctx)
	n.kernel.Kill()
	klog.InfoS("node stopped", "node", n.settings.Node.ID)
}

// Kill stops the node at once, without draining.
func (n *Node) Kill() { n.kernel.Kill() }

// Context returns the Context that holds the modules' services.
func (n *Node) Context() *kernel.Context { return n.kernel.Context() }
