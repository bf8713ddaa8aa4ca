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
	// coalesceInterval is how long reports are collected before they are sent: all
	// requests at a runner break within some milliseconds of its end.
	coalesceInterval = 5 * time.Millisecond
	// maxNoticeEntries bounds the endings and completions in one notice, of about
	// 40 bytes each.
	maxNoticeEntries = 1024
)

// addToNotice calls add with the next notice, unless that one is full.
func (c *Coordinator) addToNotice(add func(notice *wirev1.QuarantineNotice)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.pending == nil {
		c.pending = &wirev1.QuarantineNotice{}
	}
	if len(c.pending.Endings)+len(c.pending.Absolved) >= maxNoticeEntries {
		return // The caller's next retry reports a dropped entry again.
	}
	add(c.pending)
	c.batcher.Trigger()
}

// Run sends notices to other nodes until the context ends.
func (c *Coordinator) Run(ctx context.Context) { c.batcher.Run(ctx) }

// flush sends the pending notice to each other node.
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

// ReceiveNotice applies another node's notice.
func (c *Coordinator) ReceiveNotice(from string, payload []byte) {
	var notice wirev1.QuarantineNotice
	if err := proto.Unmarshal(payload, &notice); err != nil {
		klog.ErrorS(err, "decoding a quarantine notice failed", "peer", from, "bytes", len(payload))
		return
	}
	now := time.Now()
	for _, ending := range notice.Endings {
		c.receiveEnding(Fingerprint(ending.Fingerprint), ending.Runner, from, now)
	}
	for _, fingerprint := range notice.Absolved {
		c.table.Clear(Fingerprint(fingerprint), now)
	}
	c.ReceiveHolds(notice.Holds, from)
}

// receiveEnding applies an ending that another node has observed. All nodes decide
// the same hold. Each node that observed one of its endings saves the hold: when
// several nodes observe endings at the same time, none of them may have decided the
// hold by its own ending.
func (c *Coordinator) receiveEnding(fingerprint Fingerprint, runner, from string, now time.Time) {
	outcome := c.table.RecordEnding(fingerprint, runner, false, now)
	if outcome.Hold == nil {
		return
	}
	c.recordHold(*outcome.Hold, from)
	if outcome.Local {
		c.saveHold(*outcome.Hold)
	}
}

// ReceiveHolds applies holds from another node.
func (c *Coordinator) ReceiveHolds(holds []*wirev1.QuarantineHold, source string) {
	if c == nil {
		return
	}
	for _, encoded := range holds {
		if hold := Decode(encoded); c.table.ApplyHold(hold) {
			c.recordHold(hold, source)
		}
	}
}
