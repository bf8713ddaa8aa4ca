package forwarding

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/forwardtrace"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// pathOutcome is the outcome of a call on one path.
type pathOutcome uint8

const (
	// outcomeAnswered means that the target answered with a reply or an error.
	outcomeAnswered pathOutcome = iota
	// outcomeNotSent means that the request was not sent to the target and will not be sent.
	outcomeNotSent
	// outcomeUnknown means that the target may have executed the request.
	outcomeUnknown
)

var outcomeLabels = map[pathOutcome]string{outcomeAnswered: "answered", outcomeNotSent: "not_delivered", outcomeUnknown: "unknown"}

// pathResult is the end of a call on one path.
type pathResult struct {
	forwarder string // empty for the direct path
	outcome   pathOutcome
	// forwarderUnreachable reports that nothing was sent to the forwarder.
	forwarderUnreachable bool
	reply                []byte
	err                  error
}

// call is one call of a Caller. It is used by a single goroutine.
type call struct {
	caller  *Caller
	target  *wirev1.NodeRecord
	class   rpc.Class
	method  wirev1.Method
	payload []byte
	// wait is how long the target may wait before it answers.
	wait time.Duration

	paths      callPaths
	results    chan pathResult
	directSent time.Time
	// used holds the forwarders that were used, and startedAt when those in flight started.
	used      map[string]bool
	startedAt map[string]time.Time
	// stopDirect ends the call on the direct path, which otherwise ends with the context of
	// the call. detachDirect separates it from that context; it returns false if it was
	// separated before, or if the context has ended.
	stopDirect   context.CancelFunc
	detachDirect func() bool
	// forwardContext is the context of the calls through forwarders; nil before the first.
	forwardContext context.Context
	stopForwarders context.CancelFunc
	lastErr        error
	// busy reports that a forwarder refused the call because of its limits.
	busy bool
}

func newCall(caller *Caller, target *wirev1.NodeRecord, class rpc.Class, method wirev1.Method, payload []byte) *call {
	return &call{
		caller: caller, target: target, class: class, method: method, payload: payload,
		paths: callPaths{repeatable: repeatable(method)}, results: make(chan pathResult, 1+maxForwarders),
	}
}

// run performs the call until a path answers, no path is left, or the context ends.
func (c *call) run(ctx context.Context) ([]byte, error) {
	defer c.release()
	now := time.Now()
	view := c.caller.view(c.target.Address, now)
	c.paths.directBroken, c.paths.directAllowed = view.broken, view.directAllowed
	delay := c.hedgeDelay(ctx, now, view.usualAnswerTime)
	hedge := newHedgeTimer()
	defer hedge.stop()
	for {
		switch c.paths.next(hedge.due) {
		case stepDirect:
			c.startDirect(ctx)
			if view.suspect {
				hedge.start(minHedgeDelay)
			} else {
				hedge.start(c.wait + delay)
			}
		case stepForward:
			started, trusted := c.startForwarder(ctx)
			if started && trusted {
				hedge.start(c.wait + delay)
			} else if started {
				hedge.start(delay)
			}
		case stepGiveUp:
			return nil, c.failure()
		case stepWait:
			select {
			case latest := <-c.results:
				if c.handle(latest) {
					return c.answer(ctx, latest)
				}
			case <-hedge.timer.C:
				hedge.fired(time.Now())
			case <-ctx.Done():
				return c.contextEnded(ctx)
			}
		}
	}
}

// release ends the calls through forwarders, and the direct call unless it was detached.
func (c *call) release() {
	if c.stopForwarders != nil {
		c.stopForwarders()
	}
	if c.stopDirect != nil && c.detachDirect() {
		c.stopDirect()
	}
}

// hedgeDelay returns the hedging delay for the time that the call has left.
func (c *call) hedgeDelay(ctx context.Context, now time.Time, usual time.Duration) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return maxHedgeDelay
	}
	return hedgeDelay(c.method, deadline.Sub(now)-c.wait, usual)
}

// startDirect sends the call on the direct path.
func (c *call) startDirect(ctx context.Context) {
	c.directSent = time.Now()
	c.caller.recordTry(c.target.Address, c.directSent)
	var directContext context.Context
	if deadline, bounded := ctx.Deadline(); bounded {
		directContext, c.stopDirect = context.WithDeadline(c.caller.context, deadline)
	} else {
		directContext, c.stopDirect = context.WithCancel(c.caller.context)
	}
	stop := c.stopDirect
	c.detachDirect = context.AfterFunc(ctx, stop)
	c.paths.direct = directInFlight
	started := c.caller.running.Go(func() {
		defer stop()
		c.results <- c.caller.callDirectly(directContext, c.target.Address, c.class, c.method, c.payload)
	})
	if !started {
		stop()
		c.results <- pathResult{outcome: outcomeNotSent, err: errStopping}
	}
}

