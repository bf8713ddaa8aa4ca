package queuerun

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/membudget"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/eventstream"
)

const (
	// responseTimeout bounds the wait for the header of a runner's response, and
	// eventTimeout the wait for its next event.
	responseTimeout = 6 * time.Second
	eventTimeout    = 4 * time.Second
	// saveInterval is the interval at which a run's output is saved. It limits the work
	// that is repeated after the loss of the leader. All runs of a node save in the same
	// rounds, so that a shard can write their output in one batch.
	saveInterval = 400 * time.Millisecond
)

// run is a single run of an item at a runner.
type run struct {
	executor *ItemExecutor
	work     *queuestore.Work
	// identity identifies the item and the parts of its prompt for the quarantine.
	identity  *quarantine.Work
	prompt    runnerset.Prompt
	route     *catalog.Route
	runner    *runnerset.Runner
	inFlight  *runnerset.InFlight // the run's share of the load at the runner
	startedAt time.Time
	cancel    context.CancelCauseFunc
	// output is the output of this run and of earlier runs.
	output queue.ItemOutput
	// savedRound is the save round in which the output was last saved, or in which the
	// run started if it was not saved yet.
	savedRound int64
	// firstEvent is the time of this run's first event; zero before the event.
	firstEvent time.Time
	// survived is set once the quarantine was told that the run is no suspect any more.
	survived bool
}

// run calls the runner and reads its response. Parent is the context of the item, which ends
// when the item needs no run by this node any more.
func (r *run) run(parent context.Context) queuestore.Outcome {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	r.cancel = cancel
	r.executor.register(r)
	defer r.executor.unregister(r)
	idleTimer := time.AfterFunc(responseTimeout, func() { cancel(exchange.ErrUnresponsive) })
	defer idleTimer.Stop()
	response, err := r.executor.Client.Do(ctx, r.call())
	if err != nil {
		return preemptedOutcome(ctx, r.callErrorOutcome(parent, err))
	}
	// An error of Close has no effect: the body was read to its end or is abandoned.
	defer func() { _ = response.Body.Close() }()
	r.runner.RecordLoad(response.Load, time.Now())
	if response.Status != http.StatusOK {
		return r.errorStatusOutcome(response)
	}
	return preemptedOutcome(ctx, r.readEvents(parent, response, idleTimer))
}

// call returns the call to the runner. If there is output of earlier runs, the call asks the
// runner to resume after its last event.
func (r *run) call() *exchange.Call {
	call := &exchange.Call{
		ID: r.work.Item.Id, Method: http.MethodPost, URI: r.work.Item.Path, Host: r.work.Host, Body: r.work.Item.Body,
		RunnerID: r.runner.ID, RunnerVersion: r.runner.SoftwareVersion(), Address: r.runner.Address, Service: r.runner.Service, Tenant: r.work.Tenant,
		ResumeAfter: -1, MaySend: r.maySend,
	}
	for _, header := range r.work.Item.Headers {
		call.Headers = append(call.Headers, exchange.Header{Name: header.Name, Value: header.Value})
	}
	if r.output.LastEventID > 0 {
		call.ResumeAfter = r.output.LastEventID
	}
	return call
}

// maySend reports whether the run may still be sent to its runner.
func (r *run) maySend() bool {
	_, quarantined := r.executor.held(r.identity)
	return r.runner.AcceptsWork() && !quarantined
}

// readEvents adds events to the output until the stream ends or breaks. A stream that ends
// makes the item done if there is any output. A stream is broken if it ends without any
// output, if an event does not have the next ID, or if reading fails.
func (r *run) readEvents(parent context.Context, response *exchange.Response, idleTimer *time.Timer) queuestore.Outcome {
	memory, outputMemory := r.executor.Memory.Reserve(), r.executor.Memory.Reserve()
	defer memory.Release()
	defer outputMemory.Release()
	events := eventstream.NewDecoder(response.Body, eventstream.Limits{EventBytes: r.maxOutputBytes() + maxEventFields, Memory: memory})
	for {
		idleTimer.Reset(eventTimeout)
		event, err := events.Next()
		if errors.Is(err, io.EOF) && r.endedWithRunner(response) {
			err = &eventstream.BrokenError{Reason: "the runner ended with its response"}
		}
		if errors.Is(err, io.EOF) && r.output.LastEventID > 0 {
			r.recordCompletion()
			return queuestore.Outcome{Done: true, Output: r.output, Reason: "completed"}
		}
		if err == nil && (!event.HasID || event.ID != r.output.LastEventID+1) {
			err = &eventstream.BrokenError{Reason: "event out of order"}
		}
		if err == nil && r.exceedsLimits(&event, outputMemory) {
			r.output = queue.ItemOutput{} // earlier events may be of such a response too
			err = &eventstream.BrokenError{Reason: "more output than the item or the memory allows"}
		}
		if err != nil {
			return r.streamErrorOutcome(parent, err)
		}
		r.addEvent(&event)
	}
}

