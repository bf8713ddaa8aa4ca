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
	// retryDelay is how long an item waits whose run got no answer or an error.
	retryDelay = 150 * time.Millisecond
	// notTakenDelay is how long one waits that its runner did not take, or whose stream
	// broke off.
	notTakenDelay = 100 * time.Millisecond
	// preemptedDelay is how long a preempted item waits.
	preemptedDelay = 120 * time.Millisecond
	// reasonPreempted is the outcome of a preempted run in the log, as explain and
	// account read it.
	reasonPreempted = "gave way"
)

// statusOutcome is what an answer other than 200 means for its item: only the runner's
// own answer (stamped) ends the item for good or counts as a failed attempt; anything
// else says nothing of the item and counts as a failure of the runner.
func statusOutcome(status int, stamped bool) (outcome queuestore.Outcome, runnerFailed bool) {
	outcome.RetryDelay = retryDelay
	switch {
	case status == http.StatusUnprocessableEntity && stamped:
		outcome.Dead, outcome.Reason = true, "can never be done"
	case status == http.StatusInternalServerError && stamped:
		outcome.Failed, outcome.Reason = true, "runner failed"
	default:
		outcome.Reason = "status " + http.StatusText(status)
		runnerFailed = true
	}
	return outcome, runnerFailed
}

// refused takes an answer other than 200.
func (r *run) refused(answer *exchange.Response) queuestore.Outcome {
	outcome, runnerFailed := statusOutcome(answer.Status, answer.FromRunner)
	outcome.Output = r.output
	if runnerFailed {
		r.runner.RecordFailure(time.Now())
	}
	return outcome
}

// notAnswered takes a run that got no answer.
func (r *run) notAnswered(parent context.Context, err error) queuestore.Outcome {
	outcome := queuestore.Outcome{Output: r.output, RetryDelay: retryDelay, Reason: "unanswered"}
	var notRun *exchange.NotRunError
	if errors.As(err, &notRun) {
		outcome.RetryDelay, outcome.Reason = notTakenDelay, "not run: "+notRun.Reason
		r.runner.RecordLoad(notRun.Load, time.Now())
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
		r.noteEnding()
	}
	return outcome
}

// broken takes a run whose stream broke off.
func (r *run) broken(parent context.Context, err error) queuestore.Outcome {
	outcome := queuestore.Outcome{Output: r.output, RetryDelay: notTakenDelay, Reason: "stream broken"}
	if parent.Err() != nil {
		outcome.Reason = "cancelled"
		return outcome
	}
	if errors.Is(err, context.Canceled) || r.executor.wasPreempted(r) {
		return outcome
	}
	r.runner.RecordFailure(time.Now())
	r.noteEnding()
	klog.InfoS("item stream broken", "item", r.work.Item.Id, "runner", r.runner.ID, "after", r.output.LastEventID,
		"err", strings.TrimSpace(err.Error()))
	return outcome
}

// preemptedOutcome corrects the outcome of a run that ended because it was preempted.
func preemptedOutcome(ctx context.Context, outcome queuestore.Outcome) queuestore.Outcome {
	if !outcome.Done && errors.Is(context.Cause(ctx), errPreempted) {
		outcome.RetryDelay, outcome.Reason = preemptedDelay, reasonPreempted
	}
	return outcome
}
