package queuestore

import (
	"context"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

// confirmations batches the leadership confirmations of a shard: all callers that arrive within
// confirmationDelay share one quorum round. A successful round that begins after a decision
// proves that the replica led when it made the decision.
type confirmations struct {
	mutex sync.Mutex
	// pending is the round that has not begun yet, or nil.
	pending *confirmation
}

// confirmation is one round.
type confirmation struct {
	// done is closed when the round has ended. err is set before and is nil if the
	// leadership was confirmed.
	done chan struct{}
	err  error
}

const (
	// confirmationDelay is the time from the arrival of a round's first caller to the
	// beginning of the round. It adds to the latency of each request for credits, so it
	// must not exceed a round trip between zones.
	confirmationDelay = 2 * time.Millisecond
	// confirmationTimeout bounds one round.
	confirmationTimeout = 500 * time.Millisecond
)

// confirmBatched confirms that this replica leads, sharing one round with concurrent callers.
// Any goroutine but the shard's own may call it.
func (s *shard) confirmBatched(ctx context.Context) error {
	joined := s.confirmations.join(func(round *confirmation) {
		ctx, cancel := context.WithTimeout(s.node.context, confirmationTimeout)
		defer cancel()
		round.err = s.Confirm(ctx)
		close(round.done)
	})
	select {
	case <-joined.done:
		return joined.err
	case <-ctx.Done():
		return result.New(result.StoreUnavailable, "shard %d: leadership is not confirmed", s.ID)
	}
}

// join returns the pending round. If there is none, it creates one and calls run for it after
// confirmationDelay.
func (c *confirmations) join(run func(*confirmation)) *confirmation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == nil {
		round := &confirmation{done: make(chan struct{})}
		c.pending = round
		time.AfterFunc(confirmationDelay, func() {
			c.mutex.Lock()
			c.pending = nil // later decisions need a new round
			c.mutex.Unlock()
			run(round)
		})
	}
	return c.pending
}
