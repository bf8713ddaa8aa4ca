package queue

import (
	"sort"
	"time"
)

// rank orders items that wait, the first to be started first.
type rank int

const (
	rankBegun rank = iota
	rankFresh
	rankLate
)

// freshMargin is the share of its time that an item needs to spare to be begun:
// runs are interrupted.
const freshMargin = 0.35

// rankOf ranks an item: first those begun that can still be in time, so that what is
// begun is finished; then those not begun that can be in time with a margin; last what
// is late whatever is done, and what has so little time that a start would only take a
// slot from another. slack is the time to spare if the item ran from now on, remaining
// the time that it then takes.
func rankOf(begun bool, slack, remaining time.Duration) rank {
	switch {
	case begun && slack >= 0:
		return rankBegun
	case !begun && slack >= time.Duration(freshMargin*float64(remaining)):
		return rankFresh
	default:
		return rankLate
	}
}

// before reports whether one item is started before another: by rank, then the
// earliest due, then the one accepted first.
func before(a, b *ItemEntry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	return a.order < b.order
}

// Ready lists the items that may be started now, in the order in which they should be.
func (t *ItemTable) Ready(now time.Time) []*ItemEntry {
	var ready []*ItemEntry
	for _, entry := range t.entries {
		if !entry.running && !now.Before(entry.NotBefore) {
			entry.rank = rankOf(entry.Output.LastEventID > 0, t.Slack(entry, now), t.pace.remaining(entry))
			ready = append(ready, entry)
		}
	}
	sort.Slice(ready, func(i, j int) bool { return before(ready[i], ready[j]) })
	return ready
}

// Slack is the time to spare if the item ran from now on; negative if it would be late.
func (t *ItemTable) Slack(entry *ItemEntry, now time.Time) time.Duration {
	return entry.Due.Sub(now) - t.pace.remaining(entry)
}

// Observe learns how long items take from one that ran through, with so many events.
func (t *ItemTable) Observe(entry *ItemEntry, events int64, took time.Duration) {
	t.pace.observe(entry, events, took)
}
