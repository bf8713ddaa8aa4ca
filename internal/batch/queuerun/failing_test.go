package queuerun

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// A runner that answers every item with an error at once has free slots all the time. It
// must not attract the items of a shard until they have used up their attempts.
func TestFailingRunnerDoesNotAttractItems(t *testing.T) {
	is := is.New(t)
	failures := 0
	client := &scriptedClient{respond: func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
		if call.RunnerID == "failing" {
			failures++
			return responds(500, "")(ctx, call)
		}
		return responds(200, twoEvents)(ctx, call)
	}}
	executor := newExecutor(t, client)
	executor.Runners.Replace([]runnerset.Record{
		{ID: "failing", Service: "s", Zone: "z", Slots: 4}, {ID: "sound", Service: "s", Zone: "z", Slots: 4},
	}, 2, time.Now())
	const items = 40
	for number := range items {
		work := workOf(queue.ItemOutput{})
		work.Item.Body = fmt.Append(nil, "body ", number)
		outcome := runOnce(t, executor, work)
		if !outcome.Failed {
			continue
		}
		is.Equal(outcome.Runner, "failing")
		work.FailedRunners = map[string]time.Time{outcome.Runner: time.Now()}
		is.True(runOnce(t, executor, work).Done) // not at the same runner again
	}
	is.True(failures <= 2) // the second error ejects the runner for longer than the test takes
}

// An item goes to the runner that reported a failure of the item again once the penalty has
// passed, since it may be the only one.
func TestFailedRunnerIsUsedAgain(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scriptedClient{respond: responds(200, twoEvents)})
	work := workOf(queue.ItemOutput{})
	work.FailedRunners = map[string]time.Time{"r1": time.Now()}
	is.True(!executor.TryStart(context.Background(), work, func(queuestore.Outcome) { t.Error("it was run") }))
	is.Equal(work.FullService, "") // the runner has free slots for other items
	is.True(work.NotBefore.After(time.Now()))
	work.FailedRunners["r1"] = time.Now().Add(-failedRunnerPenalty)
	is.True(runOnce(t, executor, work).Done)
}

// A full service is reported as full by an item whose penalties have passed, so that not every
// item is tried.
func TestFullServiceIsReported(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scriptedClient{respond: responds(200, twoEvents)})
	executor.Runners.Replace([]runnerset.Record{}, 2, time.Now())
	work := workOf(queue.ItemOutput{})
	work.FailedRunners = map[string]time.Time{"r1": time.Now().Add(-failedRunnerPenalty)}
	is.True(!executor.TryStart(context.Background(), work, func(queuestore.Outcome) { t.Error("it was run") }))
	is.Equal(work.FullService, "s")
	is.True(work.NotBefore.IsZero())
}

// A run that ends with its runner is no failure of the item.
func TestRunThatEndsWithItsRunnerIsNoFailure(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scriptedClient{respond: responds(200, "id: 1\ndata: a\n\nid: 2\nda")})
	executor.Quarantine = &fakeGuard{ended: true}
	outcome := runOnce(t, executor, workOf(queue.ItemOutput{}))
	is.True(outcome.RunnerEnded && !outcome.Failed && !outcome.Dead && !outcome.Done)
}

// Guards against a runner whose events do not end: an item's output must not grow for ever. The item
// starts again.
func TestOutputWithoutEndIsDropped(t *testing.T) {
	for name, event := range map[string]string{"many events": "x", "long events": strings.Repeat("x", 512<<10)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stream strings.Builder
			for number := range 200 {
				fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", number+1, event)
			}
			executor := newExecutor(t, &scriptedClient{respond: responds(200, stream.String())})
			work := workOf(queue.ItemOutput{})
			work.Item.MaxOutputTokens = 100
			outcome := runOnce(t, executor, work)
			is.True(!outcome.Done && !outcome.Dead && !outcome.Failed)
			is.Equal(outcome.Output.LastEventID, int64(0))
		})
	}
}
