// Package bench measures what single parts of the plain node cost: its path
// against an engine called directly, the upload of input files, the shard log's
// rate against concurrency with its bytes per item, and its recovery time against
// the size of the log. docs/CAPACITY.md holds the figures. Whole deployments of
// the roles are measured from outside instead.
package bench

import (
	"context"
	"encoding/json"
	"io"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/engine"
	"cobaltramp.example/cobaltramp/lab/fleet"
)

const (
	model   = "bench"
	cluster = "bench"
	// slots of an engine: more than the streams that are open at a time.
	slots = 256
	// disks is how many nodes with a disk the log and its recovery are measured on.
	diskNodes = 5
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 30 * time.Second
)

var tenant = fleet.TenantKey{Tenant: "bench", Key: "bench-key"}

func topology(nodes, shards int) fleet.Topology {
	return fleet.Topology{
		Cluster: cluster, Service: model, DiskNodes: nodes, Shards: shards,
		Zones:  []fleet.Zone{{Name: "z", Region: "r", Nodes: nodes, Runners: 4}},
		Engine: engine.Parameters{Slots: slots, MaxAnswerTokens: 64, StepBase: 10 * time.Millisecond, StepPerSequence: time.Microsecond, StepPerPrefillToken: time.Microsecond, WeightBytes: 1 << 16},
	}
}

// start starts a deployment with a bundle in force, all runners ready and all
// shards led.
func start(folder string, shape fleet.Topology) (*fleet.Fleet, error) {
	running, err := fleet.Start(shape, folder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := makeReady(running); err != nil {
		running.Close()
		return nil, trace.Wrap(err)
	}
	return running, nil
}

func makeReady(running *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := fleet.BasicBundle(running.Operator, model, model, slots, []fleet.TenantKey{tenant})
	if err := running.Operator.Roll(ctx, running.AdminAddress(), cluster, 1, text); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(running.AwaitReady(ctx, 1))
}

// maxMicros is the longest time that is told from longer ones, a minute.
const maxMicroseconds = 60_000_000

// newHistogram is of times in microseconds, to three digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, 3) }

// record records a time; one beyond the range counts as its end, so that no value
// is refused.
func record(histogram *hdrhistogram.Histogram, waited time.Duration) {
	_ = histogram.RecordValue(min(maxMicroseconds, max(1, waited.Microseconds())))
}

// milliseconds returns a quantile (0 to 100) of a histogram of microseconds.
func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

// processCPU is the CPU time this process has used, 0 if the system does not say.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Write writes a report as one JSON line.
func Write(out io.Writer, report any) error { return trace.Wrap(json.NewEncoder(out).Encode(report)) }
