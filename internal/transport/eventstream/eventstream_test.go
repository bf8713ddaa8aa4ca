package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/membudget"
)

func TestDecodeEvents(t *testing.T) {
	is := is.New(t)
	text := "id: 1\ndata: a\ndata: b\n\nversion: 3\nid:2\r\ndata:c\r\n\r\n"
	decoder := NewDecoder(iotest.OneByteReader(strings.NewReader(text)), Limits{})
	first, err := decoder.Next()
	is.NoErr(err)
	is.Equal(string(first.Raw), "id: 1\ndata: a\ndata: b\n\n")
	is.Equal(string(first.Data), "a\nb")
	is.Equal(first.ID, int64(1))
	second, err := decoder.Next()
	is.NoErr(err)
	is.Equal(second.ID, int64(2))
	is.Equal(string(second.Data), "c")
	_, err = decoder.Next()
	is.True(errors.Is(err, io.EOF))
}

// A stream that ends within an event is reported as truncated, not as ended.
func TestStreamEndingWithinEvent(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"id: 1", "id: 1\n", "id: 1\ndata: x\n"} {
		_, err := NewDecoder(strings.NewReader(text), Limits{}).Next()
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
}

func TestInvalidEvents(t *testing.T) {
	is := is.New(t)
	var broken *BrokenError
	_, err := NewDecoder(strings.NewReader("id: x\n\n"), Limits{}).Next()
	is.True(errors.As(err, &broken))
	_, err = NewDecoder(strings.NewReader("data: "+strings.Repeat("x", MaxEventBytes)+"\n\n"), Limits{}).Next()
	is.True(errors.As(err, &broken))
}

// For any input, the raw bytes of the decoded events are a prefix of the input.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("\n\nid:\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		decoder := NewDecoder(bytes.NewReader(text), Limits{})
		var seen []byte
		for {
			event, err := decoder.Next()
			if err != nil {
				break
			}
			seen = append(seen, event.Raw...)
		}
		if !bytes.HasPrefix(text, seen) {
			t.Fatalf("%q is not a prefix of %q", seen, text)
		}
	})
}

// TestEventBeyondItsLimitsIsBroken guards against events without end that occupy the memory of a node: an
// event is broken once it exceeds its own limit, or what all responses together may hold.
func TestEventBeyondItsLimitsIsBroken(t *testing.T) {
	event := "id: 1\ndata: " + strings.Repeat("x", 30<<10) + "\n\n"
	budget := membudget.New(90 << 10)
	other := budget.Reserve()
	for _, test := range []struct {
		name   string
		limits Limits
		others int
		broken bool
	}{
		{name: "within both", limits: Limits{EventBytes: 40 << 10, Memory: budget.Reserve()}},
		{name: "beyond its own limit", limits: Limits{EventBytes: 20 << 10, Memory: budget.Reserve()}, broken: true},
		{name: "beyond the memory that others leave", limits: Limits{Memory: budget.Reserve()}, others: 80 << 10, broken: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			defer test.limits.Memory.Release()
			defer other.Release()
			is.NoErr(other.GrowTo(test.others))
			decoded, err := NewDecoder(strings.NewReader(event), test.limits).Next()
			is.Equal(errors.As(err, new(*BrokenError)), test.broken)
			is.True(test.broken || string(decoded.Raw) == event)
		})
	}
}
