package openai

import (
	"bufio"
	"context"
	"encoding/json"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/serving/limits"
	"cobaltramp.example/cobaltramp/modules/serving/router"
)

// responseStream carries the chunks of a response from the goroutine that generates it to
// the goroutine that writes to the caller.
type responseStream struct {
	chunks     chan router.Chunk
	done       chan outcome
	generating tasks.Group
}

// outcome is the end of a response: the usage of a complete response, or an error.
type outcome struct {
	usage router.Usage
	err   error
}

// streamQueueChunks is the number of chunks that are buffered for a caller that reads
// slowly. While the buffer is full, this node accepts no further chunks of the response
// from the router.
const streamQueueChunks = 256

// respondStream responds with server-sent events. The status is sent only once the first
// chunk is available, so that an earlier error becomes an ordinary error response. Later
// errors are sent as an event.
func (m *Module) respondStream(c fiber.Ctx, request *onlineRequest, limiter *limits.TenantLimiter) error {
	ctx, stop := callerContext(c, request.timeout)
	response := m.startGeneration(ctx, request)
	first, end := response.waitForFirstChunk(ctx)
	if end != nil && end.err != nil {
		stop()
		response.generating.Wait()
		limiter.Release(time.Now(), 0)
		return end.err
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	m.inFlight.Add(1)
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(writer *bufio.Writer) {
		defer m.inFlight.Add(-1)
		defer response.generating.Wait()
		defer stop()
		sender := &eventWriter{request: request, writer: writer}
		tokens := sender.run(response, first, end)
		limiter.Release(time.Now(), tokens)
	}))
	return nil
}

func (m *Module) startGeneration(ctx context.Context, request *onlineRequest) *responseStream {
	response := &responseStream{chunks: make(chan router.Chunk, streamQueueChunks), done: make(chan outcome, 1)}
	response.generating.Go(func() {
		first := true
		usage, err := m.router.Generate(ctx, request.routerRequest(), func(chunk router.Chunk) error {
			if first {
				first = false
				m.metrics.firstToken.Observe(time.Since(request.arrivedAt).Seconds())
			}
			select {
			case response.chunks <- chunk:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		response.done <- outcome{usage, err}
		close(response.chunks)
	})
	return response
}

// waitForFirstChunk waits for the first chunk and returns it, or the outcome if the
// response ends without a chunk.
func (s *responseStream) waitForFirstChunk(_ context.Context) (*router.Chunk, *outcome) {
	chunk, open := <-s.chunks
	if open {
		return &chunk, nil
	}
	end := <-s.done
	return nil, &end
}

// eventWriter writes a response as server-sent events.
type eventWriter struct {
	request  *onlineRequest
	writer   *bufio.Writer
	roleSent bool
}

// keepAliveInterval is the interval at which comment lines are written to the event
// stream, after the first chunk. A failed write shows that the caller has disconnected.
const keepAliveInterval = time.Second

// run writes chunks until the response ends or a write fails. It returns the number of
// tokens to charge to the tenant: one for each chunk written, but at least one if there
// was a first chunk. first is the first chunk, or nil if the response had none; end is
// the outcome, or nil if the response has not ended yet.
func (w *eventWriter) run(response *responseStream, first *router.Chunk, end *outcome) int {
	tokens := 0
	if first != nil {
		if !w.chunk(first) {
			return 1
		}
		tokens++
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for end == nil {
		select {
		case chunk, open := <-response.chunks:
			if !open {
				ended := <-response.done
				end = &ended
				continue
			}
			if !w.chunk(&chunk) {
				return tokens
			}
			tokens++
		case <-keepAlive.C:
			if !w.write(": waiting\n\n") {
				return tokens
			}
		}
	}
	w.writeEnd(end)
	return tokens
}

func (w *eventWriter) writeEnd(end *outcome) {
	if end.err != nil {
		w.write("data: " + string(encodeError(result.FromError(end.err))) + "\n\n")
		return
	}
	if w.request.includeUsage {
		body := w.newChunkBody()
		body.Choices = []choice{}
		body.Usage = newUsage(end.usage)
		w.writeEvent(body)
	}
	w.write("data: [DONE]\n\n")
}

func (w *eventWriter) newChunkBody() completionBody {
	object := "text_completion"
	if w.request.surface == wirev1.Surface_SURFACE_CHAT {
		object = "chat.completion.chunk"
	}
	return completionBody{ID: w.request.id, Object: object, Created: w.request.arrivedAt.Unix(), Model: w.request.requestedModel}
}

func (w *eventWriter) chunk(chunk *router.Chunk) bool {
	body := w.newChunkBody()
	entry := choice{}
	if chunk.FinishReason != "" {
		entry.FinishReason = &chunk.FinishReason
	}
	if w.request.surface == wirev1.Surface_SURFACE_CHAT {
		entry.Delta = &message{Content: chunk.Text}
		if !w.roleSent {
			entry.Delta.Role = "assistant"
			w.roleSent = true
		}
	} else {
		entry.Text = &chunk.Text
	}
	body.Choices = []choice{entry}
	return w.writeEvent(body)
}

func (w *eventWriter) writeEvent(body completionBody) bool {
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	return w.write("data: " + string(encoded) + "\n\n")
}

func (w *eventWriter) write(text string) bool {
	if _, err := w.writer.WriteString(text); err != nil {
		return false
	}
	return w.writer.Flush() == nil
}
