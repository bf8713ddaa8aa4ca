package online

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/streamorigin"
)

// versionedRunners returns a set of runners with the given software versions; the index in the
// list is part of their ids.
func versionedRunners(versions ...string) *runnerset.Set {
	set := runnerset.New()
	var records []runnerset.Record
	for number, version := range versions {
		records = append(records, runnerset.Record{ID: "r" + string(rune('0'+number)), Service: "s", Slots: 4, Version: version})
	}
	set.Replace(records, 1, time.Now())
	return set
}

// serveStream serves a new stream on a route that may be resumed, with three attempts.
func serveStream(set *runnerset.Set, runners *fakeRunners) (*recorder, error) {
	now := time.Now()
	request := &CallerRequest{ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, true, 3), Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1}
	caller := &recorder{}
	forwarder := New("z", set, runners, prometheus.NewRegistry())
	forwarder.listWait = time.Millisecond
	return caller, forwarder.Serve(context.Background(), request, caller)
}

// A stream that breaks off after its first event must not go on at a runner of another
// software version, even if none of its own version is left.
func TestBrokenStreamStaysAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	for range 20 { // the first runner is drawn
		runners := &fakeRunners{outcomes: []outcome{outcomeBreaks, outcomeServes}}
		caller, err := serveStream(versionedRunners("v1", "v1", "v2", "v2"), runners)
		is.NoErr(err)
		is.Equal(caller.body.String(), wholeStream())
		is.Equal(runners.runners[0] < "r2", runners.runners[1] < "r2") // the same version
	}
	runners := &fakeRunners{outcomes: []outcome{outcomeBreaks, outcomeServes}}
	_, err := serveStream(versionedRunners("v1", "v2"), runners)
	is.True(errors.Is(err, ErrCut))
	is.Equal(len(runners.runners), 1)
}

// Before its first event, a request may be sent to a runner of another version.
func TestRequestWithoutEventsMayChangeItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	caller, err := serveStream(versionedRunners("v1", "v2"), &fakeRunners{outcomes: []outcome{outcomeUnresponsive, outcomeServes}})
	is.NoErr(err)
	is.Equal(caller.body.String(), wholeStream())
}

// knownOrigins resolves every stream to the same origin, or fails.
type knownOrigins struct {
	origin   streamorigin.Origin
	err      error
	changed  []string
	resolved []streamorigin.Resumption
	recorded []streamorigin.Record
}

func (k *knownOrigins) Record(_ context.Context, _ streamorigin.Stream, record streamorigin.Record) *streamorigin.Recording {
	k.recorded = append(k.recorded, record)
	return nil
}

func (k *knownOrigins) Resolve(_ context.Context, resumption *streamorigin.Resumption) (streamorigin.Origin, []string, error) {
	k.resolved = append(k.resolved, *resumption)
	return k.origin, k.changed, k.err
}

func (k *knownOrigins) ChangedRunners(context.Context, string, time.Duration) []string {
	return k.changed
}

// resumeStream serves a request that resumes a stream after its second event, on a route that is
// split between two services.
func resumeStream(set *runnerset.Set, origins StreamOrigins, runners *fakeRunners, resumes string) (*recorder, error) {
	route := routeOf(catalog.Streaming, true, 3)
	route.Services = append(route.Services, catalog.WeightedService{Service: "other", Weight: 1})
	now := time.Now()
	request := &CallerRequest{
		ID: "later", Method: http.MethodPost, URI: "/x", Route: route, Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: 2, Resumes: resumes,
	}
	caller := &recorder{}
	forwarder := New("z", set, runners, prometheus.NewRegistry())
	forwarder.Origins = origins
	return caller, forwarder.Serve(context.Background(), request, caller)
}

// A stream that a caller resumes must go on at the service and software version that began it,
// also on a route whose service for the id of the new attempt is another.
func TestResumedStreamStaysAtItsOrigin(t *testing.T) {
	is := is.New(t)
	set := versionedRunners("v1", "v2", "v1", "v2")
	set.ApplyChanges([]runnerset.Record{{ID: "x", Service: "other", Version: "v2", Slots: 4}}, nil, 2, time.Now())
	origins := &knownOrigins{origin: streamorigin.Origin{Service: "s", SoftwareVersion: "v2"}}
	for range 10 {
		runners := &fakeRunners{}
		_, err := resumeStream(set, origins, runners, "first")
		is.NoErr(err)
		is.Equal(runners.resumes, []int64{2})
		is.True(runners.runners[0] == "r1" || runners.runners[0] == "r3")
	}
	is.Equal(origins.resolved[0].Attempt, "first")
	is.Equal(len(origins.recorded), 0) // the stream has its record
}

