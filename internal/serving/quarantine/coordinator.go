package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
)

// HoldStore keeps holds where they outlast all processes.
type HoldStore interface {
	// Keep takes a hold that was decided or lifted here. It does not block.
	Keep(hold Hold)
}

// Guard is what those who send requests to runners ask and report.
type Guard interface {
	// Held reports whether a request must not be sent, and for how much longer.
	Held(fingerprint Fingerprint) (time.Duration, bool)
	// RecordBrokenRun records that a run broke that was not ended from here.
	RecordBrokenRun(request string, fingerprint Fingerprint, runner, address string)
	// RecordCompletion records that a runner has completed a request.
	RecordCompletion(fingerprint Fingerprint)
	// RunnersToAvoid lists the runners that a request should not be sent to. It is nil for
	// most requests.
	RunnersToAvoid(fingerprint Fingerprint) map[string]bool
	// Begin records that a request is sent to a runner; the result records that it
	// is no longer there.
	Begin(fingerprint Fingerprint, runner string) (end func())
}

var _ Guard = (*Coordinator)(nil)

// Coordinator is one node's part in the quarantine: its table, what it reports to other
// nodes and what it has kept in the store. What it reports are single endings; all the
// ends of one runner's requests within coalesceInterval make one notice to each other
// node.
type Coordinator struct {
	*Witness
	table     *SuspectTable
	directory notify.NodeDirectory
	sender    notify.NoticeSender
	store     HoldStore

	mutex sync.Mutex
	// pending is the next notice; nil if there is nothing to report.
	pending *wirev1.QuarantineNotice
	batcher *notify.Batcher
	// attempts are this node's suspects at runners: how many attempts of which, by
	// runner.
	attempts map[string]map[Fingerprint]int

	events *prometheus.CounterVec
}

// Kinds of events in the counter.
const (
	eventEnding   = "runner_ended"
	eventHold     = "held"
	eventLift     = "lifted"
	eventAbsolved = "absolved"
	eventRefused  = "refused"
)

// NewCoordinator returns the coordinator of a node. The store may be nil.
func NewCoordinator(
	directory notify.NodeDirectory, sender notify.NoticeSender, prober Prober, store HoldStore, registry prometheus.Registerer,
) *Coordinator {
	c := &Coordinator{
		Witness: NewWitness(prober), table: NewSuspectTable(), directory: directory, sender: sender, store: store,
		attempts: map[string]map[Fingerprint]int{},
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_quarantine_events_total",
			Help: "Runners that ended under requests, and what came of these requests, as seen by this node.",
		}, []string{"event"}),
	}
	c.batcher = notify.NewBatcher(notify.Schedule{Delay: coalesceInterval, Flush: func(context.Context) { c.flush() }})
	registry.MustRegister(c.events,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cobaltramp_quarantine_suspects", Help: "Requests under which a runner ended lately.",
		}, c.countSuspected),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "cobaltramp_quarantine_holds", Help: "Requests that are not sent to runners.",
		}, c.countHeld),
	)
	return c
}

func (c *Coordinator) countSuspected() float64 {
	suspected, _ := c.table.Counts(time.Now())
	return float64(suspected)
}

func (c *Coordinator) countHeld() float64 {
	_, held := c.table.Counts(time.Now())
	return float64(held)
}

// Held implements Guard.
func (c *Coordinator) Held(fingerprint Fingerprint) (time.Duration, bool) {
	left, held := c.table.Held(fingerprint, time.Now())
	if held {
		c.events.WithLabelValues(eventRefused).Inc()
	}
	return left, held
}

// RecordBrokenRun implements Guard. It counts only if the runner has ended, and takes one
// round trip to the runner's machine.
func (c *Coordinator) RecordBrokenRun(request string, fingerprint Fingerprint, runner, address string) {
	if !c.HasEnded(runner, address) {
		return
	}
	c.ended(request, fingerprint, runner)
}

func (c *Coordinator) ended(request string, fingerprint Fingerprint, runner string) {
	verdict := c.table.Ended(fingerprint, runner, true, time.Now())
	klog.InfoS("runner ended under a request", "id", request, "fingerprint", fingerprint, "runner", runner,
		"counted", verdict.Fresh, "held", verdict.Hold != nil)
	if !verdict.Fresh {
		return
	}
	c.events.WithLabelValues(eventEnding).Inc()
	c.report(func(notice *wirev1.QuarantineNotice) {
		notice.Endings = append(notice.Endings, &wirev1.RunnerEnding{Fingerprint: uint64(fingerprint), Runner: runner})
	})
	if verdict.Hold != nil {
		c.decide(*verdict.Hold, "runners ended")
	}
}

// decide reports and keeps a hold, or the end of one, that was decided here.
func (c *Coordinator) decide(hold Hold, reason string) {
	c.noteHold(hold, reason)
	c.report(func(notice *wirev1.QuarantineNotice) { notice.Holds = append(notice.Holds, Encode(hold)) })
	c.keep(hold)
}

func (c *Coordinator) keep(hold Hold) {
	if c.store != nil {
		c.store.Keep(hold)
	}
}

// noteHold logs and counts a hold that is new here.
func (c *Coordinator) noteHold(hold Hold, source string) {
	event := eventHold
	if hold.Until == 0 {
		event = eventLift
	}
	c.events.WithLabelValues(event).Inc()
	klog.InfoS("request quarantine", "event", event, "fingerprint", hold.Fingerprint,
		"until", time.UnixMilli(hold.Until).UTC(), "decided", time.UnixMilli(hold.Decided).UTC(), "source", source)
}

// RecordCompletion implements Guard.
func (c *Coordinator) RecordCompletion(fingerprint Fingerprint) {
	if !c.table.Suspected(fingerprint) {
		return
	}
	c.events.WithLabelValues(eventAbsolved).Inc()
	lifted := c.table.Absolve(fingerprint, time.Now())
	c.report(func(notice *wirev1.QuarantineNotice) { notice.Absolved = append(notice.Absolved, uint64(fingerprint)) })
	if lifted != nil {
		c.decide(*lifted, "a runner has completed it")
	}
}

// Lift ends a hold for an operator, and reports whether there was one.
func (c *Coordinator) Lift(fingerprint Fingerprint) bool {
	lifted := c.table.Lift(fingerprint, time.Now())
	if lifted != nil {
		c.decide(*lifted, "operator")
	}
	return lifted != nil
}

// Holds lists the holds known here.
func (c *Coordinator) Holds() []Hold { return c.table.Holds(time.Now()) }
