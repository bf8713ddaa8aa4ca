package online

import (
	"context"
	"errors"
	"io"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/transport/eventstream"
)

// relayStream relays complete events in order as they arrive. It sends the head with the
// first event, so a run that breaks before its first event can be replaced without the
// caller noticing. The head is not sent again after a retry.
func (s *activeRequest) relayStream(ctx context.Context, response *exchange.Response) (bool, error) {
	if !response.FromRunner {
		s.current.runner.RecordFailure(time.Now())
		return s.interruption(ctx, errors.New("a success without the runner's mark"))
	}
	events := eventstream.NewDecoder(response.Body)
	first := true
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return s.finishStream(response)
		}
		if err == nil && event.HasID && event.ID != s.lastEvent+1 {
			err = &eventstream.BrokenError{Reason: "an event out of order"}
		}
		if err != nil {
			s.recordStreamFailure(ctx, first)
			return s.interruption(ctx, err)
		}
		s.current.idleTimer.Reset(idleTimeout(s.request.Route.Target))
		s.current.inFlight.RecordEvent(time.Now())
		if first {
			first = false
			s.recordFirstEvent()
		}
		if !s.history.responseStarted {
			s.history.responseStarted = true
			s.responder.Head(response.Status, response.Headers, -1)
		}
		if err := s.responder.Write(event.Raw); err != nil {
			return false, result.New(result.CallerGone, "the caller left")
		}
		if event.HasID {
			s.lastEvent = event.ID
		}
	}
}

func (s *activeRequest) recordStreamFailure(ctx context.Context, first bool) {
	if ctx.Err() != nil {
		if first {
			s.current.inFlight.RecordDelay(time.Now())
		}
		return
	}
	s.current.runner.RecordFailure(time.Now())
}

// finishStream ends a complete stream.
func (s *activeRequest) finishStream(response *exchange.Response) (bool, error) {
	s.recordCompletion()
	if !s.history.responseStarted {
		s.history.responseStarted = true
		s.responder.Head(response.Status, response.Headers, 0)
	}
	return false, nil
}
