package engine

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

const cutStreamText = " a b"

// cutResponses are the heads and bodies of a stream of two tokens, with each kind of framing.
func cutResponses() map[string][2]string {
	body := sse(0, streamID, " a") + sse(1, streamID, " b") + "data: [DONE]\n\n"
	const id = "X-Request-Id: " + streamID + "\r\n"
	return map[string][2]string{
		"a length":   {fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", id, len(body)), body},
		"chunks":     {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
		"no length":  {"HTTP/1.1 200 OK\r\n" + id + "Connection: close\r\n\r\n", body},
		"100 before": {fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", id, len(body)), body},
	}
}

// startCuttingEngine starts an engine that sends one text as the response to each request, and ends
// the connection.
func startCuttingEngine(t *testing.T, text string, reset bool) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(connection))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(connection, text[:len(text)/2])
			_, _ = io.WriteString(connection, text[len(text)/2:])
			if tcp, isTCP := connection.(*net.TCPConn); isTCP && reset {
				_ = tcp.SetLinger(0)
			}
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against cut responses that pass as whole on plain nodes: an engine stops in the middle of its response, at
// any byte, and closes or resets. No event is read from an unfinished head, no stream is whole, and no
// request that may have run is reported as not run.
func TestResponseOfAnEngineThatStopsInTheMiddle(t *testing.T) {
	t.Parallel()
	for name, response := range cutResponses() {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " reset=", reset), func(t *testing.T) {
				t.Parallel()
				whole := response[0] + response[1]
				for cut := range strings.Index(whole, "data: [DONE]") + len("data: [DONE") {
					checkCutResponse(t, whole[:cut], cut < len(response[0]), reset)
				}
			})
		}
	}
}

// checkCutResponse starts and resumes a stream at an engine that sends a part of a response.
func checkCutResponse(t *testing.T, text string, inHead, reset bool) {
	t.Helper()
	address := startCuttingEngine(t, text, reset)
	client := NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	calls := map[string]func() (*Stream, error){
		"started": func() (*Stream, error) {
			return client.Start(ctx, address, &Request{ID: streamID, Surface: wirev1.Surface_SURFACE_CHAT, Once: true, Body: []byte(`{"model":"m"}`)})
		},
		"resumed": func() (*Stream, error) {
			return client.Resume(ctx, address, streamID, wirev1.Surface_SURFACE_CHAT, -1)
		},
	}
	for call, start := range calls {
		stream, err := start()
		read := ""
		if err == nil {
			read, err = collect(stream)
			stream.Close()
			if inHead {
				t.Errorf("%s: %q is a stream", call, text)
			}
		}
		switch {
		case err == nil:
			t.Errorf("%s: %q is a whole stream of %q", call, text, read)
		case result.CodeOf(err).Entry().Ran == result.RanNo:
			t.Errorf("%s: %q is reported as not run: %v", call, text, err)
		case !strings.HasPrefix(cutStreamText, read):
			t.Errorf("%s: %q has the events %q", call, text, read)
		}
	}
	// An order is accepted by the status; the body may end with the connection.
	if err := client.Send(ctx, address, Order{Fence: 1, Kind: "load", Model: "m"}); err == nil && inHead {
		t.Errorf("an order is accepted by %q", text)
	}
}
