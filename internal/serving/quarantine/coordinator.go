package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
)

// HoldStore saves holds durably.
type HoldStore interface {
	// Save stores a hold, which may be a lifted one (Until 0). It does not block: the
	// hold is written later.
	Save(hold Hold)
	// Claim replaces a stored hold by the next one, and returns true only if it did: if the
	// store has the hold, or an earlier one or none.
	Claim(ctx context.Context, hold, next Hold) bool
}

// Guard is used by senders of requests to check a request against the quarantine and
// to report its outcome.
type Guard interface {
	// Held reports whether work is held, as a whole or because of a part of its prompt. It
	// does not block.
	Held(work *Work) (Refusal, bool)
	// RecordBrokenRun records that a run broke without having been ended by this node. The
	// run counts against the work if the runner has ended and the run is a suspect
	// (IsSuspectRun). It reports whether that is known now.
	RecordBrokenRun(work *Work, run Run) (counts bool)
	// RecordCompletion records that a runner has completed a run: it has sent a whole
	// successful response, and has not ended with it.
	RecordCompletion(work *Work, run Run)
	// RecordSurvival records that a run still goes on when it is no suspect any more
	// (IsSuspectRun).
	RecordSurvival(work *Work, run Run)
	// ReturnTrials reports that work will not be sent any more. The trials that it was to be
	// are left to other work.
	ReturnTrials(work *Work)
	// HasEnded reports whether a runner, known by its start and its address, has ended. It
	// may block for a round trip to the runner's machine.
	HasEnded(start, address string) bool
	// RunnersToAvoid returns the ids of the runners to which a request should not be
	// sent. The result is empty or nil if there are none, and always nil for a request
	// that is not suspected.
	RunnersToAvoid(fingerprint Fingerprint) map[string]bool
	// Begin records the start of an attempt at a runner. The caller has to call the
	// returned function once, when the attempt ends.
	Begin(fingerprint Fingerprint, runner string) (end func())
}

var _ Guard = (*Coordinator)(nil)

// Coordinator runs the quarantine on one node: it maintains the node's SuspectTable,
// exchanges notices with other nodes and saves holds in the store. Reports that are
// recorded within coalesceInterval of the first are sent in one notice.
//
// Digest, NewestHolds, ReceiveHolds and ReceiveDocument accept a nil receiver, for nodes
// that run no quarantine.
type Coordinator struct {
	*CrashDetector
	// background knows which runners ended lately, for both tables.
	background *background
	table      *SuspectTable
	parts      *PartTable
	restarts   *restartLog
	directory  notify.NodeDirectory
	sender     notify.NoticeSender
	store      HoldStore

	// OnEnding is called for each ending of a runner that another node reports, with the start
	// of the runner; nil ignores them. It must be set before the first notice.
	OnEnding func(start string)

	mutex sync.Mutex
	// pending is the next notice to send; nil if there is nothing to report.
	pending *wirev1.QuarantineNotice
	batcher *notify.Batcher
	// attempts counts this node's running attempts of suspected requests, by runner
	// and fingerprint. It has no entries with count 0.
	attempts map[string]map[Fingerprint]int
	// evidence contains the last completion of a part that was reported to or by other nodes.
	evidence map[completionKey]time.Time
	// trials contains the state of trials by part, and wantedTrials the holds whose trial this
	// node wants to claim.
	trials       map[Fingerprint]*trialState
	wantedTrials []Hold
	trialClaims  *notify.Batcher
	// partDecisions calls decideParts after new endings, and remoteDecisions once more after
	// endings that only other nodes observed.
	partDecisions, remoteDecisions *notify.Batcher
	// stored contains the holds of the document in the store, as this node last received it.
	stored atomic.Pointer[map[Fingerprint]Hold]

	events *prometheus.CounterVec
}

// Values of the label "event" of cobaltramp_quarantine_events_total.
const (
	eventEnding  = "runner_ended"
	eventHold    = "held"
	eventTrial   = "tried"
	eventLift    = "lifted"
	eventCleared = "absolved"
	eventRefused = "refused"
)

