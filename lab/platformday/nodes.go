package platformday

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"

	"github.com/goccy/go-yaml"

	"cobaltramp.example/cobaltramp/internal/configuration/settings"
)

// startedDays counts the days that this process has started.
var startedDays atomic.Uint32

// loopbackSubnets is the number of loopback subnets that days use in turn.
const loopbackSubnets = 1 << 14

// addressOf returns the loopback address of a node. Outgoing connections have ephemeral
// ports on 127.0.0.1, so they can't occupy the ports of a node that is down.
func (d *Day) addressOf(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+d.subnet/256, d.subnet%256, 1+number)
}

// freePorts returns distinct ports that are free at an address. It closes the listeners
// only after it has opened all, so that no port is returned twice.
func freePorts(address string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", net.JoinHostPort(address, "0"))
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// defaultMemoryMegabytes is the memory of a node in its settings.
const defaultMemoryMegabytes = 256

func (d *Day) startNodes() error {
	var seeds []string
	for number := range d.Edges + d.Storages + d.Spares {
		role := "edge"
		if number >= d.Edges {
			role = "storage"
		}
		p, err := d.prepareNode(role, number, &seeds)
		if err != nil {
			return err
		}
		if number < d.Edges+d.Storages {
			d.nodes = append(d.nodes, p)
		} else {
			d.spares = append(d.spares, p)
		}
	}
	for _, p := range d.nodes {
		if err := d.start(p); err != nil {
			return err
		}
	}
	return nil
}

// prepareNode writes the settings file of a node.
func (d *Day) prepareNode(role string, number int, seeds *[]string) (*process, error) {
	nodeAddress := d.addressOf(number)
	ports, err := freePorts(nodeAddress, 5)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", role, number)
	p := &process{name: name, role: role, settings: filepath.Join(d.Folder, name+".yaml"), metricsAddress: fmt.Sprintf("%s:%d", nodeAddress, ports[4])}
	s := settings.Role{
		Cluster: "day", Node: name, Zone: fmt.Sprintf("z%d", number%zoneCount), Region: "r", Address: nodeAddress, Ports: []int{ports[0], ports[0]},
		Listen: settings.RoleListen{MetricsPort: ports[4]}, FirstStart: true, DiskLosses: 1,
		Store:   settings.RoleStore{Address: d.store.AddressFor(name)},
		Machine: settings.RoleMachine{MemoryMegabytes: cmp.Or(d.MemoryMegabytes, defaultMemoryMegabytes), Descriptors: d.Descriptors, DiskMegabytes: d.DiskMegabytes}, Bounds: settings.RoleBounds{StopSeconds: 8, DrainMilliseconds: 2000},
		Routing: d.routingOf(number),
	}
	if role == "edge" {
		address := func(port int) string { return fmt.Sprintf("%s:%d", nodeAddress, port) }
		s.Listen.Callers, s.Listen.Readiness, s.Listen.Peers = address(ports[1]), address(ports[2]), address(ports[3])
		p.callerAddress, p.readinessAddress, p.peerAddress = s.Listen.Callers, s.Listen.Readiness, s.Listen.Peers
		*seeds = append(*seeds, s.Listen.Peers)
	} else {
		s.DataFolder = filepath.Join(d.Folder, name+"-data")
		p.dataFolder, p.peerAddress = s.DataFolder, s.PeerAddress()
	}
	s.Seeds = *seeds
	text, err := yaml.Marshal(s)
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.settings, text, 0o644)
}

// routingOf returns the section routing of a node. Half of the nodes have it, as during an
// update from a version without these settings.
func (d *Day) routingOf(number int) settings.RoleRouting {
	if number%2 != 0 {
		return settings.RoleRouting{}
	}
	return settings.RoleRouting{ForwardThroughPeers: true, BalanceZones: d.MixedVersions, FairTenantShares: d.MixedVersions}
}

func (d *Day) killAll() {
	for _, p := range d.currentNodes() {
		d.signal(p, syscall.SIGKILL)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, runner := range d.runners {
		runner.Crash()
	}
}

// firstNode returns the first node of a role.
func (d *Day) firstNode(role string) *process {
	for _, p := range d.nodes {
		if p.role == role {
			return p
		}
	}
	return nil
}

func (d *Day) restart(p *process, signal syscall.Signal) {
	d.signal(p, signal)
	if err := d.start(p); err != nil {
		d.report("%s does not start: %v", p.name, err)
	}
}

// currentNodes returns the nodes of the deployment. Nodes may be added and removed while the day runs.
func (d *Day) currentNodes() []*process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.nodes)
}

// nodesOf returns the nodes of a role.
func (d *Day) nodesOf(role string) []*process {
	return slices.DeleteFunc(d.currentNodes(), func(p *process) bool { return p.role != role })
}
