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

// scripted is a runner that answers by a script, and records what it is sent.
type scripted struct {
	mutex  sync.Mutex
	answer func(ctx context.Context, call *exchange.Call) (*exchange.Response, error)
	calls  []*exchange.Call
}

// Do implements exchange.CallSender.
func (s *scripted) Do(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
	s.mutex.Lock()
	s.calls = append(s.calls, call)
	s.mutex.Unlock()
	return s.answer(ctx, call)
}

func answers(status int, stamped bool, text string) func(context.Context, *exchange.Call) (*exchange.Response, error) {
	return func(context.Context, *exchange.Call) (*exchange.Response, error) {
		return &exchange.Response{Status: status, FromRunner: stamped, Length: -1, Body: io.NopCloser(strings.NewReader(text))}, nil
	}
}

func fails(err error) func(context.Context, *exchange.Call) (*exchange.Response, error) {
	return func(context.Context, *exchange.Call) (*exchange.Response, error) { return nil, err }
}

const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// newExecutor has one runner of four slots.
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

// What comes of a run, for each kind of answer: only the runner's own answer ends
// an item for good or counts as an attempt, and only a whole output is done.
func TestOutcomes(t *testing.T) {
	begun := queue.ItemOutput{LastEventID: 1, Text: []byte("a")}
	for _, test := range []struct {
		name               string
		answer             func(context.Context, *exchange.Call) (*exchange.Response, error)
		from               queue.ItemOutput
		done, dead, failed bool
		text               string
	}{
		{name: "whole", answer: answers(200, true, twoEvents), done: true, text: "a\nb"},
		{name: "goes on after the last event", from: begun, answer: answers(200, true, "id: 2\ndata: b\n\n"), done: true, text: "a\nb"},
		{name: "goes on with an event too early", from: begun, answer: answers(200, true, twoEvents), text: "a"},
		{name: "an event is missing", answer: answers(200, true, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n"), text: "a"},
		{name: "an event comes twice", answer: answers(200, true, "id: 1\ndata: a\n\nid: 1\ndata: a\n\n"), text: "a"},
		{name: "ends within an event", answer: answers(200, true, "id: 1\ndata: a\n\nid: 2\nda"), text: "a"},
		{name: "ends before the first event", answer: answers(200, true, "")},
		{name: "can never be done", answer: answers(422, true, ""), dead: true},
		{name: "another's 422", answer: answers(422, false, "")},
		{name: "the runner failed", answer: answers(500, true, ""), failed: true},
		{name: "another's 500", answer: answers(500, false, "")},
		{name: "a deadline", answer: answers(504, true, "")},
		{name: "full", answer: fails(&exchange.NotRunError{Reason: exchange.ReasonFull, FromRunner: true, Cause: errors.New("full")})},
		{name: "another stands at the address", answer: fails(&exchange.NotRunError{Reason: exchange.ReasonMisdirected, FromRunner: true, Cause: errors.New("421")})},
		{name: "lost", answer: fails(&exchange.OutcomeUnknownError{Cause: io.ErrUnexpectedEOF})},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			client := &scripted{answer: test.answer}
			outcome := runOnce(t, newExecutor(t, client), workOf(test.from))
			is.Equal(outcome.Done, test.done)
			is.Equal(outcome.Dead, test.dead)
			is.Equal(outcome.Failed, test.failed)
			is.Equal(string(outcome.Output.Text), test.text)
			is.Equal(outcome.Attempts, 3)
			is.Equal(len(client.calls), 1)
			call := client.calls[0]
			is.Equal(call.RunnerID, "r1") // the incarnation that is meant
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

// An item whose route is gone is given up only once the configuration without
// it has been in force for a while: it may come back with the next version.
func TestRouteGone(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scripted{answer: answers(200, true, twoEvents)})
	work := workOf(queue.ItemOutput{})
	work.Item.Path = "/gone/1"
	is.True(!executor.TryStart(context.Background(), work, func(queuestore.Outcome) { t.Error("given up at once") }))
}

// The run whose interruption costs least is preempted: one that is late anyway
// before all others, then the one with the most time to spare. Its output so
// far is kept, and its runner is not ejected for it.
func TestPreemption(t *testing.T) {
	is := is.New(t)
	silent := func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
		<-ctx.Done()
		return nil, &exchange.OutcomeUnknownError{Cause: ctx.Err()}
	}
	executor := newExecutor(t, &scripted{answer: silent})
	ended := make(chan string, 3)
	for _, item := range []struct {
		id    string
		slack time.Duration
	}{{"tight", time.Second}, {"late", -time.Second}, {"spare", time.Minute}} {
		work := workOf(queue.ItemOutput{LastEventID: 1, Text: []byte("a")})
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
	online(1) // four slots hold the three and one
	online(2)
	is.Equal(<-ended, "late")
	online(3)
	is.Equal(<-ended, "spare")
	is.Equal(executor.running("r1"), 1)
	choice := executor.Runners.Pick(&runnerset.Criteria{Service: "s", Zone: "z"}, time.Now())
	is.True(choice.Runner != nil && choice.Cost < time.Second) // not ejected
}

// running returns how many runs are registered at a runner.
func (e *ItemExecutor) running(runner string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs[runner])
}

// guard is a quarantine in memory.
type guard struct {
	held      time.Duration
	avoid     map[string]bool
	broke     int
	completed int
}

func (g *guard) Held(quarantine.Fingerprint) (time.Duration, bool) { return g.held, g.held > 0 }
func (g *guard) RecordBrokenRun(string, quarantine.Fingerprint, string, string) {
	g.broke++
}
func (g *guard) RecordCompletion(quarantine.Fingerprint)               { g.completed++ }
func (g *guard) RunnersToAvoid(quarantine.Fingerprint) map[string]bool { return g.avoid }
func (g *guard) Begin(quarantine.Fingerprint, string) func()           { return func() {} }

// An item under which runners end is not run, and not given up for it: it waits, and
// what it had produced is kept.
func TestHeldItemsWait(t *testing.T) {
	is := is.New(t)
	client := &scripted{answer: answers(200, true, twoEvents)}
	executor := newExecutor(t, client)
	executor.Quarantine = &guard{held: time.Hour}
	begun := queue.ItemOutput{LastEventID: 1, Text: []byte("a")}
	outcome := runOnce(t, executor, workOf(begun))
	is.Equal(len(client.calls), 0)
	is.True(!outcome.Dead && !outcome.Done && !outcome.Failed)
	is.Equal(outcome.RetryDelay, maxHeldWait)
	is.Equal(outcome.Output, begun)
}

// Runs that broke off are reported, those that a runner answered or that were not run are
// not; a run that goes through is reported as well.
func TestBrokenRunsAreReported(t *testing.T) {
	for _, test := range []struct {
		name             string
		answer           func(context.Context, *exchange.Call) (*exchange.Response, error)
		broke, completed int
	}{
		{"whole", answers(200, true, twoEvents), 0, 1},
		{"breaks off", answers(200, true, "id: 1\ndata: a\n\nid: 2\nda"), 1, 0},
		{"lost", fails(&exchange.OutcomeUnknownError{Cause: io.ErrUnexpectedEOF}), 1, 0},
		{"ended from here", fails(&exchange.OutcomeUnknownError{Cause: context.Canceled}), 0, 0},
		{"the runner failed", answers(500, true, ""), 0, 0},
		{"not run", fails(&exchange.NotRunError{Reason: exchange.ReasonDial, Cause: errors.New("refused")}), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			executor, g := newExecutor(t, &scripted{answer: test.answer}), &guard{}
			executor.Quarantine = g
			runOnce(t, executor, workOf(queue.ItemOutput{}))
			is.Equal(g.broke, test.broke)
			is.Equal(g.completed, test.completed)
		})
	}
}

// A suspected item does not run beside another.
func TestSuspectedItemsRunApart(t *testing.T) {
	is := is.New(t)
	executor := newExecutor(t, &scripted{answer: answers(200, true, twoEvents)})
	executor.Quarantine = &guard{avoid: map[string]bool{"r1": true}}
	is.True(!executor.TryStart(context.Background(), workOf(queue.ItemOutput{}), func(queuestore.Outcome) { t.Error("it was run") }))
}

// The executor waits for its runs, which end with the contexts of their items, and
// starts nothing once it is ending.
func TestWaitEndsWithTheRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		executor := newExecutor(t, &scripted{answer: func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
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
		is.True(!waited.Load()) // the run goes on
		cancel()
		synctest.Wait()
		is.True(ended.Load())
		is.True(waited.Load())
		is.True(!executor.TryStart(context.Background(), workOf(queue.ItemOutput{}), func(queuestore.Outcome) { t.Error("started") }))
		is.Equal(executor.Runners.Service("s")[0].OwnLoad(), runnerset.NodeLoad{}) // nothing is left in flight
	})
}
