package online

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// outcome is how a fake runner handles a call.
type outcome string

const (
	outcomeServes       outcome = "serves"       // the complete response
	outcomeBreaks       outcome = "breaks"       // the response breaks off after some events
	outcomeSkips        outcome = "skips"        // an event is missing
	outcomeRepeats      outcome = "repeats"      // an event comes twice
	outcomeForeign      outcome = "foreign"      // a response that is not the runner's own
	outcomeFull         outcome = "full"         // the runner reports that it has not run the request
	outcomeRefused      outcome = "refused"      // the connection is refused
	outcomeUnresponsive outcome = "unresponsive" // the request is sent, and the connection breaks without a response
	outcomeFails        outcome = "fails"        // the runner's own 500
	// outcomeCloses is a complete response that ends with its connection, and outcomeClosesEmpty
	// one without an event.
	outcomeCloses      outcome = "closes"
	outcomeClosesEmpty outcome = "closes empty"
)

var outcomes = []outcome{outcomeServes, outcomeBreaks, outcomeSkips, outcomeRepeats, outcomeForeign, outcomeFull, outcomeRefused, outcomeUnresponsive, outcomeFails}

const events = 5

// fakeRunners handle calls with a list of outcomes and record the runs.
type fakeRunners struct {
	mutex    sync.Mutex
	outcomes []outcome
	runs     int
	runners  []string
	resumes  []int64
}

func (f *fakeRunners) Do(_ context.Context, call *exchange.Call) (*exchange.Response, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := outcomeServes
	if len(f.outcomes) > 0 {
		next, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	switch next {
	case outcomeFull:
		return nil, &exchange.NotRunError{Reason: exchange.ReasonFull, FromRunner: true, Cause: errors.New("full")}
	case outcomeRefused:
		return nil, &exchange.NotRunError{Reason: exchange.ReasonDial, Cause: errors.New("refused")}
	}
	f.runs++
	f.runners = append(f.runners, call.RunnerID)
	f.resumes = append(f.resumes, call.ResumeAfter)
	switch next {
	case outcomeUnresponsive:
		return nil, &exchange.OutcomeUnknownError{Cause: io.ErrUnexpectedEOF}
	case outcomeForeign:
		return nil, &exchange.OutcomeUnknownError{Cause: &exchange.ForeignResponseError{Status: http.StatusOK, Reason: exchange.ForeignUnsigned}}
	case outcomeFails:
		return &exchange.Response{Status: http.StatusInternalServerError, Length: 4, Body: io.NopCloser(strings.NewReader("fail"))}, nil
	}
	return &exchange.Response{
		Status: http.StatusOK, Length: -1, Body: &fakeStream{next: max(0, call.ResumeAfter) + 1, outcome: next},
		EndsWithConnection: next == outcomeCloses || next == outcomeClosesEmpty,
	}, nil
}

// fakeStream is an event stream with an optional fault.
type fakeStream struct {
	next    int64
	outcome outcome
	pending []byte
}

func (s *fakeStream) Read(buffer []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.next > events || s.outcome == outcomeClosesEmpty {
			return 0, io.EOF
		}
		if s.outcome == outcomeBreaks && s.next > 2 {
			return copy(buffer, "id: 3\nda"), io.ErrUnexpectedEOF
		}
		s.pending = fmt.Appendf(nil, "id: %d\ndata: e%d\n\n", s.next, s.next)
		if !(s.outcome == outcomeRepeats && s.next == 2) {
			s.next++
		} else {
			s.outcome = outcomeServes
		}
		if s.outcome == outcomeSkips && s.next == 3 {
			s.next++
		}
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

func (*fakeStream) Close() error { return nil }

// recorder is a responder that records the response.
type recorder struct {
	status int
	body   strings.Builder
}

func (r *recorder) Head(status int, _ []exchange.Header, _ int64) { r.status = status }

func (r *recorder) Write(data []byte) error {
	_, _ = r.body.Write(data)
	return nil
}

func wholeStream() string {
	var text strings.Builder
	for id := 1; id <= events; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: e%d\n\n", id, id)
	}
	return text.String()
}

func serveWith(client exchange.CallSender, route *catalog.Route, runners int) (*recorder, error) {
	set := runnerset.New()
	var records []runnerset.Record
	for i := range runners {
		records = append(records, runnerset.Record{ID: fmt.Sprintf("r%d", i), Service: "s", Version: "v1", Slots: 4})
	}
	set.Replace(records, 1, time.Now())
	forwarder := New("z", set, client, prometheus.NewRegistry())
	forwarder.listWait = time.Millisecond
	caller := &recorder{}
	now := time.Now()
	request := &CallerRequest{ID: "id", Method: http.MethodPost, URI: "/x", Route: route, Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1}
	return caller, forwarder.Serve(context.Background(), request, caller)
}

func routeOf(kind catalog.RouteKind, resumable bool, attempts int) *catalog.Route {
	return &catalog.Route{Name: "x", Kind: kind, Resumable: resumable, Attempts: attempts, Target: time.Minute, Services: []catalog.WeightedService{{Service: "s", Weight: 1}}}
}

// Whatever the runners do: a request that must not be repeated runs at most once; no
// request runs more often than its route allows; "not run" is reported only if nothing
// ran; a stream that ends without an error is complete, and any other is cut or was
// never started; no runner runs a request twice.
func TestRetriesKeepRouteGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(outcomes), 0, 8).Draw(t, "outcomes")
		kind := rapid.SampledFrom([]catalog.RouteKind{catalog.Once, catalog.Streaming, catalog.Repeatable}).Draw(t, "kind")
		resumable := rapid.Bool().Draw(t, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		route := routeOf(kind, resumable, attempts)
		runners := &fakeRunners{outcomes: drawn}
		caller, err := serveWith(runners, route, rapid.IntRange(0, 8).Draw(t, "runners"))
		if !route.MayRepeat() && runners.runs > 1 {
			t.Fatalf("ran %d times, but must not be repeated", runners.runs)
		}
		if runners.runs > attempts {
			t.Fatalf("ran %d times, but the route allows %d attempts", runners.runs, attempts)
		}
		seen := map[string]bool{}
		for _, runner := range runners.runners {
			if seen[runner] {
				t.Fatalf("runner %s ran the request twice", runner)
			}
			seen[runner] = true
		}
		if err != nil && !errors.Is(err, ErrCut) {
			if result.CodeOf(err).Entry().Ran == result.RanNo && runners.runs > 0 {
				t.Fatalf("reported as not run (%v), but ran %d times", err, runners.runs)
			}
			if caller.status != 0 {
				t.Fatalf("%v after the response was started", err)
			}
		}
		if err == nil && caller.status == http.StatusOK && kind == catalog.Streaming && caller.body.String() != wholeStream() {
			t.Fatalf("the stream ended without an error, but is incomplete: %q", caller.body.String())
		}
		if kind == catalog.Streaming && caller.status == http.StatusOK && !strings.HasPrefix(wholeStream(), caller.body.String()) {
			t.Fatalf("the response is not a prefix of the stream: %q", caller.body.String())
		}
	})
}

