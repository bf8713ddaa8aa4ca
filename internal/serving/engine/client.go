// Package engine is a client for model engines. It uses the OpenAI HTTP API with
// extensions: priorities, server-sent events that can be resumed by Last-Event-ID,
// cancellation and fenced orders. It keeps connections to engines and no other state.
// The plain node uses it (modules/serving/owner).
//
// Errors are those of package result and state whether the work was run.
package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

// Priorities of requests to engines, which serve lower numbers first.
const (
	PriorityOnline = 0
	PriorityBatch  = 10
)

const (
	cancelTimeout = 2 * time.Second
	// maxErrorBytes bounds a response that is not a stream.
	maxErrorBytes = 64 << 10
)

// Client calls engines.
type Client struct{ http *httpcall.Client }

// NewClient returns a client with its own connections.
func NewClient() *Client { return &Client{http: httpcall.NewClient(nil)} }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdle() }

// Request is a request for a generation.
type Request struct {
	// ID identifies the stream at the engine and is unique for each dispatch.
	ID       string
	Surface  wirev1.Surface
	Body     []byte
	Priority int
	// Once marks work that must not run twice. It is sent on a new connection, since
	// the failure of a stale one would leave the outcome unknown.
	Once bool
	// Received is the text that the caller already has. Generation continues after it.
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
// must close the stream. The error is EngineRejected, NotFound or EngineRefused if the
// engine did not run the request, and EngineFailed if the engine failed. Without a
// response it is NoRunner or DeadlineTooClose if the request was not sent, and
// OutcomeUnknown or DeadlineExceeded otherwise.
func (c *Client) Start(ctx context.Context, address string, request *Request) (*Stream, error) {
	body, err := streamBody(request)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(ctx, &httpcall.Request{
		Method: "POST", URL: "http://" + address + Path(request.Surface), Body: body, FreshConnection: request.Once,
		Headers: [][2]string{{"Content-Type", "application/json"}, {"X-Request-Id", request.ID}},
	})
	if err != nil {
		return nil, dispatchError(ctx, address, err)
	}
	if response.Status != statusOK {
		return nil, statusError(response)
	}
	return newStream(response, request.ID, request.Surface, 0), nil
}

// Resume re-attaches to a stream after the event with the given index, or from the
// start of the stream if the index is -1. The errors are those of Start.
func (c *Client) Resume(ctx context.Context, address, id string, surface wirev1.Surface, after int) (*Stream, error) {
	headers := [][2]string{}
	if after >= 0 {
		headers = append(headers, [2]string{"Last-Event-ID", fmt.Sprint(after)})
	}
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "GET", URL: streamURL(address, id), Headers: headers})
	if err != nil {
		return nil, dispatchError(ctx, address, err)
	}
	if response.Status != statusOK {
		return nil, statusError(response)
	}
	return newStream(response, id, surface, after+1), nil
}

// Cancel asks the engine to stop a stream, within cancelTimeout. The context should
// not be that of the stream, which has usually ended.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "POST", URL: streamURL(address, id) + "/cancel", Body: []byte{}})
	if err != nil {
		return dispatchError(ctx, address, err)
	}
	_, err = response.ReadAll(maxErrorBytes)
	return err
}

func streamURL(address, id string) string { return "http://" + address + "/v1/streams/" + id }

// Order is a fenced order to an engine. The engine rejects an order whose fence is
// below the highest that it has seen.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Send sends an order to an engine. It returns StaleEpoch if the engine has seen a
// higher fence, and otherwise the errors of Start.
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
	_, err = response.ReadAll(maxErrorBytes)
	return err
}

// State is the state that an engine reports.
type State struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Loading  bool     `json:"loading"`
	Boot     string   `json:"boot"`
}

// State returns the state of an engine. It returns EngineFailed if the response is
// invalid.
func (c *Client) State(ctx context.Context, address string) (*State, error) {
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "GET", URL: "http://" + address + "/v1/state"})
	if err != nil {
		return nil, dispatchError(ctx, address, err)
	}
	body, err := response.ReadAll(maxErrorBytes)
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

// streamBody returns the body to send to the engine for a caller's body.
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

// continueBody changes a body to request the rest of a response whose beginning the
// caller already has.
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

// dispatchError maps a transport error to a result code.
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

// statusError maps an engine's error response to a result code. With status 400, 404,
// 422, 429 or 503 the engine did not run the request; with others it may have.
func statusError(response *httpcall.Response) error {
	status := response.Status
	retryAfter := gjson.ParseBytes(response.Header.Peek("Retry-After")).Float()
	body, err := response.ReadAll(maxErrorBytes)
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
