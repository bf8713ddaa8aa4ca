package quarantine

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	// coalesceInterval is how long reports are coalesced: the requests at a runner
	// that ended break within some milliseconds of each other.
	coalesceInterval = 5 * time.Millisecond
	// maxReported bounds the endings and completions of one notice: 40 bytes each.
	maxReported = 1024
)

// report adds to the next notice.
func (c *Coordinator) report(add func(notice *wirev1.QuarantineNotice)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == nil {
		c.pending = &wirev1.QuarantineNotice{}
	}
	if len(c.pending.Endings)+len(c.pending.Absolved) >= maxReported {
		return // what is lost here is counted again at the next try
	}
	add(c.pending)
	c.batcher.Trigger()
}

// Run reports to other nodes until the context ends.
func (c *Coordinator) Run(ctx context.Context) { c.batcher.Run(ctx) }

// flush sends what is pending to each other node.
func (c *Coordinator) flush() {
	c.mutex.Lock()
	notice := c.pending
	c.pending = nil
	c.mutex.Unlock()
	if notice == nil {
		return
	}
	self := c.directory.Self().NodeId
	var addresses []string
	for _, record := range c.directory.Records() {
		if record.NodeId != self {
			addresses = append(addresses, record.Address)
		}
	}
	c.sender.NotifyAll(addresses, rpc.ClassControl, wirev1.Method_METHOD_QUARANTINE, notice)
}

// ReceiveNotice takes in another node's notice.
func (c *Coordinator) ReceiveNotice(from string, payload []byte) {
	var notice wirev1.QuarantineNotice
	if err := proto.Unmarshal(payload, &notice); err != nil {
		klog.ErrorS(err, "notice of requests that crash runners is unreadable", "peer", from, "bytes", len(payload))
		return
	}
	now := time.Now()
	for _, ending := range notice.Endings {
		c.receiveEnding(Fingerprint(ending.Fingerprint), ending.Runner, from, now)
	}
	for _, fingerprint := range notice.Absolved {
		c.table.Absolve(Fingerprint(fingerprint), now)
	}
	c.ReceiveHolds(notice.Holds, from)
}

// receiveEnding takes in an ending that another node has seen. All nodes come to the
// same hold; those that saw a part of what led to it keep it in the store, since of
// two nodes that see one ending each at once neither sees the deciding one.
func (c *Coordinator) receiveEnding(fingerprint Fingerprint, runner, from string, now time.Time) {
	verdict := c.table.Ended(fingerprint, runner, false, now)
	if verdict.Hold == nil {
		return
	}
	c.noteHold(*verdict.Hold, from)
	if verdict.Own {
		c.keep(*verdict.Hold)
	}
}

// ReceiveHolds takes in holds from another node.
func (c *Coordinator) ReceiveHolds(holds []*wirev1.QuarantineHold, source string) {
	if c == nil {
		return
	}
	for _, encoded := range holds {
		if hold := Decode(encoded); c.table.Take(hold) {
			c.noteHold(hold, source)
		}
	}
}
