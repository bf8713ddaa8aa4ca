package cli

import (
	"os"
	"runtime/pprof"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/bench"
)

type benchCommands struct {
	Path     benchPath     `command:"path" description:"the node's path against the engine called directly"`
	Log      benchLog      `command:"log" description:"acknowledged items a second against concurrency, bytes and CPU per item"`
	Intake   benchIntake   `command:"intake" description:"upload of input files: rate, and memory against size"`
	Recovery benchRecovery `command:"recovery" description:"time to come back against the size of the log"`
}

type benchPath struct {
	Requests int    `long:"requests" default:"2000" description:"streams of 32 tokens for each way"`
	Profile  string `long:"profile" description:"file a CPU profile is written to"`
}

// Execute implements flags.Commander.
func (b *benchPath) Execute([]string) error {
	if b.Profile != "" {
		file, err := os.Create(b.Profile)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = file.Close() }()
		if err := pprof.StartCPUProfile(file); err != nil {
			return trace.Wrap(err)
		}
		defer pprof.StopCPUProfile()
	}
	report, err := bench.Path(b.Requests)
	if err != nil {
		return trace.Wrap(err)
	}
	return bench.Write(os.Stdout, report)
}

type benchLog struct {
	Shards      int   `long:"shards" default:"8" description:"shards of five disks each"`
	Concurrency []int `long:"concurrency" default:"1" default:"8" default:"32" default:"128" description:"commands in flight"`
}

// Execute implements flags.Commander.
func (b *benchLog) Execute([]string) error {
	reports, err := bench.Log(b.Shards, b.Concurrency)
	return writeReports(reports, err)
}

type benchRecovery struct {
	Commands []int `long:"commands" default:"640" default:"2560" default:"10240" description:"commands of 50 items in the log"`
}

// Execute implements flags.Commander.
func (b *benchRecovery) Execute([]string) error {
	reports, err := bench.Recovery(b.Commands)
	return writeReports(reports, err)
}

type benchIntake struct {
	Items []int `long:"items" default:"39000" default:"390000" description:"items of the files"`
}

// Execute implements flags.Commander.
func (b *benchIntake) Execute([]string) error {
	reports, err := bench.Intake(b.Items)
	return writeReports(reports, err)
}

// writeReports writes each report as a line of JSON, or returns the error of the
// benchmark.
func writeReports[Report any](reports []Report, err error) error {
	if err != nil {
		return trace.Wrap(err)
	}
	for _, report := range reports {
		if err := bench.Write(os.Stdout, report); err != nil {
			return err
		}
	}
	return nil
}
