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

// pieces carries an answer from the router's goroutine to the one that writes
// to the caller.
type pieces struct {
	queue      chan router.Chunk
	done       chan outcome
	generating tasks.Group
}

type outcome struct {
	usage router.Usage
	err   error
}

// streamQueue decouples the engine from a caller that reads slowly; beyond it
// the answer is held back at the owner.
const streamQueue = 256

// streamed answers with server-sent events. The status is decided by the first
// piece: an error before it is an ordinary error answer.
func (m *Module) streamed(c fiber.Ctx, request *online, tenant *limits.TenantLimiter) error {
	ctx, stop := callerContext(c, request.timeout)
	flow := m.startFlow(ctx, request)
	first, end := flow.wait(ctx)
	if end != nil && end.err != nil {
		stop()
		flow.generating.Wait()
		tenant.Release(time.Now(), 0)
		return end.err
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	m.inFlight.Add(1)
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(writer *bufio.Writer) {
		defer m.inFlight.Add(-1)
		defer flow.generating.Wait()
		defer stop()
		sender := &eventWriter{request: request, writer: writer}
		tokens := sender.run(flow, first, end)
		tenant.Release(time.Now(), tokens)
	}))
	return nil
}

func (m *Module) startFlow(ctx context.Context, request *online) *pieces {
	flow := &pieces{queue: make(chan router.Chunk, streamQueue), done: make(chan outcome, 1)}
	flow.generating.Go(func() {
		first := true
		usage, err := m.router.Generate(ctx, request.routed(), func(piece router.Chunk) error {
			if first {
				first = false
				m.metrics.first.Observe(time.Since(request.arrived).Seconds())
			}
			select {
			case flow.queue <- piece:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		flow.done <- outcome{usage, err}
		close(flow.queue)
	})
	return flow
}

// wait returns the first piece, or the outcome if there is none.
func (p *pieces) wait(_ context.Context) (*router.Chunk, *outcome) {
	piece, open := <-p.queue
	if open {
		return &piece, nil
	}
	end := <-p.done
	return nil, &end
}

// eventWriter writes one answer as server-sent events.
type eventWriter struct {
	request *online
	writer  *bufio.Writer
	begun   bool
}

// keepAliveInterval bounds how long a caller that hung up goes unseen while no
// token comes.
const keepAliveInterval = time.Second

// run writes pieces until the answer ends or the caller is gone, and returns
// the tokens written.
func (w *eventWriter) run(flow *pieces, first *router.Chunk, end *outcome) int {
	tokens := 0
	if first != nil {
		if !w.piece(first) {
			return 1
		}
		tokens++
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	for end == nil {
		select {
		case piece, open := <-flow.queue:
			if !open {
				ended := <-flow.done
				end = &ended
				continue
			}
			if !w.piece(&piece) {
				return tokens
			}
			tokens++
		case <-keepAlive.C:
			if !w.flush(": waiting\n\n") {
				return tokens
			}
		}
	}
	w.finish(end)
	return tokens
}

func (w *eventWriter) finish(end *outcome) {
	if end.err != nil {
		w.flush("data: " + string(encodeError(result.FromError(end.err))) + "\n\n")
		return
	}
	if w.request.withUsage {
		body := w.chunk()
		body.Choices = []choice{}
		body.Usage = newUsage(end.usage)
		w.event(body)
	}
	w.flush("data: [DONE]\n\n")
}

func (w *eventWriter) chunk() completionBody {
	object := "text_completion"
	if w.request.surface == wirev1.Surface_SURFACE_CHAT {
		object = "chat.completion.chunk"
	}
	return completionBody{ID: w.request.id, Object: object, Created: w.request.arrived.Unix(), Model: w.request.asked}
}

func (w *eventWriter) piece(piece *router.Chunk) bool {
	body := w.chunk()
	only := choice{}
	if piece.FinishReason != "" {
		only.FinishReason = &piece.FinishReason
	}
	if w.request.surface == wirev1.Surface_SURFACE_CHAT {
		only.Delta = &message{Content: piece.Text}
		if !w.begun {
			only.Delta.Role = "assistant"
			w.begun = true
		}
	} else {
		only.Text = &piece.Text
	}
	body.Choices = []choice{only}
	return w.event(body)
}

func (w *eventWriter) event(body completionBody) bool {
	encoded, err := json.Marshal(body)
	if err != nil {
		return false
	}
	return w.flush("data: " + string(encoded) + "\n\n")
}

func (w *eventWriter) flush(text string) bool {
	if _, err := w.writer.WriteString(text); err != nil {
		return false
	}
	return w.writer.Flush() == nil
}
