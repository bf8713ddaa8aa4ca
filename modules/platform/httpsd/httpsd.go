// Package httpsd implements ports.Discovery for machine and runner lists in the JSON format
// of Prometheus HTTP service discovery, which consists of groups of targets with labels.
// The adapter uses the labels zone, region and state, and for runners also id and service.
// Targets with the state "leaving" are leaving; targets with any other state or none are
// live. The ID of a runner without the label id is its address. The plain node runs the
// package.
package httpsd

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

// ModuleName is the name under which the module is registered.
const ModuleName = "platform.httpsd"

func init() {
	kernel.Register(kernel.Info{Name: ModuleName, New: func() kernel.Module { return &Module{} }})
}

// Module provides ports.Discovery.
type Module struct {
	machines string
	runners  string
	http     *httpcall.Client
}

var (
	_ kernel.Module   = (*Module)(nil)
	_ kernel.Cleaner  = (*Module)(nil)
	_ ports.Discovery = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	loaded, err := kernel.Find[*settings.Settings](ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	m.machines = loaded.Platform.Machines
	m.runners = loaded.Platform.Runners
	m.http = httpcall.NewClient(nil)
	ctx.Provide(m)
	return nil
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() { m.http.CloseIdle() }

// targetGroup is a group of targets in the JSON of Prometheus HTTP service discovery.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

const (
	// callTimeout bounds the request for one list.
	callTimeout = 3 * time.Second
	// maxListBytes bounds the size of one list.
	maxListBytes = 16 << 20
	stateLeaving = "leaving"
)

// Machines implements ports.Discovery.
func (m *Module) Machines(ctx context.Context) ([]ports.MachineEntry, error) {
	groups, err := m.fetch(ctx, m.machines)
	if err != nil {
		return nil, trace.Wrap(err, "reading the machine list")
	}
	var machines []ports.MachineEntry
	for _, group := range groups {
		for _, target := range group.Targets {
			machines = append(machines, ports.MachineEntry{
				Address: target, Zone: group.Labels["zone"], Region: group.Labels["region"],
				Leaving: group.Labels["state"] == stateLeaving,
			})
		}
	}
	return machines, nil
}

// Runners implements ports.Discovery.
func (m *Module) Runners(ctx context.Context) ([]ports.RunnerEntry, error) {
	groups, err := m.fetch(ctx, m.runners)
	if err != nil {
		return nil, trace.Wrap(err, "reading the runner list")
	}
	var runners []ports.RunnerEntry
	for _, group := range groups {
		for _, target := range group.Targets {
			runners = append(runners, toRunner(target, group.Labels))
		}
	}
	return runners, nil
}

func toRunner(target string, labels map[string]string) ports.RunnerEntry {
	id := labels["id"]
	if id == "" {
		id = target
	}
	return ports.RunnerEntry{
		ID: id, Address: target, Zone: labels["zone"], Region: labels["region"],
		Service: labels["service"], Leaving: labels["state"] == stateLeaving,
	}
}

func (m *Module) fetch(ctx context.Context, url string) ([]targetGroup, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := m.http.Do(ctx, &httpcall.Request{Method: "GET", URL: url})
	if err != nil {
		return nil, trace.Wrap(ports.ErrUnavailable, "%v", err)
	}
	body, err := response.ReadAll(maxListBytes)
	if err != nil {
		return nil, trace.Wrap(ports.ErrUnavailable, "%v", err)
	}
	if response.Status != 200 {
		return nil, trace.Wrap(ports.ErrUnavailable, "status %d", response.Status)
	}
	var groups []targetGroup
	if err := json.Unmarshal(body, &groups); err != nil {
		return nil, trace.Wrap(ports.ErrUnavailable, "decoding the list: %v", err)
	}
	return groups, nil
}
