package online

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// maxWholeBytes is the largest answer that is read whole before it is passed on.
const maxWholeBytes = 256 << 10

// passOn passes an answer on. It reports whether to try another runner.
func (s *serving) passOn(ctx context.Context, answer *exchange.Response) (bool, error) {
	if s.history.mayReplace(s.request.Route, answer.Status) {
		s.current.runner.RecordFailure(time.Now())
		s.lastCause = fmt.Sprintf("runner answered %d", answer.Status)
		return true, nil
	}
	if answer.Status == http.StatusOK && s.request.Route.Kind == catalog.Streaming {
		return s.passStream(ctx, answer)
	}
	if s.history.answerBegun {
		return false, result.New(result.StreamBroken, "the stream could not go on: status %d", answer.Status)
	}
	return s.passWhole(ctx, answer)
}

// passWhole passes on an answer that is not a stream.
func (s *serving) passWhole(ctx context.Context, answer *exchange.Response) (bool, error) {
	if !answer.FromRunner && answer.Status < http.StatusMultipleChoices {
		s.current.runner.RecordFailure(time.Now())
		return s.broken(ctx, errors.New("a success without the runner's mark"))
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes))
	if err != nil {
		s.current.runner.RecordFailure(time.Now())
		return s.broken(ctx, err)
	}
	s.noteFirstEvent()
	length := answer.Length
	if len(body) < maxWholeBytes {
		length = int64(len(body))
	}
	s.history.answerBegun = true
	s.responder.Head(answer.Status, answer.Headers, length)
	if err := s.responder.Write(body); err != nil {
		return false, result.New(result.CallerGone, "the caller left")
	}
	if len(body) < maxWholeBytes {
		s.noteCompleted()
		return false, nil
	}
	return false, s.copyRest(ctx, answer)
}

func (s *serving) copyRest(ctx context.Context, answer *exchange.Response) error {
	buffer := make([]byte, 32<<10)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			if writeErr := s.responder.Write(buffer[:n]); writeErr != nil {
				return result.New(result.CallerGone, "the caller left")
			}
		}
		if errors.Is(err, io.EOF) {
			s.noteCompleted()
			return nil
		}
		if err != nil {
			_, broken := s.broken(ctx, err)
			return broken
		}
	}
}

// noteFirstEvent records the time to the first event or answer.
func (s *serving) noteFirstEvent() {
	now := time.Now()
	s.current.firstEvent = now
	if s.firstEventAfter == 0 {
		s.firstEventAfter = now.Sub(s.request.Received)
		s.firstEvent.Observe(s.firstEventAfter.Seconds())
	}
	s.current.inFlight.RecordFirstEvent(now)
}

// broken takes an answer that broke off. It reports whether to try another runner.
func (s *serving) broken(ctx context.Context, err error) (bool, error) {
	s.lastCause = err.Error()
	if ctx.Err() != nil {
		return false, s.ended(ctx)
	}
	s.noteEnding(ctx)
	if s.history.mayContinue(s.request.Route) {
		return true, nil
	}
	return false, result.New(result.StreamBroken, "the answer broke off: %v", err)
}
