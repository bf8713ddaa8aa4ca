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

// fate is what a runner makes of a call.
type fate string

const (
	fateServes   fate = "serves"   // the whole answer
	fateBreaks   fate = "breaks"   // the answer breaks off after some events
	fateSkips    fate = "skips"    // an event is missing
	fateRepeats  fate = "repeats"  // an event comes twice
	fateUnmarked fate = "unmarked" // a success that is not the runner's own
	fateFull     fate = "full"     // the runner says that it has not run it
	fateRefused  fate = "refused"  // no connection
	fateSilent   fate = "silent"   // sent, and nothing comes back
	fateFails    fate = "fails"    // the runner's own 500
)

var fates = []fate{fateServes, fateBreaks, fateSkips, fateRepeats, fateUnmarked, fateFull, fateRefused, fateSilent, fateFails}

const events = 5

// fakeRunners play a list of fates and record what ran.
type fakeRunners struct {
	mutex   sync.Mutex
	fates   []fate
	runs    int
	runners []string
	resumes []int64
}

func (f *fakeRunners) Do(_ context.Context, call *exchange.Call) (*exchange.Response, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := fateServes
	if len(f.fates) > 0 {
		next, f.fates = f.fates[0], f.fates[1:]
	}
	switch next {
	case fateFull:
		return nil, &exchange.NotRunError{Reason: exchange.ReasonFull, FromRunner: true, Cause: errors.New("full")}
	case fateRefused:
		return nil, &exchange.NotRunError{Reason: exchange.ReasonDial, Cause: errors.New("refused")}
	}
	f.runs++
	f.runners = append(f.runners, call.RunnerID)
	f.resumes = append(f.resumes, call.ResumeAfter)
	switch next {
	case fateSilent:
		return nil, &exchange.OutcomeUnknownError{Cause: io.ErrUnexpectedEOF}
	case fateFails:
		return &exchange.Response{Status: http.StatusInternalServerError, FromRunner: true, Length: 4, Body: io.NopCloser(strings.NewReader("fail"))}, nil
	}
	return &exchange.Response{Status: http.StatusOK, FromRunner: next != fateUnmarked, Length: -1, Body: &fakeStream{next: max(0, call.ResumeAfter) + 1, fate: next}}, nil
}

// fakeStream is an event stream that may be spoilt.
type fakeStream struct {
	next    int64
	fate    fate
	pending []byte
}

func (s *fakeStream) Read(buffer []byte) (int, error) {
	if len(s.pending) == 0 {
		if s.next > events {
			return 0, io.EOF
		}
		if s.fate == fateBreaks && s.next > 2 {
			return copy(buffer, "id: 3\nda"), io.ErrUnexpectedEOF
		}
		s.pending = fmt.Appendf(nil, "id: %d\ndata: e%d\n\n", s.next, s.next)
		if !(s.fate == fateRepeats && s.next == 2) {
			s.next++
		} else {
			s.fate = fateServes
		}
		if s.fate == fateSkips && s.next == 3 {
			s.next++
		}
	}
	n := copy(buffer, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

func (*fakeStream) Close() error { return nil }

// recorder is the caller's side.
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
		records = append(records, runnerset.Record{ID: fmt.Sprintf("r%d", i), Service: "s", Slots: 4})
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

// Whatever runners do: what may not be repeated runs at most once; no request
// runs more often than its route allows; "not run" is said only when nothing
// ran; a stream that is said to be whole is whole, and one that is not was cut
// or never begun; no runner is asked twice.
func TestTruthOfAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(fates), 0, 8).Draw(t, "fates")
		kind := rapid.SampledFrom([]catalog.RouteKind{catalog.Once, catalog.Streaming, catalog.Repeatable}).Draw(t, "kind")
		resumable := rapid.Bool().Draw(t, "resumable")
		attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
		route := routeOf(kind, resumable, attempts)
		runners := &fakeRunners{fates: drawn}
		caller, err := serveWith(runners, route, rapid.IntRange(0, 8).Draw(t, "runners"))
		if !route.MayRepeat() && runners.runs > 1 {
			t.Fatalf("ran %d times what may run once", runners.runs)
		}
		if runners.runs > attempts {
			t.Fatalf("ran %d times, allowed are %d", runners.runs, attempts)
		}
		seen := map[string]bool{}
		for _, runner := range runners.runners {
			if seen[runner] {
				t.Fatalf("runner %s ran it twice", runner)
			}
			seen[runner] = true
		}
		if err != nil && !errors.Is(err, ErrCut) {
			if result.CodeOf(err).Entry().Ran == result.RanNo && runners.runs > 0 {
				t.Fatalf("%v, and it ran %d times", err, runners.runs)
			}
			if caller.status != 0 {
				t.Fatalf("%v after the answer was begun", err)
			}
		}
		if err == nil && caller.status == http.StatusOK && kind == catalog.Streaming && caller.body.String() != wholeStream() {
			t.Fatalf("a whole answer that is not: %q", caller.body.String())
		}
		if kind == catalog.Streaming && caller.status == http.StatusOK && !strings.HasPrefix(wholeStream(), caller.body.String()) {
			t.Fatalf("not the beginning of the stream: %q", caller.body.String())
		}
	})
}