// A stream that can't be resumed is refused at once, as not run, and not after the wait for a
// runner or at the deadline.
func TestStreamThatCannotGoOnIsRefusedAtOnce(t *testing.T) {
	unknown := result.New(result.StreamNotResumed, "unknown")
	for name, origins := range map[string]*knownOrigins{
		"unknown origin":             {err: unknown},
		"no runner of the version":   {origin: streamorigin.Origin{Service: "s", SoftwareVersion: "v3"}},
		"the route lost the service": {origin: streamorigin.Origin{Service: "gone", SoftwareVersion: "v1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			runners := &fakeRunners{}
			started := time.Now()
			_, err := resumeStream(versionedRunners("v1", "v2"), origins, runners, "first")
			is.Equal(result.CodeOf(err), result.StreamNotResumed)
			is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
			is.True(time.Since(started) < maxListWait/2)
			is.Equal(runners.runs, 0)
		})
	}
}

// A new stream is recorded once for each version at which it may begin, before the runner gets it.
func TestNewStreamIsRecordedForEachVersion(t *testing.T) {
	is := is.New(t)
	origins := &knownOrigins{}
	now := time.Now()
	request := &CallerRequest{
		ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, true, 3), Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1,
	}
	forwarder := New("z", versionedRunners("v1", "v2"), &fakeRunners{outcomes: []outcome{outcomeUnresponsive, outcomeServes}}, prometheus.NewRegistry())
	forwarder.Origins = origins
	is.NoErr(forwarder.Serve(context.Background(), request, &recorder{}))
	is.Equal(len(origins.recorded), 2)
	is.True(origins.recorded[0].Origin != origins.recorded[1].Origin)
	is.True(origins.recorded[0].Runner != origins.recorded[1].Runner)
	is.Equal(origins.recorded[1].Sequence, uint32(2))
	is.Equal(len(origins.resolved), 0)
}

// A stream whose connection goes silent must not be cut while its runner, the last one of its software
// version, can be reached on a new connection.
func TestStreamOnSilentConnectionGoesOnAtItsRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls []exchange.Call
		client := clientFunc(func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			calls = append(calls, *call)
			if call.RunnerID == "r1" { // crashed, and still listed
				return nil, &exchange.NotRunError{Reason: exchange.ReasonDial, Cause: errors.New("refused")}
			}
			response, err := (&fakeRunners{}).Do(ctx, call)
			if call.ResumeAfter < 0 {
				response.Body = &silentStream{ReadCloser: response.Body, ctx: ctx}
			}
			return response, err
		})
		now := time.Now()
		request := &CallerRequest{
			ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, true, 2), Received: now, Deadline: now.Add(time.Hour), ResumeAfter: -1,
		}
		caller := &recorder{}
		set := versionedRunners("v1", "v1", "v2")
		set.Service("s")[1].RecordFailure(now)
		is.NoErr(New("z", set, client, prometheus.NewRegistry()).Serve(context.Background(), request, caller))
		is.Equal(caller.body.String(), wholeStream())
		last := calls[len(calls)-1]
		is.Equal(last.RunnerID, calls[0].RunnerID)
		is.True(last.NewConnection)
		is.Equal(last.ResumeAfter, int64(2))
	})
}

// TestStreamOnResetConnectionGoesOnAtItsRunner guards against cut streams: the network resets the
// connections to a runner, which is the last one of its software version and lives.
func TestStreamOnResetConnectionGoesOnAtItsRunner(t *testing.T) {
	is := is.New(t)
	var calls []exchange.Call
	client := clientFunc(func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
		calls = append(calls, *call)
		response, err := (&fakeRunners{}).Do(ctx, call)
		if call.ResumeAfter < 0 {
			response.Body = &resetStream{ReadCloser: response.Body}
		}
		return response, err
	})
	now := time.Now()
	request := &CallerRequest{
		ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, true, 2), Received: now, Deadline: now.Add(time.Hour), ResumeAfter: -1,
	}
	caller := &recorder{}
	is.NoErr(New("z", versionedRunners("v1", "v2"), client, prometheus.NewRegistry()).Serve(context.Background(), request, caller))
	is.Equal(caller.body.String(), wholeStream())
	is.Equal(len(calls), 2)
	is.Equal(calls[1].RunnerID, calls[0].RunnerID)
	is.Equal(calls[1].ResumeAfter, int64(2))
}

