package runnerset

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
)

// Costs are durations: a runner with a surcharge is chosen only if its first event is
// expected earlier than elsewhere by at least that much.
const (
	// preemptionTime is the time until a preempted batch item has freed its slot: a
	// message to the node that sent the item, closing its connection to the runner, and
	// one step of the engine.
	preemptionTime = 15 * time.Millisecond
	// otherZoneCost and otherZoneByteCost represent the price of traffic between zones.
	otherZoneCost     = 12 * time.Millisecond
	otherZoneByteCost = 12 * time.Microsecond
	// ejectedCost makes an ejected runner the last resort.
	ejectedCost = time.Minute
	coldCost    = 100 * time.Millisecond
	// nonHomeCost keeps batch items at this node's home runners while any of them has a
	// free slot.
	nonHomeCost = 200 * time.Millisecond
	// unreportedCost avoids runners whose load other nodes do not report to this node as
	// long as a reported one has a free slot: an apparently free slot may be taken,
	// which costs at least one preemption.
	unreportedCost = preemptionTime
	// maxJitter prevents nodes with the same view from all choosing the same runner.
	maxJitter = 2 * time.Millisecond
	// assumedSlots is used for runners that do not state their number of slots.
	assumedSlots = 8
)

// candidate is the state of one runner that the choice is based on.
type candidate struct {
	load  load
	slots float64
	// expected is the expected time to the first event, adjusted for the runner's
	// slowness.
	expected time.Duration
	// overdue is the longest time that this node has waited for an overdue first event
	// at a stalled runner; 0 if there is none.
	overdue time.Duration
	// ejected is set while the runner is ejected.
	ejected bool
	// nonHome is set if the request is a batch item and the runner is not one of this
	// node's home runners.
	nonHome bool
	// otherZone is set if the runner is in another zone; bytes is the size of the
	// request.
	otherZone bool
	bytes     int
	// unreported is set if other nodes do not report their load at the runner to this
	// node.
	unreported bool
	// cold is set while the runner has not reached its full speed.
	cold bool
}

// cost returns the expected time to the first event at the candidate plus a surcharge
// for each disadvantage; the runner with the lowest cost is chosen. random, from 0 to 1,
// is the share of maxJitter that is added.
func (c *candidate) cost(random float64) time.Duration {
	// A new request waits at least as long as the requests that are already stalled
	// there.
	cost := max(c.expected, c.overdue)
	if c.otherZone {
		cost += otherZoneCost + time.Duration(c.bytes)*otherZoneByteCost
	}
	if c.nonHome {
		cost += nonHomeCost
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
	// MaxUnread is the number of unprocessed prompt tokens at a runner above which it
	// gets no more items.
	MaxUnread float64
	// Home reports whether a runner is one of this node's home runners: this node has
	// the first claim on their free slots, and so knows their number exactly. Nil makes
	// every runner a home runner.
	Home func(runner *Record) bool
	// NonHomeReserve is the share of a non-home runner's slots that is kept free,
	// because other nodes may see the same free slot.
	NonHomeReserve float64
}

// allow reports whether a candidate may get one more batch item: it must be neither
// ejected nor overdue, have a free slot (beyond the reserve, if it is a non-home
// runner), and have few unprocessed prompt tokens. Other items wait at their shard,
// since waiting at a runner would delay online requests there.
func (b *BatchLimits) allow(c *candidate) bool {
	reserve := 0.0
	if c.nonHome {
		reserve = b.NonHomeReserve * c.slots
	}
	return !c.suspect() && c.load.running+1 <= c.slots-reserve && c.load.unread <= b.MaxUnread
}

// expectedFirstEvent returns the expected time to the first event of a prompt with the
// given number of uncached tokens, at a runner with the given load and slots: the
// processing time of the engine, one preemption for each batch item that occupies a
// needed slot, and the wait for further slots to come free.
func expectedFirstEvent(model *enginemodel.EngineModel, current load, slots float64, uncached int) time.Duration {
	expected := model.ExpectedFirstEvent(enginemodel.EngineLoad{Tokens: current.unread + float64(uncached), Running: current.running})
	preempted, ahead := slotsToFree(current, slots)
	return expected + time.Duration(preempted*float64(preemptionTime)) + model.ExpectedWait(ahead)
}

// slotsToFree returns how many batch items have to be preempted to make room for one
// more request, and how many further requests have to end, as a share of the slots.
func slotsToFree(current load, slots float64) (preempted, ahead float64) {
	excess := max(0, current.running+1-slots)
	preempted = min(excess, current.batch)
	return preempted, (excess - preempted) / slots
}

// relativeSlowness returns the ratio of a runner's slowness to the typical slowness of
// its service; 1 if either is unknown (0).
func relativeSlowness(slowness, typical float64) float64 {
	if slowness == 0 || typical == 0 {
		return 1
	}
	return slowness / typical
}
