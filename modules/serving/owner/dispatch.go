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

// Emit takes one event of an answer. An error ends the stream: the accepting
// side is gone.
type Emit func(*wirev1.DispatchEvent) error

// errPreempted is the cause by which batch streams are cancelled for online
// work.
var errPreempted = result.New(result.Preempted, "slot given back to online work")

const (
	// firstTokenTimeoutFactor bounds the wait for a first token as a multiple of
	// its target; tokenGapTimeout bounds the wait between tokens. A runner that is
	// silent for longer is treated as lost.
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

// Dispatch runs an online request on an owned runner. Runners that provably
// did not run it are passed over; any other failure is returned, because only
// the accepting node knows whether a repeat is allowed.
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

// provablyNotRun lists the errors after which another runner may be tried even
// for work that must not run twice.
func provablyNotRun(err error) bool {
	switch result.CodeOf(err) {
	case result.NoRunner, result.EngineRefused:
		return true
	default:
		return false
	}
}

// admission is an admitted online stream's place.
type admission struct {
	id      string
	address string
	runner  *runner
	model   string
}

// admitOnline chooses a runner, takes an online place and preempts batch.
func (m *Module) admitOnline(request *wirev1.DispatchRequest, excluded []string) (*admission, error) {
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
	return &admission{id: r.id, address: r.address, runner: r, model: model}, nil
}

// modelOf maps a requested name (a model or one of its adapters) to the model.
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

// candidates lists owned runners of a model; the caller holds the mutex.
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

// runOnline runs one admitted stream to its end.
func (m *Module) runOnline(ctx context.Context, place *admission, request *wirev1.DispatchRequest, emit Emit) error {
	defer m.onlineDone(place.runner)
	m.metrics.dispatched.WithLabelValues("online").Inc()
	if err := emit(&wirev1.DispatchEvent{RequestId: request.RequestId, Runner: place.id, Assigned: true, Load: m.Load(place.model)}); err != nil {
		return result.New(result.CallerGone, "accepting node is gone")
	}
	started := time.Now()
	watch := m.watchSilence(ctx, place, request.Once)
	defer watch.stop()
	defer m.movable(place.runner, watch, request.Once)()
	stream, err := m.engines.Start(watch.ctx, place.address, &engine.Request{
		ID: request.RequestId, Surface: request.Surface, Body: request.Body, Priority: engine.PriorityOnline,
		Once: request.Once, Received: request.ReceivedText, ReceivedTokens: int(request.ReceivedTokens),
	})
	if err != nil {
		err = watch.explain(err)
		m.noteOutcome(place.runner, err)
		return err
	}
	defer stream.Close()
	return m.pump(watch, place, stream, request.RequestId, started, emit)
}

// movable registers a stream that may be taken off a leaving runner and returns
// what undoes it.
func (m *Module) movable(r *runner, watch *silenceWatch, once bool) func() {
	if once {
		return func() {}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r.moves[watch] = struct{}{}
	return func() {
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(r.moves, watch)
	}
}

// Reattach continues a stream that this node, or an owner before it, started.
func (m *Module) Reattach(ctx context.Context, request *wirev1.ReattachRequest, emit Emit) error {
	listed, known := m.tables.Table().ByID[request.Runner]
	if !known {
		return result.New(result.NoRunner, "runner %s is not listed", request.Runner)
	}
	place := &admission{id: listed.ID, address: listed.Address, runner: m.countReattached(request.Runner), model: request.Model}
	defer m.onlineDone(place.runner)
	m.metrics.dispatched.WithLabelValues("reattach").Inc()
	watch := m.watchSilence(ctx, place, false)
	defer watch.stop()
	stream, err := m.engines.Resume(watch.ctx, place.address, request.RequestId, request.Surface, int(request.LastEvent))
	if err != nil {
		return watch.explain(err)
	}
	defer stream.Close()
	return m.pump(watch, place, stream, request.RequestId, time.Now(), emit)
}

// countReattached takes an online place for a stream that already runs, even
// beyond the runner's free slots; nil if this node does not own the runner.
func (m *Module) countReattached(id string) *runner {
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

// pump passes events on until the answer ends, and measures the tail.
func (m *Module) pump(watch *silenceWatch, place *admission, stream *engine.Stream, id string, started time.Time, emit Emit) error {
	defer m.countDropped(stream)
	last := started
	first := true
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			m.noteOutcome(place.runner, nil)
			return nil
		}
		if err != nil {
			err = watch.explain(err)
			m.abandon(place, id, err)
			return err
		}
		now := time.Now()
		watch.eventReceived()
		if event.Text != "" {
			m.measure(place.runner, first, now.Sub(last))
			first, last = false, now
		}
		if err := emit(toWire(id, place.id, event)); err != nil {
			gone := result.New(result.CallerGone, "accepting node is gone")
			m.abandon(place, id, gone)
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

func (m *Module) measure(r *runner, first bool, waited time.Duration) {
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

// abandon cancels at the engine a stream nobody reads any more. A lost link
// between nodes is not that: the accepting node re-attaches through another
// owner, and the engine ends the stream by itself if nobody does.
func (m *Module) abandon(place *admission, id string, err error) {
	m.noteOutcome(place.runner, err)
	switch result.CodeOf(err) {
	case result.CallerGone, result.DeadlineExceeded, result.Preempted, result.EngineFailed:
		m.cancelAtEngine(place.address, id)
	}
}

// noteOutcome feeds the runner's health.
func (m *Module) noteOutcome(r *runner, err error) {
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
