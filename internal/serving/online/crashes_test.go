package online

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// guard is an in-memory quarantine that records the reports to it.
type guard struct {
	held      map[quarantine.Fingerprint]time.Duration
	avoid     map[string]bool
	holdAfter int // number of broken runs after which a request is quarantined; 0 for never
	broke     []string
	last      quarantine.Run // of the last broken run
	completed int
	survived  int
	ended     bool // whether runners have ended
}

func (g *guard) Held(work *quarantine.Work) (quarantine.Refusal, bool) {
	left, held := g.held[work.Fingerprint]
	return quarantine.Refusal{Fingerprint: work.Fingerprint, Remaining: left}, held
}

func (g *guard) RecordBrokenRun(work *quarantine.Work, run quarantine.Run) bool {
	g.broke, g.last = append(g.broke, run.Start), run
	if len(g.broke) == g.holdAfter {
		g.held = map[quarantine.Fingerprint]time.Duration{work.Fingerprint: time.Minute}
	}
	return true
}

func (g *guard) RecordCompletion(*quarantine.Work, quarantine.Run)     { g.completed++ }
func (g *guard) RecordSurvival(*quarantine.Work, quarantine.Run)       { g.survived++ }
func (g *guard) ReturnTrials(*quarantine.Work)                         {}
func (g *guard) HasEnded(_, _ string) bool                             { return g.ended }
func (g *guard) RunnersToAvoid(quarantine.Fingerprint) map[string]bool { return g.avoid }
func (g *guard) Begin(quarantine.Fingerprint, string) func()           { return func() {} }

// serveGuarded serves one request with the runners r0 to r3.
func serveGuarded(g *guard, client *fakeRunners, route *catalog.Route) error {
	set := runnerset.New()
	var records []runnerset.Record
	for _, id := range []string{"r0", "r1", "r2", "r3"} {
		records = append(records, runnerset.Record{ID: id, Service: "s", Version: "v1", Slots: 4})
	}
	set.Replace(records, 1, time.Now())
	forwarder := New("z", set, client, prometheus.NewRegistry())
	forwarder.Quarantine = g
	now := time.Now()
	request := &CallerRequest{ID: "id", Method: http.MethodPost, URI: "/x", Route: route, Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1}
	return forwarder.Serve(context.Background(), request, &recorder{})
}

// A quarantined request reaches no runner, and its caller learns when to retry.
func TestQuarantinedRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	fingerprint := (&CallerRequest{Method: http.MethodPost, URI: "/x"}).fingerprint()
	client := &fakeRunners{}
	err := serveGuarded(&guard{held: map[quarantine.Fingerprint]time.Duration{fingerprint: time.Minute}}, client, routeOf(catalog.Streaming, true, 3))
	is.Equal(result.CodeOf(err), result.Quarantined)
	is.Equal(result.FromError(err).RetryAfter, time.Minute)
	is.Equal(client.runs, 0)
}

// A request that is quarantined while it is served is not retried, and is not reported
// as not run.
func TestQuarantinedWhileServed(t *testing.T) {
	is := is.New(t)
	client := &fakeRunners{outcomes: []outcome{outcomeUnresponsive, outcomeUnresponsive, outcomeUnresponsive, outcomeUnresponsive}}
	err := serveGuarded(&guard{holdAfter: 2}, client, routeOf(catalog.Streaming, true, 4))
	is.Equal(result.CodeOf(err), result.OutcomeUnknown)
	is.Equal(client.runs, 2)
}

// Each broken attempt is reported, even if the request may not be repeated; error
// responses of the runner and attempts that did not run are not reported.
func TestBrokenAttemptsAreReported(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []outcome
		route    *catalog.Route
		broke    int
		whole    int
	}{
		{"a stream that continues at another runner", []outcome{outcomeBreaks, outcomeUnresponsive, outcomeServes}, routeOf(catalog.Streaming, true, 3), 2, 1},
		{"a lost response", []outcome{outcomeUnresponsive}, routeOf(catalog.Once, false, 1), 1, 0},
		{"a full runner", []outcome{outcomeFull, outcomeServes}, routeOf(catalog.Streaming, true, 3), 0, 1},
		{"a refused connection", []outcome{outcomeRefused, outcomeServes}, routeOf(catalog.Streaming, true, 3), 0, 1},
		{"an error response of the runner", []outcome{outcomeFails, outcomeServes}, routeOf(catalog.Streaming, true, 3), 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := &guard{}
			_ = serveGuarded(g, &fakeRunners{outcomes: test.outcomes}, test.route)
			is.Equal(len(g.broke), test.broke)
			is.Equal(g.completed, test.whole)
		})
	}
}

// A request that is suspected of crashing a runner avoids runners with another suspect
// request, unless there is no other runner.
func TestSuspectRequestsUseSeparateRunners(t *testing.T) {
	is := is.New(t)
	client := &fakeRunners{}
	is.NoErr(serveGuarded(&guard{avoid: map[string]bool{"r0": true, "r1": true, "r3": true}}, client, routeOf(catalog.Streaming, true, 3)))
	is.Equal(client.runners, []string{"r2"})
	client = &fakeRunners{}
	is.NoErr(serveGuarded(&guard{avoid: map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true}}, client, routeOf(catalog.Streaming, true, 3)))
	is.Equal(client.runs, 1)
}

