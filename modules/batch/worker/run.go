package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/grants"
	"cobaltramp.example/cobaltramp/modules/serving/owner"
)

// startItem runs a granted item in the background, unless the node already holds the item.
func (m *Module) startItem(shard uint32, grant *wirev1.Grant) {
	key := grants.KeyFromProto(grant.Key)
	ctx, cancel := context.WithCancel(m.context)
	m.mutex.Lock()
	if m.held[key] != nil {
		m.mutex.Unlock()
		cancel()
		return
	}
	m.held[key] = &heldItem{shard: shard, cancel: cancel}
	m.startingCounts[grant.Item.Model]++
	m.metrics.heldItems.Set(float64(len(m.held)))
	m.mutex.Unlock()
	m.tasks.Go(func() {
		defer cancel()
		m.runItem(ctx, shard, key, grant)
	})
}

// runItem runs an item and returns it to its shard or queues its result.
func (m *Module) runItem(ctx context.Context, shard uint32, key grants.Key, grant *wirev1.Grant) {
	request := &owner.BatchRequest{
		ID:    fmt.Sprintf("item-%s-%d-%d-%d-%08x", key.Job, key.Segment, key.Offset, grant.Attempt, uint32(m.session)^uint32(time.Now().UnixNano())),
		Model: grant.Item.Model, Surface: surfaceOf(grant.Item.Url), Body: grant.Item.Body,
		Once: grant.Item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE,
		StartDecided: func() {
			m.mutex.Lock()
			m.startingCounts[grant.Item.Model]--
			m.mutex.Unlock()
		},
	}
	response, err := m.owner.RunBatch(ctx, request)
	code := result.CodeOf(err)
	m.metrics.runs.WithLabelValues(code.String()).Inc()
	if mustReturn(code, request.Once) {
		m.returnItem(shard, key, grant)
		return
	}
	m.queueResult(shard, newItemResult(grant, request, response, err))
}

func surfaceOf(url string) wirev1.Surface {
	if url == "/v1/chat/completions" {
		return wirev1.Surface_SURFACE_CHAT
	}
	return wirev1.Surface_SURFACE_COMPLETION
}

// mustReturn reports whether an item with this outcome is returned to its shard, which
// grants the item again with the same attempt number. An item of class once is returned only
// if it certainly did not run.
func mustReturn(code result.Code, once bool) bool {
	switch code {
	case result.Saturated, result.NoRunner, result.EngineRefused, result.UnknownModel:
		return true
	case result.Preempted, result.CallerGone:
		return !once
	default:
		return false
	}
}

func (m *Module) returnItem(shard uint32, key grants.Key, grant *wirev1.Grant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.held, key)
	m.metrics.heldItems.Set(float64(len(m.held)))
	m.returned[shard] = append(m.returned[shard], grant.Key)
}

// newItemResult returns the result of a run for the shard to store.
func newItemResult(grant *wirev1.Grant, request *owner.BatchRequest, response *owner.BatchResponse, err error) *wirev1.ItemResult {
	itemResult := &wirev1.ItemResult{Item: grant.Key, Attempt: grant.Attempt, RequestId: request.ID}
	if err == nil {
		itemResult.HttpStatus = 200
		itemResult.Body = encodeResponse(grant, request, response)
		return itemResult
	}
	failure := result.FromError(err)
	itemResult.Code, itemResult.Message = uint32(finalCode(failure.Code, request.Once)), failure.Message
	itemResult.HttpStatus = uint32(result.Code(itemResult.Code).Entry().HTTPStatus)
	return itemResult
}

// finalCode maps the code of a failure to the code that is sent to the shard's leader.
// EngineRejected and InvalidRequest stay. Other failures become OutcomeUnknown for items of
// class once. For repeatable items they become EngineFailed or RunnerLost, which the leader
// retries.
func finalCode(code result.Code, once bool) result.Code {
	if code == result.EngineRejected || code == result.InvalidRequest {
		return code
	}
	if once {
		return result.OutcomeUnknown
	}
	if code == result.EngineFailed {
		return code
	}
	return result.RunnerLost
}

