package bench

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/fleet"
	"cobaltramp.example/cobaltramp/modules/batch/directory"
)

// RecoveryReport contains the measurements of a restart with a log of one size.
type RecoveryReport struct {
	LogMB        float64 `json:"log_mb"`
	Items        int     `json:"items"`
	NodeStartMs  float64 `json:"node_start_ms"`
	LeaderlessMs float64 `json:"shards_without_leader_ms"`
}

// Recovery fills the shards with completions, kills and restarts all nodes, and measures
// the start of the first node and the time until all shards have leaders. It does this
// for each number of commands.
func Recovery(commandCounts []int) ([]RecoveryReport, error) {
	var reports []RecoveryReport
	for _, count := range commandCounts {
		report, err := measureRecovery(count)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reports = append(reports, *report)
	}
	return reports, nil
}

func measureRecovery(commands int) (*RecoveryReport, error) {
	folder, err := os.MkdirTemp("", "cobaltramp-bench-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	const shards = 4
	deployment, err := startDeployment(folder, topology(diskNodes, shards))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer deployment.Close()
	if err := fillShards(deployment, shards, commands); err != nil {
		return nil, trace.Wrap(err)
	}
	for index := range deployment.Nodes() {
		deployment.KillNode(index)
	}
	began := time.Now()
	if err := deployment.StartNode(0); err != nil {
		return nil, trace.Wrap(err)
	}
	reopened := time.Since(began)
	for index := range deployment.Nodes() {
		if err := deployment.StartNode(index); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := deployment.AwaitReady(ctx, 1); err != nil {
		return nil, trace.Wrap(err)
	}
	return &RecoveryReport{
		LogMB: float64(commands*itemsPerCommand*itemBytes) / (1 << 20), Items: commands * itemsPerCommand,
		NodeStartMs: float64(reopened.Milliseconds()), LeaderlessMs: float64(time.Since(began).Milliseconds()),
	}, nil
}

func fillShards(deployment *fleet.Fleet, shards, commands int) error {
	jobDirectory, err := kernel.Find[*directory.Module](deployment.Nodes()[0].Node().Context())
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	const workers = 32
	jobs, err := createJobs(ctx, jobDirectory, shards, workers)
	if err != nil {
		return trace.Wrap(err)
	}
	var senders tasks.Group
	var failed atomic.Int64
	for worker := range workers {
		senders.Go(func() {
			for number := range commands / workers {
				if _, err := jobDirectory.Propose(ctx, uint32(worker%shards), completeItemsCommand(jobs[worker], number)); err != nil {
					failed.Add(1)
				}
			}
		})
	}
	senders.Wait()
	if failed.Load() > 0 {
		return trace.BadParameter("%d commands failed", failed.Load())
	}
	return nil
}
