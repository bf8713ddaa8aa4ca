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

// Request is one online generation at the accepting node.
type Request struct {
	ID      string
	Tenant  string
	Model   *bundle.CompiledModel
	Surface wirev1.Surface
	// Body is the caller's JSON; it must not change while the request runs.
	Body       []byte
	PrefixHash uint64
	// Once work is dispatched again only while it is provably not run.
	Once bool
}

// Piece is a part of the answer, in order and without gaps.
type Piece struct {
	Text         string
	FinishReason string
}

// Usage counts the tokens of a whole answer.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

const (
	// maxRefusals bounds owners tried for one request.
	maxRefusals = 6
	// settleTime bounds how long a request looks for an owner while runners
	// change hands; a fleet that is merely full refuses at once.
	settleTime  = time.Second
	settlePause = 50 * time.Millisecond
	// maxContinuations bounds how often one answer survives a loss.
	maxContinuations = 4
)

// generation is the state of one request across its attempts.
//
// Invariant: text holds exactly what was emitted, so a continuation starts
// where the caller's answer ends.
type generation struct {
	module  *Module
	request *Request
	// fingerprint is of the request's content.
	fingerprint quarantine.Fingerprint
	emit        func(Piece) error

	text     []byte
	tokens   int
	usage    Usage
	finished bool

	attempt       int
	excludeOwners []string
	excludeRunner []string
	// unsettled: an owner refused because ownership is moving.
	unsettled bool

	// The current stream: its id at the engine, where it runs, and the index
	// of its next event.
	streamID  string
	runner    string
	ownerID   string
	nextEvent uint32
	// dispatched: an attempt may have run.
	dispatched bool
	// firstEvent is when the first event of the current stream came; zero before.
	firstEvent time.Time
}

// Generate runs the request and calls emit for each piece. It returns when the
// answer is whole, or the error that ended it.
func (m *Module) Generate(ctx context.Context, request *Request, emit func(Piece) error) (Usage, error) {
	g := &generation{module: m, request: request, fingerprint: request.fingerprint(), emit: emit}
	if snapshot := m.snapshots.Snapshot(); snapshot != nil {
		m.budget.Deposit(snapshot.Policy.RetryBudget)
	}
	err := g.run(ctx)
	return g.usage, err
}

func (g *generation) run(ctx context.Context) error {
	refusals, continuations := 0, 0
	settleBy := time.Now().Add(settleTime)
	for {
		if err := g.quarantined(); err != nil {
			return err
		}
		err := g.dispatch(ctx)
		if err == nil {
			g.module.guard.RecordCompletion(g.fingerprint)
			return nil
		}
		if ctx.Err() != nil {
			return g.contextError(ctx, err)
		}
		switch {
		case refusedNotRun(err):
			refusals++
			if refusals >= maxRefusals || g.ownerID == "" {
				if g.unsettled && time.Now().Before(settleBy) {
					refusals = 0
					g.awaitSettled(ctx)
					continue
				}
				return g.refusal(err, continuations)
			}
			g.unsettled = g.unsettled || ownershipMoves(err)
			g.excludeOwners = append(g.excludeOwners, g.ownerID)
		case lost(err):
			continuations++
			g.noteEnding(err)
			if continuations > maxContinuations {
				return g.broken(err)
			}
			done, err := g.carryOn(ctx, err)
			if done || err != nil {
				return err
			}
		default:
			return err
		}
	}
}

// awaitSettled waits a moment for a hand-over of runners and forgets which
// owners were tried.
func (g *generation) awaitSettled(ctx context.Context) {
	g.unsettled = false
	g.excludeOwners = nil
	select {
	case <-ctx.Done():
	case <-time.After(settlePause):
	}
}

// carryOn continues a lost answer: first by re-attaching to the stream at its
// engine, which repeats nothing; else, for repeatable work and within the
// retry budget, by a new dispatch that goes on after the text the caller has.
func (g *generation) carryOn(ctx context.Context, cause error) (bool, error) {
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
		// All text was emitted; only the closing event was lost.
		g.usage.CompletionTokens = g.tokens
		return true, nil
	}
	if g.request.Once || !g.module.budget.TryWithdraw() {
		return false, g.broken(cause)
	}
	g.module.metrics.resumed.WithLabelValues("continued").Inc()
	if g.runner != "" {
		g.excludeRunner = append(g.excludeRunner, g.runner)
	}
	if errors.Is(cause, rpc.ErrLinkLost) {
		g.excludeOwners = append(g.excludeOwners, g.ownerID)
	}
	return false, nil
}

// dispatch makes one attempt from the text emitted so far.
func (g *generation) dispatch(ctx context.Context) error {
	chosen, found := g.module.choose(g.request.Model, g.request.PrefixHash, g.excludeOwners)
	if !found {
		g.ownerID = ""
		return g.noOwner()
	}
	g.attempt++
	g.streamID = fmt.Sprintf("%s.%d", g.request.ID, g.attempt)
	g.ownerID, g.runner, g.nextEvent, g.firstEvent = chosen, "", 0, time.Time{}
	state := g.module.owner(chosen)
	state.inFlight.Add(1)
	defer state.inFlight.Add(-1)
	err := g.receive(ctx, chosen, wirev1.Method_METHOD_DISPATCH, g.dispatchRequest())
	g.module.noteAttempt(state, err)
	return err
}

func (m *Module) noteAttempt(state *ownerState, err error) {
	code := result.CodeOf(err)
	if errors.Is(err, rpc.ErrLinkLost) {
		code = result.PeerUnreachable
	}
	m.metrics.attempts.WithLabelValues(code.String()).Inc()
	switch code {
	case result.OK:
		state.succeeded()
	case result.PeerUnreachable, result.Draining, result.NotOwner, result.NotReady:
		state.failed()
	}
}

func (g *generation) dispatchRequest() *wirev1.DispatchRequest {
	return &wirev1.DispatchRequest{
		RequestId: g.streamID, Tenant: g.request.Tenant, Model: g.request.Model.Name, Surface: g.request.Surface,
		Body: g.request.Body, PrefixHash: g.request.PrefixHash, Once: g.request.Once,
		ReceivedText: string(g.text), ReceivedTokens: uint32(g.tokens), ExcludeRunners: g.excludeRunner,
	}
}
