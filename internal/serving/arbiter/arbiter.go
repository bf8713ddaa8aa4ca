// Package arbiter decides which work may run on one runner of a plain node. A stream is the
// response of one online request or batch item, and occupies one slot of the runner. Online
// streams are admitted up to the runner's capacity; batch streams use the remaining slots.
// The package counts the streams on the runner and adjusts the limit of batch streams. The
// counts are exact, because all of the runner's traffic passes through its owner. The package
// does no I/O and reads no clock; module serving.owner calls it.
//
// In mode Managed, two mechanisms protect the tail latency of online work. With preemption, an
// online request that finds no free slot takes the slot of the youngest batch stream. The batch
// limit is needed because batch prefills slow down other streams even if slots are free: it
// shrinks when too many online tokens on this runner are late, and grows while they are on
// time.
package arbiter

import (
	"math"
	"time"
)

// Mode is how batch and online work share a runner. The policy of a bundle selects it
// (batch.mode).
type Mode uint8

const (
	// Managed is the production mode: it preempts batch streams for online work and adjusts
	// the batch limit.
	Managed Mode = iota
	// Static gives batch a fixed number of slots, and online work the others. It is a
	// baseline for comparison in scenario runs.
	Static
	// PriorityOnly lets batch use all slots and relies on the engine's priorities. It is a
	// baseline for comparison in scenario runs.
	PriorityOnly
	// Off starts no batch work. It is the baseline for the effect of batch on online work, and
	// an operator may use it to keep batch off the runners for a while.
	Off
)

// RunnerPolicy is the part of the current bundle's policy that applies to one runner.
type RunnerPolicy struct {
	Mode Mode
	// StaticSlots is the number of batch slots in mode Static.
	StaticSlots int
	// Slots is the number of sequences that the runner processes at a time.
	Slots int
	// ReserveSlots is the number of slots that batch may not use, as a reserve for online
	// bursts.
	ReserveSlots int
	// FirstToken and InterToken are the 95th-percentile targets of online work for the time
	// to first token and the time between two tokens.
	FirstToken time.Duration
	InterToken time.Duration
	// TailWeight, from 0 to 1, is the weight of online tail latency against batch throughput.
	// With a higher weight, tokens count as late sooner, late tokens reduce the batch limit
	// more, and the limit grows more slowly.
	TailWeight float64
}

const (
	// maxLateFraction is the fraction of online tokens that may be late.
	maxLateFraction = 0.05
	// controlInterval is the time between adjustments of the batch limit. It covers a few
	// tens of engine steps, so that an adjustment takes effect before the next one.
	controlInterval = 200 * time.Millisecond
	// minSamples is the number of online tokens that an adjustment requires.
	minSamples = 8
	// maxQueuedFraction limits the online streams that are admitted beyond the slots, as a
	// fraction of the slots. The engine queues them.
	maxQueuedFraction = 0.25
	// maxStartsPerInterval limits the batch streams that start in one control interval while
	// online work runs, since each start causes a prefill.
	maxStartsPerInterval = 4
	// lateMargin is the fraction of the target, at TailWeight 1, by which the threshold for
	// late tokens lies below the target.
	lateMargin = 0.4
	// maxShrink is the largest fraction of the batch limit that one adjustment removes, at
	// TailWeight 1. It is reached when the fraction of late tokens is fullShrinkMultiple times
	// maxLateFraction.
	maxShrink          = 0.7
	fullShrinkMultiple = 4
	// minGrowth is the number of batch streams that an adjustment adds to the limit while
	// tokens are on time. extraGrowth is the fraction of the slots that it adds as well, at
	// TailWeight 0.
	minGrowth   = 0.25
	extraGrowth = 0.05
)

// BatchStream identifies a batch stream on the runner.
type BatchStream uint64

// Arbiter is the state of one runner. It is not safe for concurrent use.
//
// Invariants in mode Managed: after an admission, online + batch ≤ Slots if batch > 0; after
// the start of a batch stream, batch ≤ batchLimit; an admitted online stream never waits for a
// batch stream to finish.
type Arbiter struct {
	policy RunnerPolicy

	online      int
	batch       []BatchStream // oldest first
	lastStarted BatchStream

	batchLimit    float64
	intervalStart time.Time
	lateSamples   int
	samples       int
	batchStarts   int
}

// New returns an arbiter whose batch limit is the whole runner except the reserve.
func New(policy RunnerPolicy, now time.Time) *Arbiter {
	a := &Arbiter{policy: policy, intervalStart: now}
	a.batchLimit = a.maxLimit()
	return a
}

// Configure replaces the policy and lowers the batch limit to the new maximum. Running batch
// streams continue; later calls of AdmitOnline and Tick apply the new policy to them.
func (a *Arbiter) Configure(policy RunnerPolicy) {
	a.policy = policy
	a.batchLimit = math.Min(a.batchLimit, a.maxLimit())
}

// maxLimit returns the largest batch limit: all slots except the reserve.
func (a *Arbiter) maxLimit() float64 {
	return float64(max(0, a.policy.Slots-a.policy.ReserveSlots))
}

// Online returns the number of online streams on the runner.
func (a *Arbiter) Online() int { return a.online }

// Batch returns the number of batch streams on the runner.
func (a *Arbiter) Batch() int { return len(a.batch) }

