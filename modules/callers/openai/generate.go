package openai

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/limits"
	"cobaltramp.example/cobaltramp/modules/serving/router"
)

// Request headers.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerWorkClass      = "X-Work-Class"
	headerTimeout        = "X-Request-Timeout-Ms"
	headerRequestID      = "X-Request-Id"
)

func (m *Module) chat(c fiber.Ctx, caller *callerIdentity) error {
	return m.generate(c, caller, wirev1.Surface_SURFACE_CHAT)
}

func (m *Module) completion(c fiber.Ctx, caller *callerIdentity) error {
	return m.generate(c, caller, wirev1.Surface_SURFACE_COMPLETION)
}

// onlineRequest is a validated online request: a chat completion or a completion.
type onlineRequest struct {
	id             string
	caller         *callerIdentity
	model          *bundle.CompiledModel
	requestedModel string // the model name in the request, which may be an adapter's
	surface        wirev1.Surface
	body           []byte
	stream         bool
	includeUsage   bool
	workClass      string
	idempotencyKey string
	timeout        time.Duration
	arrivedAt      time.Time
}

func (m *Module) generate(c fiber.Ctx, caller *callerIdentity, surface wirev1.Surface) error {
	request, err := m.parse(c, caller, surface)
	if err != nil {
		return err
	}
	c.Set(headerRequestID, request.id)
	if request.workClass == bundle.ClassOnce {
		return m.generateOnce(c, request)
	}
	limiter, err := m.admit(caller)
	if err != nil {
		return err
	}
	if request.stream {
		return m.respondStream(c, request, limiter)
	}
	return m.respondJSON(c, request, limiter)
}

