package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	// coalesceInterval is the time from the first report to the notice. All requests at
	// a runner break within some milliseconds of its end.
	coalesceInterval = 5 * time.Millisecond
	// minUnsavedDelay and unsavedDelaySpread bound the random delay after which a node that
	// observed no ending of a held request saves the hold, if no other node has.
	minUnsavedDelay    = 500 * time.Millisecond
	unsavedDelaySpread = 1500 * time.Millisecond
	// maxNoticeEntries is the maximum number of endings and completions in one notice.
	// An entry takes about 40 bytes. Holds are not counted.
	maxNoticeEntries = 1024
)

// addToNotice calls add with the next notice. If this notice already has
// maxNoticeEntries endings and completions, the report is dropped.
func (c *Coordinator) addToNotice(add func(notice *wirev1.QuarantineNotice)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == nil {
		c.pending = &wirev1.QuarantineNotice{}
	}
	if reportCount(c.pending) >= maxNoticeEntries {
		return // Reports may be lost in any case.
	}
	add(c.pending)
	c.batcher.Trigger()
}

// reportCount returns the number of endings and completions in a notice.
func reportCount(notice *wirev1.QuarantineNotice) int {
	return len(notice.Endings) + len(notice.Absolved) + len(notice.PartEndings) + len(notice.PartCompletions) + len(notice.EndedRunners)
}

// Run sends the pending notices to other nodes, and decides which parts of prompts are held,
// until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	var decisions tasks.Group
	defer decisions.Wait()
	decisions.Go(func() { c.partDecisions.Run(ctx) })
	decisions.Go(func() { c.remoteDecisions.Run(ctx) })
	decisions.Go(func() { c.trialClaims.Run(ctx) })
	c.batcher.Run(ctx)
}

// flush sends the pending notice, if there is one, to each other node.
func (c *Coordinator) flush() {
	c.mutex.Lock()
	notice := c.pending
	c.pending = nil
	c.mutex.Unlock()
	if notice == nil {
		return
	}
	self := c.directory.Self().NodeId
	var addresses []string
	for _, record := range c.directory.Records() {
		if record.NodeId != self {
			addresses = append(addresses, record.Address)
		}
	}
	c.sender.NotifyAll(addresses, rpc.ClassControl, wirev1.Method_METHOD_QUARANTINE, notice)
}

// ReceiveNotice applies a notice from another node. It logs and drops a notice that
// cannot be decoded.
func (c *Coordinator) ReceiveNotice(from string, payload []byte) {
	var notice wirev1.QuarantineNotice
	if err := proto.Unmarshal(payload, &notice); err != nil {
		klog.ErrorS(err, "decoding a quarantine notice failed", "peer", from, "bytes", len(payload))
		return
	}
	now := time.Now()
	c.reportEndings(notice.Endings)
	for _, ended := range notice.EndedRunners {
		if c.background.record(ended.Runner, ended.Service, now) && c.OnEnding != nil {
			c.OnEnding(ended.Runner)
		}
	}
	for _, ending := range notice.Endings {
		c.receiveEnding(ending, from, now)
	}
	for _, fingerprint := range notice.Absolved {
		c.table.Clear(Fingerprint(fingerprint), now)
	}
	for _, ending := range notice.PartEndings {
		c.receivePartEnding(ending, now)
	}
	for _, completion := range notice.PartCompletions {
		c.receivePartCompletion(completion, now)
	}
	c.ReceiveHolds(notice.Holds, from)
}

// reportEndings calls OnEnding once for each runner that ended.
func (c *Coordinator) reportEndings(endings []*wirev1.RunnerEnding) {
	if c.OnEnding == nil {
		return
	}
	reported := map[string]bool{}
	for _, ending := range endings {
		if !reported[ending.Runner] {
			reported[ending.Runner] = true
			c.OnEnding(ending.Runner)
		}
	}
}

// receiveEnding applies an ending that another node observed. If the ending causes a
// hold, the node saves it at once only if it observed one of the other endings of the
// request: if several nodes observe endings at the same time, each of them may decide the
// hold only on the report of another. The other nodes save it later, if the store still
// lacks it: those that observed the endings may be gone.
func (c *Coordinator) receiveEnding(received *wirev1.RunnerEnding, from string, now time.Time) {
	ending := observedEnding{runner: received.Runner, service: received.Service, at: now, ran: time.Duration(received.RanMs) * time.Millisecond}
	outcome := c.table.RecordEnding(Fingerprint(received.Fingerprint), ending, false)
	if outcome.Hold == nil {
		return
	}
	c.recordHold(*outcome.Hold, from)
	if outcome.Local {
		c.saveHold(*outcome.Hold)
		return
	}
	held := outcome.Hold.Fingerprint
	time.AfterFunc(minUnsavedDelay+rand.N(unsavedDelaySpread), func() { c.saveIfUnsaved(held) })
}

// saveIfUnsaved saves the current hold of a request if the store's document, as this node knows
// it, has an earlier one or none.
func (c *Coordinator) saveIfUnsaved(held Fingerprint) {
	hold := c.table.holdOf(held)
	if stored := c.stored.Load(); stored != nil {
		if saved, found := (*stored)[held]; found && !hold.supersedes(saved) {
			return
		}
	}
	c.saveHold(hold)
}

// ReceiveHolds applies holds from another node; source is that node, for logs.
func (c *Coordinator) ReceiveHolds(holds []*wirev1.QuarantineHold, source string) {
	if c == nil {
		return
	}
	for _, encoded := range holds {
		c.applyHold(Decode(encoded), source)
	}
}

// applyHold applies a hold from another node or from the store, unless it is known.
func (c *Coordinator) applyHold(hold Hold, source string) {
	if !c.table.ApplyHold(hold) {
		return
	}
	c.recordHold(hold, source)
	c.receivePartHold(hold, time.Now())
}