// errStopping is returned for calls after Close.
var errStopping = result.New(result.PeerUnreachable, "the node is stopping")

// callDirectly sends a call on the direct path and records the outcome.
func (c *Caller) callDirectly(ctx context.Context, address string, class rpc.Class, method wirev1.Method, payload []byte) pathResult {
	reply, sent, err := c.transport.CallEncoded(ctx, address, class, method, payload)
	direct := pathResult{reply: reply, err: err, outcome: outcomeUnknown}
	switch {
	case !sent:
		direct.outcome = outcomeNotSent
	case isAnswer(err):
		direct.outcome = outcomeAnswered
	}
	if sent || ctx.Err() == nil { // a call that ended before it could be sent says nothing about the path
		c.recordDirect(address, direct.outcome == outcomeAnswered, sent, time.Now())
	}
	return direct
}

// isAnswer reports whether the error of a call that was sent is the node's answer.
func isAnswer(err error) bool {
	var refusal *result.Error
	return err == nil || errors.As(err, &refusal)
}

// startForwarder sends the call through a forwarder. started is false if no forwarder is
// usable; trusted reports that the forwarder reached the target recently.
func (c *call) startForwarder(ctx context.Context) (started, trusted bool) {
	now := time.Now()
	forwarder, trusted := c.caller.choose(c.target, c.used, now)
	if forwarder == "" {
		c.paths.noForwarder = true
		return false, false
	}
	if c.used == nil {
		c.used, c.startedAt = map[string]bool{}, map[string]time.Time{}
		c.forwardContext, c.stopForwarders = context.WithCancel(ctx)
	}
	c.used[forwarder], c.startedAt[forwarder] = true, now
	c.paths.forwarders++
	c.paths.inFlight++
	if !c.caller.running.Go(func() { c.results <- c.callThrough(c.forwardContext, forwarder) }) {
		c.results <- pathResult{forwarder: forwarder, outcome: outcomeNotSent, err: errStopping}
	}
	return true, trusted
}

// callThrough sends the call through a forwarder.
func (c *call) callThrough(ctx context.Context, forwarder string) pathResult {
	forwarded := pathResult{forwarder: forwarder, outcome: outcomeUnknown}
	request, err := proto.Marshal(&wirev1.ForwardRequest{Address: c.target.Address, Method: c.method, Class: uint32(c.class), Request: c.payload})
	if err != nil {
		forwarded.outcome, forwarded.err = outcomeNotSent, err
		return forwarded
	}
	encoded, sent, err := c.caller.transport.CallEncoded(ctx, forwarder, c.class, wirev1.Method_METHOD_FORWARD, request)
	if err != nil {
		// A node that does not forward calls rejects the request without sending it.
		if !sent || result.Is(err, result.InvalidRequest) {
			forwarded.outcome = outcomeNotSent
		}
		forwarded.forwarderUnreachable, forwarded.err = !sent, err
		return forwarded
	}
	var reply wirev1.ForwardReply
	if err := proto.Unmarshal(encoded, &reply); err != nil {
		forwarded.err = err
		return forwarded
	}
	forwarded.reply, forwarded.err = reply.Reply, statusError(reply.Status)
	forwarded.outcome = outcomeAnswered
	if !reply.Delivered {
		forwarded.outcome = outcomeNotSent
	}
	return forwarded
}

func statusError(status *wirev1.Status) error {
	if status.GetCode() == 0 {
		return nil
	}
	refusal := result.New(result.Code(status.Code), "%s", status.Message)
	return refusal.WithRetryAfter(time.Duration(status.RetryAfterMs) * time.Millisecond)
}

var directStates = map[pathOutcome]directState{outcomeAnswered: directAnswered, outcomeNotSent: directNotSent, outcomeUnknown: directUnknown}

