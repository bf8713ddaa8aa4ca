package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"time"
)

// eventWriter writes the server-sent events of a sequence to one reader. Event i
// carries token first+i; the event after the last token carries the usage.
type eventWriter struct {
	engine *Engine
	source *sequence
	writer *bufio.Writer
	next   int // index of the next event to write
}

// keepAliveInterval is the time between comments on an idle stream; writing one
// detects a disconnected reader.
const keepAliveInterval = time.Second

// run writes events until the sequence ends or the reader disconnects.
func (w *eventWriter) run() {
	for {
		state, produced, changed := w.source.snapshot()
		if state == phaseCancelled {
			return
		}
		if !w.writeProduced(produced, state) {
			return
		}
		if state == phaseFinished {
			w.writeEnd(produced)
			return
		}
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
			if _, err := w.writer.WriteString(": alive\n\n"); err != nil || w.writer.Flush() != nil {
				return
			}
		}
	}
}

// writeProduced writes the events of all tokens produced so far. It reports false
// if the reader has disconnected.
func (w *eventWriter) writeProduced(produced int, state phase) bool {
	for w.source.first+w.next < produced {
		index := w.source.first + w.next
		finish := ""
		if state == phaseFinished && index == w.source.length-1 {
			finish = w.source.finishReason()
		}
		if !w.engine.emit(w, w.next, w.tokenEvent(index, finish)) {
			return false
		}
		w.next++
	}
	return w.writer.Flush() == nil
}

func (w *eventWriter) writeEvent(index int, data []byte) bool {
	_, err := fmt.Fprintf(w.writer, "id: %d\ndata: %s\n\n", index, data)
	return err == nil
}

func (w *eventWriter) tokenEvent(index int, finish string) []byte {
	choice := map[string]any{"index": 0, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	text := Token(w.source.prompt.Hash, index)
	if w.source.chat {
		choice["delta"] = map[string]any{"content": text}
	} else {
		choice["text"] = text
	}
	return w.encode(map[string]any{"choices": []any{choice}})
}

// writeEnd writes the usage and the end marker of the stream.
func (w *eventWriter) writeEnd(produced int) {
	usage := w.encode(map[string]any{"choices": []any{}, "usage": usageOf(w.source, produced)})
	tokens := produced - w.source.first
	if w.next <= tokens && !w.writeEvent(tokens, usage) {
		return
	}
	w.engine.delayEnd()
	if _, err := w.writer.WriteString("data: [DONE]\n\n"); err != nil {
		return
	}
	if w.writer.Flush() == nil {
		w.engine.ledger.finished(w.source.prompt.Hash, w.source.id)
	}
}

func (w *eventWriter) encode(event map[string]any) []byte {
	event["id"] = w.source.id
	event["model"] = w.source.model
	event["object"] = "chat.completion.chunk"
	if !w.source.chat {
		event["object"] = "text_completion"
	}
	encoded, err := json.Marshal(event)
	if err != nil {
		return []byte("{}")
	}
	return encoded
}