// NewCoordinator returns the coordinator of a node. If the store is nil, holds are not
// saved. Notices are sent only while Run runs.
func NewCoordinator(
	directory notify.NodeDirectory, sender notify.NoticeSender, prober Prober, store HoldStore, registry prometheus.Registerer,
) *Coordinator {
	endings := newBackground()
	c := &Coordinator{
		CrashDetector: NewCrashDetector(prober), background: endings, table: newSuspectTable(endings), parts: newPartTable(endings),
		restarts: newRestartLog(), directory: directory, sender: sender, store: store,
		attempts: map[string]map[Fingerprint]int{}, evidence: map[completionKey]time.Time{}, trials: map[Fingerprint]*trialState{},
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_quarantine_events_total",
			Help: "Runners that ended under requests, and what came of these requests, as seen by this node.",
		}, []string{"event"}),
	}
	c.batcher = notify.NewBatcher(notify.Schedule{Delay: coalesceInterval, Flush: func(context.Context) { c.flush() }})
	c.partDecisions = notify.NewBatcher(notify.Schedule{Delay: partDecisionDelay, Flush: func(context.Context) { c.decideParts() }})
	c.remoteDecisions = notify.NewBatcher(notify.Schedule{
		Delay: remoteDecisionDelay + rand.N(remoteDecisionSpread), Flush: func(context.Context) { c.decideParts() },
	})
	c.trialClaims = notify.NewBatcher(notify.Schedule{Flush: c.claimTrials})
	registry.MustRegister(c.events,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cobaltramp_quarantine_suspects", Help: "Requests under which a runner ended lately.",
		}, c.countSuspected),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cobaltramp_quarantine_holds", Help: "Requests and parts of prompts that are not sent to runners.",
		}, c.countHeld),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cobaltramp_quarantine_suspected_parts", Help: "Parts of prompts under which runners ended since their last completion.",
		}, c.countSuspectedParts),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "cobaltramp_quarantine_evicted_parts_total", Help: "Suspected parts of prompts that were forgotten because there were too many.",
		}, c.countEvictedParts),
	)
	return c
}

func (c *Coordinator) countSuspected() float64 {
	suspected, _ := c.table.Counts(time.Now())
	return float64(suspected)
}

func (c *Coordinator) countSuspectedParts() float64 {
	suspects, _ := c.parts.Counts()
	return float64(suspects)
}

func (c *Coordinator) countEvictedParts() float64 {
	_, evicted := c.parts.Counts()
	return float64(evicted)
}

func (c *Coordinator) countHeld() float64 {
	_, held := c.table.Counts(time.Now())
	return float64(held)
}

// SetRunners sets the list of runners, by which endings are weighed. It must be called before
// the first report.
func (c *Coordinator) SetRunners(runners Runners) { c.background.runners = runners }

// Held implements Guard. It counts each positive result as a refused request. Work that may be
// sent although it is held becomes the trial of its holds.
func (c *Coordinator) Held(work *Work) (Refusal, bool) {
	now := time.Now()
	holds := c.holdsOf(work, now)
	for i := range holds {
		if !c.mayTry(work, &holds[i], now) {
			return c.refuse(work, &holds[i], now), true
		}
	}
	for i := range holds {
		if !work.isTrialOf(holds[i].Fingerprint) && !c.claimProvisional(work, &holds[i], now) {
			return c.refuse(work, &holds[i], now), true
		}
	}
	return Refusal{}, false
}

// refuse counts a refused request and returns the refusal.
func (c *Coordinator) refuse(work *Work, hold *Hold, now time.Time) Refusal {
	c.events.WithLabelValues(eventRefused).Inc()
	return Refusal{Fingerprint: hold.Fingerprint, Part: work.labelOf(hold), Remaining: hold.wait(now)}
}

// RecordBrokenRun implements Guard. It probes the runner, unless a recent result is
// cached, and so may block for up to probeTimeout. If the probe does not show that the
// runner has ended, the run counts only if the list shows a later start of the runner
// within restartConfirmTime (RecordRestart).
func (c *Coordinator) RecordBrokenRun(work *Work, run Run) bool {
	broken := brokenRun{work: work, run: run, at: time.Now(), trials: work.endTrials()}
	ended := c.HasEnded(run.Start, run.Address) || c.restarts.recordBreak(broken)
	if ended {
		c.recordEnding(&broken)
	}
	return ended && IsSuspectRun(run.FirstEvent, broken.at)
}

// RecordRestart records that the list of runners shows a later start of a runner in place
// of the given one. Runs that broke there shortly before then count as ended with it.
func (c *Coordinator) RecordRestart(start string) {
	for _, broken := range c.restarts.recordRestart(start, time.Now()) {
		c.recordEnding(&broken)
	}
}

