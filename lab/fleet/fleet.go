// Package fleet starts a whole deployment of plain nodes in one process over
// loopback TCP: the platform stand-in, emulated engines and real nodes. It owns
// their addresses and data folders, and starts, kills and stops each of them for
// tests and experiments.
package fleet

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/node"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/lab/engine"
	"cobaltramp.example/cobaltramp/lab/platform"
	_ "cobaltramp.example/cobaltramp/modules/standard" // registers the modules
)

// Zone is a zone of the deployment with what stands in it.
type Zone struct {
	Name    string `yaml:"name"`
	Region  string `yaml:"region"`
	Nodes   int    `yaml:"nodes"`
	Runners int    `yaml:"runners"`
}

// Topology describes a deployment.
type Topology struct {
	Cluster string `yaml:"cluster"`
	Zones   []Zone `yaml:"zones"`
	// Service is the pool all runners belong to.
	Service string `yaml:"service"`
	// DiskNodes is how many nodes, in order, have a data folder.
	DiskNodes int `yaml:"disk_nodes"`
	// Shards of batch storage (0: the product's default).
	Shards int `yaml:"shards"`
	// Engine shapes all engines.
	Engine engine.Parameters `yaml:"engine"`
	// ListLag is how late the platform's lists are.
	ListLag time.Duration `yaml:"list_lag"`
	// PlatformRate is the key-value service's requests per second.
	PlatformRate float64 `yaml:"platform_rate"`
	// Prepare may change a node's settings before its first start.
	ChangeSettings func(*settings.Settings) error `yaml:"-"`
}

// Fleet is a running deployment.
type Fleet struct {
	Topology Topology
	Platform *platform.Platform
	Engines  []*engine.Engine
	Ledger   *engine.Ledger
	Operator *Operator

	folder string
	mutex  sync.Mutex
	nodes  []*Member
}

// Member is one node with what is needed to start it again.
type Member struct {
	Settings *settings.Settings
	node     *node.Node
}

// Running reports whether the node runs.
func (m *Member) Running() bool { return m.node != nil }

// Node returns the running node, nil if it is down.
func (m *Member) Node() *node.Node { return m.node }

// RegisterRunner puts an engine on the platform's runner list with a state.
func (f *Fleet) RegisterRunner(runner *engine.Engine, zone Zone, state string) {
	f.Platform.SetRunner(platform.Target{Address: runner.Address(), Labels: map[string]string{
		"id": runner.ID, "zone": zone.Name, "region": zone.Region, "service": f.Topology.Service, "state": state,
	}})
}

// ZoneOf returns the zone of the engine with an index.
func (f *Fleet) ZoneOf(index int) Zone {
	for _, zone := range f.Topology.Zones {
		if index < zone.Runners {
			return zone
		}
		index -= zone.Runners
	}
	return Zone{}
}

// Nodes returns the members.
func (f *Fleet) Nodes() []*Member { return f.nodes }

// StartNode starts a node that is down.
func (f *Fleet) StartNode(index int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	member := f.nodes[index]
	if member.node != nil {
		return nil
	}
	started, err := node.Start(member.Settings)
	if err != nil {
		return trace.Wrap(err, "node %s", member.Settings.Node.ID)
	}
	member.node = started
	return nil
}

// KillNode ends a node at once.
func (f *Fleet) KillNode(index int) {
	f.mutex.Lock()
	running := f.nodes[index].node
	f.nodes[index].node = nil
	f.mutex.Unlock()
	if running != nil {
		running.Kill()
	}
}

// WipeNode removes a stopped node's data folder, as if its disk were replaced.
func (f *Fleet) WipeNode(index int) error {
	return trace.ConvertSystemError(os.RemoveAll(f.nodes[index].Settings.Data.Folder))
}

// APIAddresses returns the callers' addresses of all nodes.
func (f *Fleet) APIAddresses() []string {
	addresses := make([]string, len(f.nodes))
	for i, member := range f.nodes {
		addresses[i] = member.Settings.Node.APIAddress
	}
	return addresses
}

// AdminAddress returns the operators' address of a running node.
func (f *Fleet) AdminAddress() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range f.nodes {
		if member.node != nil {
			return member.Settings.Node.AdminAddress
		}
	}
	return ""
}

// Close ends everything.
func (f *Fleet) Close() {
	var kills tasks.Group
	for index := range f.nodes {
		kills.Go(func() { f.KillNode(index) })
	}
	kills.Wait()
	for _, running := range f.Engines {
		running.Close()
	}
	if f.Platform != nil {
		f.Platform.Close()
	}
}

// StopNode stops a node as planned and waits until it has ended.
func (f *Fleet) StopNode(index int) {
	f.mutex.Lock()
	running := f.nodes[index].node
	f.mutex.Unlock()
	if running != nil {
		running.Stop(context.Background())
	}
	f.mutex.Lock()
	f.nodes[index].node = nil
	f.mutex.Unlock()
}
