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
	// to the latency of each request for credits, so it is no longer than a round trip
	// between zones.
	confirmationDelay = 2 * time.Millisecond
	// confirmationTimeout bounds one round.
	confirmationTimeout = 500 * time.Millisecond
)

// confirmBatched confirms that this replica leads, sharing one round with concurrent
// callers.
func (s *shard) confirmBatched(ctx context.Context) error {
	joined := s.confirmations.join(func(begun *confirmation) {
		ctx, cancel := context.WithTimeout(s.node.context, confirmationTimeout)
		defer cancel()
		begun.err = s.Confirm(ctx)
		close(begun.done)
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
func (r *confirmations) join(run func(*confirmation)) *confirmation {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.next == nil {
		begun := &confirmation{done: make(chan struct{})}
		r.next = begun
		time.AfterFunc(confirmationDelay, func() {
			r.mutex.Lock()
			r.next = nil // later decisions need a new round
			r.mutex.Unlock()
			run(begun)
		})
	}
	return r.next
}