// A resumable stream continues at another runner after its last event, and the caller
// sees a single stream.
func TestResumableStreamContinuesAtAnotherRunner(t *testing.T) {
	is := is.New(t)
	runners := &fakeRunners{outcomes: []outcome{outcomeBreaks, outcomeServes}}
	caller, err := serveWith(runners, routeOf(catalog.Streaming, true, 2), 3)
	is.NoErr(err)
	is.Equal(caller.body.String(), wholeStream())
	is.Equal(runners.resumes, []int64{-1, 2})
}

// A stream that can't be resumed is cut, so that the caller can tell that it is
// incomplete.
func TestBrokenStreamIsCut(t *testing.T) {
	is := is.New(t)
	_, err := serveWith(&fakeRunners{outcomes: []outcome{outcomeBreaks}}, routeOf(catalog.Streaming, false, 1), 3)
	is.True(errors.Is(err, ErrCut))
}

// When the caller disconnects, the run is cancelled immediately.
func TestCallerDisconnectCancelsTheRun(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	client := clientFunc(func(ctx context.Context, _ *exchange.Call) (*exchange.Response, error) {
		<-ctx.Done()
		close(left)
		return nil, &exchange.OutcomeUnknownError{Cause: ctx.Err()}
	})
	set := runnerset.New()
	set.Replace([]runnerset.Record{{ID: "r", Service: "s", Slots: 1}}, 1, time.Now())
	forwarder := New("z", set, client, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	now := time.Now()
	err := forwarder.Serve(ctx, &CallerRequest{ID: "id", Route: routeOf(catalog.Streaming, true, 2), Received: now, Deadline: now.Add(time.Minute), ResumeAfter: -1}, &recorder{})
	<-left
	is.True(result.Is(err, result.CallerGone))
}

// A leaving runner is not chosen, and a call to a runner that starts to leave is
// withdrawn before its first byte.
func TestLeavingRunnersGetNoRequests(t *testing.T) {
	is := is.New(t)
	set := runnerset.New()
	set.Replace([]runnerset.Record{{ID: "stays", Service: "s", Slots: 1}, {ID: "leaves", Service: "s", Slots: 1}}, 1, time.Now())
	revision := int64(1)
	client := clientFunc(func(_ context.Context, call *exchange.Call) (*exchange.Response, error) {
		is.True(call.MaySend())
		revision++
		set.ApplyChanges([]runnerset.Record{{ID: call.RunnerID, Service: "s", Slots: 1, Leaving: true}}, nil, revision, time.Now())
		is.True(!call.MaySend()) // the check that a client makes right before it writes
		return nil, &exchange.NotRunError{Reason: exchange.ReasonWithdrawn, Cause: errors.New("withdrawn")}
	})
	forwarder := New("z", set, client, prometheus.NewRegistry())
	now := time.Now()
	request := &CallerRequest{ID: "id", Route: routeOf(catalog.Once, false, 1), Received: now, Deadline: now.Add(time.Minute), ResumeAfter: -1}
	err := forwarder.Serve(context.Background(), request, &recorder{})
	is.True(err != nil)
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
}

// A request that chose a runner which is then replaced by another start under the same ID
// is withdrawn before its first byte: the new start was not chosen.
func TestRequestForEarlierStartIsWithdrawn(t *testing.T) {
	is := is.New(t)
	set := runnerset.New()
	list := func(startedAt int64) {
		set.Replace([]runnerset.Record{{ID: "r", Service: "s", Slots: 1, StartedAt: startedAt}}, startedAt, time.Now())
	}
	list(1)
	client := clientFunc(func(_ context.Context, call *exchange.Call) (*exchange.Response, error) {
		is.True(call.MaySend())
		list(2)
		is.True(!call.MaySend())
		return nil, &exchange.NotRunError{Reason: exchange.ReasonWithdrawn, Cause: errors.New("withdrawn")}
	})
	now := time.Now()
	request := &CallerRequest{ID: "id", Route: routeOf(catalog.Once, false, 1), Received: now, Deadline: now.Add(time.Minute), ResumeAfter: -1}
	err := New("z", set, client, prometheus.NewRegistry()).Serve(context.Background(), request, &recorder{})
	is.True(err != nil)
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
}

type clientFunc func(ctx context.Context, call *exchange.Call) (*exchange.Response, error)

func (f clientFunc) Do(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
	return f(ctx, call)
}

// An attempt that broke off and whose request continues at another runner is not counted
// as done.
func TestRetriedAttemptsAreCountedAsMovedOn(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	set := runnerset.New()
	set.Replace([]runnerset.Record{{ID: "r0", Service: "s", Slots: 4}, {ID: "r1", Service: "s", Slots: 4}}, 1, time.Now())
	forwarder := New("z", set, &fakeRunners{outcomes: []outcome{outcomeUnresponsive, outcomeServes}}, registry)
	now := time.Now()
	request := &CallerRequest{ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, true, 2), Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1}
	is.NoErr(forwarder.Serve(context.Background(), request, &recorder{}))
	is.Equal(attemptsBy(t, registry), map[string]float64{movedOn: 1, result.OK.String(): 1})
}

