package queuerun

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// executorWith returns an executor that has listed only runners of the given software versions.
func executorWith(t *testing.T, client *scriptedClient, versions ...string) *ItemExecutor {
	t.Helper()
	runners := runnerset.New()
	var records []runnerset.Record
	for number, version := range versions {
		records = append(records, runnerset.Record{ID: version + "-" + string(rune('0'+number)), Service: "s", Address: "127.0.0.1:1", Zone: "z", Version: version, Slots: 4})
	}
	runners.Replace(records, 1, time.Now())
	return New("z", newExecutor(t, client).Catalogs, runners, client)
}

// writesEvents responds with the first two events, or with the second one if the first is not
// needed.
func writesEvents(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
	if call.ResumeAfter == 1 {
		return responds(200, "id: 2\ndata: b\n\n")(ctx, call)
	}
	return responds(200, twoEvents)(ctx, call)
}

// An item's output must not be continued by another software version: the item goes on at its
// version, or starts again if too few runners of it are left or its version is unknown.
func TestItemOutputIsOfOneSoftwareVersion(t *testing.T) {
	for _, test := range []struct {
		name       string
		version    string // of the output so far; empty if unknown
		runners    []string
		continuing bool
	}{
		{"its version serves", "v1", []string{"v2", "v2", "v1"}, true},
		{"its version is gone", "v1", []string{"v2", "v2"}, false},
		{"unknown, several versions", "", []string{"v1", "v2"}, false},
		{"unknown, one version", "", []string{"v1", "v1"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := &scriptedClient{respond: writesEvents}
			outcome := runOnce(t, executorWith(t, client, test.runners...), workOf(queue.ItemOutput{LastEventID: 1, Text: []byte("a"), SoftwareVersion: test.version}))
			is.True(outcome.Done)
			is.Equal(string(outcome.Output.Text), "a\nb")
			is.Equal(client.calls[0].ResumeAfter == 1, test.continuing)
			is.Equal(outcome.Output.SoftwareVersion, client.calls[0].RunnerID[:2])
		})
	}
}

// An item does not wait for the last runners of a version that is being replaced, but an output
// that goes on there does so at its version only.
func TestItemDoesNotWaitForAVersionThatIsNearlyGone(t *testing.T) {
	is := is.New(t)
	startedAgain := 0
	for range 40 {
		client := &scriptedClient{respond: writesEvents}
		outcome := runOnce(t, executorWith(t, client, "v1", "v2", "v2", "v2", "v2"), workOf(queue.ItemOutput{LastEventID: 1, Text: []byte("a"), SoftwareVersion: "v1"}))
		is.True(outcome.Done)
		is.Equal(client.calls[0].ResumeAfter == 1, client.calls[0].RunnerID == "v1-0")
		if client.calls[0].ResumeAfter < 0 {
			startedAgain++
		}
	}
	is.True(startedAgain > 0)
}

// Guards against item texts of two versions: a runner that had come back under its ID with another version wrote a
// part of the output, which was saved as one of the version that the node still listed.
func TestItemStartsAgainAfterARunnerChangedItsVersion(t *testing.T) {
	is := is.New(t)
	client := &scriptedClient{respond: writesEvents}
	executor := executorWith(t, client, "v1", "v1")
	changed := executor.Runners.Service("s")[0].Record
	changed.Version = "v2"
	executor.Runners.ApplyChanges([]runnerset.Record{changed}, nil, 2, time.Now())
	outcome := runOnce(t, executor, workOf(queue.ItemOutput{LastEventID: 1, Text: []byte("a"), SoftwareVersion: "v1"}))
	is.True(outcome.Done)
	is.Equal(client.calls[0].ResumeAfter, int64(-1))
}
