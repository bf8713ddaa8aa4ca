package online

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/membudget"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// maxBufferedBytes is the number of bytes that relayWhole reads from a response before it
// relays the first byte, if there is memory for them. Until then, a response that breaks off can
// be replaced at another runner.
const maxBufferedBytes = 256 << 10

// beginning is what relayWhole reads of a response before it relays the first byte.
type beginning struct {
	body []byte
	// whole is set if the response ends there.
	whole bool
}

// readBeginning reads a response up to maxBufferedBytes, or to what there is memory for.
func readBeginning(body io.Reader, memory *membudget.Reservation) (beginning, error) {
	read := beginning{body: make([]byte, 0, firstBufferBytes)}
	for len(read.body) < maxBufferedBytes {
		if len(read.body) == cap(read.body) {
			if memory.GrowTo(copiesWhileGrowing*cap(read.body)) != nil {
				return read, nil
			}
			read.body = slices.Grow(read.body, cap(read.body))
		}
		n, err := body.Read(read.body[len(read.body):min(cap(read.body), maxBufferedBytes)])
		read.body = read.body[:len(read.body)+n]
		if errors.Is(err, io.EOF) {
			read.whole = true
			return read, nil
		}
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

const (
	// firstBufferBytes is the size with which the buffer for the beginning of a response starts, and
	// relayBufferBytes that of the buffer for the rest.
	firstBufferBytes = 4 << 10
	relayBufferBytes = 16 << 10
	// copiesWhileGrowing is the memory of a buffer that doubles, compared to its size before.
	copiesWhileGrowing = 3
)

// errEndedWithRunner means that a response without a length or chunks ended because its runner
// has ended.
var errEndedWithRunner = errors.New("the runner ended with its response")

// relay relays a response to the caller, or drops a server error that may be replaced. It
// reports whether to try another runner.
func (s *activeRequest) relay(ctx context.Context, response *exchange.Response) (bool, error) {
	if s.history.mayReplace(s.request.Route, response.Status) {
		s.current.runner.RecordFailure(time.Now())
		s.lastCause = fmt.Sprintf("runner answered %d", response.Status)
		return true, nil
	}
	if s.isUnprovenPromise(response.Status) {
		if isRunnerFailure(response.Status) {
			s.current.runner.RecordFailure(time.Now())
		}
		s.lastCause = fmt.Sprintf("runner answered %d without stating that the request has not run", response.Status)
		return false, result.New(result.OutcomeUnknown, "it may have run: the %s", s.lastCause)
	}
	if response.Status == http.StatusOK && s.request.Route.Kind == catalog.Streaming {
		return s.relayStream(ctx, response)
	}
	if s.history.responseStarted {
		return false, result.New(result.StreamBroken, "the stream could not go on: status %d", response.Status)
	}
	return s.relayWhole(ctx, response)
}

// isUnprovenPromise reports whether the caller of a request that must run only once would take the
// status of a response for the promise that it has not run. A runner that keeps this promise states
// it, so that there is no response (exchange.NotRunError).
func (s *activeRequest) isUnprovenPromise(status int) bool {
	return exchange.PromisesNotRun(status) && !s.request.Route.MayRepeat()
}

// relayWhole relays a response that is not a stream, which includes error responses of
// streaming routes. It reports whether to try another runner.
func (s *activeRequest) relayWhole(ctx context.Context, response *exchange.Response) (bool, error) {
	if err := s.request.Limits.checkLength(response); err != nil {
		s.current.runner.RecordFailure(time.Now())
		return s.handleInterruption(ctx, err)
	}
	memory := s.Memory.Reserve()
	defer memory.Release()
	begun, err := readBeginning(response.Body, memory)
	if err == nil {
		err = s.request.Limits.checkBytes(int64(len(begun.body)))
	}
	if err != nil {
		s.current.runner.RecordFailure(time.Now())
		return s.handleInterruption(ctx, err)
	}
	if begun.whole && s.endedWithRunner(response, false) {
		s.current.runner.RecordFailure(time.Now())
		return s.handleInterruption(ctx, errEndedWithRunner)
	}
	s.recordWholeResponse(response.Status)
	length := response.Length
	if begun.whole {
		length = int64(len(begun.body))
	}
	s.history.responseStarted = true
	s.responder.Head(response.Status, response.Headers, length)
	if err := s.responder.Write(begun.body); err != nil {
		return false, result.New(result.CallerGone, "the caller left")
	}
	if begun.whole {
		s.recordCompletion(response.Status)
		return false, nil
	}
	return false, s.relayRest(ctx, response, int64(len(begun.body)))
}

// relayRest relays the part of a response after a number of bytes.
func (s *activeRequest) relayRest(ctx context.Context, response *exchange.Response, size int64) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		size += int64(n)
		if tooLong := s.request.Limits.checkBytes(size); tooLong != nil {
			s.current.runner.RecordFailure(time.Now())
			_, interruption := s.handleInterruption(ctx, tooLong)
			return interruption
		}
		if n > 0 {
			if writeErr := s.responder.Write(buffer[:n]); writeErr != nil {
				return result.New(result.CallerGone, "the caller left")
			}
		}
		if errors.Is(err, io.EOF) && s.endedWithRunner(response, false) {
			err = errEndedWithRunner
		}
		if errors.Is(err, io.EOF) {
			s.recordCompletion(response.Status)
			return nil
		}
		if err != nil {
			_, interruption := s.handleInterruption(ctx, err)
			return interruption
		}
	}
}

// recordWholeResponse records a response that is not a stream. A server error counts as a
// failure of the runner: it often comes sooner than a first event, so that the runner would
// appear fast and idle, and attract requests.
func (s *activeRequest) recordWholeResponse(status int) {
	if isRunnerFailure(status) {
		s.current.runner.RecordFailure(time.Now())
		return
	}
	s.recordFirstEvent()
}

// recordFirstEvent records that the runner of this attempt has sent its first event, or a
// response that is not a stream. Only the first call for a request observes the metric.
func (s *activeRequest) recordFirstEvent() {
	now := time.Now()
	s.current.firstEvent = now
	if s.firstEventAfter == 0 {
		s.firstEventAfter = now.Sub(s.request.Received)
		s.firstEvent.Observe(s.firstEventAfter.Seconds())
	}
	s.current.inFlight.RecordFirstEvent(now)
}

// handleInterruption handles a response that broke off or is invalid. It reports whether
// to try another runner.
func (s *activeRequest) handleInterruption(ctx context.Context, err error) (bool, error) {
	s.lastCause = err.Error()
	if ctx.Err() != nil {
		return false, s.contextError(ctx)
	}
	s.reportBrokenRun(ctx)
	if s.history.mayContinue(s.request.Route) {
		return true, nil
	}
	return false, result.New(result.StreamBroken, "the answer broke off: %v", err)
}
