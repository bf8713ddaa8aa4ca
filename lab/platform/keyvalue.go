package platform

import (
	"bufio"
	"encoding/json"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// rangeBody is the body of a range request.
type rangeBody struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

func header(revision int64) fiber.Map { return fiber.Map{"revision": strconv.FormatInt(revision, 10)} }

func (p *Platform) serveRange(c fiber.Ctx) error {
	var body rangeBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	values, revision := p.store.scan(string(body.Key), string(body.RangeEnd))
	if values == nil {
		values = []keyValue{}
	}
	return c.JSON(fiber.Map{"header": header(revision), "kvs": values, "count": strconv.Itoa(len(values))})
}

// txnBody is the body of a transaction: comparisons of revisions, and writes.
type txnBody struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		Put struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
		} `json:"request_put"`
	} `json:"success"`
}

func (p *Platform) serveTxn(c fiber.Ctx) error {
	var body txnBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	var comparisons []comparison
	for _, item := range body.Compare {
		comparisons = append(comparisons, comparison{string(item.Key), item.ModRevision})
	}
	var writes []write
	for _, item := range body.Success {
		writes = append(writes, write{string(item.Put.Key), item.Put.Value})
	}
	succeeded, revision := p.store.commit(comparisons, writes)
	if p.consumeLoss() {
		return c.RequestCtx().Conn().Close()
	}
	return c.JSON(fiber.Map{"header": header(revision), "succeeded": succeeded})
}

// consumeLoss reports whether the response to the current transaction is to be lost.
func (p *Platform) consumeLoss() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.responsesToLose == 0 {
		return false
	}
	p.responsesToLose--
	return true
}

// watchBody is the body of a watch request.
type watchBody struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

// serveWatch streams changes as JSON messages until the client disconnects or an outage
// starts.
func (p *Platform) serveWatch(c fiber.Ctx) error {
	var body watchBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return c.SendStatus(fiber.StatusBadRequest)
	}
	p.mutex.Lock()
	outage := p.outageStarted
	p.mutex.Unlock()
	c.RequestCtx().SetBodyStreamWriter(fasthttp.StreamWriter(func(writer *bufio.Writer) {
		p.streamChanges(writer, body, outage)
	}))
	return nil
}

// watchHeartbeatInterval is the longest time between two messages of a watch.
const watchHeartbeatInterval = time.Second

func (p *Platform) streamChanges(writer *bufio.Writer, body watchBody, outage <-chan struct{}) {
	encoder := json.NewEncoder(writer)
	next := body.Create.StartRevision
	for {
		values, revision, changed := p.store.changesSince(next, string(body.Create.Key), string(body.Create.RangeEnd))
		next = revision + 1
		events := []fiber.Map{}
		for _, value := range values {
			events = append(events, fiber.Map{"kv": value})
		}
		message := fiber.Map{"result": fiber.Map{"header": header(revision), "events": events}}
		if err := encoder.Encode(message); err != nil || writer.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-outage:
			return
		case <-time.After(watchHeartbeatInterval):
		}
	}
}
