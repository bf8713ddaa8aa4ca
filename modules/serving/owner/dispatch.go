package owner

import (
	"context"
	"errors"
	"io"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/serving/engine"
	"cobaltramp.example/cobaltramp/internal/serving/scheduling/framework"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Emit sends one event of a response to the accepting node. An error ends the
// stream, since the accepting node is gone.
type Emit func(*wirev1.DispatchEvent) error

// errPreempted is the cancellation cause of preempted batch streams.
var errPreempted = result.New(result.Preempted, "slot given back to online work")

const (
	// firstTokenTimeoutFactor bounds the wait for the first token as a multiple of
	// its target; tokenGapTimeout bounds the wait between events. A runner that
	// exceeds either is treated as lost.
	firstTokenTimeoutFactor = 4
	tokenGapTimeout         = 2 * time.Second
)

func (m *Module) serveDispatch(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.DispatchRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	return m.Dispatch(ctx, &request, func(event *wirev1.DispatchEvent) error { return stream.Send(event) })
}

func (m *Module) serveReattach(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.ReattachRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	return m.Reattach(ctx, &request, func(event *wirev1.DispatchEvent) error { return stream.Send(event) })
}

// Dispatch runs an online request on an owned runner. If a runner provably did not
// run the request, Dispatch tries another one. It returns any other failure, because
// only the accepting node knows whether a retry is allowed.
func (m *Module) Dispatch(ctx context.Context, request *wirev1.DispatchRequest, emit Emit) error {
	excluded := append([]string(nil), request.ExcludeRunners...)
	var refused error
	for {
		chosen, err := m.admitOnline(request, excluded)
		if err != nil {
			if refused != nil {
				return refused
			}
			return err
		}
		err = m.runOnline(ctx, chosen, request, emit)
		if err == nil || !provablyNotRun(err) || ctx.Err() != nil {
			return err
		}
		refused = err
		excluded = append(excluded, chosen.id)
	}
}

// provablyNotRun reports whether another runner may be tried after an error, even for
// work that must not run twice.
func provablyNotRun(err error) bool {
	switch result.CodeOf(err) {
	case result.NoRunner, result.EngineRefused:
		return true
	default:
		return false
	}
}

// assignment is the runner on which a stream has taken a slot.
type assignment struct {
	id      string
	address string
	runner  *runner
	model   string
}

// admitOnline chooses a runner, takes an online slot on it and preempts batch streams
// if necessary.
func (m *Module) admitOnline(request *wirev1.DispatchRequest, excluded []string) (*assignment, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	model, known := m.modelOf(request.Model)
	if !known {
		return nil, result.New(result.UnknownModel, "model %q is not in the bundle in force", request.Model)
	}
	candidates := m.candidates(model, request.PrefixHash)
	if len(candidates) == 0 {
		return nil, result.New(result.NotOwner, "node %s owns no runner of model %s", m.settings.Node.ID, model)
	}
	wanted := &framework.Request{PrefixHash: request.PrefixHash, Excluded: excluded, Now: now}
	chosen, found := m.scheduler.Choose(wanted, candidates, m.random)
	if !found {
		return nil, result.New(result.Saturated, "all runners of model %s at node %s are full", model, m.settings.Node.ID).WithRetryAfter(time.Second)
	}
	r := m.runners[chosen.ID]
	admitted, preempted := r.arbiter.AdmitOnline()
	if !admitted {
		return nil, result.New(result.Saturated, "runner %s is full", r.id).WithRetryAfter(time.Second)
	}
	m.preempt(r, preempted)
	return &assignment{id: r.id, address: r.address, runner: r, model: model}, nil
}

// modelOf returns the model of a requested name, which is a model or one of its
// adapters.
func (m *Module) modelOf(name string) (string, bool) {
	snapshot := m.snapshots.Snapshot()
	if snapshot == nil {
		return "", false
	}
	model, known := snapshot.Models[name]
	if !known {
		return "", false
	}
	return model.Name, true
}

// candidates lists the owned runners of a model. The caller holds the mutex.
func (m *Module) candidates(model string, prefix uint64) []framework.Candidate {
	var candidates []framework.Candidate
	for _, r := range m.runners {
		if !r.owned || r.model != model || !r.orders.loaded {
			continue
		}
		candidates = append(candidates, framework.Candidate{
			ID: r.id, Leaving: r.leaving,
			Capacity: r.arbiter.Online() + r.arbiter.FreeOnlineSlots(), Load: r.arbiter.Online(), Batch: r.arbiter.Batch(),
			Affinity: ownership.Weight(prefix, r.id), EjectedUntil: r.health.EjectedUntil(),
		})
	}
	return candidates
}

// runOnline runs an admitted stream to its end.
func (m *Module) runOnline(ctx context.Context, chosen *assignment, request *wirev1.DispatchRequest, emit Emit) error {
	defer m.onlineDone(chosen.runner)
	m.metrics.dispatched.WithLabelValues("online").Inc()
	if err := emit(&wirev1.DispatchEvent{RequestId: request.RequestId, Runner: chosen.id, Assigned: true, Load: m.Load(chosen.model)}); err != nil {
		return result.New(result.CallerGone, "accepting node is gone")
	}
	started := time.Now()
	watchdog := m.startWatchdog(ctx, chosen, request.Once)
	defer watchdog.stop()
	defer m.registerMovable(chosen.runner, watchdog, request.Once)()
	stream, err := m.engines.Start(watchdog.ctx, chosen.address, &engine.Request{
		ID: request.RequestId, Surface: request.Surface, Body: request.Body, Priority: engine.PriorityOnline,
		Once: request.Once, Received: request.ReceivedText, ReceivedTokens: int(request.ReceivedTokens),
	})
	if err != nil {
		err = watchdog.translateError(err)
		m.recordOutcome(chosen.runner, err)
		return err
	}
	defer stream.Close()
	return m.forwardEvents(watchdog, chosen, stream, request.RequestId, started, emit)
}

// registerMovable registers a stream that may be moved off a leaving runner. It
// returns a function that removes the registration.
func (m *Module) registerMovable(r *runner, watchdog *streamWatchdog, once bool) func() {
	if once {
		return func() {}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r.movable[watchdog] = struct{}{}
	return func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(r.movable, watchdog)
	}
}

// Reattach continues a stream that this node or a previous owner started.
func (m *Module) Reattach(ctx context.Context, request *wirev1.ReattachRequest, emit Emit) error {
	listed, known := m.tables.Table().ByID[request.Runner]
	if !known {
		return result.New(result.NoRunner, "runner %s is not listed", request.Runner)
	}
	chosen := &assignment{id: listed.ID, address: listed.Address, runner: m.admitReattached(request.Runner), model: request.Model}
	defer m.onlineDone(chosen.runner)
	m.metrics.dispatched.WithLabelValues("reattach").Inc()
	watchdog := m.startWatchdog(ctx, chosen, false)
	defer watchdog.stop()
	stream, err := m.engines.Resume(watchdog.ctx, chosen.address, request.RequestId, request.Surface, int(request.LastEvent))
	if err != nil {
		return watchdog.translateError(err)
	}
	defer stream.Close()
	return m.forwardEvents(watchdog, chosen, stream, request.RequestId, time.Now(), emit)
}

// admitReattached takes an online slot for a stream that already runs. It returns nil,
// and the stream is not counted, if this node does not own the runner or its arbiter
// does not admit the stream.
func (m *Module) admitReattached(id string) *runner {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r := m.runners[id]
	if r == nil {
		return nil
	}
	admitted, preempted := r.arbiter.AdmitOnline()
	m.preempt(r, preempted)
	if !admitted {
		return nil
	}
	return r
}

func (m *Module) onlineDone(r *runner) {
	if r == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r.arbiter.OnlineDone()
	m.signalFreed()
}

// forwardEvents forwards events until the response ends and records the latency of
// its tokens.
func (m *Module) forwardEvents(watchdog *streamWatchdog, chosen *assignment, stream *engine.Stream, id string, started time.Time, emit Emit) error {
	defer m.countDropped(stream)
	last := started
	first := true
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			m.recordOutcome(chosen.runner, nil)
			return nil
		}
		if err != nil {
			err = watchdog.translateError(err)
			m.abort(chosen, id, err)
			return err
		}
		now := time.Now()
		watchdog.eventReceived()
		if event.Text != "" {
			m.recordLatency(chosen.runner, first, now.Sub(last))
			first, last = false, now
		}
		if err := emit(toWire(id, chosen.id, event)); err != nil {
			gone := result.New(result.CallerGone, "accepting node is gone")
			m.abort(chosen, id, gone)
			return gone
		}
	}
}

