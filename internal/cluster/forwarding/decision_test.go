package forwarding

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

var (
	start             = time.Unix(1000, 0)
	repeatableMethods = []wirev1.Method{
		wirev1.Method_METHOD_ALLOTMENT, wirev1.Method_METHOD_QUEUE_READ, wirev1.Method_METHOD_QUEUE_ITEM, wirev1.Method_METHOD_QUEUE_END,
	}
)

// Only the calls of edges to queue shards are forwarded, in particular no forwarded call.
func TestForwardableMethods(t *testing.T) {
	is := is.New(t)
	for number := range wirev1.Method_name {
		method := wirev1.Method(number)
		is.Equal(repeatable(method), slices.Contains(repeatableMethods, method))
		is.Equal(forwardable(method), repeatable(method) || method == wirev1.Method_METHOD_QUEUE_SUBMIT)
	}
}

// A call with much or little time left is neither sent twice at once nor left waiting for long.
func TestHedgeDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		method := rapid.SampledFrom(repeatableMethods).Draw(t, "method")
		remaining := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Minute)).Draw(t, "remaining"))
		usual := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "usual"))
		delay := hedgeDelay(method, remaining, usual)
		if delay < minHedgeDelay || delay > maxHedgeDelay {
			t.Fatalf("delay %v", delay)
		}
	})
	is := is.New(t)
	// A request waits 75 ms for a credit; the call has 600 ms.
	is.True(hedgeDelay(wirev1.Method_METHOD_ALLOTMENT, 600*time.Millisecond, 10*time.Millisecond) <= 50*time.Millisecond)
}

// A slow fleet does not send its calls twice.
func TestHedgeDelayFollowsUsualAnswers(t *testing.T) {
	is := is.New(t)
	path := &directPath{}
	for range 50 {
		path.recordAnswerTime(30 * time.Millisecond)
	}
	is.Equal(hedgeDelay(wirev1.Method_METHOD_ALLOTMENT, 600*time.Millisecond, path.usualAnswerTime), 120*time.Millisecond)
}

// A call ends, uses a bounded number of forwarders, and is repeated only if it may be.
func TestCallPathsStayWithinRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := callPaths{
			repeatable: rapid.Bool().Draw(t, "repeatable"), directBroken: rapid.Bool().Draw(t, "broken"),
			directAllowed: rapid.Bool().Draw(t, "allowed"),
		}
		maybeExecuted := false // the request was sent on a path that has ended without an answer
		for steps := 0; ; steps++ {
			if steps > 50 {
				t.Fatal("the call does not end")
			}
			switch p.next(rapid.Bool().Draw(t, "due")) {
			case stepDirect, stepForward:
				if !p.repeatable && (p.waiting() || maybeExecuted) {
					t.Fatal("sent on a second path")
				}
				if p.direct == directUnused && !p.directBroken {
					p.direct = directInFlight
				} else if p.mayForward(true) && rapid.IntRange(0, 4).Draw(t, "usable") > 0 {
					p.forwarders, p.inFlight = p.forwarders+1, p.inFlight+1
				} else if p.mayForward(true) {
					p.noForwarder = true
				} else {
					p.direct = directInFlight
				}
				if p.forwarders > maxForwarders || p.inFlight > maxConcurrentForwarders {
					t.Fatalf("%d forwarders, %d in flight", p.forwarders, p.inFlight)
				}
			case stepWait:
				unknown := rapid.Bool().Draw(t, "unknown")
				maybeExecuted = maybeExecuted || unknown
				switch {
				case p.inFlight > 0 && (p.direct != directInFlight || rapid.Bool().Draw(t, "forwarder ends")):
					p.inFlight--
					p.forwarderUnknown = p.forwarderUnknown || unknown
				case unknown:
					p.direct = directUnknown
				default:
					p.direct = directNotSent
				}
			case stepGiveUp:
				if p.waiting() || p.maybeExecuted() != maybeExecuted {
					t.Fatalf("ended with %+v, may be executed: %v", p, maybeExecuted)
				}
				return
			}
		}
	})
}

// A broken path is tried after 500 ms, then less and less often, and works after an answer.
func TestBrokenPathIsTriedWithBackoff(t *testing.T) {
	is := is.New(t)
	path := &directPath{}
	is.True(!path.startProbe(start))
	is.True(path.bypassed(start, start, 0))
	is.True(!path.bypassed(start, start, 0)) // reported once
	now := start
	for _, delay := range []time.Duration{500, 1000, 2000, 4000, 4000} {
		due := now.Add(delay * time.Millisecond)
		is.True(!path.startProbe(due.Add(-time.Millisecond)))
		is.True(path.startProbe(due))
		is.True(!path.startProbe(due)) // one probe at a time
		path.probing = false
		path.probeFailed(due, 0)
		now = due
	}
	is.True(path.unreachable(now))
	is.True(path.answered(now))
	is.True(!path.answered(now))
	is.True(!path.unreachable(now))
	is.True(!path.startProbe(now.Add(time.Hour)))
}

// An answer on the direct path after a call was sent shows that the path works, although a
// forwarder answered this call first.
func TestAnsweredPathIsNotBroken(t *testing.T) {
	is := is.New(t)
	path := &directPath{}
	path.answered(start.Add(time.Millisecond))
	is.True(!path.bypassed(start, start.Add(2*time.Millisecond), 0))
	is.True(path.bypassed(start.Add(2*time.Millisecond), start.Add(3*time.Millisecond), 0))
}

// Forwarding to a node that no forwarder reaches pauses, and goes on after an answer.
func TestForwardingPauses(t *testing.T) {
	is := is.New(t)
	path := &directPath{}
	for range 10 {
		path.forwardingFailed(start, 1)
		is.True(path.pausedUntil.Sub(start) <= maxForwardPause*5/4)
	}
	path.forwardingSucceeded()
	is.True(!start.Before(path.pausedUntil))
}

// Calls that fail at the same time lengthen the pause once. Otherwise a short failure under
// many concurrent calls would stop forwarding for the longest pause.
func TestConcurrentFailuresLengthenPauseOnce(t *testing.T) {
	is := is.New(t)
	path := &directPath{}
	for range 20 {
		path.forwardingFailed(start, 0)
	}
	is.Equal(path.pausedUntil, start.Add(minForwardPause))
	path.forwardingFailed(path.pausedUntil, 0)
	is.Equal(path.pausedUntil, start.Add(3*minForwardPause))
}

// A late timer is extended once, since an answer may be waiting while the process stalls.
func TestStallExtendsHedgingDelayOnce(t *testing.T) {
	is := is.New(t)
	hedge := newHedgeTimer()
	defer hedge.stop()
	hedge.start(time.Hour)
	hedge.fired(hedge.at.Add(stallLimit))
	is.True(!hedge.due)
	hedge.fired(hedge.at.Add(time.Second))
	is.True(hedge.due)
	hedge.start(time.Hour)
	is.True(!hedge.due)
	hedge.fired(hedge.at)
	is.True(hedge.due)
}