// attemptsBy returns the number of attempts by outcome.
func attemptsBy(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]float64{}
	for _, family := range families {
		if family.GetName() == "cobaltramp_attempts_total" {
			for _, metric := range family.GetMetric() {
				counts[metric.GetLabel()[0].GetValue()] = metric.GetCounter().GetValue()
			}
		}
	}
	return counts
}

// A runner that answers with errors at once must not appear fast and idle, although its
// errors are relayed to the callers of requests that may not run twice.
func TestRunnerThatAnswersWithErrorsIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { // all requests together take 0.2 s, less than the ejection
		is := is.New(t)
		failures := 0
		client := clientFunc(func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			next := outcomeServes
			if call.RunnerID == "r0" {
				failures++
				next = outcomeFails
			} else {
				time.Sleep(5 * time.Millisecond)
			}
			return (&fakeRunners{outcomes: []outcome{next}}).Do(ctx, call)
		})
		set := runnerset.New()
		set.Replace([]runnerset.Record{{ID: "r0", Service: "s", Slots: 4}, {ID: "r1", Service: "s", Slots: 4}}, 1, time.Now())
		forwarder := New("z", set, client, prometheus.NewRegistry())
		for range 40 {
			now := time.Now()
			request := &CallerRequest{
				ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, false, 1),
				Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1,
			}
			is.NoErr(forwarder.Serve(context.Background(), request, &recorder{}))
		}
		is.True(failures <= 1)
	})
}
