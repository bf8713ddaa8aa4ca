package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// recorder writes record.txt: what was sent, answered and run, with the elapsed time.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// node is one process of the deployment.
type node struct {
	name, role, settings, callers, readiness, peers, data string
	address                                               string
	command                                               *exec.Cmd
	ended                                                 chan struct{}
}

// deployment is the processes of the deploy file before the project's stand-in of the store.
type deployment struct {
	program, folder string
	record          *recorder
	store           *standin.Store
	edges, storages []*node
}

// size is the number of machines of the site villasenor-renta.
const (
	edgeCount    = 8
	storageCount = 3
)

var zones = []string{"gdl-aeropuerto", "gdl-centro", "zapopan"}

// freePorts returns distinct free ports of an address.
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

// prepare writes the settings of all machines. The store is reached at an address of its own by
// each machine, so that a fault can strike some machines only.
func (d *deployment) prepare(edges int) error {
	subnet := uint32(os.Getpid()) % (1 << 14)
	var seeds []string
	for number := range edges + storageCount {
		address := fmt.Sprintf("127.%d.%d.%d", 64+subnet/256, subnet%256, 1+number)
		ports, err := freePorts(address, 5)
		if err != nil {
			return err
		}
		at := func(port int) string { return fmt.Sprintf("%s:%d", address, port) }
		n := &node{address: address, role: "edge", name: fmt.Sprintf("edge-%d", number)}
		if number >= edges {
			n.role, n.name = "storage", fmt.Sprintf("storage-%d", number-edges)
		}
		s := settings.Role{
			Cluster: "cobaltramp", Node: n.name, Zone: zones[number%len(zones)], Region: "occidente", Address: address,
			Ports: []int{ports[0], ports[0]}, Listen: settings.RoleListen{Peers: at(ports[3]), MetricsPort: ports[4]},
			FirstStart: true, DiskLosses: 1,
			Store: settings.RoleStore{Address: d.store.AddressFor(n.name), WritesPerSecond: 400, ReadsPerSecond: 2000, ValueBytes: 1 << 20, HistorySeconds: 20},
			Bounds: settings.RoleBounds{
				DrainMilliseconds: 2000, StopSeconds: 8, CancelMilliseconds: 3000, SettleMilliseconds: 1000, CatchUpSeconds: 4.8,
				ResultsKeptSeconds: 120, QuotaOverrun: 0.1,
			},
			Routing: settings.RoleRouting{ForwardThroughPeers: true, BalanceZones: true, FairTenantShares: true},
		}
		n.peers = s.Listen.Peers
		if n.role == "edge" {
			s.Machine = settings.RoleMachine{MemoryMegabytes: 284, Descriptors: 4100}
			s.Listen.Callers, s.Listen.Readiness = at(ports[1]), at(ports[2])
			n.callers, n.readiness = s.Listen.Callers, s.Listen.Readiness
			d.edges = append(d.edges, n)
		} else {
			s.Machine = settings.RoleMachine{MemoryMegabytes: 314, Descriptors: 8200, DiskMegabytes: 480}
			s.DataFolder = filepath.Join(d.folder, n.name+"-data")
			n.data = s.DataFolder
			d.storages = append(d.storages, n)
		}
		if len(seeds) < 3 {
			seeds = append(seeds, n.peers)
		}
		s.Seeds = seeds
		n.settings = filepath.Join(d.folder, n.name+".yaml")
		text, err := yaml.Marshal(s)
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) nodes() []*node { return append(append([]*node{}, d.edges...), d.storages...) }

// start starts the process of a node.
func (d *deployment) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(d.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(d.program, n.role, "--settings", n.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.ended = command, make(chan struct{})
	d.record.line("%s started", n.name)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(n.ended)
	}()
	return nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, n := range d.nodes() {
		if n.command != nil {
			_ = n.command.Process.Kill()
			<-n.ended
		}
	}
	d.store.Close()
}

// awaitReady waits until all edges say that they are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, n := range d.edges {
		for !ready(n.readiness) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready", n.name)
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}
