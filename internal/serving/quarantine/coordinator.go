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

// HoldStore saves holds durably.
type HoldStore interface {
	// Save stores a hold that this node decided or lifted. It does not block.
	Save(hold Hold)
}

// Guard is used by senders of requests to check a request against the quarantine and
// to report its outcome.
type Guard interface {
	// Held reports whether a request is held, and for how much longer.
	Held(fingerprint Fingerprint) (time.Duration, bool)
	// RecordBrokenRun records that a run broke which this node did not end itself.
	RecordBrokenRun(request string, fingerprint Fingerprint, runner, address string)
	// RecordCompletion records that a runner has completed a request.
	RecordCompletion(fingerprint Fingerprint)
	// RunnersToAvoid returns the runners that a request should not be sent to; nil
	// for a request that is not suspected.
	RunnersToAvoid(fingerprint Fingerprint) map[string]bool
	// Begin records the start of an attempt at a runner; the returned function
	// records its end.
	Begin(fingerprint Fingerprint, runner string) (end func())
}

var _ Guard = (*Coordinator)(nil)

// Coordinator runs the quarantine on one node: it maintains the node's table, reports
// to other nodes and saves holds in the store. Endings that are recorded within
// coalesceInterval are sent to each other node in one notice.
type Coordinator struct {
	*CrashDetector
	table     *SuspectTable
	directory notify.NodeDirectory
	sender    notify.NoticeSender
	store     HoldStore

	mutex sync.Mutex
	// pending is the next notice to send; nil if there is nothing to report.
	pending *wirev1.QuarantineNotice
	batcher *notify.Batcher
	// attempts counts the running attempts of this node's suspects, by runner.
	attempts map[string]map[Fingerprint]int

	events *prometheus.CounterVec
}

// Values of the counter's event label.
const (
	eventEnding  = "runner_ended"
	eventHold    = "held"
	eventLift    = "lifted"
	eventCleared = "absolved"
	eventRefused = "refused"
)

// NewCoordinator returns the coordinator of a node. With a nil store, holds are not
// saved.
func NewCoordinator(
	directory notify.NodeDirectory, sender notify.NoticeSender, prober Prober, store HoldStore, registry prometheus.Registerer,
) *Coordinator {
	c := &Coordinator{
		CrashDetector: NewCrashDetector(prober), table: NewSuspectTable(), directory: directory, sender: sender, store: store,
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

// RecordBrokenRun implements Guard. It counts the run only if the runner has ended,
// which takes up to one round trip to the runner's machine.
func (c *Coordinator) RecordBrokenRun(request string, fingerprint Fingerprint, runner, address string) {
	if !c.HasEnded(runner, address) {
		return
	}
	c.recordEnding(request, fingerprint, runner)
}

func (c *Coordinator) recordEnding(request string, fingerprint Fingerprint, runner string) {
	outcome := c.table.RecordEnding(fingerprint, runner, true, time.Now())
	klog.InfoS("runner ended while running a request", "id", request, "fingerprint", fingerprint, "runner", runner,
		"counted", outcome.Counted, "held", outcome.Hold != nil)
	if !outcome.Counted {
		return
	}
	c.events.WithLabelValues(eventEnding).Inc()
	c.addToNotice(func(notice *wirev1.QuarantineNotice) {
		notice.Endings = append(notice.Endings, &wirev1.RunnerEnding{Fingerprint: uint64(fingerprint), Runner: runner})
	})
	if outcome.Hold != nil {
		c.distributeHold(*outcome.Hold, "runners ended")
	}
}

// distributeHold reports and saves a hold that this node decided or lifted.
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

// recordHold logs and counts a hold that is new to this node.
func (c *Coordinator) recordHold(hold Hold, source string) {
	event := eventHold
	if hold.Until == 0 {
		event = eventLift
	}
	c.events.WithLabelValues(event).Inc()
	klog.InfoS("quarantine hold changed", "event", event, "fingerprint", hold.Fingerprint,
		"until", time.UnixMilli(hold.Until).UTC(), "decided", time.UnixMilli(hold.Decided).UTC(), "source", source)
}

// RecordCompletion implements Guard.
func (c *Coordinator) RecordCompletion(fingerprint Fingerprint) {
	if !c.table.Suspected(fingerprint) {
		return
	}
	c.events.WithLabelValues(eventCleared).Inc()
	lifted := c.table.Clear(fingerprint, time.Now())
	c.addToNotice(func(notice *wirev1.QuarantineNotice) { notice.Absolved = append(notice.Absolved, uint64(fingerprint)) })
	if lifted != nil {
		c.distributeHold(*lifted, "a runner has completed it")
	}
}

// Lift ends a hold at an operator's request and reports whether there was one.
func (c *Coordinator) Lift(fingerprint Fingerprint) bool {
	lifted := c.table.Lift(fingerprint, time.Now())
	if lifted != nil {
		c.distributeHold(*lifted, "operator")
	}
	return lifted != nil
}

// Holds lists the holds known to this node.
func (c *Coordinator) Holds() []Hold { return c.table.Holds(time.Now()) }