// BatchLimit returns the current limit of batch streams, which applies in mode Managed.
func (a *Arbiter) BatchLimit() int { return int(a.batchLimit) }

// FreeOnlineSlots returns how many more online streams AdmitOnline would admit.
func (a *Arbiter) FreeOnlineSlots() int { return max(0, a.onlineCapacity()-a.online) }

// onlineCapacity returns the maximum number of online streams: the slots and the streams that
// the engine may queue or, in mode Static, the slots that are not for batch, but at least 1.
func (a *Arbiter) onlineCapacity() int {
	if a.policy.Mode == Static {
		return max(1, a.policy.Slots-a.policy.StaticSlots)
	}
	return a.policy.Slots + int(maxQueuedFraction*float64(a.policy.Slots))
}

// AdmitOnline admits an online stream unless online streams have reached the online capacity.
// In mode Managed, it preempts the youngest batch streams for which no slot remains. The caller
// has to cancel the returned batch streams at once; they are no longer counted.
func (a *Arbiter) AdmitOnline() (admitted bool, preempted []BatchStream) {
	if a.online >= a.onlineCapacity() {
		return false, nil
	}
	a.online++
	if a.policy.Mode != Managed {
		return true, nil
	}
	return true, a.trimBatch(max(0, a.policy.Slots-a.online))
}

// OnlineDone records the end of an admitted online stream.
func (a *Arbiter) OnlineDone() { a.online = max(0, a.online-1) }

// trimBatch removes and returns the youngest batch streams in excess of count.
func (a *Arbiter) trimBatch(count int) []BatchStream {
	if len(a.batch) <= count {
		return nil
	}
	removed := append([]BatchStream(nil), a.batch[count:]...)
	a.batch = a.batch[:count]
	return removed
}

// FreeBatchSlots returns how many batch streams may start now. In mode Managed, this depends on
// the batch limit, the online streams and the reserve; while online work runs, the starts in
// one control interval are limited as well.
func (a *Arbiter) FreeBatchSlots() int {
	switch a.policy.Mode {
	case Off:
		return 0
	case Static:
		return max(0, a.policy.StaticSlots-len(a.batch))
	case PriorityOnly:
		return max(0, a.policy.Slots-len(a.batch))
	}
	allowed := min(int(a.batchLimit), a.policy.Slots-a.policy.ReserveSlots-a.online)
	free := max(0, allowed-len(a.batch))
	if a.online > 0 {
		free = min(free, max(0, maxStartsPerInterval-a.batchStarts))
	}
	return free
}

// StartBatch starts a batch stream if the runner has a free batch slot.
func (a *Arbiter) StartBatch() (BatchStream, bool) {
	if a.FreeBatchSlots() == 0 {
		return 0, false
	}
	a.lastStarted++
	a.batchStarts++
	a.batch = append(a.batch, a.lastStarted)
	return a.lastStarted, true
}

// BatchDone records the end of a batch stream. It ignores streams that are no longer counted
// because AdmitOnline or Tick has removed them.
func (a *Arbiter) BatchDone(ended BatchStream) {
	for i, stream := range a.batch {
		if stream == ended {
			a.batch = append(a.batch[:i], a.batch[i+1:]...)
			return
		}
	}
}

// FirstToken records the time to first token of an online stream.
func (a *Arbiter) FirstToken(waited time.Duration) {
	a.record(waited, a.policy.FirstToken)
}

// InterToken records the time between two tokens of an online stream.
func (a *Arbiter) InterToken(gap time.Duration) {
	a.record(gap, a.policy.InterToken)
}

// record counts a token and whether it was late. With a TailWeight above 0, the threshold lies
// below the target, so that the batch limit shrinks before the target is missed.
func (a *Arbiter) record(measured, target time.Duration) {
	margin := 1 - lateMargin*a.policy.TailWeight
	a.samples++
	if float64(measured) > margin*float64(target) {
		a.lateSamples++
	}
}

// Tick starts a new control interval if the current one has ended. In mode Managed, it then
// adjusts the batch limit: without online work, the limit is set to its maximum; with fewer
// than minSamples tokens, it stays. Tick returns the batch streams that the caller has to
// cancel because they exceed the new limit.
func (a *Arbiter) Tick(now time.Time) []BatchStream {
	if now.Sub(a.intervalStart) < controlInterval {
		return nil
	}
	a.intervalStart = now
	a.batchStarts = 0
	defer func() { a.lateSamples, a.samples = 0, 0 }()
	if a.policy.Mode != Managed {
		return nil
	}
	if a.online == 0 {
		// Preemption protects the next online request.
		a.batchLimit = a.maxLimit()
		return nil
	}
	if a.samples < minSamples {
		return nil
	}
	lateFraction := float64(a.lateSamples) / float64(a.samples)
	if lateFraction > maxLateFraction {
		a.batchLimit *= 1 - maxShrink*a.policy.TailWeight*math.Min(1, lateFraction/(fullShrinkMultiple*maxLateFraction))
		return a.trimBatch(int(a.batchLimit))
	}
	growth := minGrowth + (1-a.policy.TailWeight)*extraGrowth*float64(a.policy.Slots)
	a.batchLimit = math.Min(a.maxLimit(), a.batchLimit+growth)
	return nil
}
