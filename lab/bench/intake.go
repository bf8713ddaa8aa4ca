package bench

import (
	"context"
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/load"
)

// IntakeReport contains the measurements of the upload of one input file.
type IntakeReport struct {
	Items          int     `json:"items"`
	FileMB         float64 `json:"file_mb"`
	UploadSeconds  float64 `json:"upload_seconds"`
	ItemsPerSecond float64 `json:"items_per_second"`
	// PeakHeapMB is the growth of the process's heap from before the upload, when it
	// already contains the client's copy of the file, to its peak. The process runs all
	// nodes, so the heap may contain one copy of the file for each.
	PeakHeapMB float64 `json:"peak_heap_mb_above_before"`
}

const heapInterval = 20 * time.Millisecond

// Intake measures the upload of input files with the given numbers of items to a
// deployment of five disk nodes.
func Intake(counts []int) ([]IntakeReport, error) {
	folder, err := os.MkdirTemp("", "cobaltramp-bench-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	deployment, err := startDeployment(folder, topology(diskNodes, 8))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer deployment.Close()
	target := load.Target{Addresses: deployment.APIAddresses()[:1], Key: tenantKey.Key, Model: model, MaxAnswerTokens: 64}
	var reports []IntakeReport
	for number, count := range counts {
		report, err := measureUpload(load.NewBatchClient(target), count, uint64(number))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		reports = append(reports, *report)
	}
	return reports, nil
}

func measureUpload(client *load.BatchClient, count int, seed uint64) (*IntakeReport, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	file, _ := load.Items(model, load.BatchWorkload{Items: count, PromptWords: 20, AnswerTokens: 20, Seed: seed})
	form, contentType, err := load.MultipartForm(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	before := heapBytes(true)
	peak, stopWatch := trackPeakHeap()
	began := time.Now()
	_, err = client.UploadForm(ctx, form, contentType)
	elapsed := time.Since(began).Seconds()
	stopWatch()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &IntakeReport{
		Items: count, FileMB: float64(len(file)) / (1 << 20), UploadSeconds: elapsed, ItemsPerSecond: float64(count) / elapsed,
		PeakHeapMB: float64(int64(peak.Load())-int64(before)) / (1 << 20),
	}, nil
}

func heapBytes(collect bool) uint64 {
	if collect {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// trackPeakHeap samples the size of the heap and records its maximum until stop is
// called. stop waits for the sampling to end.
func trackPeakHeap() (peak *atomic.Uint64, stop func()) {
	peak = &atomic.Uint64{}
	done := make(chan struct{})
	var watch tasks.Group
	watch.Go(func() {
		ticker := time.NewTicker(heapInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				peak.Store(max(peak.Load(), heapBytes(false)))
			}
		}
	})
	return peak, func() {
		close(done)
		watch.Wait()
	}
}
