// Package fleet runs a deployment of plain nodes in one process, for tests and
// experiments: an emulated platform, emulated engines and real nodes, which communicate
// over loopback TCP. It assigns their addresses and data folders, and can start, stop and
// kill each node.
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

// Zone is a zone of the deployment, with its numbers of nodes and runners.
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
	// Service is the name of the service that all runners belong to.
	Service string `yaml:"service"`
	// DiskNodes is the number of nodes with a data folder; the first nodes have one.
	DiskNodes int `yaml:"disk_nodes"`
	// Shards is the number of shards of the batch storage; 0 selects the default.
	Shards int `yaml:"shards"`
	// Engine configures all engines.
	Engine engine.Parameters `yaml:"engine"`
	// ListLag is the delay with which changes appear in the platform's lists.
	ListLag time.Duration `yaml:"list_lag"`
	// PlatformRate is the rate limit of the key-value service in requests per second.
	PlatformRate float64 `yaml:"platform_rate"`
	// ChangeSettings, if set, may change a node's settings before its first start.
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

// Member is a node of the fleet, with the settings to start it again.
type Member struct {
	Settings *settings.Settings
	node     *node.Node
}

// Running reports whether the node runs.
func (m *Member) Running() bool { return m.node != nil }

// Node returns the running node, or nil if the node is down.
func (m *Member) Node() *node.Node { return m.node }

// RegisterRunner adds an engine to the platform's list of runners, or updates its state
// there.
func (f *Fleet) RegisterRunner(runner *engine.Engine, zone Zone, state string) {
	f.Platform.SetRunner(platform.Target{Address: runner.Address(), Labels: map[string]string{
		"id": runner.ID, "zone": zone.Name, "region": zone.Region, "service": f.Topology.Service, "state": state,
	}})
}

// ZoneOf returns the zone of the engine with the given index.
func (f *Fleet) ZoneOf(index int) Zone {
	for _, zone := range f.Topology.Zones {
		if index < zone.Runners {
			return zone
		}
		index -= zone.Runners
	}
	return Zone{}
}

// Nodes returns all members, running or not.
func (f *Fleet) Nodes() []*Member { return f.nodes }

// StartNode starts a node unless it runs already.
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

// KillNode ends a node immediately, without draining it.
func (f *Fleet) KillNode(index int) {
	f.mutex.Lock()
	running := f.nodes[index].node
	f.nodes[index].node = nil
	f.mutex.Unlock()
	if running != nil {
		running.Kill()
	}
}

// WipeNode removes the data folder of a stopped node, which simulates a replaced disk.
func (f *Fleet) WipeNode(index int) error {
	return trace.ConvertSystemError(os.RemoveAll(f.nodes[index].Settings.Data.Folder))
}

// APIAddresses returns the API addresses of all nodes.
func (f *Fleet) APIAddresses() []string {
	addresses := make([]string, len(f.nodes))
	for i, member := range f.nodes {
		addresses[i] = member.Settings.Node.APIAddress
	}
	return addresses
}

// AdminAddress returns the admin address of a running node, or an empty string if no node
// runs.
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

// Close kills all nodes and closes the engines and the platform.
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

// StopNode drains and stops a node, and waits until it has ended.
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
