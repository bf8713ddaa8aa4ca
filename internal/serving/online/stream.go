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

// passStream passes on events as they come, only whole ones and only in order. The
// head goes out with the first event, so that a run that breaks before it can
// be replaced unseen; the head of the first runner stays.
func (s *serving) passStream(ctx context.Context, answer *exchange.Response) (bool, error) {
	if !answer.FromRunner {
		s.current.runner.RecordFailure(time.Now())
		return s.broken(ctx, errors.New("a success without the runner's mark"))
	}
	events := eventstream.NewDecoder(answer.Body)
	first := true
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return s.finished(answer)
		}
		if err == nil && event.HasID && event.ID != s.lastEvent+1 {
			err = &eventstream.BrokenError{Reason: "an event out of order"}
		}
		if err != nil {
			s.noteBroken(ctx, first)
			return s.broken(ctx, err)
		}
		s.current.silenceTimer.Reset(maxSilence(s.request.Route.Target))
		s.current.inFlight.RecordEvent(time.Now())
		if first {
			first = false
			s.noteFirstEvent()
		}
		if !s.history.answerBegun {
			s.history.answerBegun = true
			s.responder.Head(answer.Status, answer.Headers, -1)
		}
		if err := s.responder.Write(event.Raw); err != nil {
			return false, result.New(result.CallerGone, "the caller left")
		}
		if event.HasID {
			s.lastEvent = event.ID
		}
	}
}

func (s *serving) noteBroken(ctx context.Context, first bool) {
	if ctx.Err() != nil {
		if first {
			s.current.inFlight.RecordDelay(time.Now())
		}
		return
	}
	s.current.runner.RecordFailure(time.Now())
}

// finished ends a stream whose body is whole.
func (s *serving) finished(answer *exchange.Response) (bool, error) {
	s.noteCompleted()
	if !s.history.answerBegun {
		s.history.answerBegun = true
		s.responder.Head(answer.Status, answer.Headers, 0)
	}
	return false, nil
}
