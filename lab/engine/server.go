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

// Engine is one emulated engine on a loopback address.
type Engine struct {
	// ID is the runner's id in the platform's list.
	ID string

	parameters Parameters
	ledger     *Ledger
	address    string

	mutex     sync.Mutex
	server    *httpserve.Server
	scheduler *scheduler
	stop      chan struct{}
	steps     *tasks.Group // the scheduler's loop of this boot
	state     engineState
	faults    faults
}

// Start starts an engine that has no model loaded yet unless preloaded names
// one. Address may end in ":0".
func Start(id, address string, parameters Parameters, preloaded string, ledger *Ledger) (*Engine, error) {
	parameters.complete()
	e := &Engine{ID: id, parameters: parameters, ledger: ledger, address: address}
	return e, e.boot(preloaded)
}

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
	e.steps = &tasks.Group{}
	scheduler, stop := e.scheduler, e.stop
	e.steps.Go(func() { scheduler.run(stop) })
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

// Crash ends the engine at once; all its state is lost.
func (e *Engine) Crash() {
	e.mutex.Lock()
	server, stop, steps := e.server, e.stop, e.steps
	e.server, e.stop = nil, nil
	e.mutex.Unlock()
	if server == nil {
		return
	}
	close(stop)
	server.Kill()
	steps.Wait()
}

// Restart boots a crashed engine on its old address with nothing cached.
func (e *Engine) Restart() error {
	e.mutex.Lock()
	model := e.state.Model
	e.mutex.Unlock()
	return e.boot(model)
}

// Close ends the engine.
func (e *Engine) Close() { e.Crash() }

func (e *Engine) routes(app *fiber.App) {
	app.Post("/v1/chat/completions", func(c fiber.Ctx) error { return e.generate(c, true) })
	app.Post("/v1/completions", func(c fiber.Ctx) error { return e.generate(c, false) })
	app.Get("/v1/streams/:id", e.resume)
	app.Post("/v1/streams/:id/cancel", e.cancel)
	app.Post("/v1/orders", e.order)
	app.Get("/v1/state", e.describe)
}

func (e *Engine) current() (*scheduler, engineState) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.scheduler, e.state
}

func refuse(c fiber.Ctx, status int, message string) error {
	return c.Status(status).JSON(fiber.Map{"error": fiber.Map{"message": message, "type": "engine_error", "code": status}})
}

func (e *Engine) generate(c fiber.Ctx, chat bool) error {
	body := append([]byte(nil), c.Body()...)
	if !json.Valid(body) {
		return refuse(c, fiber.StatusBadRequest, "body is not JSON")
	}
	steps, state := e.current()
	model := gjson.GetBytes(body, "model").String()
	if state.Loading || !state.serves(model) {
		return refuse(c, fiber.StatusServiceUnavailable, "model "+model+" is not loaded")
	}
	id := c.Get("X-Request-Id")
	if id == "" {
		id = "engine-" + uuid.NewString()
	}
	if e.crashes(body) {
		e.Crash()
		return nil
	}
	added := e.newSequence(id, model, body, chat)
	if steps.find(id) != nil {
		return refuse(c, fiber.StatusConflict, "stream id "+id+" is taken")
	}
	if !steps.submit(added) {
		return refuse(c, fiber.StatusTooManyRequests, "queue is full")
	}
	e.ledger.started(added.prompt.Hash, id, added.first)
	e.applyLateHeader()
	if !gjson.GetBytes(body, "stream").Bool() {
		return e.whole(c, added)
	}
	return e.stream(c, added, -1)
}

func (e *Engine) newSequence(id, model string, body []byte, chat bool) *sequence {
	prompt := ParsePrompt(body)
	length, cut := AnswerLength(body, prompt, e.parameters.MaxAnswerTokens)
	return &sequence{
		id: id, model: model, prompt: prompt, chat: chat, length: length, cut: cut,
		first: prompt.Generated, produced: prompt.Generated,
		priority: int(gjson.GetBytes(body, "priority").Int()),
		changed:  make(chan struct{}),
	}
}

// whole answers without streaming.
func (e *Engine) whole(c fiber.Ctx, source *sequence) error {
	source.attach()
	defer source.detach(time.Now())
	for {
		state, produced, changed := source.view()
		if state == phaseCancelled {
			return refuse(c, fiber.StatusInternalServerError, "cancelled")
		}
		if state == phaseFinished {
			e.ledger.finished(source.prompt.Hash, source.id)
			return c.JSON(wholeAnswer(source, produced))
		}
		<-changed
	}
}

func wholeAnswer(source *sequence, produced int) fiber.Map {
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

func usageOf(source *sequence, produced int) fiber.Map {
	generated := produced - source.first
	return fiber.Map{"prompt_tokens": source.prompt.Tokens, "completion_tokens": generated, "total_tokens": source.prompt.Tokens + generated}
}

// stream sends server-sent events after the event index given.
func (e *Engine) stream(c fiber.Ctx, source *sequence, after int) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set("X-Request-Id", source.id)
	source.attach()
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(writer *bufio.Writer) {
		defer func() { source.detach(time.Now()) }()
		emitter := &emitter{engine: e, source: source, writer: writer, next: after + 1}
		emitter.run()
	}))
	return nil
}

func (e *Engine) resume(c fiber.Ctx) error {
	steps, _ := e.current()
	source := steps.find(c.Params("id"))
	if source == nil {
		return refuse(c, fiber.StatusNotFound, "no such stream")
	}
	if state, _, _ := source.view(); state == phaseCancelled {
		return refuse(c, fiber.StatusNotFound, "stream was cancelled")
	}
	after := -1
	if last := c.Get("Last-Event-ID"); last != "" {
		parsed, err := strconv.Atoi(last)
		if err != nil {
			return refuse(c, fiber.StatusBadRequest, "Last-Event-ID is not a number")
		}
		after = parsed
	}
	return e.stream(c, source, after)
}

func (e *Engine) cancel(c fiber.Ctx) error {
	steps, _ := e.current()
	id := c.Params("id")
	if steps.cancel(id) {
		e.ledger.cancelled(id)
	}
	return c.JSON(fiber.Map{"id": id, "cancelled": true})
}
