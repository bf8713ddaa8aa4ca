package queuerun

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// pacedBody is a response body that produces events at a fixed interval.
type pacedBody struct {
	every  time.Duration
	events int64
	given  int64
}

// Read implements io.Reader.
func (b *pacedBody) Read(buffer []byte) (int, error) {
	if b.given == b.events {
		return 0, io.EOF
	}
	time.Sleep(b.every)
	b.given++
	return copy(buffer, fmt.Sprintf("id: %d\ndata: x\n\n", b.given)), nil
}

// Close implements io.Closer.
func (*pacedBody) Close() error { return nil }

// A run saves its output often enough that the loss of the leader repeats few events.
func TestSavesBoundRepeatedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := &pacedBody{every: 25 * time.Millisecond, events: 240}
		executor := newExecutor(t, &scriptedClient{respond: func(context.Context, *exchange.Call) (*exchange.Response, error) {
			return &exchange.Response{Status: 200, Length: -1, Body: body}, nil
		}})
		var mutex sync.Mutex
		var saved []int64
		work := workOf(queue.ItemOutput{})
		work.Save = func(output queue.ItemOutput) {
			mutex.Lock()
			defer mutex.Unlock()
			saved = append(saved, output.LastEventID)
		}
		outcome := runOnce(t, executor, work)
		is.True(outcome.Done)
		executor.Wait()        // waits for the last saves
		const maxRepeated = 20 // events, produced in half a second
		last := int64(0)
		for _, event := range append(saved, body.events) {
			is.True(event-last <= maxRepeated)
			last = event
		}
	})
}
