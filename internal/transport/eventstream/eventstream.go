// Package eventstream decodes server-sent events (text/event-stream, WHATWG HTML
// section 9.2), whose lines end with a line feed or with a carriage return and a line feed.
// It returns only complete events, and ignores fields other than id and data. Edges and
// storage nodes decode the responses of runners with it.
package eventstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"cobaltramp.example/cobaltramp/internal/app/membudget"
)

// StreamEvent is one complete event.
type StreamEvent struct {
	// Raw holds the bytes of the event, including the empty line at its end. It is
	// valid until the next call of Next.
	Raw []byte
	// ID is the number in the event's last id field. HasID is false if the event has no
	// id field.
	ID    int64
	HasID bool
	// Data holds the values of the event's data fields, joined by line feeds. It is
	// valid until the next call of Next.
	Data []byte
}

// MaxEventBytes bounds the size of one event.
const MaxEventBytes = 1 << 20

// BrokenError reports an invalid event, after which the stream cannot be read further.
type BrokenError struct{ Reason string }

// Error implements error.
func (e *BrokenError) Error() string { return "event stream broken: " + e.Reason }

// Limits bound what a decoder holds.
type Limits struct {
	// EventBytes is the largest size of an event; 0 stands for MaxEventBytes.
	EventBytes int
	// Memory is what the decoder takes the memory of its events from; nil sets no limit.
	Memory *membudget.Reservation
}

// Decoder reads events from a response body.
type Decoder struct {
	source *bufio.Reader
	limits Limits
	raw    []byte
	data   []byte
}

const bufferBytes = 4 << 10

// NewDecoder returns a decoder that reads from the body within limits.
func NewDecoder(body io.Reader, limits Limits) *Decoder {
	if limits.EventBytes <= 0 {
		limits.EventBytes = MaxEventBytes
	}
	return &Decoder{source: bufio.NewReaderSize(body, bufferBytes), limits: limits}
}

// Next reads one event. It returns io.EOF if the body ends between two events,
// io.ErrUnexpectedEOF if the body ends within an event, and a *BrokenError if an event
// exceeds the limits or its id is not a decimal integer. Other errors of the body are
// returned unchanged.
func (d *Decoder) Next() (StreamEvent, error) {
	event := StreamEvent{}
	d.raw = d.raw[:0]
	d.data = d.data[:0]
	hasData := false
	for {
		line, err := d.line()
		if err != nil {
			return event, d.readError(err)
		}
		if len(line) == 0 {
			event.Raw, event.Data = d.raw, d.data
			return event, nil
		}
		name, value := splitField(line)
		switch name {
		case "id":
			id, err := strconv.ParseInt(value, 10, 64)
			if err != nil {
				return event, &BrokenError{fmt.Sprintf("event id %q is not a number", value)}
			}
			event.ID, event.HasID = id, true
		case "data":
			if hasData {
				d.data = append(d.data, '\n')
			}
			hasData = true
			d.data = append(d.data, value...)
		}
	}
}

func (d *Decoder) readError(err error) error {
	if err == io.EOF && len(d.raw) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// line reads one line, appends it to raw, and returns it without the line ending.
func (d *Decoder) line() ([]byte, error) {
	start := len(d.raw)
	for {
		part, err := d.source.ReadSlice('\n')
		if len(d.raw)+len(part) > d.limits.EventBytes {
			return nil, &BrokenError{"an event is too long"}
		}
		if err := d.reserve(len(d.raw) + len(part)); err != nil {
			return nil, &BrokenError{err.Error()}
		}
		d.raw = append(d.raw, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(d.raw[start:], "\r\n"), nil
	}
}

// copiesOfEvent is how often the memory of a decoder may hold the bytes of an event: as read, as data, and
// in what growing buffers leave behind.
const copiesOfEvent = 3

// reserve reserves the memory of an event of a size.
func (d *Decoder) reserve(size int) error {
	if d.limits.Memory == nil {
		return nil
	}
	return d.limits.Memory.GrowTo(copiesOfEvent * size)
}

func splitField(line []byte) (name, value string) {
	before, after, _ := bytes.Cut(line, []byte(":"))
	after = bytes.TrimPrefix(after, []byte(" "))
	return string(before), string(after)
}
