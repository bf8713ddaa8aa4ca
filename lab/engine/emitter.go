package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"time"
)

// emitter writes a sequence's events to one reader. Event i carries token
// first+i; the event after the last token carries the usage.
type emitter struct {
	engine *Engine
	source *sequence
	writer *bufio.Writer
	next   int
}

// keepAlive bounds how long a vanished reader goes unseen.
const keepAlive = time.Second

func (m *emitter) run() {
	for {
		state, produced, changed := m.source.view()
		if state == phaseCancelled {
			return
		}
		if !m.catchUp(produced, state) {
			return
		}
		if state == phaseFinished {
			m.close(produced)
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAlive):
			if _, err := m.writer.WriteString(": alive\n\n"); err != nil || m.writer.Flush() != nil {
				return
			}
		}
	}
}

// catchUp writes the events of all tokens produced so far.
func (m *emitter) catchUp(produced int, state phase) bool {
	for m.source.first+m.next < produced {
		index := m.source.first + m.next
		finish := ""
		if state == phaseFinished && index == m.source.length-1 {
			finish = m.source.finishReason()
		}
		if !m.engine.disorder(m, m.next, m.tokenEvent(index, finish)) {
			return false
		}
		m.next++
	}
	return m.writer.Flush() == nil
}

func (m *emitter) write(index int, data []byte) bool {
	_, err := fmt.Fprintf(m.writer, "id: %d\ndata: %s\n\n", index, data)
	return err == nil
}

func (m *emitter) tokenEvent(index int, finish string) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	text := Token(m.source.prompt.Hash, index)
	if m.source.chat {
		choice["delta"] = map[string]any{"content": text}
	} else {
		choice["text"] = text
	}
	return m.encode(map[string]any{"choices": []any{choice}})
}

func (m *emitter) close(produced int) {
	usage := m.encode(map[string]any{"choices": []any{}, "usage": usageOf(m.source, produced)})
	tokens := produced - m.source.first
	if m.next <= tokens && !m.write(tokens, usage) {
		return
	}
	m.engine.applyLateEnd()
	if _, err := m.writer.WriteString("data: [DONE]\n\n"); err != nil {
		return
	}
	if m.writer.Flush() == nil {
		m.engine.ledger.finished(m.source.prompt.Hash, m.source.id)
	}
}

func (m *emitter) encode(event map[string]any) []byte {
	event["id"] = m.source.id
	event["model"] = m.source.model
	event["object"] = "chat.completion.chunk"
	if !m.source.chat {
		event["object"] = "text_completion"
	}
	encoded, err := json.Marshal(event)
	if err != nil {
		return []byte("{}")
	}
	return encoded
}
