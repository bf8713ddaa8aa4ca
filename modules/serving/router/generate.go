package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Request is an online request at the accepting node, which is the node that received it
// from the caller.
type Request struct {
	ID      string
	Tenant  string
	Model   *bundle.CompiledModel
	Surface wirev1.Surface
	// Body is the caller's JSON. It must not change while the request runs.
	Body       []byte
	PrefixHash uint64
	// Once marks work that must not run twice. It is dispatched again only if it
	// provably was not run.
	Once bool
}

// Chunk is a part of the response. Chunks are emitted in order and without gaps.
type Chunk struct {
	Text         string
	FinishReason string
}

// Usage is the number of tokens of a complete response.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

const (
	// maxRefusals is the number of refusals by owners after which a request is refused.
	// The count starts again in each round of attempts (ownershipChangeTimeout).
	maxRefusals = 6
	// ownershipChangeTimeout bounds how long a request is retried after refusals that
	// may be due to a change of ownership, with ownershipChangeDelay between two rounds
	// of attempts. If all refusals have other reasons, there is only one round.
	ownershipChangeTimeout = time.Second
	ownershipChangeDelay   = 50 * time.Millisecond
	// maxContinuations is the maximum number of times that one response is resumed.
	maxContinuations = 4
)

// generation is the state of one request across its attempts. An attempt is one dispatch
// to an owner.
//
// Invariant: text is exactly the emitted text, so a continuation starts where the
// caller's response ends.
type generation struct {
	module  *Module
	request *Request
	// work identifies the request for the quarantine. Callers of this node's interface name
	// no parts of their prompts.
	work *quarantine.Work
	emit func(Chunk) error

	text []byte
	// tokens is the number of emitted chunks with text. Each of them counts as one token.
	tokens int
	usage  Usage
	// finished is set if a chunk with a finish reason was emitted.
	finished bool

	attempt         int
	excludedOwners  []string
	excludedRunners []string
	// ownershipChanging is set if an owner refused in this round of attempts for a reason
	// that may be a change of ownership.
	ownershipChanging bool

	// The current stream: its id at the engine, its runner (empty until it is known), the
	// owner (empty if none was found), and the index of the next event.
	streamID  string
	runner    string
	ownerID   string
	nextEvent uint32
	// mayHaveRun is set if an attempt may have run, that is, once a stream was lost.
	mayHaveRun bool
	// began is when the current attempt began, and firstEvent the arrival time of its stream's
	// first event; zero if there was none yet.
	began      time.Time
	firstEvent time.Time
	// survived is set once recordSurvival has reported the current attempt.
	survived bool
}

// Generate runs the request and calls emit for each chunk. It returns when the response
// is complete or has failed. After a failure the usage may be incomplete. An error of
// emit ends the response.
func (m *Module) Generate(ctx context.Context, request *Request, emit func(Chunk) error) (Usage, error) {
	g := &generation{module: m, request: request, work: &quarantine.Work{ID: request.ID, Fingerprint: request.fingerprint(), MayTry: true}, emit: emit}
	if snapshot := m.snapshots.Snapshot(); snapshot != nil {
		m.budget.Deposit(snapshot.Policy.RetryBudget)
	}
	err := g.run(ctx)
	return g.usage, err
}

// run makes attempts until the response is complete, has failed or is refused.
func (g *generation) run(ctx context.Context) error {
	defer func() { g.module.guard.ReturnTrials(g.work) }()
	refusals, continuations := 0, 0
	ownershipDeadline := time.Now().Add(ownershipChangeTimeout)
	for {
		if err := g.checkQuarantine(); err != nil {
			return err
		}
		err := g.dispatch(ctx)
		if err == nil {
			g.module.guard.RecordCompletion(g.work, g.quarantineRun(""))
			return nil
		}
		if ctx.Err() != nil {
			return g.contextError(ctx, err)
		}
		switch {
		case refusedNotRun(err):
			refusals++
			if refusals >= maxRefusals || g.ownerID == "" {
				if g.ownershipChanging && time.Now().Before(ownershipDeadline) {
					refusals = 0
					g.awaitOwnershipChange(ctx)
					continue
				}
				return g.refusalError(err, continuations)
			}
			g.ownershipChanging = g.ownershipChanging || isOwnershipChange(err)
			g.excludedOwners = append(g.excludedOwners, g.ownerID)
		case isStreamLost(err):
			continuations++
			g.recordBrokenRun(err)
			if continuations > maxContinuations {
				g.logBroken(err, "too many continuations")
				return g.brokenError(err)
			}
			done, err := g.resume(ctx, err)
			if done || err != nil {
				return err
			}
		default:
			return err
		}
	}
}

