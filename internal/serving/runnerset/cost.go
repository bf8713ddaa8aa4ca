package runnerset

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// Costs are durations: a runner with a surcharge is chosen only if its first event is
// expected earlier than at the other runners by about that duration.
const (
	// preemptionTime is the time until a preempted batch item has freed its slot: a
	// message to the node that sent the item, closing its connection to the runner, and
	// one step of the engine.
	preemptionTime = 15 * time.Millisecond
	// otherZoneCost, for each request, and otherZoneByteCost, for each of its bytes,
	// represent the price of traffic between zones.
	otherZoneCost     = 12 * time.Millisecond
	otherZoneByteCost = 12 * time.Microsecond
	// ejectedCost is higher than the cost of almost any runner that is not ejected.
	ejectedCost = time.Minute
	coldCost    = 100 * time.Millisecond
	// nonHomeCost keeps batch items at home runners (see BatchLimits.Home) while any of
	// them has a free slot.
	nonHomeCost = 200 * time.Millisecond
	// contendedCost is higher than nonHomeCost, so that batch items prefer a non-home runner
	// to a contended home runner.
	contendedCost = 300 * time.Millisecond
	// unreportedCost is added for an unreported runner, which is a runner whose load
	// other nodes do not report to this node. A slot that appears to be free may be
	// occupied there, and then at least one preemption is necessary.
	unreportedCost = preemptionTime
	// maxJitter prevents nodes with the same information from all choosing the same
	// runner.
	maxJitter = 2 * time.Millisecond
	// assumedSlots is used for runners that do not state their number of slots.
	assumedSlots = 8
)

// candidate is the state of one runner that its cost depends on.
type candidate struct {
	load  load
	slots float64
	// expected is the expected time to the first event, adjusted for the runner's
	// contention and slowness.
	expected time.Duration
	// overdue is the result of Runner.longestOverdue: the longest wait of this node's
	// requests whose first event is overdue; 0 if there is no such request.
	overdue time.Duration
	// ejected is set while the runner is ejected.
	ejected bool
	// nonHome is set if the request is a batch item and the runner is not a home runner
	// of this node.
	nonHome bool
	// contended is set if the request is a batch item and the runner's contention is at
	// least contendedThreshold.
	contended bool
	// otherZone is set if the runner is in another zone than this node; bytes is the
	// size of the request.
	otherZone bool
	bytes     int
	// unreported is set if other nodes do not report their load at the runner to this
	// node.
	unreported bool
	// memoryWait is the result of Runner.memoryWait: the expected delay for want of
	// memory.
	memoryWait time.Duration
	// cold is set while the runner has not reached its full speed.
	cold bool
}

// cost returns the expected time to the first event at the candidate plus a surcharge
// for each disadvantage; the runner with the lowest cost is chosen. random, from 0 to 1,
// is the share of maxJitter that is added.
func (c *candidate) cost(random float64) time.Duration {
	// A new request is expected to wait at least as long as the requests that are
	// already overdue there.
	cost := max(c.expected, c.overdue) + c.memoryWait
	if c.otherZone {
		cost += otherZoneCost + time.Duration(c.bytes)*otherZoneByteCost
	}
	if c.nonHome {
		cost += nonHomeCost
	}
	if c.contended {
		cost += contendedCost
	}
	if c.unreported {
		cost += unreportedCost
	}
	if c.ejected {
		cost += ejectedCost
	}
	if c.cold {
		cost += coldCost
	}
	return cost + time.Duration(random*float64(maxJitter))
}

// suspect reports whether the expected time is unreliable.
func (c *candidate) suspect() bool { return c.overdue > 0 || c.ejected }

// BatchLimits limit the use of a runner by batch items.
type BatchLimits struct {
	// MaxUnread is the largest number of unprocessed prompt tokens at a runner that may
	// get an item.
	MaxUnread float64
	// Home reports whether a runner is a home runner of this node, which means that this
	// node dispatches batch items to the runner in preference to other nodes. If Home is
	// nil, every runner is a home runner.
	Home func(runner *Record) bool
	// NonHomeReserve is the share of the slots of a non-home runner, from 0 to 1, that
	// batch items leave free, because several nodes may send items to the same free
	// slot.
	NonHomeReserve float64
}

// allow reports whether a candidate may get one more batch item: it must not be suspect,
// must have a free slot (beyond the reserve, if it is a non-home runner), and must have
// at most MaxUnread unprocessed prompt tokens. An item without such a runner stays in its
// queue, since it would delay online requests if it waited at a runner.
func (b *BatchLimits) allow(c *candidate) bool {
	reserve := 0.0
	if c.nonHome {
		reserve = b.NonHomeReserve * c.slots
	}
	return !c.suspect() && c.load.running+1 <= c.slots-reserve && c.load.unread <= b.MaxUnread
}

// expectedFirstEvent returns the expected time to the first event of a new request with
// the given number of uncached prompt tokens, at a runner with the given load and slots.
// It is the sum of the engine's time to the first event, the time to preempt batch items
// that occupy needed slots, and the wait for other requests that have to end first.
func expectedFirstEvent(model *enginemodel.EngineModel, current load, slots float64, uncached int) firstEventTime {
	expected := model.ExpectedFirstEvent(enginemodel.EngineLoad{Tokens: current.unread + float64(uncached), Running: current.running})
	preempted, ahead := slotsToFree(current, slots)
	return firstEventTime{work: expected + model.ExpectedWait(ahead), preemption: time.Duration(preempted * float64(preemptionTime))}
}

// slotsToFree returns how many batch items have to be preempted until one more request
// has a slot, and how many other requests have to end in addition. The second number,
// ahead, is divided by the number of slots.
func slotsToFree(current load, slots float64) (preempted, ahead float64) {
	excess := max(0, current.running+1-slots)
	preempted = min(excess, current.batch)
	return preempted, (excess - preempted) / slots
}

// relativeSlowness returns the ratio of a runner's slowness to the typical slowness of
// its service; 1 if either of them has no sample (0).
func relativeSlowness(slowness, typical float64) float64 {
	if slowness == 0 || typical == 0 {
		return 1
	}
	return slowness / typical
}
