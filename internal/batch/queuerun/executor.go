// Package queuerun runs batch items on runners, in the slots that online requests leave
// free. Runners have no priorities and serve requests in order of arrival. An item is
// therefore sent only to a runner with a free slot, and is preempted when online
// requests need the slot. Storage nodes run it.
//
// It keeps the runs in progress and the runners that are paused for items after a
// preemption. Package queuestore supplies the items and receives their outcomes,
// runnerset selects a runner, quarantine detects items that crash runners, and exchange
// sends the calls.
//
// The starting order of items is in queue/order.go, the limits on runners in
// runnerset.BatchLimits, the choice of the item to preempt in preemption.go, and the
// outcome of a run in outcome.go.
package queuerun

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// ItemExecutor runs items on runners. It implements queuestore.Executor.
type ItemExecutor struct {
	Zone     string
	Catalogs *catalog.Holder
	Runners  *runnerset.Set
	Client   exchange.CallSender
	// Home reports whether this node is the preferred one to send items to a runner;
	// nil means that this node is preferred for all runners.
	Home func(runner *runnerset.Record) bool
	// Quarantine tracks the items that crash runners; nil disables the tracking.
	Quarantine quarantine.Guard

	// tasks holds the goroutines of runs and of their reports. They end with the
	// contexts of their items.
	tasks tasks.Group

	mutex sync.Mutex
	// runs holds the runs in progress by runner ID; the value is true for a preempted
	// run.
	runs map[string]map[*run]bool
	// pauses holds the times until which runners get no items after a preemption.
	pauses map[string]time.Time
}

// New returns an executor that preempts items when online requests of other nodes need
// their slots.
func New(zone string, catalogs *catalog.Holder, runners *runnerset.Set, client exchange.CallSender) *ItemExecutor {
	e := &ItemExecutor{
		Zone: zone, Catalogs: catalogs, Runners: runners, Client: client,
		runs: map[string]map[*run]bool{}, pauses: map[string]time.Time{},
	}
	runners.OnPeerLoad(e.preempt)
	return e
}

var _ queuestore.Executor = (*ItemExecutor)(nil)

// Wait waits until all runs have ended; no new run can start. The contexts of the items
// must have ended before the call.
func (e *ItemExecutor) Wait() { e.tasks.Wait() }

const (
	// awayReserve is the share of slots that this node leaves free at runners for which
	// another node is preferred, because both nodes may see the same free slot.
	awayReserve = 0.2
	// maxUnreadTokens is the maximum number of prompt tokens still to be read at a
	// runner that gets an item.
	maxUnreadTokens = 1500
	// missingRouteGrace is how long the item's route must be missing from the active
	// configuration before the item fails for good.
	missingRouteGrace = 4 * time.Second
	// maxQuarantineWait is the longest wait before a quarantined item is checked again,
	// so that the item notices the end of its quarantine and its own expiry.
	maxQuarantineWait = 5 * time.Second
)

// TryStart implements queuestore.Executor. The goroutine that receives outcomes also
// calls TryStart, so done is always called from a task.
func (e *ItemExecutor) TryStart(ctx context.Context, work *queuestore.Work, done func(queuestore.Outcome)) bool {
	held := e.Catalogs.Current()
	if held == nil {
		return false
	}
	now := time.Now()
	route := held.Match(work.Host, work.Item.Path)
	if route == nil {
		if e.Catalogs.Age(now) < missingRouteGrace {
			return false
		}
		return e.tasks.Go(func() { done(queuestore.Outcome{Dead: true, Reason: "route gone"}) })
	}
	fingerprint := fingerprintOf(work)
	if remaining, held := e.held(fingerprint); held {
		wait := min(remaining, maxQuarantineWait)
		klog.InfoS("item held: runners end under it", "job", work.Key.Job, "item", work.Item.Id, "fingerprint", fingerprint,
			"heldMs", remaining.Milliseconds(), "waitMs", wait.Milliseconds())
		return e.tasks.Go(func() { done(queuestore.Outcome{Output: work.Output, RetryDelay: wait, Reason: "quarantined"}) })
	}
	choice := e.pick(route, work, fingerprint, now)
	if choice.Runner == nil {
		work.FullService = route.ServiceFor(work.Item.Id)
		return false
	}
	itemRun := &run{
		executor: e, work: work, fingerprint: fingerprint, route: route, runner: choice.Runner,
		startedAt: now, output: work.Output, savedRound: saveRound(now),
	}
	return e.start(ctx, itemRun, &choice, held.Version, done)
}

// start runs an item as a task. It returns false if the executor is ending.
func (e *ItemExecutor) start(
	ctx context.Context, itemRun *run, choice *runnerset.Choice, catalogVersion uint64, done func(queuestore.Outcome),
) bool {
	itemRun.inFlight = e.Runners.Begin(itemRun.runner, promptOf(itemRun.work.Item), true, itemRun.startedAt)
	untrack := e.trackRun(itemRun.fingerprint, itemRun.runner)
	started := e.tasks.Go(func() {
		defer untrack()
		outcome := itemRun.run(ctx)
		itemRun.inFlight.End()
		outcome.Attempts = itemRun.route.Attempts
		outcome.Events, outcome.Duration = itemRun.output.LastEventID-itemRun.work.Output.LastEventID, time.Since(itemRun.startedAt)
		itemRun.logEnd(choice, catalogVersion, outcome.Reason)
		done(outcome)
	})
	if !started {
		itemRun.inFlight.End()
		untrack()
	}
	return started
}

func (e *ItemExecutor) held(fingerprint quarantine.Fingerprint) (time.Duration, bool) {
	if e.Quarantine == nil {
		return 0, false
	}
	return e.Quarantine.Held(fingerprint)
}

func (e *ItemExecutor) trackRun(fingerprint quarantine.Fingerprint, runner *runnerset.Runner) (end func()) {
	if e.Quarantine == nil {
		return func() {}
	}
	return e.Quarantine.Begin(fingerprint, runner.ID)
}

// fingerprintOf returns the fingerprint of an item's content. Items with the same
// content have the same fingerprint.
func fingerprintOf(work *queuestore.Work) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.RequestContent{Tenant: work.Tenant, Method: http.MethodPost, Host: work.Host, URI: work.Item.Path, Body: work.Item.Body})
}

func promptOf(item *wirev1.QueueItem) runnerset.Prompt {
	prompt := runnerset.Prompt{}
	for i, part := range item.Prompt {
		prompt.Tokens += int(part.Tokens)
		if i < len(item.Prompt)-1 {
			prompt.SharedParts = append(prompt.SharedParts, runnerset.PromptPart{ID: part.Id, Tokens: int(part.Tokens)})
		}
	}
	return prompt
}

func (e *ItemExecutor) pick(route *catalog.Route, work *queuestore.Work, fingerprint quarantine.Fingerprint, now time.Time) runnerset.Choice {
	excluded := e.paused(now)
	if e.Quarantine != nil {
		maps.Copy(excluded, e.Quarantine.RunnersToAvoid(fingerprint))
	}
	return e.Runners.Pick(&runnerset.Criteria{
		Service: route.ServiceFor(work.Item.Id), Zone: e.Zone, Prompt: promptOf(work.Item), Bytes: len(work.Item.Body),
		Excluded: excluded, Batch: &runnerset.BatchLimits{MaxUnread: maxUnreadTokens, Home: e.Home, NonHomeReserve: awayReserve},
	}, now)
}
