package fleet

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/lab/engine"
	"cobaltramp.example/cobaltramp/lab/platform"
)

// Start starts the platform, the engines and the nodes. The nodes' data folders are
// subfolders of the given folder.
func Start(topology Topology, folder string) (*Fleet, error) {
	f := &Fleet{Topology: topology, Ledger: engine.NewLedger(), folder: folder}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.Operator, err = NewOperator("operator-1"); err != nil {
		return trace.Wrap(err)
	}
	f.Platform, err = platform.Start(platform.Options{Address: "127.0.0.1:0", ListLag: f.Topology.ListLag, RequestsPerSecond: f.Topology.PlatformRate})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := f.startEngines(); err != nil {
		return trace.Wrap(err)
	}
	return f.startNodes()
}

func (f *Fleet) startEngines() error {
	number := 0
	for _, zone := range f.Topology.Zones {
		for range zone.Runners {
			number++
			parameters := f.Topology.Engine
			parameters.WeightStore = f.Platform.URL()
			id := fmt.Sprintf("runner-%02d", number)
			addresses, err := freeAddresses(1)
			if err != nil {
				return trace.Wrap(err)
			}
			started, err := engine.Start(id, addresses[0], parameters, "", f.Ledger)
			if err != nil {
				return trace.Wrap(err)
			}
			f.Engines = append(f.Engines, started)
			f.RegisterRunner(started, zone, "live")
		}
	}
	return nil
}

func (f *Fleet) startNodes() error {
	number := 0
	for _, zone := range f.Topology.Zones {
		for range zone.Nodes {
			number++
			nodeSettings, err := f.nodeSettings(number, zone)
			if err != nil {
				return trace.Wrap(err)
			}
			f.nodes = append(f.nodes, &Member{Settings: nodeSettings})
			f.registerNode(nodeSettings)
		}
	}
	for index := range f.nodes {
		if err := f.startFirstTime(index); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// startFirstTime starts a node for the first time. If the start fails, it is retried with
// new ports, because another process may have taken one of the node's ports.
func (f *Fleet) startFirstTime(index int) error {
	err := f.StartNode(index)
	for try := 0; err != nil && try < maxStartRetries; try++ {
		member := f.nodes[index]
		f.Platform.RemoveMachine(member.Settings.Node.InternalAddress)
		addresses, addressErr := freeAddresses(3)
		if addressErr != nil {
			return trace.Wrap(addressErr)
		}
		node := &member.Settings.Node
		node.InternalAddress, node.APIAddress, node.AdminAddress = addresses[0], addresses[1], addresses[2]
		f.registerNode(member.Settings)
		err = f.StartNode(index)
	}
	return err
}

const maxStartRetries = 3

func (f *Fleet) registerNode(nodeSettings *settings.Settings) {
	f.Platform.SetMachine(platform.Target{Address: nodeSettings.Node.InternalAddress, Labels: map[string]string{
		"zone": nodeSettings.Node.Zone, "region": nodeSettings.Node.Region, "state": "live",
	}})
}

func (f *Fleet) nodeSettings(number int, zone Zone) (*settings.Settings, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	created := &settings.Settings{
		Cluster: f.Topology.Cluster,
		Node: settings.NodeSettings{
			ID: fmt.Sprintf("node-%02d", number), Region: zone.Region, Zone: zone.Name,
			InternalAddress: addresses[0], APIAddress: addresses[1], AdminAddress: addresses[2],
		},
		Platform: settings.PlatformSettings{
			KeyValue: f.Platform.URL(), Machines: f.Platform.URL() + "/machines", Runners: f.Platform.URL() + "/runners",
			ListInterval: settings.YAMLDuration{Duration: 500 * time.Millisecond},
		},
		Data: settings.DiskSettings{Shards: f.Topology.Shards},
	}
	if number <= f.Topology.DiskNodes {
		created.Data.Folder = filepath.Join(f.folder, created.Node.ID)
	}
	if f.Topology.ChangeSettings != nil {
		if err := f.Topology.ChangeSettings(created); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	created.SetDefaults()
	return created, trace.Wrap(created.Validate())
}
