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

// streamWatchdog ends a stream whose runner is unresponsive for too long. Work that
// must not run twice is bounded by its deadline only, since it could not be retried on
// another runner.
type streamWatchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	parent context.Context

	mutex sync.Mutex
	timer *time.Timer
}

// startWatchdog starts the watchdog of a stream. With untilDeadline, only the context
// ends the stream.
func (m *Module) startWatchdog(ctx context.Context, chosen *assignment, untilDeadline bool) *streamWatchdog {
	w := &streamWatchdog{parent: ctx}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if untilDeadline {
		return w
	}
	w.timer = time.AfterFunc(m.firstTokenTimeout(chosen.model), func() { w.cancel(exchange.ErrUnresponsive) })
	return w
}

// firstTokenTimeout returns how long a stream of the model may wait for its first
// token before its runner is treated as lost.
func (m *Module) firstTokenTimeout(model string) time.Duration {
	if snapshot := m.snapshots.Snapshot(); snapshot != nil {
		if known, found := snapshot.Models[model]; found {
			return firstTokenTimeoutFactor * known.FirstTokenTarget.Std()
		}
	}
	return firstTokenTimeoutFactor * tokenGapTimeout
}

// eventReceived restarts the timer after an event.
func (w *streamWatchdog) eventReceived() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Reset(tokenGapTimeout)
	}
}

func (w *streamWatchdog) stop() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}

// translateError replaces the error of an interrupted read by the cause of the
// interruption.
func (w *streamWatchdog) translateError(err error) error {
	cause := context.Cause(w.ctx)
	var known *result.Error
	switch {
	case cause == nil || result.CodeOf(err) == result.EngineRejected:
		return err
	case errors.Is(cause, errMoved):
		return result.New(result.EngineFailed, "the runner is leaving; the stream is moved")
	case errors.Is(cause, exchange.ErrUnresponsive):
		return result.New(result.RunnerLost, "runner was silent for too long")
	case errors.As(cause, &known):
		return known
	case errors.Is(w.parent.Err(), context.DeadlineExceeded):
		return result.New(result.DeadlineExceeded, "deadline passed while running")
	default:
		return result.New(result.CallerGone, "the caller hung up")
	}
}
