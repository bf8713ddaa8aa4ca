package queue

import "time"

// Runners may end under an item by chance: items never crash runners by themselves, and are owed
// whatever happened to their runs. An item whose runs ended with their runners waits a while before
// it runs again, so that it meets few of the crashes of a wave, and an item that crashes runners after
// all ends few.

const (
	// minEndingDelay is the delay after the first such run, and endingDelayGrowth the factor by which it
	// grows with each further one, up to maxEndingDelay.
	minEndingDelay    = 250 * time.Millisecond
	endingDelayGrowth = 4
	maxEndingDelay    = 7500 * time.Millisecond
	// endingDelayShare bounds the delay to a share of the time after which the item is given up.
	endingDelayShare = 0.125
)

// endingDelay returns the delay before the next run of an item a number of whose runs have ended with
// their runners. Lifetime is the time after which the item is given up; 0 if it never is.
func endingDelay(endings int, lifetime time.Duration) time.Duration {
	limit := maxEndingDelay
	if lifetime > 0 {
		limit = min(limit, time.Duration(endingDelayShare*float64(lifetime)))
	}
	delay := minEndingDelay
	for ; endings > 1 && delay < limit; endings-- {
		delay *= endingDelayGrowth
	}
	return min(delay, limit)
}

// RecordEnding records that a run of an item has ended with its runner, and returns the delay before
// its next run; 0 for an unknown item.
func (t *ItemTable) RecordEnding(key ItemKey) time.Duration {
	entry := t.entries[key]
	if entry == nil {
		return 0
	}
	entry.Endings++
	return endingDelay(entry.Endings, entry.Lifetime)
}
