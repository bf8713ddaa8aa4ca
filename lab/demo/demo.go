// Package demo demonstrates the product in one process. It starts an emulated platform,
// emulated engines and nodes, which communicate over loopback TCP, and rolls a bundle. It
// then runs online requests and a batch job, and optionally kills a node while they run.
// Its report contains what the clients, the engines and the platform counted.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/engine"
	"cobaltramp.example/cobaltramp/lab/fleet"
	"cobaltramp.example/cobaltramp/lab/load"
)

// Options configures a demonstration.
type Options struct {
	Items    int
	Rate     float64
	Seconds  int
	JSON     bool
	KillNode bool
}

// Report contains the counts of the clients, the engines and the platform.
type Report struct {
	OnlineRequests   int64   `json:"online_requests"`
	OnlineFailed     int64   `json:"online_failed"`
	OnlineTruncated  int64   `json:"online_cut"`
	OnlineWrong      int64   `json:"online_wrong"`
	OnlineResent     int64   `json:"online_resent"`
	TTFTP50Ms        float64 `json:"ttft_p50_ms"`
	TTFTP95Ms        float64 `json:"ttft_p95_ms"`
	TTFTP99Ms        float64 `json:"ttft_p99_ms"`
	TokenGapP95Ms    float64 `json:"token_gap_p95_ms"`
	BatchItems       int     `json:"batch_items"`
	BatchCompleted   int     `json:"batch_completed"`
	BatchFailed      int     `json:"batch_failed"`
	BatchDuplicates  int     `json:"batch_duplicates"`
	BatchLost        int     `json:"batch_lost"`
	BatchWrong       int     `json:"batch_wrong"`
	BatchSeconds     float64 `json:"batch_seconds"`
	EngineRuns       int     `json:"engine_runs"`
	EngineContinued  int     `json:"engine_continued"`
	EngineCancels    int     `json:"engine_cancels"`
	KilledNode       string  `json:"killed_node"`
	PlatformRequests int64   `json:"platform_requests"`
	Seconds          float64 `json:"seconds"`

	errors map[string]int
}

// Passed reports whether no request or item failed, and none was lost, duplicated,
// truncated or answered with an unexpected text.
func (r *Report) Passed() bool {
	online := r.OnlineRequests > 0 && r.OnlineFailed == 0 && r.OnlineTruncated == 0 && r.OnlineWrong == 0
	batch := r.BatchCompleted == r.BatchItems && r.BatchDuplicates == 0 && r.BatchLost == 0 && r.BatchWrong == 0
	return online && batch
}

const (
	model           = "asistente"
	cluster         = "demo"
	readyTimeout    = 20 * time.Second
	batchTimeout    = 60 * time.Second
	killedNodeIndex = 4
)

// Topology returns a deployment of five nodes and 12 runners in three zones.
func Topology() fleet.Topology {
	return fleet.Topology{
		Cluster: cluster, Service: model, DiskNodes: 5, ListLag: 300 * time.Millisecond,
		Zones: []fleet.Zone{
			{Name: "gdl-aeropuerto", Region: "occidente", Nodes: 2, Runners: 4},
			{Name: "gdl-centro", Region: "occidente", Nodes: 2, Runners: 4},
			{Name: "zapopan", Region: "occidente", Nodes: 1, Runners: 4},
		},
		Engine: engine.Parameters{Slots: 16, MaxAnswerTokens: maxAnswerTokens},
	}
}

const (
	maxAnswerTokens = 128
	slots           = 16
)

// tenantKey is the API key of the demonstration.
var tenantKey = fleet.TenantKey{Tenant: "counter", Key: "demo-key"}

// StartDeployment starts the deployment and waits until it is ready.
func StartDeployment(folder string) (*fleet.Fleet, error) {
	started, err := fleet.Start(Topology(), folder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := fleet.BasicBundle(started.Operator, model, model, slots, []fleet.TenantKey{tenantKey})
	if err := saveOperatorFiles(started.Operator, folder, text); err != nil {
		started.Close()
		return nil, trace.Wrap(err)
	}
	if err := started.Operator.Roll(ctx, started.AdminAddress(), cluster, 1, text); err != nil {
		started.Close()
		return nil, trace.Wrap(err)
	}
	if err := started.AwaitReady(ctx, 1); err != nil {
		started.Close()
		return nil, trace.Wrap(err)
	}
	return started, nil
}

const (
	keyFile    = "operator-1.pem"
	bundleFile = "bundle.yaml"
)

// saveOperatorFiles writes the operator's key and the bundle to the folder, so that the
// bundle commands can be tried.
func saveOperatorFiles(operator *fleet.Operator, folder, text string) error {
	if err := operator.SaveKey(filepath.Join(folder, keyFile)); err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(folder, bundleFile), []byte(text), 0o644))
}

