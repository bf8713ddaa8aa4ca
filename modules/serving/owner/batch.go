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

// FreeBatchSlots returns the number of batch items that may start now, by model. It
// is empty while the node drains.
func (m *Module) FreeBatchSlots() map[string]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	free := map[string]int{}
	if m.draining {
		return free
	}
	for _, r := range m.runners {
		if r.ready(now) {
			free[r.model] += r.arbiter.FreeBatchSlots()
		}
	}
	return free
}

// StopBatch preempts the batch items that may run again and prevents new items from
// starting on this node.
func (m *Module) StopBatch() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.draining = true
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

// BatchRequest is a batch item to run.
type BatchRequest struct {
	ID      string
	Model   string
	Surface wirev1.Surface
	Body    []byte
	// Once marks an item that must not run twice. It is not preempted, since it
	// could not be retried.
	Once bool
	// Started is called when a slot has been taken for the item or none was free.
	Started func()
}

// BatchResponse is the complete response to a batch item.
type BatchResponse struct {
	Text             string
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
}

// RunBatch runs a batch item in idle capacity. It returns Saturated if there is no
// idle capacity and Preempted if online work took the slot; in both cases the caller
// retries the item later.
func (m *Module) RunBatch(ctx context.Context, request *BatchRequest) (*BatchResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	preempt := cancel
	if request.Once {
		preempt = nil
	}
	chosen, stream, err := m.startBatch(request.Model, preempt)
	request.Started()
	if err != nil {
		return nil, err
	}
	defer m.batchDone(chosen.runner, stream)
	m.metrics.dispatched.WithLabelValues("batch").Inc()
	answer, err := m.collectBatch(ctx, chosen, request)
	if err != nil {
		err = batchError(ctx, err)
		m.abortBatch(chosen, request.ID, err)
		return nil, err
	}
	m.recordOutcome(chosen.runner, nil)
	return answer, nil
}

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
	if best == nil || m.draining {
		return nil, 0, result.New(result.Saturated, "no idle capacity for model %s", name)
	}
	stream, ok := best.arbiter.StartBatch()
	if !ok {
		return nil, 0, result.New(result.Saturated, "no idle capacity on runner %s", best.id)
	}
	best.cancels[stream] = cancel
	return &assignment{id: best.id, address: best.address, runner: best, model: name}, stream, nil
}

func (m *Module) batchDone(r *runner, stream arbiter.BatchStream) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(r.cancels, stream)
	r.arbiter.BatchDone(stream)
	m.signalFreed()
}

// batchTokenTimeout bounds the wait for the next event of a batch stream, also for the
// first one.
const batchTokenTimeout = 20 * time.Second

func (m *Module) collectBatch(ctx context.Context, chosen *assignment, request *BatchRequest) (*BatchResponse, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(batchTokenTimeout, func() { cancel(exchange.ErrUnresponsive) })
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
	answer := &BatchResponse{}
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			answer.Text = string(text)
			return answer, nil
		}
		if err != nil {
			return nil, err
		}
		timer.Reset(batchTokenTimeout)
		text = append(text, event.Text...)
		if event.FinishReason != "" {
			answer.FinishReason = event.FinishReason
		}
		if event.Usage != nil {
			answer.PromptTokens, answer.CompletionTokens = event.Usage.PromptTokens, event.Usage.CompletionTokens
		}
	}
}

func batchError(ctx context.Context, err error) error {
	var known *result.Error
	if cause := context.Cause(ctx); cause != nil {
		if errors.As(cause, &known) {
			return known
		}
		return result.New(result.CallerGone, "the run was given up: %v", cause)
	}
	return err
}

// abortBatch cancels a failed item at its engine if it may still be running there. It
// records a failure of the runner unless the item was preempted or its caller is gone.
func (m *Module) abortBatch(chosen *assignment, id string, err error) {
	code := result.CodeOf(err)
	if code == result.Preempted || code == result.CallerGone || code == result.RunnerLost {
		m.cancelAtEngine(chosen.address, id)
	}
	if code != result.Preempted && code != result.CallerGone {
		m.recordOutcome(chosen.runner, err)
	}
}
