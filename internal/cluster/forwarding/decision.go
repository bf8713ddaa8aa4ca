package forwarding

import (
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

const (
	// minHedgeDelay and maxHedgeDelay bound the time after which an unanswered call is also
	// sent on another path.
	minHedgeDelay = 25 * time.Millisecond
	maxHedgeDelay = 150 * time.Millisecond
	// A call's remaining time is divided by allotmentHedgeDivisor or hedgeDivisor to get the
	// time after which it is also sent on another path. Requests wait for an allotment for a
	// small part of its call's time, and its messages are small.
	allotmentHedgeDivisor = 12
	hedgeDivisor          = 8
	// hedgeAnswerTimeFactor is the multiple of the usual answer time for which a call waits
	// at least, so that a slow fleet does not send its calls twice.
	hedgeAnswerTimeFactor = 4
	// answerTimeDivisor is the inverse of the weight of a new sample in the usual answer
	// time. Replies of more than maxTimedReplyBytes are no samples.
	answerTimeDivisor  = 8
	maxTimedReplyBytes = 16 << 10
	// maxForwarders is the number of forwarders that a call may use, and
	// maxConcurrentForwarders the number that it may use at the same time.
	maxForwarders           = 3
	maxConcurrentForwarders = 2
)

// forwardable reports whether calls of a method may be forwarded.
func forwardable(method wirev1.Method) bool {
	return repeatable(method) || method == wirev1.Method_METHOD_QUEUE_SUBMIT
}

// repeatable reports whether a call of a method may be executed twice, so that it may be
// sent on several paths.
func repeatable(method wirev1.Method) bool {
	switch method {
	case wirev1.Method_METHOD_ALLOTMENT, wirev1.Method_METHOD_QUEUE_READ, wirev1.Method_METHOD_QUEUE_ITEM, wirev1.Method_METHOD_QUEUE_END:
		return true
	default:
		return false
	}
}

// hedgeDelay returns the time after which a call is also sent on another path. remaining is
// the time until the call's deadline, and usual the usual time until a direct answer; 0 if it
// is unknown. The time that the target may wait before it answers is not included in either,
// nor in the result.
func hedgeDelay(method wirev1.Method, remaining, usual time.Duration) time.Duration {
	divisor := time.Duration(hedgeDivisor)
	if method == wirev1.Method_METHOD_ALLOTMENT {
		divisor = allotmentHedgeDivisor
	}
	return min(max(remaining/divisor, hedgeAnswerTimeFactor*usual, minHedgeDelay), maxHedgeDelay)
}

// directState is the state of one call on the direct path.
type directState uint8

const (
	directUnused directState = iota
	directInFlight
	// directNotSent means that the request was not sent and will not be sent.
	directNotSent
	// directUnknown means that the target may have executed the request.
	directUnknown
	directAnswered
)

// step is the next action of a call.
type step uint8

const (
	stepWait step = iota
	stepDirect
	stepForward
	stepGiveUp
)

// callPaths is the state of one unanswered call on all its paths.
type callPaths struct {
	// repeatable reports that the call may be sent on several paths.
	repeatable bool
	// directBroken reports that the direct path was known to be broken when the call
	// started, and directAllowed that it may be used nevertheless as a last resort.
	directBroken, directAllowed bool
	direct                      directState
	// forwarders counts the forwarders used, and inFlight those that have not answered.
	forwarders, inFlight int
	// forwarderUnknown reports that a call through a forwarder ended with an unknown outcome.
	forwarderUnknown bool
	// noForwarder reports that there is no other usable forwarder.
	noForwarder bool
}

// next returns what the call does next. hedgeDue reports that the hedging delay has passed
// since the call was last sent.
func (p *callPaths) next(hedgeDue bool) step {
	switch {
	case p.direct == directUnused && !p.directBroken:
		return stepDirect
	case p.mayForward(hedgeDue):
		return stepForward
	case p.waiting():
		return stepWait
	case p.direct == directUnused && p.directAllowed && p.repeatable:
		return stepDirect
	default:
		return stepGiveUp
	}
}

// mayForward reports whether the call may be sent through another forwarder now.
func (p *callPaths) mayForward(hedgeDue bool) bool {
	switch {
	case p.noForwarder, p.forwarders >= maxForwarders, p.inFlight >= maxConcurrentForwarders:
		return false
	case !p.repeatable:
		return !p.waiting() && !p.maybeExecuted()
	default:
		return hedgeDue || !p.waiting()
	}
}

// waiting reports whether a path may still answer.
func (p *callPaths) waiting() bool { return p.direct == directInFlight || p.inFlight > 0 }

// maybeExecuted reports whether the target may have executed the request on a path that has
// ended without an answer.
func (p *callPaths) maybeExecuted() bool { return p.direct == directUnknown || p.forwarderUnknown }

// unanswered reports whether the target may execute the request, or may have executed it, on
// a path without an answer.
func (p *callPaths) unanswered() bool { return p.waiting() || p.maybeExecuted() }

const (
	// minProbeDelay and maxProbeDelay bound the time between two tries of a broken path.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 4 * time.Second
	// probeJitter is the largest fraction by which the time is extended at random.
	probeJitter = 0.25
	// directRetryDelay is the minimum time between two tries of a broken path by calls for
	// which no forwarder is usable.
	directRetryDelay = 150 * time.Millisecond
	// failureLifetime is how long a node counts as unreachable after a request could not be
	// sent to it.
	failureLifetime = 500 * time.Millisecond
	// minForwardPause and maxForwardPause bound the time in which calls to a node are not
	// forwarded after no forwarder could reach it.
	minForwardPause = 200 * time.Millisecond
	maxForwardPause = 2 * time.Second
)

// directPath is what this node knows about its direct path to another node.
type directPath struct {
	broken      bool
	brokenSince time.Time
	// nextProbe is when the broken path is tried next, and probeDelay the current delay.
	nextProbe  time.Time
	probeDelay time.Duration
	probing    bool
	// lastTry is the time of the last call or probe, lastAnswer that of the last answer, and
	// lastFailure that of the last request that could not be sent.
	lastTry, lastAnswer, lastFailure time.Time
	// pausedUntil is the time until which calls to the node are not forwarded, and pause the
	// length of that pause.
	pausedUntil time.Time
	pause       time.Duration
	// usualAnswerTime is the moving average of the time until a direct answer with a small reply
	// to a request at which the node did not wait; 0 if there was none.
	usualAnswerTime time.Duration
}

// recordAnswerTime records the time until a direct answer with a small reply.
func (d *directPath) recordAnswerTime(taken time.Duration) {
	if d.usualAnswerTime == 0 {
		d.usualAnswerTime = taken
	}
	d.usualAnswerTime += (taken - d.usualAnswerTime) / answerTimeDivisor
}

// answered records a direct answer. It reports whether the path was broken until now.
func (d *directPath) answered(now time.Time) (restored bool) {
	restored = d.broken
	d.broken, d.probeDelay = false, 0
	d.lastAnswer, d.lastFailure = now, time.Time{}
	return restored
}

// bypassed records that a forwarder answered a call that was sent on the direct path at the
// given time and not answered there. It reports whether the path becomes broken.
func (d *directPath) bypassed(sent, now time.Time, random float64) bool {
	if d.broken || d.lastAnswer.After(sent) {
		return false // a direct answer has arrived since the call was sent
	}
	d.broken, d.brokenSince = true, now
	d.probeDelay = minProbeDelay
	d.nextProbe = now.Add(extend(d.probeDelay, random))
	return true
}

// startProbe reports whether the broken path has to be tried now, and records the try.
func (d *directPath) startProbe(now time.Time) bool {
	if !d.broken || d.probing || now.Before(d.nextProbe) {
		return false
	}
	d.probing, d.lastTry = true, now
	return true
}

// probeFailed records a try without an answer.
func (d *directPath) probeFailed(now time.Time, random float64) {
	if !d.broken {
		return // only the answer of a forwarder shows that the path is broken, not the node
	}
	d.probeDelay = min(max(2*d.probeDelay, minProbeDelay), maxProbeDelay)
	d.nextProbe = now.Add(extend(d.probeDelay, random))
}

// unreachable reports whether the node could not be reached recently.
func (d *directPath) unreachable(now time.Time) bool {
	return d.broken || !d.lastFailure.IsZero() && now.Sub(d.lastFailure) < failureLifetime
}

// forwardingFailed records that no forwarder could reach the node. Further failures during
// the pause, of calls that started before it, do not extend the pause.
func (d *directPath) forwardingFailed(now time.Time, random float64) {
	if now.Before(d.pausedUntil) {
		return
	}
	d.pause = min(max(2*d.pause, minForwardPause), maxForwardPause)
	d.pausedUntil = now.Add(extend(d.pause, random))
}

// forwardingSucceeded records an answer through a forwarder.
func (d *directPath) forwardingSucceeded() { d.pause, d.pausedUntil = 0, time.Time{} }

// extend adds jitter to a delay; random is from 0 to 1.
func extend(delay time.Duration, random float64) time.Duration {
	return delay + time.Duration(probeJitter*random*float64(delay))
}