func (m *Module) countDropped(stream *engine.Stream) {
	m.metrics.dropped.WithLabelValues("repeated").Add(float64(stream.Repeated))
	m.metrics.dropped.WithLabelValues("foreign").Add(float64(stream.Foreign))
}

func toWire(id, runner string, event engine.Event) *wirev1.DispatchEvent {
	converted := &wirev1.DispatchEvent{RequestId: id, Runner: runner, Index: uint32(event.Index), Text: event.Text, FinishReason: event.FinishReason}
	if event.Usage != nil {
		converted.PromptTokens = uint32(event.Usage.PromptTokens)
		converted.CompletionTokens = uint32(event.Usage.CompletionTokens)
	}
	return converted
}

func (m *Module) recordLatency(r *runner, first bool, waited time.Duration) {
	if r == nil {
		return
	}
	m.mutex.Lock()
	if first {
		r.arbiter.FirstToken(waited)
	} else {
		r.arbiter.InterToken(waited)
	}
	m.mutex.Unlock()
	if first {
		m.metrics.firstToken.Observe(waited.Seconds())
		return
	}
	m.metrics.tokenGap.Observe(waited.Seconds())
}

// abort records the outcome of a failed stream and cancels the stream at its engine
// if no node will read it any more. Other streams keep running there: the accepting
// node may re-attach through another owner, and the engine ends an unread stream by
// itself.
func (m *Module) abort(chosen *assignment, id string, err error) {
	m.recordOutcome(chosen.runner, err)
	switch result.CodeOf(err) {
	case result.CallerGone, result.DeadlineExceeded, result.Preempted, result.EngineFailed:
		m.cancelAtEngine(chosen.address, id)
	}
}

// recordOutcome counts a failure and updates the runner's health.
func (m *Module) recordOutcome(r *runner, err error) {
	code := result.CodeOf(err)
	if code != result.OK {
		m.metrics.failures.WithLabelValues(code.String()).Inc()
	}
	if r == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch code {
	case result.OK:
		r.health.RecordSuccess()
	case result.NoRunner, result.EngineRefused, result.OutcomeUnknown, result.RunnerLost, result.EngineFailed:
		r.health.RecordFailure(time.Now())
	}
}