// recordEnding records that a runner ended while it ran work of this node.
func (c *Coordinator) recordEnding(broken *brokenRun) {
	work, run := broken.work, broken.run
	ending := run.endedAt(broken.at, work.Service)
	c.recordRunnerEnd(&ending)
	if !IsSuspectRun(run.FirstEvent, broken.at) {
		return
	}
	outcome := EndingOutcome{}
	if !work.Item {
		outcome = c.table.RecordEnding(work.Fingerprint, ending, true)
	}
	klog.InfoS("runner ended while running a request", "id", work.ID, "fingerprint", work.Fingerprint, "runner", ending.runner,
		"ranMs", ending.ran.Milliseconds(), "isItem", work.Item, "counted", outcome.Counted, "held", outcome.Hold != nil)
	c.recordPartEndings(work, run, broken.at)
	if outcome.Counted {
		c.reportEnding(work.Fingerprint, &ending)
	}
	if outcome.Hold != nil {
		c.distributeHold(*outcome.Hold, "runners ended")
	}
	c.recordFailedTrials(broken.trials, &ending)
}

// recordRunnerEnd records that a runner has ended, whatever it ran, and reports it to other nodes
// if that is news.
func (c *Coordinator) recordRunnerEnd(ending *observedEnding) {
	if !c.background.record(ending.runner, ending.service, ending.at) {
		return
	}
	c.addToNotice(func(notice *wirev1.QuarantineNotice) {
		notice.EndedRunners = append(notice.EndedRunners, &wirev1.EndedRunner{Runner: ending.runner, Service: ending.service})
	})
}

// reportEnding counts the ending of a runner under a request and reports it to other nodes.
func (c *Coordinator) reportEnding(fingerprint Fingerprint, ending *observedEnding) {
	c.events.WithLabelValues(eventEnding).Inc()
	c.addToNotice(func(notice *wirev1.QuarantineNotice) {
		notice.Endings = append(notice.Endings, &wirev1.RunnerEnding{
			Fingerprint: uint64(fingerprint), Runner: ending.runner, Service: ending.service, RanMs: roundUpToMilliseconds(ending.ran),
		})
	})
}

// distributeHold logs a hold that this node decided or lifted, adds it to the next
// notice and saves it in the store.
func (c *Coordinator) distributeHold(hold Hold, reason string) {
	c.recordHold(hold, reason)
	c.addToNotice(func(notice *wirev1.QuarantineNotice) { notice.Holds = append(notice.Holds, Encode(hold)) })
	c.saveHold(hold)
}

func (c *Coordinator) saveHold(hold Hold) {
	if c.store != nil {
		c.store.Save(hold)
	}
}

// recordHold logs and counts a hold that is new to this node. Source is the reason for
// a hold of this node, and otherwise the node that sent the hold, or "store".
func (c *Coordinator) recordHold(hold Hold, source string) {
	event := eventHold
	switch {
	case hold.Until == 0:
		event = eventLift
	case hold.Trials > 0 && hold.TrialAt > 0:
		event = eventTrial
	}
	c.events.WithLabelValues(event).Inc()
	klog.InfoS("quarantine hold changed", "event", event, "fingerprint", hold.Fingerprint, "part", hold.Part,
		"until", time.UnixMilli(hold.Until).UTC(), "decided", time.UnixMilli(hold.Decided).UTC(), "source", source)
}

// RecordCompletion implements Guard.
func (c *Coordinator) RecordCompletion(work *Work, run Run) {
	c.clear(work, run, "a runner has completed it")
}

// RecordSurvival implements Guard. A run that crashes its runner does so early, so that one that
// goes on counts like one that was completed.
func (c *Coordinator) RecordSurvival(work *Work, run Run) { c.clear(work, run, "a runner runs it on") }

// clear records that a run of work shows that it is sound. If the request is suspected, clear
// removes the request's endings, lifts its hold and reports that to other nodes.
func (c *Coordinator) clear(work *Work, run Run, reason string) {
	c.recordPartCompletions(work, run, time.Now())
	fingerprint := work.Fingerprint
	if !c.table.Suspected(fingerprint) {
		return
	}
	c.events.WithLabelValues(eventCleared).Inc()
	lifted := c.table.Clear(fingerprint, time.Now())
	c.addToNotice(func(notice *wirev1.QuarantineNotice) { notice.Absolved = append(notice.Absolved, uint64(fingerprint)) })
	if lifted != nil {
		c.distributeHold(*lifted, reason)
	}
}

// Lift lifts a hold at an operator's request. It reports whether the table had a hold
// that was not lifted yet; this hold may have expired already.
func (c *Coordinator) Lift(fingerprint Fingerprint) bool {
	lifted := c.table.Lift(fingerprint, time.Now())
	if lifted != nil {
		c.parts.ReduceFailures(fingerprint)
		c.distributeHold(*lifted, "operator")
	}
	return lifted != nil
}

// Holds lists the active and the recently lifted holds in this node's table, the latest
// decided first (SuspectTable.Holds).
func (c *Coordinator) Holds() []Hold { return c.table.Holds(time.Now()) }