// A stream that may be resumed goes on at another runner after its last event;
// the caller sees one stream.
func TestStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	runners := &fakeRunners{fates: []fate{fateBreaks, fateServes}}
	caller, err := serveWith(runners, routeOf(catalog.Streaming, true, 2), 3)
	is.NoErr(err)
	is.Equal(caller.body.String(), wholeStream())
	is.Equal(runners.resumes, []int64{-1, 2})
}

// A stream that may not is cut, so that the caller sees that it is not whole.
func TestStreamIsCut(t *testing.T) {
	is := is.New(t)
	_, err := serveWith(&fakeRunners{fates: []fate{fateBreaks}}, routeOf(catalog.Streaming, false, 1), 3)
	is.True(errors.Is(err, ErrCut))
}

// A caller that leaves ends the run at once.
func TestCallerLeaves(t *testing.T) {
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

// A runner known as leaving is not chosen, and a call to one that began to
// leave is withdrawn before its first byte.
func TestLeavingRunners(t *testing.T) {
	is := is.New(t)
	set := runnerset.New()
	set.Replace([]runnerset.Record{{ID: "stays", Service: "s", Slots: 1}, {ID: "leaves", Service: "s", Slots: 1}}, 1, time.Now())
	revision := int64(1)
	client := clientFunc(func(_ context.Context, call *exchange.Call) (*exchange.Response, error) {
		is.True(call.MaySend())
		revision++
		set.ApplyChanges([]runnerset.Record{{ID: call.RunnerID, Service: "s", Slots: 1, Leaving: true}}, nil, revision, time.Now())
		is.True(!call.MaySend()) // what a client asks in the moment of writing
		return nil, &exchange.NotRunError{Reason: exchange.ReasonWithdrawn, Cause: errors.New("withdrawn")}
	})
	forwarder := New("z", set, client, prometheus.NewRegistry())
	now := time.Now()
	request := &CallerRequest{ID: "id", Route: routeOf(catalog.Once, false, 1), Received: now, Deadline: now.Add(time.Minute), ResumeAfter: -1}
	err := forwarder.Serve(context.Background(), request, &recorder{})
	is.True(err != nil)
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
}

type clientFunc func(ctx context.Context, call *exchange.Call) (*exchange.Response, error)

func (f clientFunc) Do(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
	return f(ctx, call)
}

// An attempt that broke is not counted as done because its request goes on at
// another runner.
func TestAttemptsThatMoveOnAreNotDone(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	set := runnerset.New()
	set.Replace([]runnerset.Record{{ID: "r0", Service: "s", Slots: 4}, {ID: "r1", Service: "s", Slots: 4}}, 1, time.Now())
	forwarder := New("z", set, &fakeRunners{fates: []fate{fateSilent, fateServes}}, registry)
	now := time.Now()
	request := &CallerRequest{ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, true, 2), Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1}
	is.NoErr(forwarder.Serve(context.Background(), request, &recorder{}))
	is.Equal(attemptsBy(t, registry), map[string]float64{movedOn: 1, result.OK.String(): 1})
}

// attemptsBy returns the counted attempts by outcome.
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
