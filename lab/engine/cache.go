package engine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
)

// cacheEvent tells that a block entered or left the prefix cache.
type cacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
	at       time.Time
}

const keptEvents = 4096

// cacheEvents answers events after a sequence number. They are published late
// by EventLag, and a share of them, EventLoss, never: gaps show in the numbers.
func (e *Engine) cacheEvents(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("after", "0"), 10, 64)
	if err != nil {
		return refuse(c, fiber.StatusBadRequest, "after is not a number")
	}
	steps, _ := e.current()
	steps.mutex.Lock()
	added, evicted := steps.cache.drain()
	steps.mutex.Unlock()

	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.recordEvents("stored", added)
	e.recordEvents("removed", evicted)
	cutoff := time.Now().Add(-e.parameters.EventLag)
	visible := []cacheEvent{}
	for _, event := range e.events {
		if event.Sequence > after && event.at.Before(cutoff) {
			visible = append(visible, event)
		}
	}
	return c.JSON(fiber.Map{"events": visible})
}

func (e *Engine) recordEvents(kind string, blocks []uint64) {
	for _, block := range blocks {
		e.eventNext++
		if e.random.Float64() < e.parameters.EventLoss {
			continue
		}
		e.events = append(e.events, cacheEvent{e.eventNext, kind, fmt.Sprintf("%016x", block), time.Now()})
	}
	if excess := len(e.events) - keptEvents; excess > 0 {
		e.events = e.events[excess:]
	}
}

// kvState is the exported KV cache of a stream: here, how far it is prefilled.
type kvState struct {
	Stream    string `json:"stream"`
	Prefilled int    `json:"prefilled"`
}

func (e *Engine) exportKV(c fiber.Ctx) error {
	steps, _ := e.current()
	source := steps.find(c.Params("id"))
	if source == nil {
		return refuse(c, fiber.StatusNotFound, "no such stream")
	}
	_, produced, _ := source.view()
	return c.JSON(kvState{Stream: source.id, Prefilled: source.prompt.Tokens + produced - source.first})
}

// importKV stores a stream's exported state; a generation that names it in
// X-KV-Import skips that much prefill.
func (e *Engine) importKV(c fiber.Ctx) error {
	var state kvState
	if err := json.Unmarshal(c.Body(), &state); err != nil {
		return refuse(c, fiber.StatusBadRequest, "body is not an exported state")
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.imported[c.Params("id")] = state.Prefilled
	return c.JSON(fiber.Map{"imported": state.Prefilled})
}

func (e *Engine) takeImported(id string) int {
	if id == "" {
		return 0
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	tokens := e.imported[id]
	delete(e.imported, id)
	return tokens
}
