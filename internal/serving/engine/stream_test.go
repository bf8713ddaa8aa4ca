package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

const streamID = "req-1"

func sse(index int, id, text string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", index, id, text)
}

// serveResponse serves one response and returns the stream that reads it.
func serveResponse(t interface{ Fatalf(string, ...any) }, body string) (*Stream, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		_ = conn.Close()
	}()
	client := NewClient()
	stream, err := client.Start(context.Background(), listener.Addr().String(), &Request{ID: streamID, Surface: wirev1.Surface_SURFACE_CHAT, Body: []byte(`{"model":"m"}`)})
	if err != nil {
		t.Fatalf("start: %v", err)
	}
	return stream, func() { stream.Close(); client.Close(); _ = listener.Close() }
}

func collect(stream *Stream) (string, error) {
	text := ""
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += event.Text
	}
}

// A stream with repeated, reordered and foreign events is read completely and in
// order, and a truncated stream is an error.
func TestStreamIsCompleteOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "tokens")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var events []string
		want := ""
		for i := range count {
			token := fmt.Sprintf(" t%d", i)
			want += token
			events = append(events, sse(i, streamID, token))
			if random.IntN(3) == 0 {
				events = append(events, sse(i, streamID, token)) // twice
			}
			if random.IntN(3) == 0 {
				events = append(events, sse(i, "someone-else", " wrong"))
			}
		}
		for i := range events {
			j := i + random.IntN(min(4, len(events)-i)) // out of order
			events[i], events[j] = events[j], events[i]
		}
		cut := rapid.Bool().Draw(t, "cut")
		if cut {
			events = events[:random.IntN(len(events))]
		} else {
			events = append(events, "data: [DONE]\n\n")
		}
		stream, closeAll := serveResponse(t, strings.Join(events, ""))
		defer closeAll()
		text, err := collect(stream)
		if cut && result.CodeOf(err) != result.RunnerLost {
			t.Fatalf("a truncated response ended with %v", err)
		}
		if !cut && (err != nil || text != want) {
			t.Fatalf("got %q and %v, want %q", text, err, want)
		}
		if !strings.HasPrefix(want, text) {
			t.Fatalf("emitted %q, which is not a prefix of %q", text, want)
		}
	})
}

// A missing event is an error even if the end of the stream was received.
func TestMissingEventIsAnError(t *testing.T) {
	is := is.New(t)
	stream, closeAll := serveResponse(t, sse(0, streamID, " a")+sse(2, streamID, " c")+"data: [DONE]\n\n")
	defer closeAll()
	text, err := collect(stream)
	is.Equal(text, " a")
	is.Equal(result.CodeOf(err), result.RunnerLost)
}

func TestContinuationRequestsRemainingTokens(t *testing.T) {
	is := is.New(t)
	request := &Request{Surface: wirev1.Surface_SURFACE_CHAT, Body: []byte(`{"model":"m","max_tokens":10,"messages":[{"role":"user","content":"q"}]}`), Received: " a b", ReceivedTokens: 2}
	body, err := streamBody(request)
	is.NoErr(err)
	is.Equal(gjson.GetBytes(body, "max_tokens").Int(), int64(8))
	is.Equal(gjson.GetBytes(body, "messages.1.role").String(), "assistant")
	is.Equal(gjson.GetBytes(body, "messages.1.content").String(), " a b")
	is.True(gjson.GetBytes(body, "continue_final_message").Bool())
	is.True(gjson.GetBytes(body, "stream").Bool())
}

func BenchmarkDecodeEvent(b *testing.B) {
	data := []byte(`{"id":"req-1","model":"m","object":"chat.completion.chunk","choices":[{"index":0,"finish_reason":null,"delta":{"content":" q1234"}}]}`)
	b.ReportAllocs()
	for b.Loop() {
		decodeEvent(1, gjson.ParseBytes(data), wirev1.Surface_SURFACE_CHAT)
	}
}

// Guards against an engine whose bytes do not end: they must not be read on, or kept, for ever.
func TestStreamWithoutEndIsLost(t *testing.T) {
	for name, part := range map[string]string{
		"a line":                   "x",
		"blank lines":              "\n",
		"end markers":              "data: [DONE]\n\n",
		"an event of two requests": sse(0, "another", "x"),
	} {
		t.Run(name, func(t *testing.T) {
			stream, end := serveResponse(t, strings.Repeat(part, 1+4*maxEventBytes/len(part)))
			defer end()
			for {
				_, err := stream.Next()
				if err == nil {
					continue
				}
				is.New(t).True(result.Is(err, result.RunnerLost))
				return
			}
		})
	}
}
