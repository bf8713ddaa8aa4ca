// Package queuerun runs batch items at runners, in the slots that online requests leave
// free. Runners know no priority and take requests in the order of their arrival, so
// that an item is sent only where a slot is free, and preempted when online requests
// need it. Storage nodes run it.
//
// It owns the runs in progress and the runners that get no item for a moment. It
// relies on queuestore, which hands it items and takes what came of them, on runnerset
// for the choice of a runner, on quarantine for items that crash runners, and on
// exchange for the transport.
//
// The rules: queue/order.go (which item is started), runnerset.BatchLimits (where),
// preemption.go (which one is preempted), outcome.go (what becomes of a run).
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

// ItemExecutor runs items. It implements queuestore.Executor.
type ItemExecutor struct {
	Zone     string
	Catalogs *catalog.Holder
	Runners  *runnerset.Set
	Client   exchange.CallSender
	// Home reports whether this node places items at a runner before other nodes do;
	// nil stands for all.
	Home func(runner *runnerset.Record) bool
	// Quarantine knows the items that crash runners; nil knows none.
	Quarantine quarantine.Guard

	// tasks are the runs and what they report; they end with the context of each
	// item, and Wait waits for them.
	tasks tasks.Group

	mutex sync.Mutex
	// runs are those in progress by runner; true for one that was preempted.
	runs map[string]map[*run]bool
	// pauses holds until when a runner at which items were preempted gets no item.
	pauses map[string]time.Time
}

// New returns an executor that preempts items when other nodes need their slots.
func New(zone string, catalogs *catalog.Holder, runners *runnerset.Set, client exchange.CallSender) *ItemExecutor {
	e := &ItemExecutor{
		Zone: zone, Catalogs: catalogs, Runners: runners, Client: client,
		runs: map[string]map[*run]bool{}, pauses: map[string]time.Time{},
	}
	runners.OnPeerLoad(e.preempt)
	return e
}

var _ queuestore.Executor = (*ItemExecutor)(nil)

// Wait waits until all runs have ended. The contexts of their items must have ended
// before; nothing is started any more.
func (e *ItemExecutor) Wait() { e.tasks.Wait() }

const (
	// awayReserve is the share of its slots that stays free at a runner that another
	// node places items at: two nodes may see the same free slot.
	awayReserve = 0.2
	// maxUnreadTokens is how many prompt tokens may wait at a runner that gets an item.
	maxUnreadTokens = 1500
	// routeGoneTime is how long a configuration without the item's route must
	// have been in force before the item is given up.
	routeGoneTime = 4 * time.Second
	// maxHeldWait is how long a held item waits at most before it is looked at again:
	// its hold may be lifted, and it may be given up when its time is over.
	maxHeldWait = 5 * time.Second
)

// TryStart implements queuestore.Executor. It is called by the goroutine that done
// reports to, so that done is always called by a task.
func (e *ItemExecutor) TryStart(ctx context.Context, work *queuestore.Work, done func(queuestore.Outcome)) bool {
	held := e.Catalogs.Current()
	if held == nil {
		return false
	}
	now := time.Now()
	route := held.Match(work.Host, work.Item.Path)
	if route == nil {
		if e.Catalogs.Age(now) < routeGoneTime {
			return false
		}
		return e.tasks.Go(func() { done(queuestore.Outcome{Dead: true, Reason: "route gone"}) })
	}
	fingerprint := fingerprintOf(work)
	if left, held := e.held(fingerprint); held {
		wait := min(left, maxHeldWait)
		klog.InfoS("item held: runners end under it", "job", work.Key.Job, "item", work.Item.Id, "fingerprint", fingerprint,
			"heldMs", left.Milliseconds(), "waitMs", wait.Milliseconds())
		return e.tasks.Go(func() { done(queuestore.Outcome{Output: work.Output, RetryDelay: wait, Reason: "quarantined"}) })
	}
	choice := e.pick(route, work, fingerprint, now)
	if choice.Runner == nil {
		work.FullService = route.ServiceFor(work.Item.Id)
		return false
	}
	one := &run{
		executor: e, work: work, fingerprint: fingerprint, route: route, runner: choice.Runner,
		began: now, output: work.Output, savedRound: saveRound(now),
	}
	return e.start(ctx, one, &choice, held.Version, done)
}

// start runs an item as a task. It reports false if the executor is ending.
func (e *ItemExecutor) start(
	ctx context.Context, one *run, choice *runnerset.Choice, catalogVersion uint64, done func(queuestore.Outcome),
) bool {
	one.inFlight = e.Runners.Begin(one.runner, promptOf(one.work.Item), true, one.began)
	endTrial := e.beginTrial(one.fingerprint, one.runner)
	started := e.tasks.Go(func() {
		defer endTrial()
		outcome := one.run(ctx)
		one.inFlight.End()
		outcome.Attempts = one.route.Attempts
		outcome.Events, outcome.Duration = one.output.LastEventID-one.work.Output.LastEventID, time.Since(one.began)
		one.logEnd(choice, catalogVersion, outcome.Reason)
		done(outcome)
	})
	if !started {
		one.inFlight.End()
		endTrial()
	}
	return started
}

func (e *ItemExecutor) held(fingerprint quarantine.Fingerprint) (time.Duration, bool) {
	if e.Quarantine == nil {
		return 0, false
	}
	return e.Quarantine.Held(fingerprint)
}

func (e *ItemExecutor) beginTrial(fingerprint quarantine.Fingerprint, runner *runnerset.Runner) (end func()) {
	if e.Quarantine == nil {
		return func() {}
	}
	return e.Quarantine.Begin(fingerprint, runner.ID)
}

// fingerprintOf is the same for items that are the same work.
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
