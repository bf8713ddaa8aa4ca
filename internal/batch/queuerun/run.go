package queuerun

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/eventstream"
)

const (
	// headTimeout and eventTimeout bound the waits for a runner's answer and for
	// its next event.
	headTimeout  = 6 * time.Second
	eventTimeout = 4 * time.Second
	// saveInterval is how often what a run has produced is saved: as much is run
	// again when the leader is lost. All runs of a node save at the same moments,
	// so that a shard can write it at once.
	saveInterval = 400 * time.Millisecond
)

// run is one run of an item at one runner.
type run struct {
	executor *ItemExecutor
	work     *queuestore.Work
	// fingerprint is of the item's content.
	fingerprint quarantine.Fingerprint
	route       *catalog.Route
	runner      *runnerset.Runner
	inFlight    *runnerset.InFlight
	began       time.Time
	cancel      context.CancelCauseFunc
	// output is what this run and earlier ones have produced.
	output queue.ItemOutput
	// savedRound is the round in which it was last saved.
	savedRound int64
	// firstEvent is when this run's first event came; zero before.
	firstEvent time.Time
}

func (r *run) run(parent context.Context) queuestore.Outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	r.cancel = cancel
	r.executor.register(r)
	defer r.executor.unregister(r)
	silenceTimer := time.AfterFunc(headTimeout, func() { cancel(exchange.ErrUnresponsive) })
	defer silenceTimer.Stop()
	answer, err := r.executor.Client.Do(ctx, r.call())
	if err != nil {
		return preemptedOutcome(ctx, r.notAnswered(parent, err))
	}
	// Whatever closing reports, the answer was read whole or is given up.
	defer func() { _ = answer.Body.Close() }()
	r.runner.RecordLoad(answer.Load, time.Now())
	if answer.Status != http.StatusOK {
		return r.refused(answer)
	}
	return preemptedOutcome(ctx, r.follow(parent, answer, silenceTimer))
}

func (r *run) call() *exchange.Call {
	call := &exchange.Call{
		ID: r.work.Item.Id, Method: http.MethodPost, URI: r.work.Item.Path, Host: r.work.Host, Body: r.work.Item.Body,
		RunnerID: r.runner.ID, Address: r.runner.Address, Service: r.runner.Service, Tenant: r.work.Tenant,
		ResumeAfter: -1, MaySend: r.runner.AcceptsWork,
	}
	for _, header := range r.work.Item.Headers {
		call.Headers = append(call.Headers, exchange.Header{Name: header.Name, Value: header.Value})
	}
	if r.output.LastEventID > 0 {
		call.ResumeAfter = r.output.LastEventID
	}
	return call
}

// follow reads events until the stream ends.
func (r *run) follow(parent context.Context, answer *exchange.Response, silenceTimer *time.Timer) queuestore.Outcome {
	events := eventstream.NewDecoder(answer.Body)
	for {
		silenceTimer.Reset(eventTimeout)
		event, err := events.Next()
		if errors.Is(err, io.EOF) && r.output.LastEventID > 0 {
			r.noteCompleted()
			return queuestore.Outcome{Done: true, Output: r.output, Reason: "completed"}
		}
		if err == nil && (!event.HasID || event.ID != r.output.LastEventID+1) {
			err = &eventstream.BrokenError{Reason: "event out of order"}
		}
		if err != nil {
			return r.broken(parent, err)
		}
		r.take(&event)
	}
}

// take adds an event to the output, and saves that when it is time to.
func (r *run) take(event *eventstream.StreamEvent) {
	now := time.Now()
	if r.output.LastEventID == r.work.Output.LastEventID {
		r.firstEvent = now
		r.inFlight.RecordFirstEvent(now)
	} else {
		r.inFlight.RecordEvent(now)
	}
	r.output.Append(event.ID, event.Data)
	if round := saveRound(now); round > r.savedRound {
		r.savedRound = round
		r.save()
	}
}

// processStart is when the process counts the rounds of saves from.
var processStart = time.Now()

// saveRound numbers the moments at which runs save.
func saveRound(now time.Time) int64 { return int64(now.Sub(processStart) / saveInterval) }

// save keeps what the run has produced, without holding it up. Once the executor is
// ending nothing is saved any more: the shard that would keep it has stopped.
func (r *run) save() {
	output := queue.ItemOutput{LastEventID: r.output.LastEventID, Text: append([]byte(nil), r.output.Text...)}
	r.executor.tasks.Go(func() { r.work.Save(output) })
}

// noteEnding reports a run that broke off: if its runner has ended, that counts
// against its item.
func (r *run) noteEnding() {
	if r.executor.Quarantine != nil && quarantine.IsSuspectRun(r.firstEvent, time.Now()) {
		r.executor.Quarantine.RecordBrokenRun(r.work.Item.Id, r.fingerprint, r.runner.ID, r.runner.Address)
	}
}

// noteCompleted records that a runner has completed the item.
func (r *run) noteCompleted() {
	if r.executor.Quarantine != nil {
		r.executor.Quarantine.RecordCompletion(r.fingerprint)
	}
}

// logEnd logs how the run ended.
func (r *run) logEnd(choice *runnerset.Choice, catalogVersion uint64, outcome string) {
	klog.InfoS("item run ended", slices.Concat(
		[]any{
			"job", r.work.Key.Job, "item", r.work.Item.Id, "fingerprint", r.fingerprint,
			"runner", choice.Runner.ID, "load", int(choice.Load),
		},
		choice.Sources.LogFields(),
		[]any{
			"catalog", catalogVersion, "slackMs", r.work.Slack.Milliseconds(),
			"from", r.work.Output.LastEventID, "to", r.output.LastEventID,
			"outcome", outcome, "ms", time.Since(r.began).Milliseconds(),
		},
	)...)
}
