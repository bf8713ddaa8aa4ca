package online

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
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