// awaitOwnershipChange waits for ownershipChangeDelay, or until the context ends, and
// prepares a new round of attempts, in which all owners may be tried again.
func (g *generation) awaitOwnershipChange(ctx context.Context) {
	g.ownershipChanging = false
	g.excludedOwners = nil
	select {
	case <-ctx.Done():
	case <-time.After(ownershipChangeDelay):
	}
}

// resume continues a response whose stream was lost because of the given cause. Unless
// the engine failed, it first re-attaches to the stream at its engine, which runs nothing
// twice. If that fails, it prepares a new dispatch that continues after the emitted text.
// It returns an error if the work must not run twice or the retry budget is spent. It
// returns true if the response is complete, which includes a response that lacks only the
// closing event.
func (g *generation) resume(ctx context.Context, cause error) (bool, error) {
	if g.runner != "" && result.CodeOf(cause) != result.EngineFailed {
		err := g.reattach(ctx)
		if err == nil {
			g.module.metrics.resumed.WithLabelValues("reattached").Inc()
			return true, nil
		}
		if ctx.Err() != nil {
			return false, g.contextError(ctx, err)
		}
	}
	if g.finished {
		// All text was emitted and only the closing event was lost.
		g.usage.CompletionTokens = g.tokens
		return true, nil
	}
	if g.request.Once {
		g.logBroken(cause, "the request must not run twice")
		return false, g.brokenError(cause)
	}
	if !g.module.budget.TryWithdraw() {
		g.logBroken(cause, "the retry budget is spent")
		return false, g.brokenError(cause)
	}
	g.module.metrics.resumed.WithLabelValues("continued").Inc()
	if g.runner != "" {
		g.excludedRunners = append(g.excludedRunners, g.runner)
	}
	if errors.Is(cause, rpc.ErrLinkLost) {
		g.excludedOwners = append(g.excludedOwners, g.ownerID)
	}
	return false, nil
}

// dispatch makes one attempt, which continues after the emitted text.
func (g *generation) dispatch(ctx context.Context) error {
	chosen, found := g.module.choose(g.request.Model, g.request.PrefixHash, g.excludedOwners)
	if !found {
		g.ownerID = ""
		return g.noOwnerError()
	}
	g.attempt++
	g.streamID = fmt.Sprintf("%s.%d", g.request.ID, g.attempt)
	g.ownerID, g.runner, g.nextEvent, g.began, g.firstEvent, g.survived = chosen, "", 0, time.Now(), time.Time{}, false
	state := g.module.owner(chosen)
	state.inFlight.Add(1)
	defer state.inFlight.Add(-1)
	err := g.receive(ctx, chosen, wirev1.Method_METHOD_DISPATCH, g.dispatchRequest())
	g.module.recordAttempt(state, err)
	return err
}

// recordAttempt counts an attempt and updates the owner's health. Errors that say nothing
// about the owner do not change its health.
func (m *Module) recordAttempt(state *ownerState, err error) {
	code := result.CodeOf(err)
	if errors.Is(err, rpc.ErrLinkLost) {
		code = result.PeerUnreachable
	}
	m.metrics.attempts.WithLabelValues(code.String()).Inc()
	switch code {
	case result.OK:
		state.recordSuccess()
	case result.PeerUnreachable, result.Draining, result.NotOwner, result.NotReady:
		state.recordFailure()
	}
}

func (g *generation) dispatchRequest() *wirev1.DispatchRequest {
	return &wirev1.DispatchRequest{
		RequestId: g.streamID, Tenant: g.request.Tenant, Model: g.request.Model.Name, Surface: g.request.Surface,
		Body: g.request.Body, PrefixHash: g.request.PrefixHash, Once: g.request.Once,
		ReceivedText: string(g.text), ReceivedTokens: uint32(g.tokens), ExcludeRunners: g.excludedRunners,
	}
}