const (
	// largestOutputBytes is the largest size of an item's output whose number of tokens is not limited; a
	// storage node holds the output of several items in memory.
	largestOutputBytes = 1 << 20
	// maxTokenBytes is the largest size of the data of an event for each of its tokens.
	maxTokenBytes = 512
	// maxEventFields is the largest size of an event beside its data.
	maxEventFields = 1 << 10
	// extraEvents is the number of events that may come beside those with the item's tokens.
	extraEvents = 16
	// copiesOfOutput is how often the memory of a run may hold the item's output: as read, and as it is
	// being saved.
	copiesOfOutput = 2
)

// maxOutputBytes returns the largest size of the item's output.
func (r *run) maxOutputBytes() int {
	if limit := int64(r.work.Item.MaxOutputTokens); limit > 0 {
		return int(min(largestOutputBytes, (limit+extraEvents)*maxTokenBytes))
	}
	return largestOutputBytes
}

// exceedsLimits reports whether an event makes the output larger than any output of the item, or than the
// memory that is left: a runner that fails may send events without end. Each event has at least one token.
func (r *run) exceedsLimits(event *eventstream.StreamEvent, memory *membudget.Reservation) bool {
	if limit := int64(r.work.Item.MaxOutputTokens); limit > 0 && event.ID > limit+extraEvents {
		return true
	}
	size := len(r.output.Text) + len(event.Data)
	return size > r.maxOutputBytes() || memory.GrowTo(copiesOfOutput*size) != nil
}

// addEvent appends an event to the output, and saves the output with the first event in
// each save round after the round in which the run started.
func (r *run) addEvent(event *eventstream.StreamEvent) {
	now := time.Now()
	if r.output.LastEventID == r.work.Output.LastEventID {
		r.firstEvent = now
		r.inFlight.RecordFirstEvent(now)
	} else {
		r.inFlight.RecordEvent(now)
	}
	r.output.Append(event.ID, event.Data)
	r.recordSurvival(now)
	if round := saveRound(now); round > r.savedRound {
		r.savedRound = round
		r.save()
	}
}

// processStart is the time from which save rounds are counted.
var processStart = time.Now()

// saveRound returns the number of the save round, of length saveInterval, at a time.
func saveRound(now time.Time) int64 { return int64(now.Sub(processStart) / saveInterval) }

// save saves a copy of the output in a task, without blocking the run. It saves nothing
// after the executor's Wait was called.
func (r *run) save() {
	output := r.output
	output.Text = append([]byte(nil), r.output.Text...)
	r.executor.tasks.Go(func() { r.work.Save(output) })
}

// recordSurvival reports to the quarantine, once, that the run goes on after the time in which
// items crash runners.
func (r *run) recordSurvival(now time.Time) {
	if r.executor.Quarantine == nil || r.survived || quarantine.IsSuspectRun(r.firstEvent, now) {
		return
	}
	r.survived = true
	r.executor.Quarantine.RecordSurvival(r.identity, r.quarantineRun())
}

// recordCompletion reports to the quarantine that the runner completed the item. A run without
// events is no evidence for the item: nothing was written for it.
func (r *run) recordCompletion() {
	if r.executor.Quarantine != nil && !r.firstEvent.IsZero() {
		r.executor.Quarantine.RecordCompletion(r.identity, r.quarantineRun())
	}
}

// quarantineRun describes the run to the quarantine.
func (r *run) quarantineRun() quarantine.Run {
	return quarantine.Run{Start: r.runner.StartID(), Address: r.runner.Address, Version: r.runner.SoftwareVersion(), Began: r.startedAt, FirstEvent: r.firstEvent}
}

// endedWithRunner reports whether a stream that has ended was broken off by the end of its
// runner. A response that ends with its connection does not show that itself.
func (r *run) endedWithRunner(response *exchange.Response) bool {
	return response.EndsWithConnection && r.executor.Quarantine != nil && r.executor.Quarantine.HasEnded(r.runner.StartID(), r.runner.Address)
}

// logEnd logs the end of a run with its outcome, whether the item was completed or not.
func (r *run) logEnd(choice *runnerset.Choice, catalogVersion uint64, outcome string) {
	klog.InfoS("item run ended", slices.Concat(
		[]any{
			"job", r.work.Key.Job, "item", r.work.Item.Id, "fingerprint", r.identity.Fingerprint,
			"runner", choice.Runner.ID, "version", choice.Runner.SoftwareVersion(), "load", int(choice.Load), "parts", r.prompt.PartNames(),
		},
		choice.Sources.LogFields(),
		[]any{
			"catalog", catalogVersion, "slackMs", r.work.Slack.Milliseconds(),
			"from", r.work.Output.LastEventID, "to", r.output.LastEventID,
			"outcome", outcome, "ms", time.Since(r.startedAt).Milliseconds(),
		},
	)...)
}
