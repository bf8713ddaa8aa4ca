package queuerun

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// errPreempted is the cancellation cause of a preempted run.
var errPreempted = errors.New("preempted by online requests")

const (
	// preemptionPause is how long a runner gets no items after a preemption.
	preemptionPause = 250 * time.Millisecond
	// lateDiscount is subtracted from the cost of preempting late items, so that they are
	// preempted before others. It is longer than the slack of any item.
	lateDiscount = time.Hour
)

// itemsToPreempt returns how many items must free their slots at a runner, so that no
// online request waits for a slot. This is the number by which the requests of all nodes,
// online and batch, exceed the runner's slots. It may be more than this node's items. It
// is 0 if this node has no items at the runner or the number of slots is unknown.
func itemsToPreempt(counts runnerset.RequestCounts, slots int) int {
	if counts.OwnBatch == 0 || slots == 0 {
		return 0
	}
	return max(0, int(counts.Running)-slots)
}

// preemptionCost returns the cost of preempting a run; the run with the lowest cost is
// preempted first. The slack is the item's spare time when the run started, and elapsed
// is the duration of the run so far. Runs of late items, whose slack is negative, cost
// least, and a shorter run costs less than a longer run. Among the runs of other items, more
// slack means a lower cost.
func preemptionCost(slack, elapsed time.Duration) time.Duration {
	if slack < 0 {
		return -lateDiscount + elapsed
	}
	return -slack
}

// preempt cancels as many of this node's runs at a runner as are needed to free slots for
// online requests, and pauses the runner for items if it cancelled any.
func (e *ItemExecutor) preempt(runner *runnerset.Runner) {
	now := time.Now()
	counts := runner.RequestCounts(now)
	needed := itemsToPreempt(counts, runner.Slots)
	if needed == 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	preempted := 0
	for ; needed > preempted; preempted++ {
		chosen := e.cheapestRun(runner.StartID(), now)
		if chosen == nil {
			break
		}
		e.runs[runner.StartID()][chosen] = true
		chosen.cancel(errPreempted)
	}
	if preempted > 0 {
		e.pauses[runner.ID] = now.Add(preemptionPause)
		klog.InfoS("items preempted", "runner", runner.ID, "running", int(counts.Running), "slots", runner.Slots, "items", preempted)
	}
}

// cheapestRun returns the run with the lowest preemption cost among those that are not
// preempted yet at a start of a runner (runnerset.Record.StartID), or nil if there is none.
// The caller holds the mutex.
func (e *ItemExecutor) cheapestRun(start string, now time.Time) *run {
	var chosen *run
	for candidate, preempted := range e.runs[start] {
		if !preempted && (chosen == nil || candidate.preemptionCost(now) < chosen.preemptionCost(now)) {
			chosen = candidate
		}
	}
	return chosen
}

func (r *run) preemptionCost(now time.Time) time.Duration {
	return preemptionCost(r.work.Slack, now.Sub(r.startedAt))
}

func (e *ItemExecutor) register(r *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	start := r.runner.StartID()
	if e.runs[start] == nil {
		e.runs[start] = map[*run]bool{}
	}
	e.runs[start][r] = false
}

func (e *ItemExecutor) unregister(r *run) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	start := r.runner.StartID()
	delete(e.runs[start], r)
	if len(e.runs[start]) == 0 {
		delete(e.runs, start)
	}
}

// wasPreempted reports whether a registered run was cancelled to free its slot.
func (e *ItemExecutor) wasPreempted(r *run) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[r.runner.StartID()][r]
}

// paused returns the IDs of the runners that get no items after a preemption, and deletes
// expired pauses. The caller may change the map.
func (e *ItemExecutor) paused(now time.Time) map[string]bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	paused := map[string]bool{}
	for runner, until := range e.pauses {
		if now.Before(until) {
			paused[runner] = true
		} else {
			delete(e.pauses, runner)
		}
	}
	return paused
}
