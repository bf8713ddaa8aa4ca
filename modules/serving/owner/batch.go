package owner

import (
	"context"
	"errors"
	"io"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/arbiter"
	"cobaltramp.example/cobaltramp/internal/serving/engine"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// FreeBatchSlots returns the number of batch items that may start now, by model. The
// result is empty after StopBatch.
func (m *Module) FreeBatchSlots() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	free := map[string]int{}
	if m.batchStopped {
		return free
	}
	for _, r := range m.runners {
		if r.ready(now) {
			free[r.model] += r.arbiter.FreeBatchSlots()
		}
	}
	return free
}

// StopBatch permanently prevents batch items from starting on this node and preempts
// the running items, except those that must not run twice (BatchRequest.Once): these
// continue to their end.
func (m *Module) StopBatch() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.batchStopped = true
	for _, r := range m.runners {
		for stream, cancel := range r.cancels {
			if cancel == nil {
				continue
			}
			cancel(errPreempted)
			delete(r.cancels, stream)
			r.arbiter.BatchDone(stream)
		}
	}
}

// BatchRequest is the input of RunBatch.
type BatchRequest struct {
	// ID identifies the stream at the engine.
	ID string
	// Model is the name of a model or of one of its adapters.
	Model   string
	Surface wirev1.Surface
	Body    []byte
	// Once marks an item that must not run twice. Such an item is not preempted, since
	// it could not be retried.
	Once bool
	// StartDecided is called once, when it is decided whether the item starts, before
	// the item is sent to the engine.
	StartDecided func()
}

// BatchResponse is the complete response to a batch item.
type BatchResponse struct {
	Text             string
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

// RunBatch runs a batch item in a free batch slot of a runner of its model and returns
// the complete response. The error is UnknownModel if the bundle does not contain the
// model, and Saturated if there is no free slot or StopBatch was called. It is Preempted
// if the running item had to release its slot: to online work, because StopBatch was
// called, or because the drain timeout of its runner passed. Other errors are those of
// package engine, and CallerGone if the context ended.
func (m *Module) RunBatch(ctx context.Context, request *BatchRequest) (*BatchResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	preempt := cancel
	if request.Once {
		preempt = nil
	}
	chosen, stream, err := m.startBatch(request.Model, preempt)
	request.StartDecided()
	if err != nil {
		return nil, err
	}
	defer m.batchDone(chosen.runner, stream)
	m.metrics.dispatched.WithLabelValues("batch").Inc()
	response, err := m.collectBatch(ctx, chosen, request)
	if err != nil {
		err = batchError(ctx, err)
		m.abortBatch(chosen, request.ID, err)
		return nil, err
	}
	m.recordOutcome(chosen.runner, nil)
	return response, nil
}

// startBatch takes a batch slot on the ready runner with the most free batch slots.
// Cancel preempts the item; it is nil for an item that must not be preempted.
func (m *Module) startBatch(model string, cancel context.CancelCauseFunc) (*assignment, arbiter.BatchStream, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	name, known := m.modelOf(model)
	if !known {
		return nil, 0, result.New(result.UnknownModel, "model %q is not in the bundle in force", model)
	}
	var best *runner
	now := time.Now()
	for _, r := range m.runners {
		if r.model != name || !r.ready(now) || r.arbiter.FreeBatchSlots() == 0 {
			continue
		}
		if best == nil || r.arbiter.FreeBatchSlots() > best.arbiter.FreeBatchSlots() {
			best = r
		}
	}
	if best == nil || m.batchStopped {
		return nil, 0, result.New(result.Saturated, "no idle capacity for model %s", name)
	}
	stream, ok := best.arbiter.StartBatch()
	if !ok {
		return nil, 0, result.New(result.Saturated, "no idle capacity on runner %s", best.id)
	}
	best.cancels[stream] = cancel
	return &assignment{id: best.id, address: best.address, runner: best, model: name}, stream, nil
}

// batchDone releases the slot of an item. It has no effect on the slot if the item was
// preempted.
func (m *Module) batchDone(r *runner, stream arbiter.BatchStream) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(r.cancels, stream)
	r.arbiter.BatchDone(stream)
	m.signalFreedBatchSlots()
}

// batchEventTimeout bounds the wait for each event of a batch stream. For the first
// event it includes the time to connect and to send the request.
const batchEventTimeout = 20 * time.Second

// collectBatch sends the item to the engine and reads the response to its end.
func (m *Module) collectBatch(ctx context.Context, chosen *assignment, request *BatchRequest) (*BatchResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(batchEventTimeout, func() { cancel(exchange.ErrUnresponsive) })
	defer timer.Stop()
	stream, err := m.engines.Start(ctx, chosen.address, &engine.Request{
		ID: request.ID, Surface: request.Surface, Body: request.Body, Priority: engine.PriorityBatch, Once: request.Once,
	})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	defer m.countDropped(stream)
	var text []byte
	response := &BatchResponse{}
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			response.Text = string(text)
			return response, nil
		}
		if err != nil {
			return nil, err
		}
		timer.Reset(batchEventTimeout)
		text = append(text, event.Text...)
		if event.FinishReason != "" {
			response.FinishReason = event.FinishReason
		}
		if event.Usage != nil {
			response.PromptTokens, response.CompletionTokens = event.Usage.PromptTokens, event.Usage.CompletionTokens
		}
	}
}

// batchError returns the error of a failed item. If the context of RunBatch has ended,
// the cause decides: the error is the cause if that is a result.Error, such as
// errPreempted, and otherwise CallerGone.
func batchError(ctx context.Context, err error) error {
	var resultError *result.Error
	if cause := context.Cause(ctx); cause != nil {
		if errors.As(cause, &resultError) {
			return resultError
		}
		return result.New(result.CallerGone, "the run was given up: %v", cause)
	}
	return err
}

// abortBatch cancels a failed item at its engine if the item was preempted, its caller is
// gone or its stream was lost. It records the outcome unless the item was preempted or
// its caller is gone.
func (m *Module) abortBatch(chosen *assignment, id string, err error) {
	code := result.CodeOf(err)
	if code == result.Preempted || code == result.CallerGone || code == result.RunnerLost {
		m.cancelAtEngine(chosen.address, id)
	}
	if code != result.Preempted && code != result.CallerGone {
		m.recordOutcome(chosen.runner, err)
	}
}
