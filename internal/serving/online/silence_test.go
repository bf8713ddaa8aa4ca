package online

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// After an attempt on a connection that has gone silent, the request must not be sent over an
// idle connection to another runner: it may be silent too, and would use up the attempts.
func TestRetryAfterSilenceUsesNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var newConnections []bool
		runners := &fakeRunners{}
		client := clientFunc(func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
			newConnections = append(newConnections, call.NewConnection)
			if len(newConnections) == 1 {
				<-ctx.Done()
				return nil, &exchange.OutcomeUnknownError{Cause: ctx.Err()}
			}
			return runners.Do(ctx, call)
		})
		route := routeOf(catalog.Streaming, true, 2)
		route.Target = time.Second
		caller, err := serveWith(client, route, 3)
		is.NoErr(err)
		is.Equal(caller.body.String(), wholeStream())
		is.Equal(newConnections, []bool{false, true})
	})
}

// Other retries may use idle connections, since new connections are costly for runners.
func TestRetryAfterLossUsesIdleConnection(t *testing.T) {
	is := is.New(t)
	var newConnections []bool
	runners := &fakeRunners{outcomes: []outcome{outcomeBreaks, outcomeServes}}
	client := clientFunc(func(ctx context.Context, call *exchange.Call) (*exchange.Response, error) {
		newConnections = append(newConnections, call.NewConnection)
		return runners.Do(ctx, call)
	})
	_, err := serveWith(client, routeOf(catalog.Streaming, true, 2), 3)
	is.NoErr(err)
	is.Equal(newConnections, []bool{false, false})
}
