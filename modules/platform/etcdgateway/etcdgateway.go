// Package etcdgateway implements ports.KeyValueStore with the JSON gateway of the etcd v3
// API (range, txn and watch). It limits the rate of its own calls. The plain node runs it.
package etcdgateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

// ModuleName is the name under which the module is registered.
const ModuleName = "platform.etcdgateway"

func init() {
	kernel.Register(kernel.Info{Name: ModuleName, New: func() kernel.Module { return &Module{} }})
}

// Module provides ports.KeyValueStore.
type Module struct{ client *Client }

var (
	_ kernel.Module       = (*Module)(nil)
	_ kernel.Cleaner      = (*Module)(nil)
	_ ports.KeyValueStore = (*Client)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	loaded, err := kernel.Find[*settings.Settings](ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	m.client = NewClient(loaded.Platform.KeyValue, loaded.Platform.RequestsPerSecond)
	ctx.Provide(m.client)
	return nil
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() { m.client.http.CloseIdle() }

const (
	// callTimeout bounds one Get, List or Commit, including the wait for the rate limit. It
	// does not apply to Watch.
	callTimeout = 3 * time.Second
	// maxResponseBytes bounds the body of one response.
	maxResponseBytes = 64 << 20
	// burstRequests is the burst size of the rate limit.
	burstRequests = 10
	// maxWatchSilence is how long a watch may receive nothing before it ends. Its connection
	// may have gone silent; the caller then lists, which finds the changes that were missed.
	maxWatchSilence = 15 * time.Second
)

// Client calls the API of one gateway.
type Client struct {
	baseURL string
	http    *httpcall.Client
	limiter *rate.Limiter
	// watchSilence is maxWatchSilence except in tests.
	watchSilence time.Duration
}

// NewClient returns a client of the gateway at baseURL. The client limits the rate of its
// calls to requestsPerSecond, with bursts of up to burstRequests.
func NewClient(baseURL string, requestsPerSecond float64) *Client {
	return &Client{
		baseURL: strings.TrimRight(baseURL, "/"),
		http:    httpcall.NewClient(nil),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), burstRequests),

		watchSilence: maxWatchSilence,
	}
}

// Get implements ports.KeyValueStore.
func (c *Client) Get(ctx context.Context, key string) (ports.Value, bool, error) {
	var reply rangeResponse
	if err := c.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &reply); err != nil {
		return ports.Value{}, false, err
	}
	if len(reply.KVs) == 0 {
		return ports.Value{}, false, nil
	}
	return toValue(reply.KVs[0]), true, nil
}

// List implements ports.KeyValueStore.
func (c *Client) List(ctx context.Context, prefix string) ([]ports.Value, int64, error) {
	var reply rangeResponse
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := c.call(ctx, "/v3/kv/range", request, &reply); err != nil {
		return nil, 0, err
	}
	values := make([]ports.Value, len(reply.KVs))
	for i, kv := range reply.KVs {
		values[i] = toValue(kv)
	}
	return values, reply.Header.Revision, nil
}

// Commit implements ports.KeyValueStore.
func (c *Client) Commit(ctx context.Context, conditions []ports.Condition, puts []ports.Put) (bool, error) {
	var request txnRequest
	for _, condition := range conditions {
		request.Compare = append(request.Compare, compareJSON{
			Result: "EQUAL", Target: "MOD", Key: []byte(condition.Key), ModRevision: condition.Revision,
		})
	}
	for _, put := range puts {
		request.Success = append(request.Success, requestOp{Put: &putRequest{Key: []byte(put.Key), Value: put.Value}})
	}
	var reply txnResponse
	if err := c.call(ctx, "/v3/kv/txn", request, &reply); err != nil {
		return false, err
	}
	return reply.Succeeded, nil
}

func (c *Client) call(ctx context.Context, path string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return trace.Wrap(ports.ErrUnavailable, "own rate limit: %v", err)
	}
	body, err := json.Marshal(request)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "POST", URL: c.baseURL + path, Body: body, Headers: jsonHeaders})
	if err != nil {
		return classify(err)
	}
	payload, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return trace.Wrap(ports.ErrOutcomeUnknown, "reading answer: %v", err)
	}
	return decode(response.Status, payload, reply)
}

var jsonHeaders = [][2]string{{"Content-Type", "application/json"}}

func classify(err error) error {
	var notSent *httpcall.NotSentError
	if errors.As(err, &notSent) {
		return trace.Wrap(ports.ErrUnavailable, "%v", err)
	}
	return trace.Wrap(ports.ErrOutcomeUnknown, "%v", err)
}

// HTTP statuses of the gateway. With status 429 or 503, the gateway has not executed the
// call. With any other status except 200, the outcome of the call is unknown.
const (
	statusTooManyRequests = 429
	statusUnavailable     = 503
	statusOK              = 200
)

func decode(status int, payload []byte, reply any) error {
	switch status {
	case statusOK:
		return trace.Wrap(json.Unmarshal(payload, reply), "decoding answer")
	case statusTooManyRequests, statusUnavailable:
		return trace.Wrap(ports.ErrUnavailable, "status %d", status)
	default:
		return trace.Wrap(ports.ErrOutcomeUnknown, "status %d: %s", status, payload)
	}
}

// Watch implements ports.KeyValueStore. It ends with an error if nothing is received for
// maxWatchSilence.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(ports.WatchEvent)) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return trace.Wrap(err)
	}
	create := watchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: after + 1}
	body, err := json.Marshal(watchRequest{Create: create})
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(c.watchSilence, cancel)
	defer silence.Stop()
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "POST", URL: c.baseURL + "/v3/watch", Body: body, Headers: jsonHeaders, FreshConnection: true})
	if err != nil {
		return classify(err)
	}
	defer response.Close()
	decoder := json.NewDecoder(response)
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return trace.Wrap(ports.ErrUnavailable, "reading the watch stream: %v", err)
		}
		silence.Reset(c.watchSilence)
		if message.Result.Canceled {
			return trace.Wrap(ports.ErrUnavailable, "watch cancelled by the gateway, compact revision %d", message.Result.CompactRevision)
		}
		for _, event := range message.Result.Events {
			handle(ports.WatchEvent{Value: toValue(event.KV), Deleted: event.Type == "DELETE"})
		}
	}
}

func toValue(kv keyValueJSON) ports.Value {
	return ports.Value{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixEnd returns the end of the key range that contains all keys with the prefix: the
// smallest key after them, or the zero byte, with which etcd denotes the end of all keys.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
