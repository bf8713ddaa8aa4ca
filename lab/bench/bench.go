// Package bench benchmarks single parts of the plain node: the latency and CPU time that
// the node adds to a request, the upload of input files, the throughput of the shard log
// by concurrency, and the recovery time by size of the log. docs/CAPACITY.md contains
// the results. The package does not benchmark deployments of edges and storage nodes.
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
	// slots is the number of slots of an engine, more than the benchmark's concurrency.
	slots = 256
	// diskNodes is the number of nodes with a disk for all benchmarks but Path.
	diskNodes = 5
	// readyTimeout is the timeout for the start of a deployment.
	readyTimeout = 30 * time.Second
)

var tenantKey = fleet.TenantKey{Tenant: "bench", Key: "bench-key"}

func topology(nodes, shards int) fleet.Topology {
	return fleet.Topology{
		Cluster: cluster, Service: model, DiskNodes: nodes, Shards: shards,
		Zones:  []fleet.Zone{{Name: "z", Region: "r", Nodes: nodes, Runners: 4}},
		Engine: engine.Parameters{Slots: slots, MaxAnswerTokens: 64, StepBase: 10 * time.Millisecond, StepPerSequence: time.Microsecond, StepPerPrefillToken: time.Microsecond, WeightBytes: 1 << 16},
	}
}

// startDeployment starts a deployment and waits until its bundle is active, all runners
// are ready and all shards have leaders.
func startDeployment(folder string, spec fleet.Topology) (*fleet.Fleet, error) {
	deployment, err := fleet.Start(spec, folder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := rollAndAwaitReady(deployment); err != nil {
		deployment.Close()
		return nil, trace.Wrap(err)
	}
	return deployment, nil
}

func rollAndAwaitReady(deployment *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := fleet.BasicBundle(deployment.Operator, model, model, slots, []fleet.TenantKey{tenantKey})
	if err := deployment.Operator.Roll(ctx, deployment.AdminAddress(), cluster, 1, text); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(deployment.AwaitReady(ctx, 1))
}

// maxMicroseconds is the largest value of a histogram, one minute.
const maxMicroseconds = 60_000_000

// newHistogram returns a histogram of microseconds with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, 3) }

// record adds a duration to a histogram. Durations outside the histogram's range are
// clamped to it.
func record(histogram *hdrhistogram.Histogram, waited time.Duration) {
	_ = histogram.RecordValue(min(maxMicroseconds, max(1, waited.Microseconds())))
}

// milliseconds returns a percentile (0 to 100) of a histogram of microseconds.
func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

// processCPU returns the CPU time used by this process, or 0 if it cannot be read.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Write writes a report as a line of JSON.
func Write(out io.Writer, report any) error { return trace.Wrap(json.NewEncoder(out).Encode(report)) }
