package online

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/retryafter"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// fullForwarder has two runners of one slot, each with the given number of requests.
// Tests of refusals use a fake clock: if the process were delayed, first events would
// become overdue, and an overdue runner is no reason to refuse a request.
func fullForwarder(runners *fakeRunners, requests int) *Forwarder {
	set := runnerset.New()
	set.Replace([]runnerset.Record{{ID: "a", Service: "s", Slots: 1}, {ID: "b", Service: "s", Slots: 1}}, 1, time.Now())
	for _, runner := range set.Service("s") {
		for range requests {
			set.Begin(runner, runnerset.Prompt{}, false, time.Now())
		}
	}
	forwarder := New("z", set, runners, prometheus.NewRegistry())
	forwarder.listWait = time.Millisecond
	return forwarder
}

func targetedRequest(held time.Duration) *CallerRequest {
	route := routeOf(catalog.Streaming, true, 2)
	route.Target, route.Timeout = 300*time.Millisecond, 5*time.Second
	now := time.Now()
	return &CallerRequest{ID: "id", Route: route, Received: now, Deadline: now.Add(held), StatedTimeout: held, ResumeAfter: -1}
}

// A request that would be late at every runner is refused immediately as not run, with a
// retry delay that its caller can wait.
func TestLateRequestsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		runners := &fakeRunners{}
		err := fullForwarder(runners, 5).Serve(context.Background(), targetedRequest(5*time.Second), &recorder{})
		is.True(result.Is(err, result.Saturated))
		is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
		wait := result.FromError(err).RetryAfter
		is.True(wait >= 50*time.Millisecond && wait <= 1500*time.Millisecond)
		is.Equal(runners.runs, 0)
	})
}

// A request is not refused while there are free slots, nor if it is a retry.
func TestServedWithFreeSlotsOrOnRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, c := range []struct {
			requests int
			held     time.Duration
		}{{0, 5 * time.Second}, {5, 3500 * time.Millisecond}} {
			runners := &fakeRunners{}
			forwarder := fullForwarder(runners, c.requests)
			forwarder.callerTimeouts.Record("x", 5*time.Second, time.Now()) // a longer wait stated by other callers
			is.NoErr(forwarder.Serve(context.Background(), targetedRequest(c.held), &recorder{}))
			is.Equal(runners.runs, 1)
		}
	})
}

// If all runners are ejected, their expected times are unreliable, so requests are sent
// anyway.
func TestFailingRunnersAreNoReasonToRefuse(t *testing.T) {
	is := is.New(t)
	runners := &fakeRunners{}
	forwarder := fullForwarder(runners, 5)
	for _, runner := range forwarder.Runners.Service("s") {
		runner.RecordFailure(time.Now())
	}
	is.NoErr(forwarder.Serve(context.Background(), targetedRequest(5*time.Second), &recorder{}))
	is.Equal(runners.runs, 1)
}

// A refused caller that retries after the stated delay is not refused again, whatever
// the route's timeout and the delay are.
func TestRetriedRequestIsNotRefusedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, timeout := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
			is := is.New(t)
			for range 50 {
				runners := &fakeRunners{}
				forwarder := fullForwarder(runners, 5)
				request := targetedRequest(4 * time.Second)
				request.Route.Timeout, request.Deadline = timeout, request.Received.Add(min(timeout, request.StatedTimeout))
				err := forwarder.Serve(context.Background(), request, &recorder{})
				is.True(result.Is(err, result.Saturated))
				again := targetedRequest(4*time.Second - result.FromError(err).RetryAfter)
				again.Route.Timeout = timeout
				is.NoErr(forwarder.Serve(context.Background(), again, &recorder{}))
				is.Equal(runners.runs, 1)
			}
		}
	})
}

// Without free slots, a request that is expected late in its target is refused as well,
// until requests find free slots again.
func TestStricterTargetWhileSaturated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		forwarder := fullForwarder(&fakeRunners{}, 0)
		request := targetedRequest(5 * time.Second)
		s := &activeRequest{Forwarder: forwarder, request: request, usualTimeout: request.StatedTimeout}
		expected := func(share float64) error {
			return s.refuseIfFull("s", runnerset.Choice{FirstEvent: time.Duration(share * float64(request.Route.Target))})
		}
		is.NoErr(expected((1 + fullTargetShare) / 2))
		is.True(expected(1.1) != nil)
		is.True(expected((1+fullTargetShare)/2) != nil)
		is.NoErr(expected(fullTargetShare / 2))
		forwarder.planners.byService["s"] = retryafter.NewPlanner() // idle again
		is.NoErr(expected((1 + fullTargetShare) / 2))
	})
}

// A node that is short of processor time measures its own delays as those of the runners, and
// refuses no request because of them. Without such delays it refuses as usual.
func TestSlowNodeRefusesNoRequestForItsOwnDelays(t *testing.T) {
	is := is.New(t)
	late := refusalInputs{firstAttempt: true, target: 300 * time.Millisecond, expected: time.Second}
	is.True(late.refused())
	for _, slow := range []refusalInputs{
		{nodeDelay: minNodeDelay, freeSlot: true}, {sustainedDelay: minNodeDelay}, {overloaded: true},
	} {
		inputs := late
		inputs.nodeDelay, inputs.sustainedDelay, inputs.overloaded, inputs.freeSlot = slow.nodeDelay, slow.sustainedDelay, slow.overloaded, slow.freeSlot
		is.True(!inputs.refused())
	}
	full := late
	full.nodeDelay = minNodeDelay
	is.True(full.refused()) // for a moment only, and the runners are full
}
