package queue

import (
	"sort"
	"time"
)

// rank is the first criterion by which items that are not running are ordered. Items of
// a lower rank are started first.
type rank int

const (
	rankStarted   rank = iota // has output, and can be finished by its due time
	rankUnstarted             // has no output yet, and has enough slack
	rankLate                  // is late or likely to be late
)

// unstartedSlackRatio is the slack that an item without output needs for rankUnstarted, as
// a share of its remaining time. The slack absorbs interruptions of its runs.
const unstartedSlackRatio = 0.35

// rankOf returns the rank of an item. An item is started if it has output from earlier
// runs. The slack is the spare time before the due time if the item ran from now on, and
// remaining is the estimated time that the run would take. Started items that can be in time come
// first, so that what was started is finished. What can't be in time, or has so little slack that an
// interruption would make it late, comes last: its run would only take a slot from another item.
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

// Ready returns the items that may be started now, in starting order: those that are not
// running and whose NotBefore has been reached. It updates their ranks.
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

// Slack returns the estimated spare time before an item's due time if the item ran from now
// on. It is negative if the item would be late.
func (t *ItemTable) Slack(entry *ItemEntry, now time.Time) time.Duration {
	return entry.Due.Sub(now) - t.estimator.remaining(entry)
}

// Observe updates the estimate of run durations with the run that completed an item's
// output. Events is the number of events that this run produced.
func (t *ItemTable) Observe(entry *ItemEntry, events int64, duration time.Duration) {
	t.estimator.observe(entry, events, duration)
}
