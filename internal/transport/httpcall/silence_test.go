package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/lab/silence"
)

// addIdle adds an idle connection to a client, unused since a time before now, and returns it.
func addIdle(c *Client, key string, idleFor time.Duration, now time.Time) *conn {
	own, _ := net.Pipe()
	connection := &conn{Conn: own, key: key, idleSince: now.Add(-idleFor), idleLimit: idleTimeout}
	c.idle[key] = append(c.idle[key], connection)
	return connection
}

// abandon records that the caller ends an exchange in which the server has been silent.
func abandon(c *Client, key string, silent time.Duration, now time.Time) {
	connection := &conn{key: key, exchangeBegan: now.Add(-silent)}
	c.recordAbandoned(connection, now)
}

// The idle connections that were not used since a server went silent must not be used again.
func TestIdleConnectionsToSilentServerAreClosed(t *testing.T) {
	is := is.New(t)
	c, now := NewClient(nil), time.Now()
	addIdle(c, "a", 5*time.Second, now)
	used := addIdle(c, "a", time.Second, now)
	other := addIdle(c, "b", 5*time.Second, now)
	abandon(c, "a", minSilence/2, now) // callers often end exchanges early
	is.Equal(len(c.idle["a"]), 2)
	abandon(c, "a", 2*time.Second, now)
	is.Equal(c.idle["a"], []*conn{used})
	is.Equal(c.idle["b"], []*conn{other})
}

// If two servers go silent at about the same time, the network has lost connections, and the
// idle connections to other servers must not be used either.
func TestSilenceOfTwoServersConcernsAll(t *testing.T) {
	is := is.New(t)
	c, now := NewClient(nil), time.Now()
	addIdle(c, "c", 10*time.Second, now)
	abandon(c, "a", 2*time.Second, now)
	abandon(c, "a", 2*time.Second, now.Add(time.Second))
	is.Equal(len(c.idle["c"]), 1) // the same server again
	abandon(c, "b", 2*time.Second, now.Add(time.Second+2*outageWindow))
	is.Equal(len(c.idle["c"]), 1) // long after the other silence
	used := addIdle(c, "d", 0, now.Add(2*outageWindow+time.Second))
	abandon(c, "a", 2*time.Second, now.Add(2*outageWindow+2*time.Second))
	is.Equal(len(c.idle["c"]), 0)
	is.Equal(c.idle["d"], []*conn{used})
}

// After one exchange on a connection that has gone silent, the next one must succeed although
// there are other silent connections in the pool.
func TestOneExchangeIsLostToSilentConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "ok")
	}))
	_ = server.Listener.Close() // replaced by one whose connections can be made silent
	silenceable := silence.Wrap(listener)
	server.Listener = silenceable
	server.Start()
	defer server.Close()
	client, request := NewClient(nil), &Request{Method: "GET", URL: server.URL + "/"}
	var responses []*Response
	for range 4 {
		response, err := client.Do(context.Background(), request)
		is.NoErr(err)
		responses = append(responses, response)
	}
	for _, response := range responses {
		_, err := response.ReadAll(10)
		is.NoErr(err)
	}
	is.Equal(silenceable.Silence(), 4)
	ctx, cancel := context.WithTimeout(context.Background(), minSilence+50*time.Millisecond)
	defer cancel()
	_, err = client.Do(ctx, request)
	is.True(err != nil)
	ctx, cancel = context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	response, err := client.Do(ctx, request)
	is.NoErr(err)
	body, err := response.ReadAll(10)
	is.NoErr(err)
	is.Equal(string(body), "ok")
}
