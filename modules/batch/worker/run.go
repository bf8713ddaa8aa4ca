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

// begin runs a granted item in the background.
func (m *Module) begin(shard uint32, granted *wirev1.Grant) {
	key := grants.KeyFromProto(granted.Key)
	ctx, cancel := context.WithCancel(m.context)
	m.mutex.Lock()
	if m.held[key] != nil {
		m.mutex.Unlock()
		cancel()
		return
	}
	m.held[key] = &heldItem{shard: shard, cancel: cancel}
	m.starting[granted.Item.Model]++
	m.metrics.running.Set(float64(len(m.held)))
	m.mutex.Unlock()
	m.tasks.Go(func() {
		defer cancel()
		m.run(ctx, shard, key, granted)
	})
}

func (m *Module) run(ctx context.Context, shard uint32, key grants.Key, granted *wirev1.Grant) {
	request := &owner.BatchRequest{
		ID:    fmt.Sprintf("item-%s-%d-%d-%d-%08x", key.Job, key.Segment, key.Offset, granted.Attempt, uint32(m.session)^uint32(time.Now().UnixNano())),
		Model: granted.Item.Model, Surface: surfaceOf(granted.Item.Url), Body: granted.Item.Body,
		Once: granted.Item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE,
		Started: func() {
			m.mutex.Lock()
			m.starting[granted.Item.Model]--
			m.mutex.Unlock()
		},
	}
	answer, err := m.owner.RunBatch(ctx, request)
	code := result.CodeOf(err)
	m.metrics.ended.WithLabelValues(code.String()).Inc()
	if isHandedBack(code, request.Once) {
		m.handBack(shard, key, granted)
		return
	}
	m.queueResult(shard, itemResult(granted, request, answer, err))
}

func surfaceOf(url string) wirev1.Surface {
	if url == "/v1/chat/completions" {
		return wirev1.Surface_SURFACE_CHAT
	}
	return wirev1.Surface_SURFACE_COMPLETION
}

// isHandedBack reports whether, after this outcome, an item is handed out again
// without counting as an attempt. An item of class once is handed back only if
// it provably never ran.
func isHandedBack(code result.Code, once bool) bool {
	switch code {
	case result.Saturated, result.NoRunner, result.EngineRefused, result.UnknownModel:
		return true
	case result.Preempted, result.CallerGone:
		return !once
	default:
		return false
	}
}

func (m *Module) handBack(shard uint32, key grants.Key, granted *wirev1.Grant) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.held, key)
	m.metrics.running.Set(float64(len(m.held)))
	m.returned[shard] = append(m.returned[shard], granted.Key)
}

// itemResult is what is stored of an ended run.
func itemResult(granted *wirev1.Grant, request *owner.BatchRequest, answer *owner.BatchResponse, err error) *wirev1.ItemResult {
	ended := &wirev1.ItemResult{Item: granted.Key, Attempt: granted.Attempt, RequestId: request.ID}
	if err == nil {
		ended.HttpStatus = 200
		ended.Body = encodeAnswer(granted, request, answer)
		return ended
	}
	failure := result.FromError(err)
	ended.Code, ended.Message = uint32(finalCode(failure.Code, request.Once)), failure.Message
	ended.HttpStatus = uint32(result.Code(ended.Code).Entry().HTTPStatus)
	return ended
}

// finalCode turns failures into what the shard's leader acts on: it retries
// RunnerLost and EngineFailed of repeatable items.
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

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   answerUsage    `json:"usage"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Message      *answerMessage `json:"message,omitempty"`
	Text         *string        `json:"text,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func encodeAnswer(granted *wirev1.Grant, request *owner.BatchRequest, answer *owner.BatchResponse) []byte {
	body := answerBody{
		ID: request.ID, Object: "text_completion", Created: time.Now().Unix(), Model: granted.Item.Model,
		Usage: answerUsage{answer.PromptTokens, answer.CompletionTokens, answer.PromptTokens + answer.CompletionTokens},
	}
	only := answerChoice{FinishReason: answer.FinishReason}
	if request.Surface == wirev1.Surface_SURFACE_CHAT {
		body.Object = "chat.completion"
		only.Message = &answerMessage{Role: "assistant", Content: answer.Text}
	} else {
		only.Text = &answer.Text
	}
	body.Choices = []answerChoice{only}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil // plain fields only: cannot happen
	}
	return encoded
}

const (
	// outboxLength is how many results may wait for one shard before runs that end
	// wait too.
	outboxLength = 4096
	// resultBatchDelay is how long a first result waits for others.
	resultBatchDelay = 15 * time.Millisecond
	// maxResults bounds the results of one Complete call.
	maxResults = 256
	// completeTimeout bounds one Complete call.
	completeTimeout = 10 * time.Second
)

// queueResult queues a result for its shard. Until the shard has confirmed it,
// the item counts as held and the result is kept here.
func (m *Module) queueResult(shard uint32, ended *wirev1.ItemResult) {
	m.mutex.Lock()
	outbox := m.outboxes[shard]
	if outbox == nil {
		outbox = make(chan *wirev1.ItemResult, outboxLength)
		m.outboxes[shard] = outbox
		m.tasks.Go(func() { m.deliverLoop(shard, outbox) })
	}
	m.mutex.Unlock()
	select {
	case outbox <- ended:
	case <-m.context.Done():
	}
}

// deliverLoop batches results for resultBatchDelay, so that one log entry carries
// many, and sends them until they are confirmed.
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
		batch = drain(outbox, batch)
		m.deliver(shard, batch)
	}
}

func drain(outbox chan *wirev1.ItemResult, batch []*wirev1.ItemResult) []*wirev1.ItemResult {
	for len(batch) < maxResults {
		select {
		case next := <-outbox:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

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
	for _, ended := range batch {
		delete(m.held, grants.KeyFromProto(ended.Item))
	}
	m.metrics.running.Set(float64(len(m.held)))
}
