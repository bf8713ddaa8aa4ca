// Package scenario runs experiments on real nodes and emulated engines. A YAML file
// describes the topology, the load with its seeds, a schedule of faults and the policies
// to compare. At the end of a run, the clients check that no response and no item was
// lost, duplicated or wrong.
package scenario

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/fleet"
	"cobaltramp.example/cobaltramp/lab/load"
)

// Scenario is one experiment.
type Scenario struct {
	Name     string         `yaml:"name"`
	Topology fleet.Topology `yaml:"topology"`
	// Slots is the number of slots of a runner, written to the bundle.
	Slots int `yaml:"slots"`
	// TailWeight and ReserveSlots configure the managed policy.
	TailWeight   float64 `yaml:"tail_weight"`
	ReserveSlots int     `yaml:"reserve_slots"`
	// FirstToken and InterToken are the model's latency targets; 0 selects the bundle's
	// defaults.
	FirstToken time.Duration `yaml:"first_token_target"`
	InterToken time.Duration `yaml:"inter_token_target"`
	// StaticSlots is the number of batch slots of the static baseline.
	StaticSlots int `yaml:"static_slots"`
	// Online lists the phases of online load, in order.
	Online []Phase `yaml:"online"`
	// OnlineWorkload describes the online requests. Its rate and seed are replaced in each
	// phase.
	OnlineWorkload load.OnlineWorkload `yaml:"online_shape"`
	// Bursts describes the batch jobs.
	Bursts JobBursts `yaml:"heaps"`
	Faults []Fault   `yaml:"faults"`
	// Policies lists the policies to run: "managed", which production uses, and the
	// baselines "off", "static", "priority_only" and "batch_only". The last is the managed
	// policy without online load; it measures the maximum batch throughput.
	Policies []string `yaml:"policies"`
	// Seeds lists the seeds with which each policy is run.
	Seeds []uint64 `yaml:"seeds"`
}

// Phase is a period of online load with a constant mean rate.
type Phase struct {
	Seconds float64 `yaml:"seconds"`
	Rate    float64 `yaml:"rate"`
}

// JobBursts describes batch jobs that arrive in bursts.
type JobBursts struct {
	// Every is the interval between bursts, and Jobs the number of jobs in a burst.
	Every    time.Duration      `yaml:"every"`
	Jobs     int                `yaml:"jobs"`
	Workload load.BatchWorkload `yaml:"shape"`
}

// Fault is a fault that is injected at a given time after the start of the load.
type Fault struct {
	At   time.Duration `yaml:"at"`
	Kind string        `yaml:"kind"`
	// Index is the index of the affected node or engine.
	Index int `yaml:"index"`
	// For is the duration of a stalled engine, or the delay of a slow platform.
	For time.Duration `yaml:"for"`
	// Factor multiplies the step times of a slow engine.
	Factor float64 `yaml:"factor"`
}

// Load reads and validates a scenario file.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(trace.ConvertSystemError(err), "scenario")
	}
	var loaded Scenario
	if err := yaml.UnmarshalWithOptions(text, &loaded, yaml.Strict()); err != nil {
		return nil, trace.BadParameter("scenario %s: %s", path, yaml.FormatError(err, false, true))
	}
	return &loaded, trace.Wrap(loaded.validate(), "scenario %s", path)
}

var policies = map[string]bool{"managed": true, "off": true, "static": true, "priority_only": true, "batch_only": true}

func (s *Scenario) validate() error {
	if s.Name == "" || len(s.Online) == 0 || len(s.Policies) == 0 || len(s.Seeds) == 0 {
		return trace.BadParameter("name, online, policies and seeds must be given")
	}
	for _, policy := range s.Policies {
		if !policies[policy] {
			return trace.BadParameter("policies: found %q, allowed: managed, off, static, priority_only, batch_only", policy)
		}
	}
	for i, fault := range s.Faults {
		if faultActions[fault.Kind] == nil {
			return trace.BadParameter("faults[%d].kind: found %q, allowed: %s", i, fault.Kind, faultNames())
		}
	}
	return nil
}

// duration returns the total duration of the online phases.
func (s *Scenario) duration() time.Duration {
	total := 0.0
	for _, phase := range s.Online {
		total += phase.Seconds
	}
	return time.Duration(total * float64(time.Second))
}

// bundleText returns the bundle for a policy.
func (s *Scenario) bundleText(operator *fleet.Operator, policy string) string {
	mode := policy
	if policy == "batch_only" {
		mode = "managed"
	}
	head := fmt.Sprintf("kind: Policy\nname: fleet\nbatch: {mode: %s, tail_weight: %g, reserve_slots: %d, static_slots: %d}\n---\n", mode, s.TailWeight, s.ReserveSlots, s.StaticSlots)
	head += fmt.Sprintf("kind: Operator\nname: %s\npublic_key: %s\n---\n", operator.Name, operator.PublicKey())
	head += fmt.Sprintf("kind: Model\nname: %s\nversion: \"1\"\nservice: %s\nslots: %d\n", s.Topology.Service, s.Topology.Service, s.Slots)
	if s.FirstToken > 0 {
		head += fmt.Sprintf("first_token_target: %s\n", s.FirstToken)
	}
	if s.InterToken > 0 {
		head += fmt.Sprintf("inter_token_target: %s\n", s.InterToken)
	}
	head += "---\n"
	return head + fmt.Sprintf("kind: Tenant\nname: %s\nkey_hashes: [%s]\n", tenantKey.Tenant, tenantKey.Hash())
}

var tenantKey = fleet.TenantKey{Tenant: "house", Key: "house-key"}
