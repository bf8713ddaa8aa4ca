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

func (m *Module) chat(c fiber.Ctx, who *caller) error {
	return m.generate(c, who, wirev1.Surface_SURFACE_CHAT)
}

func (m *Module) completion(c fiber.Ctx, who *caller) error {
	return m.generate(c, who, wirev1.Surface_SURFACE_COMPLETION)
}

// online is one online request after its checks.
type online struct {
	id        string
	who       *caller
	model     *bundle.CompiledModel
	asked     string // the model name as asked for
	surface   wirev1.Surface
	body      []byte
	stream    bool
	withUsage bool
	class     string
	key       string
	timeout   time.Duration
	arrived   time.Time
}

func (m *Module) generate(c fiber.Ctx, who *caller, surface wirev1.Surface) error {
	request, err := m.parse(c, who, surface)
	if err != nil {
		return err
	}
	c.Set(headerRequestID, request.id)
	if request.class == bundle.ClassOnce {
		return m.generateOnce(c, request)
	}
	tenant, err := m.admit(who)
	if err != nil {
		return err
	}
	if request.stream {
		return m.streamed(c, request, tenant)
	}
	return m.whole(c, request, tenant)
}

// parse checks a request and copies its body: the server reuses its buffer
// when the handler returns.
func (m *Module) parse(c fiber.Ctx, who *caller, surface wirev1.Surface) (*online, error) {
	body, err := readBody(c, m.settings.Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	if !gjson.ValidBytes(body) {
		return nil, result.New(result.InvalidRequest, "the body is not JSON")
	}
	request := &online{
		id: "req-" + uuid.NewString(), who: who, surface: surface, arrived: time.Now(),
		stream:    gjson.GetBytes(body, "stream").Bool(),
		withUsage: gjson.GetBytes(body, "stream_options.include_usage").Bool(),
		key:       c.Get(headerIdempotencyKey),
	}
	if request.model, request.asked, err = checkModel(who, body); err != nil {
		return nil, err
	}
	if request.body, err = checkContent(body, surface, request.model); err != nil {
		return nil, err
	}
	if request.class, err = checkClass(c, who, request.key); err != nil {
		return nil, err
	}
	if request.timeout, err = checkTimeout(c, who); err != nil {
		return nil, err
	}
	return request, nil
}

func checkModel(who *caller, body []byte) (*bundle.CompiledModel, string, error) {
	asked := gjson.GetBytes(body, "model").String()
	if asked == "" {
		return nil, "", result.New(result.InvalidRequest, "model is missing")
	}
	model, known := who.snapshot.Models[asked]
	if !known {
		return nil, "", result.New(result.UnknownModel, "model %q does not exist", asked)
	}
	if !who.tenant.MayCall(asked) {
		return nil, "", result.New(result.Forbidden, "the tenant may not call model %q", asked)
	}
	return model, asked, nil
}

// checkContent checks the prompt and holds max_tokens to the model's bound.
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
	asked := gjson.GetBytes(body, "max_tokens")
	if !asked.Exists() {
		asked = gjson.GetBytes(body, "max_completion_tokens")
	}
	limit := int64(model.MaxTokens)
	if asked.Exists() && asked.Int() < 1 {
		return nil, result.New(result.InvalidRequest, "max_tokens must be 1 or more")
	}
	if asked.Exists() && asked.Int() < limit {
		limit = asked.Int()
	}
	edited, err := sjson.SetBytes(body, "max_tokens", limit)
	if err != nil {
		return nil, result.New(result.InvalidRequest, "the body is not a JSON object")
	}
	return edited, nil
}

func checkClass(c fiber.Ctx, who *caller, key string) (string, error) {
	class := c.Get(headerWorkClass)
	if class == "" {
		class = who.tenant.DefaultClass
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

func checkTimeout(c fiber.Ctx, who *caller) (time.Duration, error) {
	limit := who.snapshot.Policy.RequestTimeout.Std()
	written := c.Get(headerTimeout)
	if written == "" {
		return limit, nil
	}
	milliseconds, err := strconv.Atoi(written)
	if err != nil || milliseconds < 1 {
		return 0, result.New(result.InvalidRequest, "%s is %q, allowed: a whole number of milliseconds", headerTimeout, written)
	}
	return min(limit, time.Duration(milliseconds)*time.Millisecond), nil
}

// prefixBytes of the first message or prompt decide which runner's cache a
// request is sent to.
const prefixBytes = 512

func prefixHash(request *online) uint64 {
	path := "prompt"
	if request.surface == wirev1.Surface_SURFACE_CHAT {
		path = "messages.0.content"
	}
	text := gjson.GetBytes(request.body, path).String()
	return xxhash.Sum64String(request.asked + "\x00" + text[:min(len(text), prefixBytes)])
}

func (o *online) routed() *router.Request {
	return &router.Request{
		ID: o.id, Tenant: o.who.tenant.Name, Model: o.model, Surface: o.surface,
		Body: o.body, PrefixHash: prefixHash(o), Once: o.class == bundle.ClassOnce,
	}
}

// whole answers with one JSON object.
func (m *Module) whole(c fiber.Ctx, request *online, tenant *limits.TenantLimiter) error {
	ctx, stop := callerContext(c, request.timeout)
	defer stop()
	answer, err := m.collect(ctx, request)
	tenant.Release(time.Now(), answer.usage.CompletionTokens)
	if err != nil {
		return err
	}
	return c.JSON(answer.encode(request))
}

// answer is a collected answer.
type answer struct {
	text   []byte
	finish string
	usage  router.Usage
}

func (m *Module) collect(ctx context.Context, request *online) (*answer, error) {
	collected := &answer{}
	var err error
	collected.usage, err = m.router.Generate(ctx, request.routed(), func(piece router.Chunk) error {
		if len(collected.text) == 0 {
			m.metrics.first.Observe(time.Since(request.arrived).Seconds())
		}
		collected.text = append(collected.text, piece.Text...)
		if piece.FinishReason != "" {
			collected.finish = piece.FinishReason
		}
		return nil
	})
	return collected, err
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

func (a *answer) encode(request *online) completionBody {
	body := completionBody{
		ID: request.id, Object: "text_completion", Created: request.arrived.Unix(), Model: request.asked, Usage: newUsage(a.usage),
	}
	text := string(a.text)
	only := choice{FinishReason: &a.finish}
	if request.surface == wirev1.Surface_SURFACE_CHAT {
		body.Object = "chat.completion"
		only.Message = &message{Role: "assistant", Content: text}
	} else {
		only.Text = &text
	}
	body.Choices = []choice{only}
	return body
}

// encodeWhole returns the answer's JSON.
func (a *answer) encodeWhole(request *online) ([]byte, error) {
	return json.Marshal(a.encode(request))
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
