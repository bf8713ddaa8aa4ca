// Package etcdgateway is the key-value adapter for the published JSON gateway of the
// etcd v3 API (range, txn and watch). It implements ports.KeyValueStore, owns its client
// and the limit on its calls a second, and keeps no state. The plain node runs it.
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

// ModuleName registers the adapter.
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
	// callTimeout bounds one call, the wait for the limit on calls included.
	callTimeout = 3 * time.Second
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
	// burstRequests is how many calls may be made at once within the limit.
	burstRequests = 10
)

// Client speaks to one gateway.
type Client struct {
	base    string
	http    *httpcall.Client
	limiter *rate.Limiter
}

// NewClient returns a client bounded to requestsPerSecond.
func NewClient(base string, requestsPerSecond float64) *Client {
	return &Client{
		base:    strings.TrimRight(base, "/"),
		http:    httpcall.NewClient(nil),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), burstRequests),
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
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "POST", URL: c.base + path, Body: body, Headers: jsonHeaders})
	if err != nil {
		return classify(err)
	}
	answer, err := response.ReadAll(maxAnswerBytes)
	if err != nil {
		return trace.Wrap(ports.ErrOutcomeUnknown, "reading answer: %v", err)
	}
	return decode(response.Status, answer, reply)
}

var jsonHeaders = [][2]string{{"Content-Type", "application/json"}}

func classify(err error) error {
	var notSent *httpcall.NotSentError
	if errors.As(err, &notSent) {
		return trace.Wrap(ports.ErrUnavailable, "%v", err)
	}
	return trace.Wrap(ports.ErrOutcomeUnknown, "%v", err)
}

// Statuses by which a gateway says that it did nothing.
const (
	statusTooManyRequests = 429
	statusUnavailable     = 503
	statusOK              = 200
)

func decode(status int, answer []byte, reply any) error {
	switch status {
	case statusOK:
		return trace.Wrap(json.Unmarshal(answer, reply), "decoding answer")
	case statusTooManyRequests, statusUnavailable:
		return trace.Wrap(ports.ErrUnavailable, "status %d", status)
	default:
		return trace.Wrap(ports.ErrOutcomeUnknown, "status %d: %s", status, answer)
	}
}

// Watch implements ports.KeyValueStore.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(ports.WatchEvent)) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return trace.Wrap(err)
	}
	create := watchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: after + 1}
	body, err := json.Marshal(watchRequest{Create: create})
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := c.http.Do(ctx, &httpcall.Request{Method: "POST", URL: c.base + "/v3/watch", Body: body, Headers: jsonHeaders, FreshConnection: true})
	if err != nil {
		return classify(err)
	}
	defer response.Close()
	decoder := json.NewDecoder(response)
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return trace.Wrap(ports.ErrUnavailable, "watch broke: %v", err)
		}
		if message.Result.Canceled {
			return trace.Wrap(ports.ErrUnavailable, "watch cancelled, compacted at %d", message.Result.CompactRevision)
		}
		for _, event := range message.Result.Events {
			handle(ports.WatchEvent{Value: toValue(event.KV), Deleted: event.Type == "DELETE"})
		}
	}
}

func toValue(kv keyValueJSON) ports.Value {
	return ports.Value{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixEnd returns the smallest key after all keys with the prefix, as etcd
// clients compute it.
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
