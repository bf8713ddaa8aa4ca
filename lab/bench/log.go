package bench

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/modules/batch/directory"
)

// LogReport contains the measurements of the shard log at one concurrency.
type LogReport struct {
	Shards           int     `json:"shards"`
	Concurrency      int     `json:"concurrency"`
	ItemsPerSecond   float64 `json:"acknowledged_items_per_second"`
	P50Ms            float64 `json:"command_p50_ms"`
	P99Ms            float64 `json:"command_p99_ms"`
	BytesPerItem     float64 `json:"bytes_written_per_item_per_disk"`
	CPUMicrosPerItem float64 `json:"cpu_us_per_item_all_disks"`
}

// logDuration is the duration of the measurement at one concurrency.
const logDuration = 3 * time.Second

// Log measures the throughput of item completions. Each command contains the results of
// itemsPerCommand items of itemBytes bytes, and is proposed through the directory to a
// shard that is replicated on five disks. Items count once their command is acknowledged,
// which requires an fsync on three disks.
func Log(shards int, concurrencies []int) ([]LogReport, error) {
	folder, err := os.MkdirTemp("", "cobaltramp-bench-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	deployment, err := startDeployment(folder, topology(diskNodes, shards))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer deployment.Close()
	jobDirectory, err := kernel.Find[*directory.Module](deployment.Nodes()[0].Node().Context())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var reports []LogReport
	for _, concurrency := range concurrencies {
		report, err := measureLog(jobDirectory, shards, concurrency)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reports = append(reports, *report)
	}
	return reports, nil
}

func measureLog(jobDirectory *directory.Module, shards, concurrency int) (*LogReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	jobs, err := createJobs(ctx, jobDirectory, shards, concurrency)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	histogram := newHistogram()
	var mutex sync.Mutex
	var items atomic.Int64
	var workers tasks.Group
	before, cpuBefore, began := writtenBytes(), processCPU(), time.Now()
	deadline := began.Add(logDuration)
	for worker := range concurrency {
		workers.Go(func() {
			for number := 0; time.Now().Before(deadline); number++ {
				command := completeItemsCommand(jobs[worker], number)
				sent := time.Now()
				if _, err := jobDirectory.Propose(ctx, uint32(worker%shards), command); err != nil {
					continue
				}
				items.Add(itemsPerCommand)
				mutex.Lock()
				record(histogram, time.Since(sent))
				mutex.Unlock()
			}
		})
	}
	workers.Wait()
	elapsed := time.Since(began).Seconds()
	total := float64(items.Load())
	return &LogReport{
		Shards: shards, Concurrency: concurrency, ItemsPerSecond: total / elapsed,
		P50Ms: milliseconds(histogram, 50), P99Ms: milliseconds(histogram, 99),
		BytesPerItem:     float64(writtenBytes()-before) / total / diskNodes,
		CPUMicrosPerItem: float64((processCPU() - cpuBefore).Microseconds()) / total,
	}, nil
}

// writtenBytes returns the number of bytes that this process has written to block devices
// according to the kernel, or 0 if it cannot be read.
func writtenBytes() int64 {
	text, err := os.ReadFile("/proc/self/io")
	if err != nil {
		return 0
	}
	var written int64
	for _, line := range bytes.Split(text, []byte("\n")) {
		// Lines with other keys do not match and leave written unchanged.
		_, _ = fmt.Sscanf(string(line), "write_bytes: %d", &written)
	}
	return written
}
