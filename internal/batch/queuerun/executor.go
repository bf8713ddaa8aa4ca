// Package queuerun runs batch items on runners, in the slots that online requests leave
// free. Runners have no priorities and process requests in order of arrival. An item is
// therefore sent only to a runner with a free slot, and is preempted when online
// requests need the slot. Storage nodes run it.
//
// The package keeps the runs in progress, and the runners that get no items for a while
// after a preemption. Package queuestore supplies the items and receives their outcomes,
// runnerset selects a runner, quarantine detects items that crash runners, and exchange
// sends the calls.
//
// The starting order of items is in queue/order.go, the limits on runners in
// runnerset.BatchLimits, whether the configuration may decide an item in route.go, the
// choice of the item to preempt in preemption.go, and the outcome of a run in outcome.go.
package queuerun

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/membudget"
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
	// Home reports whether a runner is one of this node's home runners: this node is
	// preferred over other nodes for sending items to it. If Home is nil, all runners
	// are home runners.
	Home func(runner *runnerset.Record) bool
	// Contact tells whether the configuration is up to date for items whose job names no version
	// of it; nil takes it for up to date.
	Contact StoreContact
	// Quarantine tracks the items that crash runners; nil disables the tracking.
	Quarantine quarantine.Guard
	// Memory bounds the memory of all responses in progress; nil sets no limit.
	Memory *membudget.Budget

	// oldConfigurationLogged is the Unix time in nanoseconds of the last logOldConfiguration.
	oldConfigurationLogged atomic.Int64

	// tasks runs the goroutines of runs, of saves and of outcomes without a run. They
	// end with the contexts of their items.
	tasks tasks.Group

	mutex sync.Mutex // guards runs and pauses
	// runs holds the runs in progress by runnerset.Record.StartID; the value is true for a
	// preempted run.
	runs map[string]map[*run]bool
	// pauses holds the times until which runners get no items after a preemption, by
	// runner ID.
	pauses map[string]time.Time
}

// New returns an executor, and registers it to preempt items when changes of other nodes'
// load at a runner leave too few slots. It replaces the set's callback for such changes.
func New(zone string, catalogs *catalog.Holder, runners *runnerset.Set, client exchange.CallSender) *ItemExecutor {
	e := &ItemExecutor{
		Zone: zone, Catalogs: catalogs, Runners: runners, Client: client,
		runs: map[string]map[*run]bool{}, pauses: map[string]time.Time{},
	}
	runners.OnPeerLoad(e.preempt)
	return e
}

var _ queuestore.Executor = (*ItemExecutor)(nil)

// Wait waits until all tasks have ended. From the call on, no new run starts. The contexts
// of the items must have ended before the call.
func (e *ItemExecutor) Wait() { e.tasks.Wait() }

const (
	// nonHomeReserve is the share of slots that this node leaves free at runners that are
	// not its home runners, because several nodes may see the same free slot.
	nonHomeReserve = 0.2
	// maxUnreadTokens is the number of unprocessed prompt tokens at a runner above which
	// the runner gets no items.
	maxUnreadTokens = 1500
	// failedRunnerPenalty is how long an item is not sent again to a runner that reported a
	// failure of the item.
	failedRunnerPenalty = 3 * time.Second
	// avoidanceRetryDelay is the delay before the next attempt to start an item for which
	// only runners that it has to avoid may have free slots.
	avoidanceRetryDelay = 60 * time.Millisecond
	// maxQuarantineWait is the longest wait before a quarantined item is checked again,
	// because the quarantine may end early.
	maxQuarantineWait = 5 * time.Second
)

// TryStart implements queuestore.Executor. It sets work.NotBefore instead of work.FullService
// if the item has to avoid some runners, or if the configuration cannot tell yet whether the
// item's route exists. It also returns false, without setting either, if no configuration is
// active or after Wait was called. It returns true and reports an outcome without a run if the
// route was removed or the item is quarantined. TryStart never calls done itself, because its
// caller also receives the outcomes.
func (e *ItemExecutor) TryStart(ctx context.Context, work *queuestore.Work, done func(queuestore.Outcome)) bool {
	held := e.Catalogs.Current()
	if held == nil {
		return false
	}
	now := time.Now()
	route, state := e.routeOf(held, work, now)
	switch state {
	case routeUndecided:
		work.NotBefore = now.Add(configurationRetryDelay)
		return false
	case routeRemoved:
		return e.tasks.Go(func() { done(queuestore.Outcome{Dead: true, Reason: "route gone"}) })
	}
	identity, savedOutput := identityOf(work, route), work.Output
	avoided := e.runnersToAvoid(work, identity.Fingerprint, now)
	choice := e.pick(route, work, avoided, now)
	if choice.Runner == nil {
		if len(avoided) > 0 { // other items may start at the avoided runners
			work.NotBefore = now.Add(avoidanceRetryDelay)
		} else {
			work.FullService = route.ServiceFor(work.Item.Id)
		}
		return false
	}
	// The item may become the trial of its hold, so a runner has to be there for it.
	if refusal, held := e.held(identity); held {
		wait := min(refusal.Remaining, maxQuarantineWait)
		klog.InfoS("item delayed: its fingerprint is quarantined", "job", work.Key.Job, "item", work.Item.Id, "fingerprint", refusal.Fingerprint,
			"part", refusal.Part, "heldMs", refusal.Remaining.Milliseconds(), "waitMs", wait.Milliseconds())
		return e.tasks.Go(func() { done(queuestore.Outcome{Output: savedOutput, RetryDelay: wait, Reason: "quarantined"}) })
	}
	startAgainUnlessContinued(work, choice.Runner)
	itemRun := &run{
		executor: e, work: work, identity: identity, prompt: promptOf(work.Item), route: route, runner: choice.Runner,
		startedAt: now, output: work.Output, savedRound: saveRound(now),
	}
	itemRun.output.SoftwareVersion = choice.Runner.SoftwareVersion()
	return e.start(ctx, itemRun, &choice, held.Version, done)
}