// handle records the end of a path. It reports whether the target answered.
func (c *call) handle(latest pathResult) bool {
	answered := latest.outcome == outcomeAnswered
	if latest.err != nil && !answered {
		c.lastErr = latest.err
	}
	if latest.forwarder == "" {
		c.paths.direct = directStates[latest.outcome]
		if answered && c.wait == 0 && len(latest.reply) <= maxTimedReplyBytes {
			c.caller.recordAnswerTime(c.target.Address, time.Since(c.directSent))
		}
		return answered
	}
	c.paths.inFlight--
	c.busy = c.busy || latest.outcome == outcomeNotSent && result.Is(latest.err, result.Saturated)
	delete(c.startedAt, latest.forwarder)
	c.paths.forwarderUnknown = c.paths.forwarderUnknown || latest.outcome == outcomeUnknown
	c.caller.calls.WithLabelValues(c.method.String(), outcomeLabels[latest.outcome]).Inc()
	now := time.Now()
	c.caller.recordForwarder(c.target.Address, latest, now)
	if answered && c.paths.direct != directUnused {
		c.caller.recordBypassed(c.target, latest.forwarder, c.directSent, now)
	}
	return answered
}

// lateAnswerTime is how long an unanswered direct call goes on after a forwarder has
// answered. A late direct answer shows that the direct path works.
const lateAnswerTime = time.Second

// answer returns the target's answer. A refusal on one path is no proof that the request is
// not executed on another path.
func (c *call) answer(ctx context.Context, latest pathResult) ([]byte, error) {
	if c.paths.direct == directInFlight && c.detachDirect() {
		time.AfterFunc(lateAnswerTime, c.stopDirect)
	}
	if latest.forwarder != "" {
		forwardtrace.Record(ctx, latest.forwarder)
	}
	c.recordUnanswered()
	if latest.err == nil {
		return latest.reply, nil
	}
	refused := result.CodeOf(latest.err).Entry().Ran == result.RanNo
	if refused && c.paths.unanswered() {
		return nil, result.New(result.CommitUnknown, "refused on one path, unanswered on another: %v", latest.err)
	}
	return nil, latest.err
}

// recordUnanswered records the forwarders that did not answer within the hedging delay.
func (c *call) recordUnanswered() {
	now := time.Now()
	for forwarder, started := range c.startedAt {
		if now.Sub(started) >= minHedgeDelay+c.wait {
			c.caller.recordForwarder(c.target.Address, pathResult{forwarder: forwarder, outcome: outcomeUnknown}, now)
		}
	}
}

// failure returns the error of a call that no path has answered.
func (c *call) failure() error {
	if c.paths.forwarders > 0 && !c.busy {
		c.caller.recordNoForwarder(c.target.Address, time.Now())
	}
	switch {
	case !c.paths.maybeExecuted():
		return result.New(result.PeerUnreachable, "node %s was reached neither directly nor through a peer; last error: %v", c.target.Address, c.lastErr)
	case c.paths.forwarders == 0:
		return c.lastErr
	default:
		return result.New(result.CommitUnknown, "node %s did not answer, directly or through a peer; last error: %v", c.target.Address, c.lastErr)
	}
}

// contextEnded returns the outcome of a call whose context has ended. If only the direct path was
// used, its end tells whether the request was sent.
func (c *call) contextEnded(ctx context.Context) ([]byte, error) {
	c.recordUnanswered()
	if c.paths.forwarders > 1 && !c.busy {
		c.caller.recordNoForwarder(c.target.Address, time.Now())
	}
	if c.paths.forwarders > 0 {
		return nil, result.New(result.CommitUnknown, "node %s did not answer in time, directly or through a peer", c.target.Address)
	}
	latest := <-c.results
	if c.handle(latest) {
		return c.answer(ctx, latest)
	}
	return nil, latest.err
}

// recordForwarder records the outcome of a call through a forwarder.
func (c *Caller) recordForwarder(target string, latest pathResult, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	peer := c.peer(latest.forwarder)
	switch {
	case latest.outcome == outcomeAnswered:
		peer.forwardedAt[target] = now
		delete(peer.unreachableUntil, target)
		c.path(target).forwardingSucceeded()
	case latest.forwarderUnreachable:
		peer.unusableUntil = now.Add(unreachableLifetime)
	case latest.outcome == outcomeUnknown:
		peer.unreachableUntil[target] = now.Add(unreachableLifetime)
		delete(peer.forwardedAt, target)
	case result.Is(latest.err, result.InvalidRequest):
		peer.unusableUntil = now.Add(unsupportedLifetime)
	case result.Is(latest.err, result.Saturated):
		peer.unusableUntil = now.Add(busyLifetime)
	default:
		peer.unreachableUntil[target] = now.Add(unreachableLifetime)
		delete(peer.forwardedAt, target)
	}
}

// recordNoForwarder records that a call found no forwarder that could reach the target.
func (c *Caller) recordNoForwarder(target string, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.path(target).forwardingFailed(now, rand.Float64())
}
