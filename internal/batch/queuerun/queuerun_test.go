package queuerun

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// scriptedClient responds to calls with a function, and records the calls.
type scriptedClient struct {
	mutex   sync.Mutex
	respond func(ctx context.Context, call *exchange.Call) (*exchange.Response, error)
	calls   []*exchange.Call
}

// testVersion is the software version of the runner r1, which states none.
const testVersion = "unstated r1"

// Do implements exchange.CallSender.
func (s *scriptedClient) Do(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
	s.mutex.Lock()
	s.calls = append(s.calls, call)
	s.mutex.Unlock()
	return s.respond(ctx, call)
}

func responds(status int, text string) func(context.Context, *exchange.Call) (*exchange.Response, error) {
	return func(context.Context, *exchange.Call) (*exchange.Response, error) {
		return &exchange.Response{Status: status, Length: -1, Body: io.NopCloser(strings.NewReader(text))}, nil
	}
}

func respondsForeign(status int) func(context.Context, *exchange.Call) (*exchange.Response, error) {
	return fails(&exchange.OutcomeUnknownError{Cause: &exchange.ForeignResponseError{Status: status, Reason: exchange.ForeignUnsigned}})
}

func fails(err error) func(context.Context, *exchange.Call) (*exchange.Response, error) {
	return func(context.Context, *exchange.Call) (*exchange.Response, error) { return nil, err }
}

const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// newExecutor returns an executor with one runner of four slots.
func newExecutor(t *testing.T, client exchange.CallSender) *ItemExecutor {
	t.Helper()
	runners := runnerset.New()
	runners.Replace([]runnerset.Record{{ID: "r1", Service: "s", Address: "127.0.0.1:1", Zone: "z", Slots: 4}}, 1, time.Now())
	catalogs := catalog.NewHolder()
	parsed, err := catalog.New(1, []*catalog.Route{{
		Name: "jobs", Host: "h", PathPrefix: "/x/", Kind: catalog.Batch, Attempts: 3, Services: []catalog.WeightedService{{Service: "s", Weight: 1}},
	}}, []*catalog.Service{{Name: "s", Slots: 4}}, catalog.RequestLimits{})
	if err != nil {
		t.Fatal(err)
	}
	catalogs.UpdateIfNewer(parsed, nil, 1, time.Now())
	return New("z", catalogs, runners, client)
}

func workOf(output queue.ItemOutput) *queuestore.Work {
	return &queuestore.Work{
		Key: queue.ItemKey{Job: "j"}, Host: "h", Output: output, Save: func(queue.ItemOutput) {},
		Item: &wirev1.QueueItem{Id: "i", Path: "/x/1", Body: []byte("body"), Tokens: 10, Headers: []*wirev1.HeaderField{{Name: "Model", Value: "m"}}},
	}
}

func runOnce(t *testing.T, executor *ItemExecutor, work *queuestore.Work) queuestore.Outcome {
	t.Helper()
	outcomes := make(chan queuestore.Outcome, 1)
	if !executor.TryStart(context.Background(), work, func(outcome queuestore.Outcome) { outcomes <- outcome }) {
		t.Fatal("not started")
	}
	return <-outcomes
}

// Only a response of the runner itself ends an item for good or counts as a failed
// attempt, and only a complete output makes the item done.
func TestRunOutcomes(t *testing.T) {
	begun := queue.ItemOutput{LastEventID: 1, Text: []byte("a"), SoftwareVersion: testVersion}
	for _, test := range []struct {
		name               string
		respond            func(context.Context, *exchange.Call) (*exchange.Response, error)
		from               queue.ItemOutput
		done, dead, failed bool
		text               string
	}{
		{name: "complete", respond: responds(200, twoEvents), done: true, text: "a\nb"},
		{name: "resumes after the last event", from: begun, respond: responds(200, "id: 2\ndata: b\n\n"), done: true, text: "a\nb"},
		{name: "resumes with an earlier event", from: begun, respond: responds(200, twoEvents), text: "a"},
		{name: "an event is missing", respond: responds(200, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n"), text: "a"},
		{name: "an event is repeated", respond: responds(200, "id: 1\ndata: a\n\nid: 1\ndata: a\n\n"), text: "a"},
		{name: "stream ends within an event", respond: responds(200, "id: 1\ndata: a\n\nid: 2\nda"), text: "a"},
		{name: "stream ends before the first event", respond: responds(200, "")},
		{name: "unprocessable", respond: responds(422, ""), dead: true},
		{name: "422 not from the runner", respond: respondsForeign(422)},
		{name: "success not from the runner", respond: respondsForeign(200)},
		{name: "success not from the runner after the first event", from: begun, respond: respondsForeign(200), text: "a"},
		{name: "runner failed", respond: responds(500, ""), failed: true},
		{name: "500 not from the runner", respond: respondsForeign(500)},
		{name: "deadline exceeded", respond: responds(504, "")},
		{name: "full", respond: fails(&exchange.NotRunError{Reason: exchange.ReasonFull, FromRunner: true, Cause: errors.New("full")})},
		{name: "another runner at the address", respond: fails(&exchange.NotRunError{Reason: exchange.ReasonMisdirected, FromRunner: true, Cause: errors.New("421")})},
		{name: "connection lost", respond: fails(&exchange.OutcomeUnknownError{Cause: io.ErrUnexpectedEOF})},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := &scriptedClient{respond: test.respond}
			outcome := runOnce(t, newExecutor(t, client), workOf(test.from))
			is.Equal(outcome.Done, test.done)
			is.Equal(outcome.Dead, test.dead)
			is.Equal(outcome.Failed, test.failed)
			is.Equal(string(outcome.Output.Text), test.text)
			is.Equal(outcome.Attempts, 3)
			is.Equal(len(client.calls), 1)
			call := client.calls[0]
			is.Equal(call.RunnerID, "r1") // the ID of the selected incarnation
			is.Equal(string(call.Body), "body")
			is.Equal(call.Headers, []exchange.Header{{Name: "Model", Value: "m"}})
			resume := int64(-1)
			if test.from.LastEventID > 0 {
				resume = test.from.LastEventID
			}
			is.Equal(call.ResumeAfter, resume)
		})
	}
}

