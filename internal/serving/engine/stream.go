package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/httpcall"
)

// Event is one event of a response: a part of the text, or the closing event.
type Event struct {
	// Index is the event's position in the stream, from 0, without gaps.
	Index int
	Text  string
	// FinishReason is why the generation ended, for example "stop"; empty for all events
	// but the last of the text.
	FinishReason string
	// Usage is set on the closing event; nil on the others.
	Usage *Usage
}

// Usage is the number of tokens that a generation used.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// maxReorderDistance is the maximum distance between the index of a buffered event and the
// next index. An event further ahead ends the stream with RunnerLost.
const maxReorderDistance = 256

const (
	streamBufferBytes = 16 << 10
	// maxEventBytes is the largest size of an event, with the blank lines before it.
	maxEventBytes = 1 << 20
	// maxDroppedEvents is the number of repeated events and events of other requests after which a
	// stream counts as lost.
	maxDroppedEvents = 4096
)

// Stream reads the events of one generation in the order of their indexes. It drops
// repeated events and events of other requests, and buffers events that arrive early. It
// is not safe for concurrent use.
type Stream struct {
	// Repeated and Foreign count the dropped events: repeated events, and events of other
	// requests.
	Repeated, Foreign int

	response     *httpcall.Response
	reader       *bufio.Reader
	id           string
	surface      wirev1.Surface
	nextIndex    int           // of the event that Next returns next
	buffered     map[int]Event // by index
	doneReceived bool          // the end marker was received
	ended        bool          // the connection ended after the end marker
}

func newStream(response *httpcall.Response, id string, surface wirev1.Surface, next int) *Stream {
	return &Stream{
		response: response, reader: bufio.NewReaderSize(response, streamBufferBytes),
		id: id, surface: surface, nextIndex: next, buffered: map[int]Event{},
	}
}

// Close closes the connection of the stream. It does not stop the generation at the
// engine; Client.Cancel does.
func (s *Stream) Close() { s.response.Close() }

// Next returns the next event. It returns io.EOF after the last event of a complete
// response, EngineFailed if the engine reports an error, and RunnerLost if the connection
// breaks or events are missing.
func (s *Stream) Next() (Event, error) {
	for {
		if event, found := s.buffered[s.nextIndex]; found {
			delete(s.buffered, s.nextIndex)
			s.nextIndex++
			return event, nil
		}
		if s.ended {
			return Event{}, s.endError()
		}
		if err := s.readEvent(); err != nil {
			return Event{}, err
		}
	}
}

// endError returns the result of Next after the end of the stream.
func (s *Stream) endError() error {
	if len(s.buffered) > 0 {
		return result.New(result.RunnerLost, "stream %s ended without event %d", s.id, s.nextIndex)
	}
	return io.EOF
}

var (
	dataPrefix = []byte("data:")
	idPrefix   = []byte("id:")
	doneMarker = []byte("[DONE]")
)

// readEvent reads one server-sent event and stores it by its index. An event without an id
// gets the next index.
func (s *Stream) readEvent() error {
	index, size := -1, 0
	var data []byte
	for {
		line, err := s.readLine(maxEventBytes - size)
		if err != nil {
			return s.readError(err)
		}
		size += len(line)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if data == nil {
				continue
			}
			return s.storeEvent(index, data)
		}
		if rest, ok := bytes.CutPrefix(line, dataPrefix); ok {
			data = append(data, bytes.TrimSpace(rest)...)
		}
		if rest, ok := bytes.CutPrefix(line, idPrefix); ok {
			if parsed, err := strconv.Atoi(string(bytes.TrimSpace(rest))); err == nil {
				index = parsed
			}
		}
	}
}

// errEventTooLong means that the engine sent more than maxEventBytes for an event.
var errEventTooLong = errors.New("an event is too long")

// readLine reads one line with its end, of at most limit bytes.
func (s *Stream) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit {
			return nil, errEventTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// readError handles an error of the connection. The end of the connection is no error if
// the end marker was received.
func (s *Stream) readError(err error) error {
	if s.doneReceived && errors.Is(err, io.EOF) {
		s.ended = true
		return nil
	}
	return result.New(result.RunnerLost, "stream %s broke after %d events: %v", s.id, s.nextIndex, err)
}

// storeEvent handles the data of a server-sent event: it buffers an event of this request
// that is not a repetition. An index below 0 stands for the next index.
func (s *Stream) storeEvent(index int, data []byte) error {
	if s.Repeated+s.Foreign > maxDroppedEvents {
		return result.New(result.RunnerLost, "stream %s has too many events of other requests or repeated ones", s.id)
	}
	if bytes.Equal(data, doneMarker) {
		if s.doneReceived {
			s.Repeated++
		}
		s.doneReceived = true
		return nil
	}
	parsed := gjson.ParseBytes(data)
	if message := parsed.Get("error.message"); message.Exists() {
		return result.New(result.EngineFailed, "%s", message.String())
	}
	if id := parsed.Get("id").String(); id != s.id {
		s.Foreign++
		return nil
	}
	if index < 0 {
		index = s.nextIndex
	}
	if _, duplicate := s.buffered[index]; duplicate || index < s.nextIndex {
		s.Repeated++
		return nil
	}
	if index > s.nextIndex+maxReorderDistance {
		return result.New(result.RunnerLost, "stream %s skipped from event %d to %d", s.id, s.nextIndex, index)
	}
	s.buffered[index] = decodeEvent(index, parsed, s.surface)
	return nil
}

func decodeEvent(index int, parsed gjson.Result, surface wirev1.Surface) Event {
	event := Event{Index: index}
	textPath := "choices.0.text"
	if surface == wirev1.Surface_SURFACE_CHAT {
		textPath = "choices.0.delta.content"
	}
	event.Text = parsed.Get(textPath).String()
	event.FinishReason = parsed.Get("choices.0.finish_reason").String()
	if usage := parsed.Get("usage"); usage.IsObject() {
		event.Usage = &Usage{
			PromptTokens:     int(usage.Get("prompt_tokens").Int()),
			CompletionTokens: int(usage.Get("completion_tokens").Int()),
		}
	}
	return event
}
