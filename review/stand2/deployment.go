package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// machine is a machine of the deployment with one process of the product.
type machine struct {
	name, role, settingsFile string
	// callers and readiness are the addresses of an edge for its callers and for the platform.
	callers, readiness string
	dataFolder         string
	settings           settings.Role

	mutex   sync.Mutex
	process *os.Process
	ended   chan struct{}
}

// deployment is a small deployment with the platform's stand-ins.
type deployment struct {
	folder, program string
	record          *record
	store           *standin.Store
	ledger          *standin.Ledger
	runners         []*standin.Runner
	edges, storages []*machine
	seeds           []string
	// begun is set when the first process has started: bootstrap is true only in the settings of
	// the first start of the whole system.
	begun bool
}

// stopTime is grace_s of the small sites.
const stopTime = 8 * time.Second

// zones are the zones of the deployment; machines and runners are assigned to them in turn.
var zones = []string{"gdl-aeropuerto", "gdl-centro", "zapopan"}

// openDeployment starts the stand-ins and prepares the machines. No process of the product
// runs yet.
func openDeployment(folder, program string, log *record, edges, storages int) (*deployment, error) {
	d := &deployment{folder: folder, program: program, record: log, store: standin.NewStore(), ledger: standin.NewLedger()}
	if err := d.prepare(edges, storages); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *deployment) prepare(edges, storages int) error {
	for number := range edges + storages {
		role := "edge"
		if number >= edges {
			role = "storage"
		}
		m, peers, err := d.prepareMachine(role, nameOf(role, number), number, d.seeds)
		if err != nil {
			return err
		}
		if role == "edge" {
			d.seeds = append(d.seeds, peers)
			d.edges = append(d.edges, m)
		} else {
			d.storages = append(d.storages, m)
		}
	}
	return nil
}

// zoneOf returns the zone of a machine by its number.
func zoneOf(number int) string { return zones[number%len(zones)] }

// nameOf returns the usual name of a machine.
func nameOf(role string, number int) string {
	return fmt.Sprintf("%s-%s-%d", role, zoneOf(number), number)
}

// prepareMachine writes the settings of a machine, with the values of the small sites. Its number
// determines its address and its zone.
func (d *deployment) prepareMachine(role, name string, number int, seeds []string) (*machine, string, error) {
	subnet := os.Getpid() % (1 << 14)
	ip := fmt.Sprintf("127.%d.%d.%d", 64+subnet/256, subnet%256, 1+number)
	var ports []int
	for range 5 {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, "", err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m := &machine{name: name, role: role}
	s := settings.Role{
		Cluster: "cobaltramp", Node: m.name, Zone: zoneOf(number), Region: "occidente", Address: ip, Ports: []int{ports[0], ports[0]},
		Listen:  settings.RoleListen{Peers: address(ports[3]), MetricsPort: ports[4]},
		Seeds:   seeds,
		Store:   settings.RoleStore{Address: d.store.AddressFor(m.name), WritesPerSecond: 400, ReadsPerSecond: 2000, ValueBytes: 1 << 20, HistorySeconds: 20},
		Machine: settings.RoleMachine{MemoryMegabytes: 284, Descriptors: 4100},
		Bounds: settings.RoleBounds{
			DrainMilliseconds: 2000, StopSeconds: 8, CancelMilliseconds: 3000, SettleMilliseconds: 1000, CatchUpSeconds: 4.8, ResultsKeptSeconds: 120, QuotaOverrun: 0.1,
		},
		Routing:    settings.RoleRouting{ForwardThroughPeers: true, BalanceZones: true, FairTenantShares: true},
		FirstStart: !d.begun, DiskLosses: 1,
	}
	if role == "edge" {
		s.Listen.Callers, s.Listen.Readiness = address(ports[1]), address(ports[2])
		m.callers, m.readiness = s.Listen.Callers, s.Listen.Readiness
	} else {
		s.Machine = settings.RoleMachine{MemoryMegabytes: 314, Descriptors: 8200, DiskMegabytes: 480}
		s.DataFolder = filepath.Join(d.folder, fmt.Sprintf("%s-%d-data", m.name, number))
		m.dataFolder = s.DataFolder
	}
	m.settingsFile = filepath.Join(d.folder, fmt.Sprintf("%s-%d.yaml", m.name, number))
	m.settings = s
	return m, s.Listen.Peers, m.writeSettings()
}

func (m *machine) writeSettings() error {
	text, err := yaml.Marshal(m.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsFile, text, 0o600)
}

// addRunners starts sound runners of a service, with a time between the events of their answers.
func (d *deployment) addRunners(service string, count int, interval time.Duration) error {
	for number := range count {
		runner, err := standin.StartRunner(standin.RunnerOptions{
			ID: fmt.Sprintf("i-%s-%d", service, number), Service: service, Zone: zones[number%len(zones)], Address: "127.0.0.1:0",
			Slots: 8, QueueLimit: 32, EventInterval: interval, Store: d.store, Ledger: d.ledger,
		})
		if err != nil {
			return err
		}
		d.runners = append(d.runners, runner)
	}
	return nil
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.program, m.role, "--settings", m.settingsFile)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	m.mutex.Lock()
	m.process, m.ended = command.Process, ended
	m.mutex.Unlock()
	d.begun = true
	d.record.line("%s starts", m.name)
	go func() {
		_ = command.Wait() // the way it ends is the scenario's matter
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// stop stops the process of a machine with SIGTERM and waits for its end, or kills it after the
// time that it has (grace_s).
func (d *deployment) stop(m *machine) {
	m.mutex.Lock()
	process, ended := m.process, m.ended
	m.mutex.Unlock()
	d.record.line("%s gets SIGTERM", m.name)
	if err := process.Signal(syscall.SIGTERM); err != nil {
		d.record.line("%s: %v", m.name, err)
	}
	select {
	case <-ended:
	case <-time.After(stopTime):
	}
	d.kill(m)
}

// kill kills the process of a machine, if it has one, and waits for its end.
func (d *deployment) kill(m *machine) {
	m.mutex.Lock()
	process, ended := m.process, m.ended
	m.process = nil
	m.mutex.Unlock()
	if process == nil {
		return
	}
	m.settings.FirstStart = false
	if err := m.writeSettings(); err != nil {
		d.record.line("%s: %v", m.name, err)
	}
	d.record.line("%s gets SIGKILL", m.name)
	if err := process.Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		d.record.line("%s: %v", m.name, err)
	}
	<-ended
}

// wipe kills the process of a machine and empties its disk.
func (d *deployment) wipe(m *machine) error {
	d.kill(m)
	d.record.line("%s loses its disk", m.name)
	return os.RemoveAll(m.dataFolder)
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, m := range append(append([]*machine{}, d.edges...), d.storages...) {
		d.kill(m)
	}
	for _, runner := range d.runners {
		runner.Crash()
	}
	d.store.Close()
}

// awaitReady waits until all edges call themselves ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for _, edge := range d.edges {
		for {
			response, err := client.Get("http://" + edge.readiness + standin.ReadyPath)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", edge.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
