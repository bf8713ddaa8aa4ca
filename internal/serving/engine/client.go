// Package engine is a client for model engines. It uses the OpenAI HTTP API with these
// extensions: priorities, server-sent events that can be resumed by Last-Event-ID,
// cancellation, and fenced orders to load models. It keeps connections to engines and no
// other state. The plain node uses it (modules/serving/owner).
//
// The errors of Start, Resume and Stream.Next, except io.EOF, are of type result.Error;
// their codes state whether the work was run.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"
	"github.com/valyala/fasthttp"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

// Priorities of requests. An engine runs requests with lower numbers first.
const (
	PriorityOnline = 0
	PriorityBatch  = 10
)

const (
	// cancelTimeout bounds a call of Cancel.
	cancelTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a response that is not a stream.
	maxResponseBytes = 64 << 10
)

// headerRequestID names the request; some engines repeat it in their responses, others send an id
// of their own.
const headerRequestID = "X-Request-Id"

// responseID returns the id that a response names; empty if it names none.
func responseID(header *fasthttp.ResponseHeader) string { return string(header.Peek(headerRequestID)) }

// Client calls engines.
type Client struct{ http *httpcall.Client }

// NewClient returns a client with its own connections.
func NewClient() *Client { return &Client{http: httpcall.NewClient(nil)} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdle() }

// Request is a request for a generation.
type Request struct {
	// ID identifies the stream at the engine and is unique for each dispatch.
	ID      string
	Surface wirev1.Surface
	// Body is the JSON that the caller sent.
	Body []byte
	// Priority is PriorityOnline or PriorityBatch.
	Priority int
	// Once marks work that must not run twice. The request is sent on a new connection,
	// since the failure of a stale connection would leave the outcome unknown.
	Once bool
	// Received is the text that the caller already has, and ReceivedTokens its number of
	// tokens. The engine continues after this text. Empty means a new response.
	Received       string
	ReceivedTokens int
}

// Path returns the URL path of a surface at an engine.
func Path(surface wirev1.Surface) string {
	if surface == wirev1.Surface_SURFACE_CHAT {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Start dispatches a generation and waits for the engine's response header. The caller
// must close the stream. If the engine responds with an error, the code is EngineRejected,
// NotFound or EngineRefused if the request was not run, and EngineFailed otherwise. Without
// a response the code is NoRunner if the request was not sent, and OutcomeUnknown otherwise;
// if the context has ended, for whatever reason, it is DeadlineTooClose or DeadlineExceeded
// instead. A body that cannot be edited is InvalidRequest or Internal.
func (c *Client) Start(ctx context.Context, address string, request *Request) (*Stream, error) {
	body, err := streamBody(request)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(ctx, &httpcall.Request{
		Method: "POST", URL: "http://" + address + Path(request.Surface), Body: body, FreshConnection: request.Once,
		Headers: [][2]string{{"Content-Type", "application/json"}, {headerRequestID, request.ID}},
		ID:      request.ID, ResponseID: responseID,
	})
	if err != nil {
		return nil, dispatchError(ctx, address, err)
	}
	if response.Status != statusOK {
		return nil, statusError(response)
	}
	return newStream(response, request.ID, request.Surface, 0), nil
}

// Resume re-attaches to a stream: its first event is the event after the given index, or
// event 0 if the index is -1. The errors are those of Start.
func (c *Client) Resume(ctx context.Context, address, id string, surface wirev1.Surface, after int) (*Stream, error) {
	headers := [][2]string{}
	if after >= 0 {
		headers = append(headers, [2]string{"Last-Event-ID", fmt.Sprint(after)})
	}
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "GET", URL: streamURL(address, id), Headers: headers, ID: id, ResponseID: responseID})
	if err != nil {
		return nil, dispatchError(ctx, address, err)
	}
	if response.Status != statusOK {
		return nil, statusError(response)
	}
	return newStream(response, id, surface, after+1), nil
}

// Cancel asks the engine to stop a stream, within cancelTimeout. It does not check the
// status of the response: a stream that the engine does not know is no error. The context
// should not be the context of the stream, which has usually ended.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "POST", URL: streamURL(address, id) + "/cancel", Body: []byte{}})
	if err != nil {
		return dispatchError(ctx, address, err)
	}
	_, err = response.ReadAll(maxResponseBytes)
	return err
}

func streamURL(address, id string) string { return "http://" + address + "/v1/streams/" + id }

// Order is an order to an engine to load a model or an adapter. The engine rejects an order
// whose fence is below the highest fence that it has seen.
type Order struct {
	Fence uint64 `json:"fence"`
	// Kind is "load" for a model or "adapter".
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Send sends an order to an engine. It returns StaleEpoch if the engine has seen a higher
// fence, the errors of Start if the call fails otherwise, and an error without a code if
// the response to an accepted order cannot be read. The engine may still be loading when
// Send returns.
func (c *Client) Send(ctx context.Context, address string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return result.New(result.Internal, "encoding order: %v", err)
	}
	response, err := c.http.Do(ctx, &httpcall.Request{
		Method: "POST", URL: "http://" + address + "/v1/orders", Body: body,
		Headers: [][2]string{{"Content-Type", "application/json"}},
	})
	if err != nil {
		return dispatchError(ctx, address, err)
	}
	if response.Status == statusConflict {
		response.Close()
		return result.New(result.StaleEpoch, "engine %s has seen a higher fence than %d", address, order.Fence)
	}
	if response.Status != statusOK {
		return statusError(response)
	}
	_, err = response.ReadAll(maxResponseBytes)
	return err
}

