// Package scenario runs experiments described in YAML: a topology, seeded
// arrivals, a fault schedule and the policies to compare, on real nodes and
// emulated engines. Promises are checked by outside counting at the end.
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
	// Slots of a runner, as the bundle states them.
	Slots int `yaml:"slots"`
	// TailWeight and ReserveSlots of the managed policy.
	TailWeight   float64 `yaml:"tail_weight"`
	ReserveSlots int     `yaml:"reserve_slots"`
	// FirstToken and InterToken are the model's targets (0: the bundle's defaults).
	FirstToken time.Duration `yaml:"first_token_target"`
	InterToken time.Duration `yaml:"inter_token_target"`
	// StaticSlots of the static baseline.
	StaticSlots int `yaml:"static_slots"`
	// Online load, phase after phase.
	Online []Phase `yaml:"online"`
	// Shape of online requests; its rate is set by the phases.
	OnlineWorkload load.OnlineWorkload `yaml:"online_shape"`
	// Heaps of batch jobs.
	Bursts JobBursts `yaml:"heaps"`
	// Faults at their times.
	Faults []Fault `yaml:"faults"`
	// Policies to run: "managed", the mode for serving, and the baselines "off",
	// "static", "priority_only" and "batch_only" (managed without online load,
	// the oracle's full rate).
	Policies []string `yaml:"policies"`
	// Seeds to repeat each policy with.
	Seeds []uint64 `yaml:"seeds"`
}

// Phase is a stretch of online load at one mean rate.
type Phase struct {
	Seconds float64 `yaml:"seconds"`
	Rate    float64 `yaml:"rate"`
}

// Heaps are batch jobs that arrive in heaps.
type JobBursts struct {
	Every    time.Duration      `yaml:"every"`
	Jobs     int                `yaml:"jobs"`
	Workload load.BatchWorkload `yaml:"shape"`
}

// Fault is something that goes wrong at a time after the load began.
type Fault struct {
	At   time.Duration `yaml:"at"`
	Kind string        `yaml:"kind"`
	// Index of the node or engine.
	Index int `yaml:"index"`
	// For is how long it lasts, where that has a meaning.
	For time.Duration `yaml:"for"`
	// Factor of slowness.
	Factor float64 `yaml:"factor"`
}

// Load reads and checks a scenario file.
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

// duration of the load.
func (s *Scenario) duration() time.Duration {
	total := 0.0
	for _, phase := range s.Online {
		total += phase.Seconds
	}
	return time.Duration(total * float64(time.Second))
}

// bundle is the text of the bundle for a policy.
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
	return head + fmt.Sprintf("kind: Tenant\nname: %s\nkey_hashes: [%s]\n", tenant.Tenant, tenant.Hash())
}

var tenant = fleet.TenantKey{Tenant: "house", Key: "house-key"}
