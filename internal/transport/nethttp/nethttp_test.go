package nethttp

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Drain completes running requests and requests that arrive in the grace period, and
// afterwards no connections are accepted.
func TestDrainServesAcceptedRequests(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	server, err := Start(context.Background(), "127.0.0.1:0", http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		_, _ = io.WriteString(writer, "ok")
	}), RequestLimits{})
	is.NoErr(err)
	t.Cleanup(server.Close)
	bodies := make(chan string, 2)
	sendRequest := func() {
		response, err := http.Get("http://" + server.Address())
		if err != nil {
			bodies <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		bodies <- string(body)
	}
	go sendRequest()
	<-entered
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(context.Background(), 300*time.Millisecond) }()
	go sendRequest()
	<-entered
	close(release)
	is.Equal(<-bodies, "ok")
	is.Equal(<-bodies, "ok")
	is.NoErr(<-drained)
	_, err = http.Get("http://" + server.Address())
	is.True(err != nil)
}

// Drain returns an error when its context ends.
func TestDrainStopsWhenContextEnds(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	server, err := Start(context.Background(), "127.0.0.1:0", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}), RequestLimits{})
	is.NoErr(err)
	t.Cleanup(server.Close)
	defer close(release)
	go func() {
		if response, err := http.Get("http://" + server.Address()); err == nil {
			_ = response.Body.Close()
		}
	}()
	<-entered
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(server.Drain(ctx, time.Hour) != nil)
}
