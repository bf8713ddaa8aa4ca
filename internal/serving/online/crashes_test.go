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

// guard is a quarantine in memory that records what is reported to it.
type guard struct {
	held      map[quarantine.Fingerprint]time.Duration
	avoid     map[string]bool
	holdAfter int // breaks after which a request is held; 0 for never
	broke     []string
	completed int
}

func (g *guard) Held(fingerprint quarantine.Fingerprint) (time.Duration, bool) {
	left, held := g.held[fingerprint]
	return left, held
}

func (g *guard) RecordBrokenRun(_ string, fingerprint quarantine.Fingerprint, runner, _ string) {
	g.broke = append(g.broke, runner)
	if len(g.broke) == g.holdAfter {
		g.held = map[quarantine.Fingerprint]time.Duration{fingerprint: time.Minute}
	}
}

func (g *guard) RecordCompletion(quarantine.Fingerprint)               { g.completed++ }
func (g *guard) RunnersToAvoid(quarantine.Fingerprint) map[string]bool { return g.avoid }
func (g *guard) Begin(quarantine.Fingerprint, string) func()           { return func() {} }

// serveGuarded serves one request at runners r0 to r3.
func serveGuarded(g *guard, client *fakeRunners, route *catalog.Route) error {
	set := runnerset.New()
	var records []runnerset.Record
	for _, id := range []string{"r0", "r1", "r2", "r3"} {
		records = append(records, runnerset.Record{ID: id, Service: "s", Slots: 4})
	}
	set.Replace(records, 1, time.Now())
	forwarder := New("z", set, client, prometheus.NewRegistry())
	forwarder.Quarantine = g
	now := time.Now()
	request := &CallerRequest{ID: "id", Method: http.MethodPost, URI: "/x", Route: route, Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1}
	return forwarder.Serve(context.Background(), request, &recorder{})
}

// A request that is held reaches no runner, and its caller learns when it may come back.
func TestHeldRequestsAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	fingerprint := (&CallerRequest{Method: http.MethodPost, URI: "/x"}).fingerprint()
	client := &fakeRunners{}
	err := serveGuarded(&guard{held: map[quarantine.Fingerprint]time.Duration{fingerprint: time.Minute}}, client, routeOf(catalog.Streaming, true, 3))
	is.Equal(result.CodeOf(err), result.Quarantined)
	is.Equal(result.FromError(err).RetryAfter, time.Minute)
	is.Equal(client.runs, 0)
}

// A request that comes to be held while it is served is not sent once more, and is
// not reported as not run.
func TestHeldWhileServed(t *testing.T) {
	is := is.New(t)
	client := &fakeRunners{fates: []fate{fateSilent, fateSilent, fateSilent, fateSilent}}
	err := serveGuarded(&guard{holdAfter: 2}, client, routeOf(catalog.Streaming, true, 4))
	is.Equal(result.CodeOf(err), result.OutcomeUnknown)
	is.Equal(client.runs, 2)
}

// Each attempt that broke off is reported, whether it may be repeated or not; answers of
// the runner itself and requests that were not run are not.
func TestBrokenAttemptsAreTold(t *testing.T) {
	for _, test := range []struct {
		name  string
		fates []fate
		route *catalog.Route
		broke int
		whole int
	}{
		{"a stream that goes on elsewhere", []fate{fateBreaks, fateSilent, fateServes}, routeOf(catalog.Streaming, true, 3), 2, 1},
		{"an answer that is lost", []fate{fateSilent}, routeOf(catalog.Once, false, 1), 1, 0},
		{"a runner that is full", []fate{fateFull, fateServes}, routeOf(catalog.Streaming, true, 3), 0, 1},
		{"nobody at the address", []fate{fateRefused, fateServes}, routeOf(catalog.Streaming, true, 3), 0, 1},
		{"the runner's own failure", []fate{fateFails, fateServes}, routeOf(catalog.Streaming, true, 3), 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := &guard{}
			_ = serveGuarded(g, &fakeRunners{fates: test.fates}, test.route)
			is.Equal(len(g.broke), test.broke)
			is.Equal(g.completed, test.whole)
		})
	}
}

// A request under which a runner ended keeps away from runners with another such
// request, unless there is no other runner.
func TestSuspectsKeepApart(t *testing.T) {
	is := is.New(t)
	client := &fakeRunners{}
	is.NoErr(serveGuarded(&guard{avoid: map[string]bool{"r0": true, "r1": true, "r3": true}}, client, routeOf(catalog.Streaming, true, 3)))
	is.Equal(client.runners, []string{"r2"})
	client = &fakeRunners{}
	is.NoErr(serveGuarded(&guard{avoid: map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true}}, client, routeOf(catalog.Streaming, true, 3)))
	is.Equal(client.runs, 1)
}

// What was ended from here, for its silence, says nothing of its runner.
func TestSilenceIsNotReportedAsAnEnd(t *testing.T) {
	is := is.New(t)
	g, runner := &guard{}, &runnerset.Runner{}
	s := &serving{Forwarder: &Forwarder{Quarantine: g}, request: &CallerRequest{}, current: &attempt{runner: runner}}
	s.noteEnding(context.Background())
	is.Equal(len(g.broke), 1)
	s.current.silenced.Store(true)
	s.noteEnding(context.Background())
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	s.current = &attempt{runner: runner}
	s.noteEnding(ended) // the caller left
	s.current = &attempt{runner: runner, firstEvent: time.Now().Add(-time.Minute)}
	s.noteEnding(context.Background()) // it ran for long
	is.Equal(len(g.broke), 1)
}
