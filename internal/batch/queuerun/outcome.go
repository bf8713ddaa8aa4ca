package queuerun

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

const (
	// retryDelay is the delay before the next run after a run that got no response, or a
	// response with a status other than 200.
	retryDelay = 150 * time.Millisecond
	// interruptedDelay is the delay before the next run after a run that the runner did
	// not start, or whose stream broke.
	interruptedDelay = 100 * time.Millisecond
	// preemptedDelay is the delay before the next run after a preemption.
	preemptedDelay = 120 * time.Millisecond
	// reasonPreempted is the logged outcome of a preempted run; explain and account
	// match it.
	reasonPreempted = "gave way"
)

// recordBrokenRun reports a broken run to the quarantine, and states in the outcome whether its runner
// has ended with it.
func (r *run) recordBrokenRun(outcome *queuestore.Outcome) {
	if r.executor.Quarantine != nil {
		outcome.RunnerEnded = r.executor.Quarantine.RecordBrokenRun(r.identity, r.quarantineRun())
	}
}

// statusOutcome returns the outcome of a response with a status other than 200. Status 422
// ends the item for good, and status 500 counts as a failed attempt of the item. Any other
// response does not count against the item: runnerFailed is true, and the response counts as a
// failure of the runner.
func statusOutcome(status int) (outcome queuestore.Outcome, runnerFailed bool) {
	outcome.RetryDelay = retryDelay
	switch status {
	case http.StatusUnprocessableEntity:
		outcome.Dead, outcome.Reason = true, "can never be done"
	case http.StatusInternalServerError:
		outcome.Failed, outcome.Reason = true, "runner failed"
	default:
		outcome.Reason = "status " + http.StatusText(status)
		runnerFailed = true
	}
	return outcome, runnerFailed
}

// errorStatusOutcome returns the outcome of a response with a status other than 200, and
// records a failure of the runner if the response counts as one.
func (r *run) errorStatusOutcome(response *exchange.Response) queuestore.Outcome {
	outcome, runnerFailed := statusOutcome(response.Status)
	outcome.Output = r.output
	switch {
	case runnerFailed:
		r.runner.RecordFailure(time.Now())
	case outcome.Failed:
		r.runner.RecordItemError(r.identity.Fingerprint.String(), time.Now())
	}
	return outcome
}

// callErrorOutcome returns the outcome of a call that got no response of the runner itself. Unless the item's
// context has ended or the run was preempted, it records a failure of the runner, except
// when a working runner did not start the run. It reports the run to the quarantine if the
// runner may have started it and the error is not a cancellation.
func (r *run) callErrorOutcome(parent context.Context, err error) queuestore.Outcome {
	outcome := queuestore.Outcome{Output: r.output, RetryDelay: retryDelay, Reason: "unanswered"}
	var notRun *exchange.NotRunError
	if errors.As(err, &notRun) {
		outcome.RetryDelay, outcome.Reason = interruptedDelay, "not run: "+notRun.Reason
		r.runner.RecordLoad(notRun.Load, time.Now())
	}
	if errors.As(err, new(*exchange.ForeignResponseError)) {
		outcome.Reason = "foreign response"
	}
	if parent.Err() != nil {
		outcome.Reason = "cancelled"
		return outcome
	}
	if r.executor.wasPreempted(r) {
		return outcome
	}
	if notRun == nil || notRun.Absent() {
		r.runner.RecordFailure(time.Now())
	}
	if notRun == nil && !errors.Is(err, context.Canceled) {
		r.recordBrokenRun(&outcome)
	}
	return outcome
}

// streamErrorOutcome returns the outcome of a response stream that broke. Unless the run was
// cancelled or preempted, it records a failure of the runner and reports the run to the
// quarantine.
func (r *run) streamErrorOutcome(parent context.Context, err error) queuestore.Outcome {
	outcome := queuestore.Outcome{Output: r.output, RetryDelay: interruptedDelay, Reason: "stream broken"}
	if parent.Err() != nil {
		outcome.Reason = "cancelled"
		return outcome
	}
	if errors.Is(err, context.Canceled) || r.executor.wasPreempted(r) {
		return outcome
	}
	r.runner.RecordFailure(time.Now())
	r.recordBrokenRun(&outcome)
	klog.InfoS("item stream broken", "item", r.work.Item.Id, "runner", r.runner.ID, "after", r.output.LastEventID,
		"err", strings.TrimSpace(err.Error()))
	return outcome
}

// preemptedOutcome replaces the delay and reason of the outcome if the run was
// preempted before it was done.
func preemptedOutcome(ctx context.Context, outcome queuestore.Outcome) queuestore.Outcome {
	if !outcome.Done && errors.Is(context.Cause(ctx), errPreempted) {
		outcome.RetryDelay, outcome.Reason = preemptedDelay, reasonPreempted
	}
	return outcome
}
