package queuerun

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
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

// A run at an earlier start of a runner frees no slot of the later one, so it must not be
// preempted in place of a run there.
func TestRunsAtEarlierStartAreNotPreempted(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scriptedClient{})
	runAt := func(startedAt int64) *run {
		runner := &runnerset.Runner{Record: runnerset.Record{ID: "r1", StartedAt: startedAt}}
		r := &run{runner: runner, work: &queuestore.Work{}}
		executor.register(r)
		return r
	}
	earlier, later := runAt(1000), runAt(2000)
	is.True(executor.cheapestRun("r1@2000", time.Now()) == later)
	executor.unregister(later)
	is.True(executor.cheapestRun("r1@2000", time.Now()) == nil)
	executor.unregister(earlier)
	is.Equal(len(executor.runs), 0)
}
