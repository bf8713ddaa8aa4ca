// Package notify coalesces what a node reports to other nodes: reports that come
// together leave in one notice a node. Notices are one-way messages, which may be
// lost; who sends them has to repeat, or bear the loss.
//
// It owns when notices are sent. What is in them and who receives them belongs to
// its users: loadshare (requests at runners) and quarantine (requests that crash
// runners). It relies on package rpc for the links. The edge, the storage node and
// the plain node run it.
package notify

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// NodeDirectory knows the nodes.
type NodeDirectory interface {
	Self() *wirev1.NodeRecord
	Records() []*wirev1.NodeRecord
}

// NoticeSender sends one-way messages, which may be lost. It does not block.
type NoticeSender interface {
	NotifyAll(addresses []string, class rpc.Class, method wirev1.Method, message proto.Message)
}

// Schedule says when a Batcher does what.
type Schedule struct {
	// Delay is how long reports are coalesced, from the first one; 0 is not at all.
	Delay time.Duration
	// Flush sends what is pending. Reports that come while it runs make another one.
	Flush func(ctx context.Context)
	// RepeatInterval is how often Repeat is called, whatever is pending; 0 is never.
	RepeatInterval time.Duration
	// Repeat sends again what still holds. It never runs beside Flush.
	Repeat func(now time.Time)
}

// Batcher calls Flush a delay after something began to be pending.
type Batcher struct {
	schedule Schedule
	// due is signalled when something begins to be pending.
	due chan struct{}
}

// NewBatcher returns a batcher with nothing pending.
func NewBatcher(schedule Schedule) *Batcher {
	return &Batcher{schedule: schedule, due: make(chan struct{}, 1)}
}

// Trigger says that there is something to flush. It does not block.
func (b *Batcher) Trigger() {
	select {
	case b.due <- struct{}{}:
	default: // it is signalled already
	}
}

// Run flushes and repeats until the context ends.
func (b *Batcher) Run(ctx context.Context) {
	var repeat <-chan time.Time // nil: never
	if b.schedule.RepeatInterval > 0 {
		ticker := time.NewTicker(b.schedule.RepeatInterval)
		defer ticker.Stop()
		repeat = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-repeat:
			b.schedule.Repeat(time.Now())
			continue
		case <-b.due:
		}
		if !b.delay(ctx) {
			return
		}
		b.schedule.Flush(ctx)
	}
}

// delay waits while reports are coalesced. It reports false if the context ended.
func (b *Batcher) delay(ctx context.Context) bool {
	if b.schedule.Delay == 0 {
		return true
	}
	timer := time.NewTimer(b.schedule.Delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
