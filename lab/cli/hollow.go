package cli

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/hollow"
)

type hollowCommand struct {
	Nodes    int     `long:"nodes" default:"330" description:"hollow nodes"`
	Runners  int     `long:"runners" default:"7400" description:"runners in the list"`
	Regions  int     `long:"regions" default:"4" description:"regions"`
	Zones    int     `long:"zones" default:"14" description:"zones"`
	Models   int     `long:"models" default:"7" description:"models"`
	Seconds  int     `long:"seconds" default:"60" description:"virtual seconds of the steady phase"`
	Changes  float64 `long:"changes" default:"0.37" description:"bundle changes a second"`
	Failures float64 `long:"failures" default:"39" description:"machines that fail in a day"`
	Restarts float64 `long:"restarts" default:"2700" description:"machines restarted or replaced in a day"`
	SpeedUp  float64 `long:"speed-up" default:"1" description:"factor on failures and restarts"`
	Seed     uint64  `long:"seed" default:"1" description:"seed of the run"`
	Steady   bool    `long:"steady-only" description:"leave out the lost zone and the cut regions"`
}

// Execute implements flags.Commander: it prints one JSON object.
func (h *hollowCommand) Execute([]string) error {
	report := hollow.Run(hollow.Options{
		Nodes: h.Nodes, Runners: h.Runners, Regions: h.Regions, Zones: h.Zones, Models: h.Models, Seconds: h.Seconds,
		ChangesPerSecond: h.Changes, FailuresPerDay: h.Failures, RestartsPerDay: h.Restarts, SpeedUp: h.SpeedUp, Seed: h.Seed, SteadyOnly: h.Steady,
	})
	encoded, err := json.Marshal(report)
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Println(string(encoded))
	return nil
}