// An attempt that was ended by the idle timeout or the caller is not reported as broken. Whether an
// attempt whose first event arrived long ago counts is the quarantine's decision, which needs its time.
func TestIdleTimeoutIsNotReportedAsBrokenRun(t *testing.T) {
	is := is.New(t)
	g, runner := &guard{}, &runnerset.Runner{}
	s := &activeRequest{Forwarder: &Forwarder{Quarantine: g}, request: &CallerRequest{}, work: &quarantine.Work{}, current: &attempt{runner: runner}}
	s.reportBrokenRun(context.Background())
	is.Equal(len(g.broke), 1)
	s.current.idleTimedOut.Store(true)
	s.reportBrokenRun(context.Background())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.current = &attempt{runner: runner}
	s.reportBrokenRun(ended) // the caller has left
	is.Equal(len(g.broke), 1)
	s.current = &attempt{runner: runner, firstEvent: time.Now().Add(-time.Minute)}
	s.reportBrokenRun(context.Background())
	is.Equal(len(g.broke), 2)
	is.True(!quarantine.IsSuspectRun(g.last.FirstEvent, time.Now()))
}

// An attempt that goes on when its request is no suspect any more is reported once.
func TestSurvivalIsReportedOnce(t *testing.T) {
	is := is.New(t)
	g := &guard{}
	s := &activeRequest{
		Forwarder: &Forwarder{Quarantine: g}, request: &CallerRequest{}, work: &quarantine.Work{},
		current: &attempt{runner: &runnerset.Runner{}, firstEvent: time.Now()},
	}
	s.recordSurvival()
	is.Equal(g.survived, 0)
	s.current.firstEvent = time.Now().Add(-time.Minute)
	s.recordSurvival()
	s.recordSurvival()
	is.Equal(g.survived, 1)
}

// A broken run is reported with the start of the runner that executed it: a runner that
// restarts under its ID ends once for each start.
func TestBrokenRunIsReportedByStart(t *testing.T) {
	is := is.New(t)
	g, runner := &guard{}, &runnerset.Runner{Record: runnerset.Record{ID: "r", StartedAt: 5}}
	s := &activeRequest{Forwarder: &Forwarder{Quarantine: g}, request: &CallerRequest{}, work: &quarantine.Work{}, current: &attempt{runner: runner}}
	s.reportBrokenRun(context.Background())
	is.Equal(g.broke, []string{"r@5"})
}

// A runner that dies after the head of its response may close the connection cleanly. If the
// response has neither a length nor chunks, that looks like its end. Such a run is no evidence
// for the request, and the request is served by another runner.
func TestResponseThatEndsWithItsRunnerIsBroken(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []outcome
		ended    bool
		broke    int
		whole    int
		failed   bool
	}{
		{"no event", []outcome{outcomeClosesEmpty, outcomeServes}, false, 1, 1, false},
		{"all events, and the runner has ended", []outcome{outcomeCloses, outcomeServes}, true, 1, 0, false},
		{"all events, and the runner lives", []outcome{outcomeCloses}, false, 0, 1, false},
		{"no event, at each runner", []outcome{outcomeClosesEmpty, outcomeClosesEmpty, outcomeClosesEmpty}, true, 3, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := &guard{ended: test.ended}
			err := serveGuarded(g, &fakeRunners{outcomes: test.outcomes}, routeOf(catalog.Streaming, true, 3))
			is.Equal(err != nil, test.failed)
			is.Equal(len(g.broke), test.broke)
			is.Equal(g.completed, test.whole)
		})
	}
}

// A request with a part in its prompt that is quarantined by now is not sent, even if its
// attempt had begun before.
func TestQuarantineIsCheckedBeforeTheSend(t *testing.T) {
	is := is.New(t)
	g := &guard{}
	request := &CallerRequest{Route: routeOf(catalog.Streaming, true, 1)}
	s := &activeRequest{Forwarder: &Forwarder{Quarantine: g, Runners: runnerset.New()}, request: request, work: request.work(), current: &attempt{}}
	call := s.call(&runnerset.Runner{})
	is.True(call.MaySend())
	g.held = map[quarantine.Fingerprint]time.Duration{s.work.Fingerprint: time.Minute}
	is.True(!call.MaySend())
}

// The work of a request has its shared parts, of its tenant, without repetitions.
func TestWorkNamesTheSharedParts(t *testing.T) {
	is := is.New(t)
	request := &CallerRequest{
		Route: routeOf(catalog.Streaming, true, 1), Tenant: &catalog.Tenant{Name: "a"},
		Prompt: runnerset.Prompt{SharedParts: []runnerset.PromptPart{{ID: 1, Name: "x"}, {ID: 2}, {ID: 1, Name: "x"}}},
	}
	is.Equal(request.work().Parts, []quarantine.Part{quarantine.NewPart("a", 1, "x"), quarantine.NewPart("a", 2, "")})
}