// start starts a run as a task, which logs the outcome and passes it to done. It returns
// false after Wait was called.
func (e *ItemExecutor) start(
	ctx context.Context, itemRun *run, choice *runnerset.Choice, catalogVersion uint64, done func(queuestore.Outcome),
) bool {
	itemRun.inFlight = e.Runners.Begin(itemRun.runner, itemRun.prompt, true, itemRun.startedAt)
	untrack := e.trackRun(itemRun.identity.Fingerprint, itemRun.runner)
	started := e.tasks.Go(func() {
		defer untrack()
		outcome := itemRun.run(ctx)
		itemRun.inFlight.End()
		e.returnTrials(itemRun.identity)
		outcome.Attempts, outcome.Runner = itemRun.route.Attempts, itemRun.runner.ID
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

// returnTrials tells the quarantine that an item is not sent any more for now.
func (e *ItemExecutor) returnTrials(identity *quarantine.Work) {
	if e.Quarantine != nil {
		e.Quarantine.ReturnTrials(identity)
	}
}

// held reports whether an item is quarantined, and why.
func (e *ItemExecutor) held(identity *quarantine.Work) (quarantine.Refusal, bool) {
	if e.Quarantine == nil {
		return quarantine.Refusal{}, false
	}
	return e.Quarantine.Held(identity)
}

// trackRun reports the start of a run to the quarantine. The caller calls end when the run
// has ended.
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

// identityOf identifies an item and the shared parts of its prompt for the quarantine.
func identityOf(work *queuestore.Work, route *catalog.Route) *quarantine.Work {
	identity := &quarantine.Work{ID: work.Item.Id, Fingerprint: fingerprintOf(work), Service: route.ServiceFor(work.Item.Id), MayTry: true, Item: true}
	prompt := promptOf(work.Item)
	for _, part := range prompt.SharedParts {
		identity.AddPart(quarantine.NewPart(work.Tenant, part.ID, part.Name))
	}
	return identity
}

// promptOf returns the tokens of an item's prompt, its expected output tokens, and all parts
// of the prompt but the last as the parts that other prompts may share.
func promptOf(item *wirev1.QueueItem) runnerset.Prompt {
	prompt := runnerset.Prompt{Output: int(item.OutputTokens)}
	for i, part := range item.Prompt {
		prompt.Tokens += int(part.Tokens)
		if i < len(item.Prompt)-1 {
			prompt.SharedParts = append(prompt.SharedParts, runnerset.PromptPart{ID: part.Id, Tokens: int(part.Tokens), Name: part.Name})
		}
	}
	return prompt
}

// runnersToAvoid returns the IDs of the runners that an item has to avoid: those that recently
// reported a failure of the item, and those that the quarantine excludes.
func (e *ItemExecutor) runnersToAvoid(work *queuestore.Work, fingerprint quarantine.Fingerprint, now time.Time) map[string]bool {
	avoided := map[string]bool{}
	for runner, at := range work.FailedRunners {
		if now.Sub(at) < failedRunnerPenalty {
			avoided[runner] = true
		}
	}
	if e.Quarantine != nil {
		maps.Copy(avoided, e.Quarantine.RunnersToAvoid(fingerprint))
	}
	return avoided
}

// pick selects a runner for an item, which must have the software version that can continue the
// item's output, unless the item is to start again. It leaves out the runners that the item has to
// avoid and those that are paused.
func (e *ItemExecutor) pick(route *catalog.Route, work *queuestore.Work, avoided map[string]bool, now time.Time) runnerset.Choice {
	excluded := e.paused(now)
	maps.Copy(excluded, avoided)
	service := route.ServiceFor(work.Item.Id)
	return e.Runners.Pick(&runnerset.Criteria{
		Service: service, SoftwareVersion: e.versionToContinue(service, work),
		Zone: e.Zone, Prompt: promptOf(work.Item), Bytes: len(work.Item.Body),
		Excluded: excluded, Batch: &runnerset.BatchLimits{MaxUnread: maxUnreadTokens, Home: e.Home, NonHomeReserve: nonHomeReserve},
	}, now)
}
