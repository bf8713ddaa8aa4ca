package engine

import (
	"bufio"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/httpserve"
)

// Engine is an emulated engine with an HTTP server.
type Engine struct {
	// ID identifies the engine in the platform's list of runners.
	ID string

	parameters Parameters
	ledger     *Ledger
	address    string

	mutex     sync.Mutex
	server    *httpserve.Server
	scheduler *scheduler
	stop      chan struct{}
	loop      *tasks.Group // runs the scheduler until the engine crashes
	state     engineState
	faults    faults
}

// Start starts an engine with the preloaded model, or with no model if preloaded is
// empty. A port of 0 in the address selects a free port.
func Start(id, address string, parameters Parameters, preloaded string, ledger *Ledger) (*Engine, error) {
	parameters.applyDefaults()
	e := &Engine{ID: id, parameters: parameters, ledger: ledger, address: address}
	return e, e.boot(preloaded)
}

// boot starts the server and a new scheduler.
func (e *Engine) boot(preloaded string) error {
	app := fiber.New(fiber.Config{BodyLimit: 64 << 20, Immutable: true})
	e.routes(app)
	server, err := httpserve.Listen(e.address, app, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.server = server
	e.address = server.Address()
	e.scheduler = newScheduler(e.parameters)
	e.stop = make(chan struct{})
	e.state = engineState{Model: preloaded, Boot: uuid.NewString()}
	e.loop = &tasks.Group{}
	scheduler, stop := e.scheduler, e.stop
	e.loop.Go(func() { scheduler.run(stop) })
	server.Serve()
	return nil
}

// Address returns the engine's IP:port.
func (e *Engine) Address() string { return e.address }

// Version returns the model version the engine has loaded.
func (e *Engine) Version() string {
	_, state := e.current()
	return state.Version
}

// Crash stops the engine at once; its queue, streams and cache are lost.
func (e *Engine) Crash() {
	e.mutex.Lock()
	server, stop, loop := e.server, e.stop, e.loop
	e.server, e.stop = nil, nil
	e.mutex.Unlock()
	if server == nil {
		return
	}
	close(stop)
	server.Kill()
	loop.Wait()
}

// Restart starts a crashed engine on its previous address with the model that it had
// loaded and an empty cache.
func (e *Engine) Restart() error {
	e.mutex.Lock()
	model := e.state.Model
	e.mutex.Unlock()
	return e.boot(model)
}

// Close stops the engine.
func (e *Engine) Close() { e.Crash() }

func (e *Engine) routes(app *fiber.App) {
	app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return e.generate(c, true) })
	app.Post("/v1/completions", func(c fiber.Ctx) error { return e.generate(c, false) })
	app.Get("/v1/streams/:id", e.resume)
	app.Post("/v1/streams/:id/cancel", e.cancel)
	app.Post("/v1/orders", e.order)
	app.Get("/v1/state", e.describe)
}

// current returns the scheduler and the state.
func (e *Engine) current() (*scheduler, engineState) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.scheduler, e.state
}

// respondError responds with an error in the format of the OpenAI API.
func respondError(c fiber.Ctx, status int, message string) error {
	return c.Status(status).JSON(fiber.Map{"error": fiber.Map{"message": message, "type": "engine_error", "code": status}})
}

// generate serves a chat or completion request.
func (e *Engine) generate(c fiber.Ctx, chat bool) error {
	body := append([]byte(nil), c.Body()...)
	if !json.Valid(body) {
		return respondError(c, fiber.StatusBadRequest, "body is not JSON")
	}
	scheduler, state := e.current()
	model := gjson.GetBytes(body, "model").String()
	if state.Loading || !state.serves(model) {
		return respondError(c, fiber.StatusServiceUnavailable, "model "+model+" is not loaded")
	}
	id := c.Get("X-Request-Id")
	if id == "" {
		id = "engine-" + uuid.NewString()
	}
	c.Set("X-Request-Id", id)
	if e.crashesOn(body) {
		e.Crash()
		return nil
	}
	submitted := e.newSequence(id, model, body, chat)
	if scheduler.find(id) != nil {
		return respondError(c, fiber.StatusConflict, "stream id "+id+" is taken")
	}
	if !scheduler.submit(submitted) {
		return respondError(c, fiber.StatusTooManyRequests, "queue is full")
	}
	e.ledger.started(submitted.prompt.Hash, id, submitted.first)
	e.delayHeader()
	if !gjson.GetBytes(body, "stream").Bool() {
		return e.respondWhole(c, submitted)
	}
	return e.respondStream(c, submitted, -1)
}