// An item whose route is missing does not fail until the configuration without the route
// has been active for a while, because the next version may restore the route.
func TestMissingRouteIsRetriedAtFirst(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scriptedClient{respond: responds(200, twoEvents)})
	work := workOf(queue.ItemOutput{})
	work.Item.Path = "/gone/1"
	is.True(!executor.TryStart(context.Background(), work, func(queuestore.Outcome) { t.Error("failed at once") }))
}

// The run with the lowest cost is preempted: first the run of a late item, then the run
// of the item with the most slack. The output so far is kept, and the runner is not ejected.
func TestPreemption(t *testing.T) {
	is := is.New(t)
	unresponsive := func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
		<-ctx.Done()
		return nil, &exchange.OutcomeUnknownError{Cause: ctx.Err()}
	}
	executor := newExecutor(t, &scriptedClient{respond: unresponsive})
	ended := make(chan string, 3)
	for _, item := range []struct {
		id    string
		slack time.Duration
	}{{"tight", time.Second}, {"late", -time.Second}, {"spare", time.Minute}} {
		work := workOf(queue.ItemOutput{LastEventID: 1, Text: []byte("a"), SoftwareVersion: testVersion})
		work.Item.Id, work.Slack = item.id, item.slack
		is.True(executor.TryStart(context.Background(), work, func(outcome queuestore.Outcome) {
			if string(outcome.Output.Text) != "a" || outcome.Failed || outcome.Dead {
				t.Errorf("%s: %+v", work.Item.Id, outcome)
			}
			ended <- work.Item.Id
		}))
	}
	online := func(running int) {
		executor.Runners.RecordPeerReport("edge", "r1", runnerset.PeerReport{NodeLoad: runnerset.NodeLoad{Running: running}}, time.Now())
	}
	eventually.Require(t, "three runs are registered", func() bool { return executor.running("r1") == 3 }, func() any { return executor.running("r1") })
	online(1) // the four slots hold the three items and one request
	online(2)
	is.Equal(<-ended, "late")
	online(3)
	is.Equal(<-ended, "spare")
	is.Equal(executor.running("r1"), 1)
	choice := executor.Runners.Pick(&runnerset.Criteria{Service: "s", Zone: "z"}, time.Now())
	is.True(choice.Runner != nil && choice.Cost < time.Second) // not ejected
}

// running returns the number of runs registered at a runner.
func (e *ItemExecutor) running(runner string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs[runner])
}

// fakeGuard is a quarantine in memory.
type fakeGuard struct {
	held      time.Duration
	avoid     map[string]bool
	broken    int
	completed int
	survived  int
	ended     bool // whether runners have ended
}

func (g *fakeGuard) Held(*quarantine.Work) (quarantine.Refusal, bool) {
	return quarantine.Refusal{Remaining: g.held}, g.held > 0
}

func (g *fakeGuard) RecordBrokenRun(*quarantine.Work, quarantine.Run) bool {
	g.broken++
	return g.ended
}
func (g *fakeGuard) RecordCompletion(*quarantine.Work, quarantine.Run)     { g.completed++ }
func (g *fakeGuard) RecordSurvival(*quarantine.Work, quarantine.Run)       { g.survived++ }
func (g *fakeGuard) ReturnTrials(*quarantine.Work)                         {}
func (g *fakeGuard) HasEnded(_, _ string) bool                             { return g.ended }
func (g *fakeGuard) RunnersToAvoid(quarantine.Fingerprint) map[string]bool { return g.avoid }
func (g *fakeGuard) Begin(quarantine.Fingerprint, string) func()           { return func() {} }

