// Package notify coalesces the reports that a node sends to other nodes: the reports of a
// short interval are sent together, in one notice to each node. Notices are one-way
// messages and may be lost. The sender has to repeat them or accept the loss.
//
// The package owns the times at which notices are sent. Its users own their contents and
// receivers: package loadshare (requests at runners) and package quarantine (requests
// that crash runners). It relies on package rpc for the connections. It runs on edges,
// storage nodes and plain nodes.
package notify

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// NodeDirectory returns the records of this node and of all nodes that it knows.
type NodeDirectory interface {
	Self() *wirev1.NodeRecord
	Records() []*wirev1.NodeRecord
}

// NoticeSender sends one-way messages, which may be lost. It does not block.
type NoticeSender interface {
	// NotifyAll sends a message to each address.
	NotifyAll(addresses []string, class rpc.Class, method wirev1.Method, message proto.Message)
}

// Schedule configures a Batcher.
type Schedule struct {
	// Delay is how long reports are coalesced after the first report. With 0 they are not
	// coalesced, and Flush is called at once.
	Delay time.Duration
	// Flush sends the pending reports. A report that arrives while Flush runs causes
	// another call.
	Flush func(ctx context.Context)
	// RepeatInterval is the interval between calls of Repeat, whether or not reports are
	// pending. With 0 Repeat is never called.
	RepeatInterval time.Duration
	// Repeat sends again the reports that are still valid. It never runs concurrently
	// with Flush.
	Repeat func(now time.Time)
}

// Batcher calls Schedule.Flush when Schedule.Delay has passed after the first pending
// report, and Schedule.Repeat at regular intervals. It does not hold the reports.
type Batcher struct {
	schedule Schedule
	// due receives a signal when a report becomes pending.
	due chan struct{}
}

// NewBatcher returns a batcher without pending reports.
func NewBatcher(schedule Schedule) *Batcher {
	return &Batcher{schedule: schedule, due: make(chan struct{}, 1)}
}

// Trigger signals that reports are pending. It does not block.
func (b *Batcher) Trigger() {
	select {
	case b.due <- struct{}{}:
	default: // a signal is pending already
	}
}

// Run calls Flush and Repeat until the context ends. Reports that are pending then are not
// flushed.
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
		if !b.waitDelay(ctx) {
			return
		}
		b.schedule.Flush(ctx)
	}
}

// waitDelay waits for Schedule.Delay. It returns false if the context ends during the wait.
func (b *Batcher) waitDelay(ctx context.Context) bool {
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