// Run runs the demonstration and writes its summary.
func Run(options Options, out io.Writer) (*Report, error) {
	began := time.Now()
	folder, err := os.MkdirTemp("", "cobaltramp-demo-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	printf(out, "starting platform stand-in, 12 engines in 3 zones, 5 nodes …\n")
	deployment, err := StartDeployment(folder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer deployment.Close()
	printf(out, "ready after %.1fs: bundle generation 1 in force everywhere\n", time.Since(began).Seconds())
	report, err := runLoad(options, deployment, out)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	report.Seconds = time.Since(began).Seconds()
	return report, writeReport(options, report, out)
}

func runLoad(options Options, deployment *fleet.Fleet, out io.Writer) (*Report, error) {
	report := &Report{}
	target := load.Target{Addresses: deployment.APIAddresses(), Key: tenantKey.Key, Model: model, MaxAnswerTokens: maxAnswerTokens}
	recorder := load.NewRecorder()
	onlineCtx, stopOnline := context.WithTimeout(context.Background(), time.Duration(options.Seconds)*time.Second)
	defer stopOnline()
	var online tasks.Group
	online.Go(func() {
		load.RunOnline(onlineCtx, target, load.OnlineWorkload{Rate: options.Rate, PromptWords: 80, AnswerTokens: 60, Prefixes: 8, Seed: 1}, recorder)
	})
	kill := time.AfterFunc(time.Duration(options.Seconds)*time.Second/3, func() {
		if !options.KillNode {
			return
		}
		report.KilledNode = deployment.Nodes()[killedNodeIndex].Settings.Node.ID
		printf(out, "killing %s in the middle of it …\n", report.KilledNode)
		deployment.KillNode(killedNodeIndex)
	})
	defer kill.Stop()
	err := runBatchJob(options, target, report, out)
	online.Wait()
	setOnlineResults(report, recorder)
	totals := deployment.Ledger.Totals()
	report.EngineRuns, report.EngineContinued, report.EngineCancels = totals.Starts, totals.Continued, totals.Cancels
	report.PlatformRequests = deployment.Platform.Requests.Load()
	return report, err
}

func runBatchJob(options Options, target load.Target, report *Report, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	client := load.NewBatchClient(target)
	began := time.Now()
	job, err := client.Submit(ctx, load.BatchWorkload{Items: options.Items, PromptWords: 60, AnswerTokens: 40, Seed: 2})
	if err != nil {
		return trace.Wrap(err, "submitting the job")
	}
	printf(out, "job %s accepted with %d items\n", job.ID, options.Items)
	status, err := client.Await(ctx, job.ID)
	if err != nil {
		return trace.Wrap(err)
	}
	report.BatchSeconds = time.Since(began).Seconds()
	audit, err := client.AuditJob(ctx, job, status)
	if err != nil {
		return trace.Wrap(err, "reading results")
	}
	report.BatchItems, report.BatchCompleted, report.BatchFailed = audit.Items, audit.Completed, audit.Failed
	report.BatchDuplicates, report.BatchLost, report.BatchWrong = audit.Duplicates, audit.Lost, audit.Wrong
	return nil
}

func setOnlineResults(report *Report, recorder *load.Recorder) {
	report.OnlineRequests, report.OnlineFailed = recorder.Requests.Load(), recorder.Failed.Load()
	report.OnlineTruncated, report.OnlineWrong, report.OnlineResent = recorder.Truncated.Load(), recorder.Wrong.Load(), recorder.Resent.Load()
	report.TTFTP50Ms, report.TTFTP95Ms, report.TTFTP99Ms = milliseconds(recorder.FirstToken(50)), milliseconds(recorder.FirstToken(95)), milliseconds(recorder.FirstToken(99))
	report.TokenGapP95Ms = milliseconds(recorder.TokenGap(95))
	report.errors = recorder.Errors()
}

func milliseconds(duration time.Duration) float64 { return float64(duration.Microseconds()) / 1000 }

func writeReport(options Options, r *Report, out io.Writer) error {
	printf(out, "\nonline   %d requests, %d failed, %d cut, %d with wrong text, %d resent because their node died\n",
		r.OnlineRequests, r.OnlineFailed, r.OnlineTruncated, r.OnlineWrong, r.OnlineResent)
	printf(out, "         first token p50 %.0f ms, p95 %.0f ms, p99 %.0f ms; between tokens p95 %.1f ms\n", r.TTFTP50Ms, r.TTFTP95Ms, r.TTFTP99Ms, r.TokenGapP95Ms)
	printf(out, "batch    %d items: %d completed, %d failed, %d doubled, %d lost, %d wrong, in %.1f s\n",
		r.BatchItems, r.BatchCompleted, r.BatchFailed, r.BatchDuplicates, r.BatchLost, r.BatchWrong, r.BatchSeconds)
	printf(out, "engines  %d runs begun, %d continued elsewhere, %d cancelled (batch preempted)\n", r.EngineRuns, r.EngineContinued, r.EngineCancels)
	printf(out, "platform %d requests in all\n", r.PlatformRequests)
	for text, count := range r.errors {
		printf(out, "error    %d × %s\n", count, text)
	}
	verdict := "nothing lost, doubled or cut"
	if !r.Passed() {
		verdict = "A PROMISE WAS BROKEN"
	}
	printf(out, "verdict  %s (%.1f s)\n", verdict, r.Seconds)
	if !options.JSON {
		return nil
	}
	encoded, err := json.Marshal(r)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = fmt.Fprintln(out, string(encoded))
	return trace.Wrap(err)
}

// printf writes progress output. Write errors are ignored because they do not affect the
// result.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