// A quarantined item does not run and does not fail: it waits, and its output so far is
// kept.
func TestQuarantinedItemsWait(t *testing.T) {
	is := is.New(t)
	client := &scriptedClient{respond: responds(200, twoEvents)}
	executor := newExecutor(t, client)
	executor.Quarantine = &fakeGuard{held: time.Hour}
	begun := queue.ItemOutput{LastEventID: 1, Text: []byte("a"), SoftwareVersion: testVersion}
	outcome := runOnce(t, executor, workOf(begun))
	is.Equal(len(client.calls), 0)
	is.True(!outcome.Dead && !outcome.Done && !outcome.Failed)
	is.Equal(outcome.RetryDelay, maxQuarantineWait)
	is.Equal(outcome.Output, begun)
}

// Broken and completed runs are reported to the quarantine. Runs to which the runner
// responded with an error, runs that never started and cancelled runs are not.
func TestBrokenRunsAreReported(t *testing.T) {
	for _, test := range []struct {
		name              string
		respond           func(context.Context, *exchange.Call) (*exchange.Response, error)
		broken, completed int
	}{
		{"complete", responds(200, twoEvents), 0, 1},
		{"stream broken", responds(200, "id: 1\ndata: a\n\nid: 2\nda"), 1, 0},
		{"connection lost", fails(&exchange.OutcomeUnknownError{Cause: io.ErrUnexpectedEOF}), 1, 0},
		{"cancelled by this node", fails(&exchange.OutcomeUnknownError{Cause: context.Canceled}), 0, 0},
		{"runner failed", responds(500, ""), 0, 0},
		{"not run", fails(&exchange.NotRunError{Reason: exchange.ReasonDial, Cause: errors.New("refused")}), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			executor, g := newExecutor(t, &scriptedClient{respond: test.respond}), &fakeGuard{}
			executor.Quarantine = g
			runOnce(t, executor, workOf(queue.ItemOutput{}))
			is.Equal(g.broken, test.broken)
			is.Equal(g.completed, test.completed)
		})
	}
}

// A stream that ends with its connection is broken if its runner has ended: that is no evidence
// for the item, and its output is not taken as whole.
func TestItemStreamThatEndsWithItsRunnerIsBroken(t *testing.T) {
	for _, ended := range []bool{false, true} {
		is := is.New(t)
		respond := responds(200, twoEvents)
		client := &scriptedClient{respond: func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			response, err := respond(ctx, call)
			response.EndsWithConnection = true
			return response, err
		}}
		executor, g := newExecutor(t, client), &fakeGuard{ended: ended}
		executor.Quarantine = g
		outcome := runOnce(t, executor, workOf(queue.ItemOutput{}))
		is.Equal(outcome.Done, !ended)
		is.Equal(g.completed == 1, !ended)
		is.Equal(g.broken == 1, ended)
	}
}

// An item is not started at a runner that the quarantine excludes.
func TestQuarantineExcludesRunners(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scriptedClient{respond: responds(200, twoEvents)})
	executor.Quarantine = &fakeGuard{avoid: map[string]bool{"r1": true}}
	is.True(!executor.TryStart(context.Background(), workOf(queue.ItemOutput{}), func(queuestore.Outcome) { t.Error("it was run") }))
}

// Wait returns after all runs have ended with the contexts of their items. The executor
// starts no run afterwards.
func TestWaitReturnsAfterTheRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executor := newExecutor(t, &scriptedClient{respond: func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
			<-ctx.Done()
			return nil, &exchange.OutcomeUnknownError{Cause: ctx.Err()}
		}})
		ctx, cancel := context.WithCancel(context.Background())
		var ended, waited atomic.Bool
		is.True(executor.TryStart(ctx, workOf(queue.ItemOutput{}), func(queuestore.Outcome) { ended.Store(true) }))
		go func() {
			executor.Wait()
			waited.Store(true)
		}()
		synctest.Wait()
		is.True(!waited.Load()) // the run is still in progress
		cancel()
		synctest.Wait()
		is.True(ended.Load())
		is.True(waited.Load())
		is.True(!executor.TryStart(context.Background(), workOf(queue.ItemOutput{}), func(queuestore.Outcome) { t.Error("started") }))
		is.Equal(executor.Runners.Service("s")[0].OwnLoad(), runnerset.NodeLoad{}) // no request is left in flight
	})
}
