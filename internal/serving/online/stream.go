package online

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/transport/eventstream"
)

// relayStream relays events as they arrive, each as a whole. The IDs of the events that
// have an ID must be consecutive; otherwise the stream counts as broken. The head of the
// response is sent right before the first event, so that a run that breaks off before its
// first event can be replaced; the head is not sent again after a retry. relayStream
// reports whether to try another runner.
func (s *activeRequest) relayStream(ctx context.Context, response *exchange.Response) (bool, error) {
	memory := s.Memory.Reserve()
	defer memory.Release()
	events := eventstream.NewDecoder(response.Body, eventstream.Limits{Memory: memory})
	first, checks := true, eventCheck{limits: s.request.Limits}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && s.endedWithRunner(response, first && !s.history.responseStarted) {
			err = errEndedWithRunner
		}
		if errors.Is(err, io.EOF) {
			return s.finishStream(response, first)
		}
		if err == nil {
			err = checks.check(&event, s.lastEvent)
		}
		if err != nil {
			s.recordStreamFailure(ctx, first)
			if errors.Is(err, syscall.ECONNRESET) {
				s.lostRunner = s.current.runner.ID
			}
			return s.handleInterruption(ctx, err)
		}
		s.current.idle.pause() // the write may wait for a slow caller, which is not the runner's fault
		s.current.inFlight.RecordEvent(time.Now())
		if first {
			first = false
			s.recordFirstEvent()
		}
		s.recordSurvival()
		if !s.history.responseStarted {
			s.history.responseStarted = true
			s.softwareVersion = s.current.runner.SoftwareVersion()
			s.recorded.recording.Await(ctx)
			s.responder.Head(response.Status, response.Headers, -1)
		}
		if err := s.responder.Write(event.Raw); err != nil {
			return false, result.New(result.CallerGone, "the caller left")
		}
		s.current.idle.resume(event.HasID)
		if event.HasID {
			s.lastEvent = event.ID
		}
	}
}

// recordStreamFailure records a failure of the runner when a stream breaks off. If the
// caller left or the deadline passed, it instead records the delay, provided that no event
// has arrived.
func (s *activeRequest) recordStreamFailure(ctx context.Context, beforeFirstEvent bool) {
	if ctx.Err() != nil {
		if beforeFirstEvent {
			s.current.inFlight.RecordDelay(time.Now())
		}
		return
	}
	s.current.runner.RecordFailure(time.Now())
}

// finishStream ends a complete stream. It sends the head if the stream had no events. A run
// without events, empty, is no evidence for the request: nothing was written for it.
func (s *activeRequest) finishStream(response *exchange.Response, empty bool) (bool, error) {
	if !empty {
		s.recordCompletion(response.Status)
	}
	if !s.history.responseStarted {
		s.history.responseStarted = true
		s.responder.Head(response.Status, response.Headers, 0)
	}
	return false, nil
}
