package queuerun

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// A node that has items at a runner preempts as many as there are requests beyond the
// runner's slots, provided that the number of slots is known.
func TestItemsToPreempt(t *testing.T) {
	for _, test := range []struct {
		counts runnerset.RequestCounts
		slots  int
		want   int
	}{
		{runnerset.RequestCounts{Running: 4, Batch: 2, OwnBatch: 2}, 4, 0},
		{runnerset.RequestCounts{Running: 6, Batch: 2, OwnBatch: 1}, 4, 2},
		{runnerset.RequestCounts{Running: 6, Batch: 2}, 4, 0},
		{runnerset.RequestCounts{Running: 6, Batch: 2, OwnBatch: 2}, 0, 0},
	} {
		is.New(t).Equal(itemsToPreempt(test.counts, test.slots), test.want)
	}
}

// Late items are preempted first, shorter runs before longer runs. Then come the items
// with the most slack.
func TestPreemptionCost(t *testing.T) {
	costs := []time.Duration{
		preemptionCost(-time.Second, time.Second),
		preemptionCost(-time.Minute, 2*time.Second),
		preemptionCost(time.Minute, time.Second),
		preemptionCost(time.Second, time.Second),
		preemptionCost(0, time.Second),
	}
	is.New(t).True(slices.IsSorted(costs))
}
