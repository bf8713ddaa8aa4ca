package queue

import (
	"sort"
	"time"
)

// rank orders waiting items; items of a lower rank are started first.
type rank int

const (
	rankStarted rank = iota
	rankUnstarted
	rankLate
)

// unstartedSlackRatio is the minimum slack of an item that has not started yet, as a
// share of its remaining time. The slack absorbs interruptions of its runs.
const unstartedSlackRatio = 0.35

// rankOf returns the rank of an item. Started items that can still meet their due time
// come first, so that they are finished. Unstarted items with enough slack follow. Items
// that are late or likely to be late come last, because they would take slots from
// others. The slack is the spare time if the item ran from now on, and remaining is the
// time that it would then take.
func rankOf(started bool, slack, remaining time.Duration) rank {
	switch {
	case started && slack >= 0:
		return rankStarted
	case !started && slack >= time.Duration(unstartedSlackRatio*float64(remaining)):
		return rankUnstarted
	default:
		return rankLate
	}
}

// startsBefore reports whether item a is started before item b. It compares the rank,
// then the due time, then the order of acceptance.
func startsBefore(a, b *ItemEntry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.order < b.order
}

// Ready returns the items that may be started now, in starting order.
func (t *ItemTable) Ready(now time.Time) []*ItemEntry {
	var ready []*ItemEntry
	for _, entry := range t.entries {
		if !entry.running && !now.Before(entry.NotBefore) {
			entry.rank = rankOf(entry.Output.LastEventID > 0, t.Slack(entry, now), t.estimator.remaining(entry))
			ready = append(ready, entry)
		}
	}
	sort.Slice(ready, func(i, j int) bool { return startsBefore(ready[i], ready[j]) })
	return ready
}

// Slack returns the spare time before an item's due time if the item ran from now on.
// It is negative if the item would be late.
func (t *ItemTable) Slack(entry *ItemEntry, now time.Time) time.Duration {
	return entry.Due.Sub(now) - t.estimator.remaining(entry)
}

// Observe updates the estimate of run durations with a completed run of an item, which
// produced a number of events.
func (t *ItemTable) Observe(entry *ItemEntry, events int64, took time.Duration) {
	t.estimator.observe(entry, events, took)
}