// State is the state that an engine reports.
type State struct {
	// Fence is the highest fence that the engine has seen.
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	// Loading is set while the engine is loading a model or an adapter.
	Loading bool `json:"loading"`
	// Boot identifies the run of the engine's process; it changes with each restart.
	Boot string `json:"boot"`
}

// State returns the state of an engine. It returns EngineFailed if the response cannot be
// read or decoded, and the errors of Start if there is none. It does not check the status
// of the response.
func (c *Client) State(ctx context.Context, address string) (*State, error) {
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "GET", URL: "http://" + address + "/v1/state"})
	if err != nil {
		return nil, dispatchError(ctx, address, err)
	}
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, result.New(result.EngineFailed, "engine %s: %v", address, err)
	}
	var state State
	if err := json.Unmarshal(body, &state); err != nil {
		return nil, result.New(result.EngineFailed, "engine %s: decoding state: %v", address, err)
	}
	return &state, nil
}

const (
	statusOK              = 200
	statusBadRequest      = 400
	statusNotFound        = 404
	statusConflict        = 409
	statusUnprocessable   = 422
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// streamBody returns the caller's body with the settings that a stream requires: streaming,
// the usage in the closing event, and the priority. If the caller already has a part of the
// response, the body requests the rest of it.
func streamBody(request *Request) ([]byte, error) {
	body := request.Body
	edits := []struct {
		path  string
		value any
	}{
		{"stream", true}, {"stream_options.include_usage", true}, {"priority", request.Priority},
	}
	for _, edit := range edits {
		var err error
		if body, err = sjson.SetBytes(body, edit.path, edit.value); err != nil {
			return nil, result.New(result.InvalidRequest, "body: %v", err)
		}
	}
	if request.Received == "" {
		return body, nil
	}
	return continueBody(body, request)
}

// continueBody changes a body so that the engine continues the received text: it appends
// the text to the prompt or the messages, and reduces max_tokens, if set, by the number of
// received tokens.
func continueBody(body []byte, request *Request) ([]byte, error) {
	var err error
	if limit := gjson.GetBytes(body, "max_tokens").Int(); limit > 0 {
		body, err = sjson.SetBytes(body, "max_tokens", limit-int64(request.ReceivedTokens))
		if err != nil {
			return nil, result.New(result.Internal, "body: %v", err)
		}
	}
	if request.Surface == wirev1.Surface_SURFACE_COMPLETION {
		prompt := gjson.GetBytes(body, "prompt").String()
		return setBytes(body, "prompt", prompt+request.Received)
	}
	message := map[string]string{"role": "assistant", "content": request.Received}
	if body, err = setBytes(body, "messages.-1", message); err != nil {
		return nil, err
	}
	if body, err = setBytes(body, "continue_final_message", true); err != nil {
		return nil, err
	}
	return setBytes(body, "add_generation_prompt", false)
}

func setBytes(body []byte, path string, value any) ([]byte, error) {
	edited, err := sjson.SetBytes(body, path, value)
	if err != nil {
		return nil, result.New(result.Internal, "body: %v", err)
	}
	return edited, nil
}

// dispatchError maps a transport error to a result code. An ended context counts as a
// passed deadline, also if it was cancelled.
func dispatchError(ctx context.Context, address string, err error) error {
	var notSent *httpcall.NotSentError
	if errors.As(err, &notSent) {
		if ctx.Err() != nil {
			return result.New(result.DeadlineTooClose, "deadline passed before the request was sent")
		}
		return result.New(result.NoRunner, "engine %s: %v", address, notSent.Cause)
	}
	if ctx.Err() != nil {
		return result.New(result.DeadlineExceeded, "engine %s: no answer before the deadline", address)
	}
	return result.New(result.OutcomeUnknown, "engine %s: %v", address, err)
}

// statusError maps an engine's error response to a result code and closes the response.
// With status 400, 404, 422, 429 or 503 the engine did not run the request; with another
// status it may have run the request.
func statusError(response *httpcall.Response) error {
	status := response.Status
	retryAfter := gjson.ParseBytes(response.Header.Peek("Retry-After")).Float()
	body, err := response.ReadAll(maxResponseBytes)
	message := gjson.GetBytes(body, "error.message").String()
	if err != nil || message == "" {
		message = fmt.Sprintf("engine answered status %d", status)
	}
	switch status {
	case statusBadRequest, statusUnprocessable:
		return result.New(result.EngineRejected, "%s", message)
	case statusNotFound:
		return result.New(result.NotFound, "%s", message)
	case statusTooManyRequests, statusUnavailable:
		return result.New(result.EngineRefused, "%s", message).WithRetryAfter(time.Duration(retryAfter * float64(time.Second)))
	default:
		return result.New(result.EngineFailed, "%s", message)
	}
}
