package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// errMoved is the cancellation cause of streams that are moved off a leaving runner.
var errMoved = errors.New("runner is leaving")

// streamWatchdog ends an online stream whose runner sends no event for too long. For work
// that must not run twice it has no timer, since such work could not be retried on another
// runner: only the deadline ends it.
type streamWatchdog struct {
	// ctx is the context of the stream. Its cause tells why the stream was ended.
	ctx    context.Context
	cancel context.CancelCauseFunc
	parent context.Context

	mutex sync.Mutex
	timer *time.Timer // nil if there is no timeout
}

// startWatchdog starts the watchdog of a stream, with the timeout of the first event. If
// untilDeadline is set, there is no timeout. The caller has to stop the watchdog.
func (m *Module) startWatchdog(ctx context.Context, chosen *assignment, untilDeadline bool) *streamWatchdog {
	w := &streamWatchdog{parent: ctx}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if untilDeadline {
		return w
	}
	w.timer = time.AfterFunc(m.firstTokenTimeout(chosen.model), func() { w.cancel(exchange.ErrUnresponsive) })
	return w
}

// firstTokenTimeout returns how long a stream of a model may wait for its first event
// before its runner is treated as lost.
func (m *Module) firstTokenTimeout(model string) time.Duration {
	if snapshot := m.snapshots.Snapshot(); snapshot != nil {
		if compiled, found := snapshot.Models[model]; found {
			return firstTokenTimeoutFactor * compiled.FirstTokenTarget.Std()
		}
	}
	return firstTokenTimeoutFactor * tokenGapTimeout
}

// eventReceived restarts the timer with the timeout of a later event.
func (w *streamWatchdog) eventReceived() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Reset(tokenGapTimeout)
	}
}

// stop stops the timer and ends the stream's context.
func (w *streamWatchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// translateError returns the error of a failed stream as a result code. It returns the
// given error if the stream's context has not ended or the engine rejected the request,
// and otherwise an error that describes why the context has ended.
func (w *streamWatchdog) translateError(err error) error {
	cause := context.Cause(w.ctx)
	var resultError *result.Error
	switch {
	case cause == nil || result.CodeOf(err) == result.EngineRejected:
		return err
	case errors.Is(cause, errMoved):
		return result.New(result.EngineFailed, "the runner is leaving; the stream is moved")
	case errors.Is(cause, exchange.ErrUnresponsive):
		return result.New(result.RunnerLost, "runner was silent for too long")
	case errors.As(cause, &resultError):
		return resultError
	case errors.Is(w.parent.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, "deadline passed while running")
	default:
		return result.New(result.CallerGone, "the caller hung up")
	}
}