func (e *Engine) newSequence(id, model string, body []byte, chat bool) *sequence {
	prompt := ParsePrompt(body)
	length, truncated := ResponseLength(body, prompt, e.parameters.MaxAnswerTokens)
	return &sequence{
		id: id, model: model, prompt: prompt, chat: chat, length: length, truncated: truncated,
		first: prompt.Generated, produced: prompt.Generated,
		priority: int(gjson.GetBytes(body, "priority").Int()),
		changed:  make(chan struct{}),
	}
}

// respondWhole waits until the sequence ends and responds without streaming.
func (e *Engine) respondWhole(c fiber.Ctx, source *sequence) error {
	source.attach()
	defer source.detach(time.Now())
	for {
		state, produced, changed := source.snapshot()
		if state == phaseCancelled {
			return respondError(c, fiber.StatusInternalServerError, "cancelled")
		}
		if state == phaseFinished {
			e.ledger.finished(source.prompt.Hash, source.id)
			return c.JSON(completion(source, produced))
		}
		<-changed
	}
}

// completion returns the body of a response without streaming.
func completion(source *sequence, produced int) fiber.Map {
	text := ""
	for index := source.first; index < produced; index++ {
		text += Token(source.prompt.Hash, index)
	}
	choice := fiber.Map{"index": 0, "finish_reason": source.finishReason(), "text": text}
	if source.chat {
		choice = fiber.Map{"index": 0, "finish_reason": source.finishReason(), "message": fiber.Map{"role": "assistant", "content": text}}
	}
	return fiber.Map{"id": source.id, "model": source.model, "choices": []fiber.Map{choice}, "usage": usageOf(source, produced)}
}

// usageOf returns the token usage of a response.
func usageOf(source *sequence, produced int) fiber.Map {
	generated := produced - source.first
	return fiber.Map{"prompt_tokens": source.prompt.Tokens, "completion_tokens": generated, "total_tokens": source.prompt.Tokens + generated}
}

// respondStream streams the server-sent events that follow the event with the index
// after.
func (e *Engine) respondStream(c fiber.Ctx, source *sequence, after int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set("X-Request-Id", source.id)
	source.attach()
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(writer *bufio.Writer) {
		defer func() { source.detach(time.Now()) }()
		eventWriter := &eventWriter{engine: e, source: source, writer: writer, next: after + 1}
		eventWriter.run()
	}))
	return nil
}

// resume streams the events of a sequence that follow the one in Last-Event-ID.
func (e *Engine) resume(c fiber.Ctx) error {
	scheduler, _ := e.current()
	source := scheduler.find(c.Params("id"))
	if source == nil {
		return respondError(c, fiber.StatusNotFound, "no such stream")
	}
	if state, _, _ := source.snapshot(); state == phaseCancelled {
		return respondError(c, fiber.StatusNotFound, "stream was cancelled")
	}
	after := -1
	if last := c.Get("Last-Event-ID"); last != "" {
		parsed, err := strconv.Atoi(last)
		if err != nil {
			return respondError(c, fiber.StatusBadRequest, "Last-Event-ID is not a number")
		}
		after = parsed
	}
	return e.respondStream(c, source, after)
}

// cancel cancels a stream. It also reports success if the stream is unknown or has ended.
func (e *Engine) cancel(c fiber.Ctx) error {
	scheduler, _ := e.current()
	id := c.Params("id")
	if scheduler.cancel(id) {
		e.ledger.cancelled(id)
	}
	return c.JSON(fiber.Map{"id": id, "cancelled": true})
}
