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

// Emit sends one event of a response to the accepting node. Any error ends the stream
// with CallerGone.
type Emit func(*wirev1.DispatchEvent) error

// errPreempted is the cancellation cause of all preempted batch streams, whatever the
// reason.
var errPreempted = result.New(result.Preempted, "slot given back to online work")

const (
	// firstTokenTimeoutFactor is the factor from the model's first-token target to the
	// timeout of an online stream's first event. tokenGapTimeout is the timeout of each
	// later event. When either passes, the runner is treated as lost.
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

// Dispatch runs an online request on an owned runner and emits the events of the
// response. If a runner provably did not run the request, Dispatch tries another runner;
// when it can choose no other runner, it returns the error of the last attempt. It returns
// any other error at once, and the accepting node decides whether to retry. If there is no
// runner for the first attempt, the error is UnknownModel, NotOwner or Saturated.
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

// provablyNotRun reports whether an error proves that the runner did not run the
// request, so that another runner may be tried even if the work must not run twice.
func provablyNotRun(err error) bool {
	switch result.CodeOf(err) {
	case result.NoRunner, result.EngineRefused:
		return true
	default:
		return false
	}
}

// assignment is the runner that was chosen for a stream.
type assignment struct {
	id      string
	address string
	runner  *runner // nil for a re-attached stream that takes no slot
	model   string
}

// admitOnline chooses a runner that is not excluded, takes an online slot on it and
// preempts batch streams if necessary. The caller has to release the slot (onlineDone).
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

// candidates lists the owned runners that have loaded a model, including runners that
// are leaving or ejected. The caller holds the mutex.
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

// runOnline runs an admitted stream to its end and releases its slot. It first emits the
// choice of the runner, together with this node's load.
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

// registerMovable registers a stream that may be moved off a leaving runner, unless the
// work must not run twice. It returns a function that removes the registration.
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

// Reattach continues to read a stream that runs on a runner already, after the event
// LastEvent of the request. This node or another one may have started the stream. The
// runner has to be listed, but this node need not own it.
func (m *Module) Reattach(ctx context.Context, request *wirev1.ReattachRequest, emit Emit) error {
	listed, known := m.runnerTables.Table().ByID[request.Runner]
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

// admitReattached takes an online slot for a stream that already runs and returns its
// runner. If this node does not have the runner, or the runner's arbiter does not admit
// the stream, it returns nil, and the stream runs without being counted.
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

// onlineDone releases the slot of an online stream; r may be nil.
func (m *Module) onlineDone(r *runner) {
	if r == nil {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r.arbiter.OnlineDone()
	m.signalFreedBatchSlots()
}

// forwardEvents forwards events until the response ends or fails. It records the outcome
// and the latencies: the time from started to the first event with text, and the times
// between events with text.
func (m *Module) forwardEvents(watchdog *streamWatchdog, chosen *assignment, stream *engine.Stream, id string, started time.Time, emit Emit) error {
	defer m.countDropped(stream)
	lastTextAt := started
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
			m.recordLatency(chosen.runner, first, now.Sub(lastTextAt))
			first, lastTextAt = false, now
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

// toWire converts an event to its wire form; id is the id of the stream.
func toWire(id, runner string, event engine.Event) *wirev1.DispatchEvent {
	converted := &wirev1.DispatchEvent{RequestId: id, Runner: runner, Index: uint32(event.Index), Text: event.Text, FinishReason: event.FinishReason}
	if event.Usage != nil {
		converted.PromptTokens = uint32(event.Usage.PromptTokens)
		converted.CompletionTokens = uint32(event.Usage.CompletionTokens)
	}
	return converted
}

// recordLatency records the time to the first event with text, or between two of them.
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

// abort records the outcome of a failed stream. It cancels the stream at its engine after
// an error with which no node will read the stream any more. After other errors the
// stream keeps running there, since the accepting node may re-attach to it.
func (m *Module) abort(chosen *assignment, id string, err error) {
	m.recordOutcome(chosen.runner, err)
	switch result.CodeOf(err) {
	case result.CallerGone, result.DeadlineExceeded, result.Preempted, result.EngineFailed:
		m.cancelAtEngine(chosen.address, id)
	}
}

// recordOutcome records the outcome of a stream; err is nil for a success. It counts a
// failure, and updates the health of the runner, unless r is nil or the error says
// nothing about the runner.
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