// parse validates a request. It copies the body, because the server reuses the buffer
// after the handler has returned.
func (m *Module) parse(c fiber.Ctx, caller *callerIdentity, surface wirev1.Surface) (*onlineRequest, error) {
	body, err := readBody(c, m.settings.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	if !gjson.ValidBytes(body) {
		return nil, result.New(result.InvalidRequest, "the body is not JSON")
	}
	request := &onlineRequest{
		id: "req-" + uuid.NewString(), caller: caller, surface: surface, arrivedAt: time.Now(),
		stream:         gjson.GetBytes(body, "stream").Bool(),
		includeUsage:   gjson.GetBytes(body, "stream_options.include_usage").Bool(),
		idempotencyKey: c.Get(headerIdempotencyKey),
	}
	if request.model, request.requestedModel, err = checkModel(caller, body); err != nil {
		return nil, err
	}
	if request.body, err = checkContent(body, surface, request.model); err != nil {
		return nil, err
	}
	if request.workClass, err = checkWorkClass(c, caller, request.idempotencyKey); err != nil {
		return nil, err
	}
	if request.timeout, err = checkTimeout(c, caller); err != nil {
		return nil, err
	}
	return request, nil
}

func checkModel(caller *callerIdentity, body []byte) (*bundle.CompiledModel, string, error) {
	name := gjson.GetBytes(body, "model").String()
	if name == "" {
		return nil, "", result.New(result.InvalidRequest, "model is missing")
	}
	model, known := caller.snapshot.Models[name]
	if !known {
		return nil, "", result.New(result.UnknownModel, "model %q does not exist", name)
	}
	if !caller.tenant.MayCall(name) {
		return nil, "", result.New(result.Forbidden, "the tenant may not call model %q", name)
	}
	return model, name, nil
}

// checkContent validates the messages or the prompt, n and max_tokens, and returns the
// body with max_tokens set to the requested number of tokens or to the model's maximum,
// whichever is lower. The requested number is max_tokens or, if that is absent,
// max_completion_tokens.
func checkContent(body []byte, surface wirev1.Surface, model *bundle.CompiledModel) ([]byte, error) {
	if surface == wirev1.Surface_SURFACE_CHAT {
		messages := gjson.GetBytes(body, "messages")
		if !messages.IsArray() || len(messages.Array()) == 0 {
			return nil, result.New(result.InvalidRequest, "messages must be an array of one message or more")
		}
	} else if gjson.GetBytes(body, "prompt").Type != gjson.String {
		return nil, result.New(result.InvalidRequest, "prompt must be a string")
	}
	if n := gjson.GetBytes(body, "n"); n.Exists() && n.Int() != 1 {
		return nil, result.New(result.InvalidRequest, "n must be 1")
	}
	maxTokens := gjson.GetBytes(body, "max_tokens")
	if !maxTokens.Exists() {
		maxTokens = gjson.GetBytes(body, "max_completion_tokens")
	}
	limit := int64(model.MaxTokens)
	if maxTokens.Exists() && maxTokens.Int() < 1 {
		return nil, result.New(result.InvalidRequest, "max_tokens must be 1 or more")
	}
	if maxTokens.Exists() && maxTokens.Int() < limit {
		limit = maxTokens.Int()
	}
	edited, err := sjson.SetBytes(body, "max_tokens", limit)
	if err != nil {
		return nil, result.New(result.InvalidRequest, "the body is not a JSON object")
	}
	return edited, nil
}

func checkWorkClass(c fiber.Ctx, caller *callerIdentity, key string) (string, error) {
	class := c.Get(headerWorkClass)
	if class == "" {
		class = caller.tenant.DefaultClass
	}
	switch class {
	case bundle.ClassRepeatable:
		return class, nil
	case bundle.ClassOnce:
		if key == "" {
			return "", result.New(result.KeyRequired, "work of class once needs the header %s", headerIdempotencyKey)
		}
		return class, nil
	default:
		return "", result.New(result.InvalidRequest, "%s is %q, allowed: repeatable or once", headerWorkClass, class)
	}
}

func checkTimeout(c fiber.Ctx, caller *callerIdentity) (time.Duration, error) {
	limit := caller.snapshot.Policy.RequestTimeout.Std()
	value := c.Get(headerTimeout)
	if value == "" {
		return limit, nil
	}
	milliseconds, err := strconv.Atoi(value)
	if err != nil || milliseconds < 1 {
		return 0, result.New(result.InvalidRequest, "%s is %q, allowed: a whole number of milliseconds", headerTimeout, value)
	}
	return min(limit, time.Duration(milliseconds)*time.Millisecond), nil
}

// prefixBytes is the length of the prefix that prefixHash hashes: the first bytes of the
// prompt or of the first message. The router uses the hash to send requests with the same
// model and prefix to the same runner, where they share the prompt cache.
const prefixBytes = 512

func prefixHash(request *onlineRequest) uint64 {
	path := "prompt"
	if request.surface == wirev1.Surface_SURFACE_CHAT {
		path = "messages.0.content"
	}
	text := gjson.GetBytes(request.body, path).String()
	return xxhash.Sum64String(request.requestedModel + "\x00" + text[:min(len(text), prefixBytes)])
}

func (o *onlineRequest) routerRequest() *router.Request {
	return &router.Request{
		ID: o.id, Tenant: o.caller.tenant.Name, Model: o.model, Surface: o.surface,
		Body: o.body, PrefixHash: prefixHash(o), Once: o.workClass == bundle.ClassOnce,
	}
}

// respondJSON responds with one JSON object.
func (m *Module) respondJSON(c fiber.Ctx, request *onlineRequest, limiter *limits.TenantLimiter) error {
	ctx, stop := callerContext(c, request.timeout)
	defer stop()
	response, err := m.collectResponse(ctx, request)
	limiter.Release(time.Now(), response.usage.CompletionTokens)
	if err != nil {
		return err
	}
	return c.JSON(response.toBody(request))
}

// collectedResponse is a complete response, assembled from its chunks.
type collectedResponse struct {
	text         []byte
	finishReason string
	usage        router.Usage
}

func (m *Module) collectResponse(ctx context.Context, request *onlineRequest) (*collectedResponse, error) {
	response := &collectedResponse{}
	var err error
	response.usage, err = m.router.Generate(ctx, request.routerRequest(), func(chunk router.Chunk) error {
		if len(response.text) == 0 {
			m.metrics.firstToken.Observe(time.Since(request.arrivedAt).Seconds())
		}
		response.text = append(response.text, chunk.Text...)
		if chunk.FinishReason != "" {
			response.finishReason = chunk.FinishReason
		}
		return nil
	})
	return response, err
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(usage router.Usage) *usageBody {
	return &usageBody{usage.PromptTokens, usage.CompletionTokens, usage.PromptTokens + usage.CompletionTokens}
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completionBody struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

func (r *collectedResponse) toBody(request *onlineRequest) completionBody {
	body := completionBody{
		ID: request.id, Object: "text_completion", Created: request.arrivedAt.Unix(), Model: request.requestedModel, Usage: newUsage(r.usage),
	}
	text := string(r.text)
	entry := choice{FinishReason: &r.finishReason}
	if request.surface == wirev1.Surface_SURFACE_CHAT {
		body.Object = "chat.completion"
		entry.Message = &message{Role: "assistant", Content: text}
	} else {
		entry.Text = &text
	}
	body.Choices = []choice{entry}
	return body
}

// encodeJSON returns the response's body as JSON.
func (r *collectedResponse) encodeJSON(request *onlineRequest) ([]byte, error) {
	return json.Marshal(r.toBody(request))
}

func readBody(c fiber.Ctx, limit int) ([]byte, error) {
	if length := c.Request().Header.ContentLength(); length > limit {
		return nil, result.New(result.BodyTooLarge, "the body has %d bytes, allowed: %d", length, limit)
	}
	body, err := readLimited(c, limit)
	if err != nil {
		return nil, err
	}
	return body, nil
}
