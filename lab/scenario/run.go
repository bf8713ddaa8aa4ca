package scenario

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/engine"
	"cobaltramp.example/cobaltramp/lab/fleet"
	"cobaltramp.example/cobaltramp/lab/load"
)

// Run runs each policy with each seed, one after the other.
func Run(s *Scenario, out io.Writer) (*Result, error) {
	result := &Result{Scenario: s.Name, Began: time.Now().UTC(), Faults: s.Faults}
	for _, seed := range s.Seeds {
		for _, policy := range s.Policies {
			printf(out, "%s: policy %s, seed %d …\n", s.Name, policy, seed)
			outcome, err := runPolicy(s, policy, seed, out)
			if err != nil {
				return nil, trace.Wrap(err, "policy %s, seed %d", policy, seed)
			}
			printf(out, "  online %d, failed %d, first token p95 %.0f ms p99 %.0f ms, gap p95 %.1f ms, batch tokens %d in %.0f s\n",
				outcome.OnlineRequests, outcome.OnlineFailed, outcome.FirstTokenP95Ms, outcome.FirstTokenP99Ms, outcome.TokenGapP95Ms, outcome.BatchTokens, outcome.Seconds)
			result.Outcomes = append(result.Outcomes, *outcome)
		}
	}
	return result, nil
}

const (
	readyTimeout      = 30 * time.Second
	finishTimeout     = 60 * time.Second
	occupancyInterval = 100 * time.Millisecond
)

func runPolicy(s *Scenario, policy string, seed uint64, out io.Writer) (*Outcome, error) {
	folder, err := os.MkdirTemp("", "cobaltramp-scenario-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	deployment, err := fleet.Start(s.Topology, folder)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer deployment.Close()
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := deployment.Operator.Roll(ctx, deployment.AdminAddress(), s.Topology.Cluster, 1, s.bundleText(deployment.Operator, policy)); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := deployment.AwaitReady(ctx, 1); err != nil {
		return nil, trace.Wrap(err)
	}
	r := &run{scenario: s, policy: policy, seed: seed, fleet: deployment, recorder: load.NewRecorder(), out: out}
	defer r.faults.Wait()
	return r.execute()
}

// run is a run of one policy with one seed.
type run struct {
	scenario *Scenario
	policy   string
	seed     uint64
	fleet    *fleet.Fleet
	recorder *load.Recorder
	began    time.Time
	// faults runs the injected faults.
	faults tasks.Group
	out    io.Writer

	mutex     sync.Mutex
	jobs      []*load.Job
	occupancy []Occupancy
}

// printf writes progress output. Write errors are ignored because they do not affect the
// result.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// printf writes a line of progress output; it may be called concurrently.
func (r *run) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	printf(r.out, format+"\n", args...)
}

func (r *run) target() load.Target {
	return load.Target{
		Addresses: r.fleet.APIAddresses(), Key: tenantKey.Key, Model: r.scenario.Topology.Service,
		MaxAnswerTokens: r.scenario.Topology.Engine.MaxAnswerTokens,
	}
}

func (r *run) execute() (*Outcome, error) {
	duration := r.scenario.duration()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	r.began = time.Now()
	before := r.totalUsage()
	r.scheduleFaults(ctx)
	var group tasks.Group
	for _, work := range []func(context.Context){r.runOnlinePhases, r.bursts, r.recordOccupancy} {
		group.Go(func() { work(ctx) })
	}
	<-ctx.Done()
	after := r.totalUsage()
	elapsed := time.Since(r.began)
	group.Wait()
	outcome := r.newOutcome(before, after, elapsed)
	return outcome, r.auditJobs(outcome)
}

// runOnlinePhases generates the online load, one phase after the other.
func (r *run) runOnlinePhases(ctx context.Context) {
	if r.policy == "batch_only" {
		return
	}
	for number, phase := range r.scenario.Online {
		phaseCtx, cancel := context.WithTimeout(ctx, time.Duration(phase.Seconds*float64(time.Second)))
		workload := r.scenario.OnlineWorkload
		workload.Rate = phase.Rate
		workload.Seed = r.seed*1000 + uint64(number)
		if phase.Rate > 0 {
			load.RunOnline(phaseCtx, r.target(), workload, r.recorder)
		} else {
			<-phaseCtx.Done()
		}
		cancel()
	}
}

// bursts submits a burst of batch jobs at each interval until the context ends.
func (r *run) bursts(ctx context.Context) {
	bursts := r.scenario.Bursts
	if r.policy == "off" || bursts.Jobs == 0 {
		return
	}
	var submissions tasks.Group
	defer submissions.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		for job := range bursts.Jobs {
			submissions.Go(func() { r.submit(number*bursts.Jobs + job) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(bursts.Every):
		}
	}
}

func (r *run) submit(number int) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	workload := r.scenario.Bursts.Workload
	workload.Seed = r.seed*100000 + uint64(number)
	job, err := load.NewBatchClient(r.target()).Submit(ctx, workload)
	if err != nil {
		r.printf("  job %d was not accepted and is not counted: %v", number, err)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.jobs = append(r.jobs, job)
}

func (r *run) recordOccupancy(ctx context.Context) {
	ticker := time.NewTicker(occupancyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := Occupancy{Seconds: time.Since(r.began).Seconds()}
		for _, observed := range r.fleet.Engines {
			online, batch := observed.Running()
			current.Online += online
			current.Batch += batch
		}
		r.occupancy = append(r.occupancy, current)
	}
}

func (r *run) totalUsage() engine.Usage {
	var total engine.Usage
	for _, observed := range r.fleet.Engines {
		usage := observed.Usage()
		total.OnlineSlotSeconds += usage.OnlineSlotSeconds
		total.BatchSlotSeconds += usage.BatchSlotSeconds
		total.BatchTokens += usage.BatchTokens
		total.OnlineTokens += usage.OnlineTokens
	}
	return total
}

// auditJobs cancels the jobs that are still running, waits until all accepted jobs have
// ended, and counts the outcomes of their items.
func (r *run) auditJobs(o *Outcome) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	client := load.NewBatchClient(r.target())
	for _, job := range r.jobs {
		o.ItemsSubmitted += len(job.Bodies)
		status, err := client.Status(ctx, job.ID)
		if err != nil {
			return trace.Wrap(err)
		}
		if status.State == "in_progress" {
			// The cancellation fails if the job has ended in the meantime. Await returns its
			// final state.
			_ = client.Cancel(ctx, job.ID)
		}
		if status, err = client.Await(ctx, job.ID); err != nil {
			return trace.Wrap(err)
		}
		audit, err := client.AuditJob(ctx, job, status)
		if err != nil {
			return trace.Wrap(err)
		}
		o.JobsChecked++
		o.ItemsCompleted += audit.Completed
		o.ItemsLost += audit.Lost
		o.ItemsDuplicated += audit.Duplicates
		o.ItemsWrong += audit.Wrong
	}
	return nil
}
