package etcdgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/cluster/ports"
)

// A watch must end if its connection has gone silent after some changes. Otherwise the node
// never learns of later changes.
func TestSilentWatchEnds(t *testing.T) {
	is := is.New(t)
	testEnded := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(writer, `{"result":{"events":[{"kv":{"key":"aw==","mod_revision":"7"}}]}}`+"\n")
		writer.(http.Flusher).Flush()
		<-testEnded
	}))
	defer server.Close()
	defer close(testEnded)
	client := NewClient(server.URL, 100)
	client.watchSilence = 300 * time.Millisecond
	var received []ports.WatchEvent
	err := client.Watch(context.Background(), "k", 6, func(event ports.WatchEvent) { received = append(received, event) })
	is.True(errors.Is(err, ports.ErrUnavailable))
	is.Equal(len(received), 1)
}