// resetStream is reset at its third read.
type resetStream struct {
	io.ReadCloser
	reads int
}

func (s *resetStream) Read(buffer []byte) (int, error) {
	s.reads++
	if s.reads > 2 {
		return 0, syscall.ECONNRESET
	}
	return s.ReadCloser.Read(buffer)
}

// silentStream blocks at its third read until the request is abandoned.
type silentStream struct {
	io.ReadCloser
	ctx   context.Context
	reads int
}

func (s *silentStream) Read(buffer []byte) (int, error) {
	s.reads++
	if s.reads > 2 {
		<-s.ctx.Done()
		return 0, s.ctx.Err()
	}
	return s.ReadCloser.Read(buffer)
}

// A stream that a caller resumes has precedence over new streams on the runners of its software
// version: it is not refused because they are full.
func TestResumedStreamIsNotRefusedAtFullRunners(t *testing.T) {
	is := is.New(t)
	set := versionedRunners("v1")
	for range 40 {
		set.Begin(set.Service("s")[0], runnerset.Prompt{}, false, time.Now())
	}
	origins := &knownOrigins{origin: streamorigin.Origin{Service: "s", SoftwareVersion: "v1"}}
	route := routeOf(catalog.Streaming, true, 3)
	route.Target = time.Nanosecond
	now := time.Now()
	request := CallerRequest{
		ID: "id", Method: http.MethodPost, URI: "/x", Route: route, Received: now, Deadline: now.Add(30 * time.Second), StatedTimeout: 30 * time.Second, ResumeAfter: -1,
	}
	forwarder := New("z", set, &fakeRunners{}, prometheus.NewRegistry())
	forwarder.Origins = origins
	is.Equal(result.CodeOf(forwarder.Serve(context.Background(), &request, &recorder{})), result.Saturated)
	request.ResumeAfter = 2
	is.NoErr(forwarder.Serve(context.Background(), &request, &recorder{}))
}

// Guards against texts of two versions in one answer: the runner of a stream that broke off had come back under its ID
// with another version, which the node had not listed, and the stream went on at the listed version.
func TestBrokenStreamOfAChangedRunnerIsCut(t *testing.T) {
	is := is.New(t)
	set := versionedRunners("v1", "v1", "v1")
	changed := map[string][]string{"none": nil}
	for _, runner := range set.Service("s") {
		changed[runner.ID] = []string{runner.ID}
	}
	cut, wentOn := 0, 0
	for name, ids := range changed {
		var runners []string
		client := clientFunc(func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			runners = append(runners, call.RunnerID)
			response, err := (&fakeRunners{}).Do(ctx, call)
			if call.ResumeAfter < 0 {
				response.Body = &resetStream{ReadCloser: response.Body}
			}
			return response, err
		})
		now := time.Now()
		request := &CallerRequest{
			ID: "id", Method: http.MethodPost, URI: "/x", Route: routeOf(catalog.Streaming, true, 3), Received: now, Deadline: now.Add(time.Hour), ResumeAfter: -1,
		}
		forwarder := New("z", set, client, prometheus.NewRegistry())
		forwarder.Origins = &knownOrigins{changed: ids}
		err := forwarder.Serve(context.Background(), request, &recorder{})
		if runners[0] == name {
			cut++
			is.True(errors.Is(err, ErrCut))
			is.Equal(len(runners), 1)
			continue
		}
		wentOn++
		is.NoErr(err)
		is.True(runners[1] != name) // its present version is not known
	}
	is.Equal(cut+wentOn, len(changed))
}

// A resumed stream does not go on at a runner that has come back with another version.
func TestResumedStreamAvoidsChangedRunners(t *testing.T) {
	is := is.New(t)
	set := versionedRunners("v1", "v1")
	for _, runner := range set.Service("s") {
		runners := &fakeRunners{}
		origins := &knownOrigins{origin: streamorigin.Origin{Service: "s", SoftwareVersion: "v1"}, changed: []string{runner.ID}}
		_, err := resumeStream(set, origins, runners, "first")
		is.NoErr(err)
		is.Equal(len(runners.runners), 1)
		is.True(runners.runners[0] != runner.ID)
	}
}
