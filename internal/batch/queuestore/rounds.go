package queuestore

import (
	"context"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

// confirmations batches leadership confirmations of a shard, so that one quorum round serves
// all callers within confirmationDelay. A round that begins after a decision proves that
// the replica led when it made the decision.
type confirmations struct {
	mutex sync.Mutex
	next  *confirmation
}

// confirmation is one round, either pending or in progress.
type confirmation struct {
	done chan struct{}
	err  error
}

const (
	// confirmationDelay is how long callers are collected before a round begins. It adds
	// to the latency of each request for credits, so it must not exceed a round trip
	// between zones.
	confirmationDelay = 2 * time.Millisecond
	// confirmationTimeout bounds one round.
	confirmationTimeout = 500 * time.Millisecond
)

// confirmBatched confirms that this replica leads, sharing one round with concurrent
// callers.
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

// join returns the pending round. If there is none, it creates one and runs it after
// confirmationDelay.
func (c *confirmations) join(run func(*confirmation)) *confirmation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next == nil {
		round := &confirmation{done: make(chan struct{})}
		c.next = round
		time.AfterFunc(confirmationDelay, func() {
			c.mutex.Lock()
			c.next = nil // later decisions need a new round
			c.mutex.Unlock()
			run(round)
		})
	}
	return c.next
}