type responseBody struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Created int64            `json:"created"`
	Model   string           `json:"model"`
	Choices []responseChoice `json:"choices"`
	Usage   responseUsage    `json:"usage"`
}

type responseChoice struct {
	Index        int              `json:"index"`
	Message      *responseMessage `json:"message,omitempty"`
	Text         *string          `json:"text,omitempty"`
	FinishReason string           `json:"finish_reason"`
}

type responseMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type responseUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func encodeResponse(grant *wirev1.Grant, request *owner.BatchRequest, response *owner.BatchResponse) []byte {
	body := responseBody{
		ID: request.ID, Object: "text_completion", Created: time.Now().Unix(), Model: grant.Item.Model,
		Usage: responseUsage{response.PromptTokens, response.CompletionTokens, response.PromptTokens + response.CompletionTokens},
	}
	choice := responseChoice{FinishReason: response.FinishReason}
	if request.Surface == wirev1.Surface_SURFACE_CHAT {
		body.Object = "chat.completion"
		choice.Message = &responseMessage{Role: "assistant", Content: response.Text}
	} else {
		choice.Text = &response.Text
	}
	body.Choices = []responseChoice{choice}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil // cannot happen: all fields can be encoded
	}
	return encoded
}

const (
	// outboxCapacity is the number of results that may wait for one shard. Runs that end
	// while the outbox is full wait until the outbox has space.
	outboxCapacity = 4096
	// resultBatchDelay is how long the first result of a batch waits for further results.
	resultBatchDelay = 15 * time.Millisecond
	// maxBatchResults is the maximum number of results in one Complete call.
	maxBatchResults = 256
	// completeTimeout is the timeout of one Complete call.
	completeTimeout = 10 * time.Second
)

// queueResult queues a result for delivery to its shard. The item stays held until the
// shard has confirmed the result.
func (m *Module) queueResult(shard uint32, itemResult *wirev1.ItemResult) {
	m.mutex.Lock()
	outbox := m.outboxes[shard]
	if outbox == nil {
		outbox = make(chan *wirev1.ItemResult, outboxCapacity)
		m.outboxes[shard] = outbox
		m.tasks.Go(func() { m.deliverLoop(shard, outbox) })
	}
	m.mutex.Unlock()
	select {
	case outbox <- itemResult:
	case <-m.context.Done():
	}
}

// deliverLoop collects results for resultBatchDelay, so that one log entry holds many
// results, and delivers them.
func (m *Module) deliverLoop(shard uint32, outbox chan *wirev1.ItemResult) {
	for {
		var batch []*wirev1.ItemResult
		select {
		case <-m.context.Done():
			return
		case first := <-outbox:
			batch = append(batch, first)
		}
		time.Sleep(resultBatchDelay)
		batch = collectQueued(outbox, batch)
		m.deliver(shard, batch)
	}
}

// collectQueued adds the results that are queued to the batch, up to maxBatchResults.
func collectQueued(outbox chan *wirev1.ItemResult, batch []*wirev1.ItemResult) []*wirev1.ItemResult {
	for len(batch) < maxBatchResults {
		select {
		case next := <-outbox:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch of results until the shard confirms the batch or the node stops. The
// node then no longer holds the items.
func (m *Module) deliver(shard uint32, batch []*wirev1.ItemResult) {
	request := &wirev1.CompleteRequest{Shard: shard, NodeId: m.settings.Node.ID, Session: m.session, Results: batch}
	for m.context.Err() == nil {
		ctx, cancel := context.WithTimeout(m.context, completeTimeout)
		_, err := m.shards.Complete(ctx, request)
		cancel()
		if err == nil {
			break
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, itemResult := range batch {
		delete(m.held, grants.KeyFromProto(itemResult.Item))
	}
	m.metrics.heldItems.Set(float64(len(m.held)))
}
