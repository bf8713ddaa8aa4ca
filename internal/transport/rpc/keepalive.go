package rpc

import (
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// A link may go silent without an error: what is sent is acknowledged or dropped on the way,
// and nothing arrives. Neither TCP nor the timeouts of calls end such a link, so both ends
// check their links: an end that misses a sign of life sends a PING and closes the link if
// nothing arrives within pingTimeout after the PING was written.
const (
	// keepaliveInterval is the interval between two checks of a link.
	keepaliveInterval = 500 * time.Millisecond
	// pingTimeout is longer than a healthy peer takes to reply on a busy machine.
	pingTimeout = 1500 * time.Millisecond
	// streamSilence is how long a dialled link with open streams may be silent before it is
	// probed.
	streamSilence = 500 * time.Millisecond
	// acceptedSilence is the same for an accepted link, whose client probes it sooner if it
	// uses it. It is shorter than the time for which unused links are kept.
	acceptedSilence = 8 * time.Second
)

// noticeSilence is how long a dialled link on which only notices were sent may be silent
// before it is probed. Replicas of a log exchange notices and miss each one; other notices
// are repeated, and there are many links for them.
var noticeSilence = [classCount]time.Duration{
	ClassControl: 4 * time.Second, ClassOnline: 4 * time.Second, ClassBulk: time.Second,
}

// linkUse is the use of a link at the time of a check.
type linkUse struct {
	// received is the number of bytes received so far, and sent the number of frames queued
	// so far, without those of the keepalive.
	received, sent uint64
	// written is the number of frames written so far, including those of the keepalive.
	written uint64
	// streams is true if a dialled link has open streams.
	streams bool
}

// keepaliveAction is what a check of a link requires.
type keepaliveAction uint8

// Actions after a check of a link.
const (
	// keepLink requires nothing.
	keepLink keepaliveAction = iota
	// pingLink requires a PING.
	pingLink
	// closeLink requires that the link is closed, since the peer did not reply.
	closeLink
)

// keepalive decides when a link is probed and when it is closed as unresponsive.
type keepalive struct {
	// accepted is true for an accepted link. class is the class of a dialled link.
	accepted bool
	class    Class

	// received and sent are the values of the last check at which bytes had arrived.
	received, sent uint64
	checkedAt      time.Time
	// silence is the observed time without received bytes. A check that is late because this
	// process was suspended adds at most two intervals, so that bytes that arrived meanwhile
	// are read before the link is closed.
	silence time.Duration
	// pingNumber is the number of the frame with the PING that has no reply yet; 0 if there
	// is none. sincePing is the observed time since it was written.
	pingNumber uint64
	sincePing  time.Duration
}

// check returns the action that the use of the link requires at now. After pingLink, the
// caller calls recordPing.
func (k *keepalive) check(now time.Time, use linkUse) keepaliveAction {
	elapsed := min(now.Sub(k.checkedAt), 2*keepaliveInterval)
	if k.checkedAt.IsZero() {
		elapsed = 0
	}
	k.checkedAt = now
	if use.received != k.received {
		k.received, k.sent = use.received, use.sent
		k.silence, k.pingNumber, k.sincePing = 0, 0, 0
		return keepLink
	}
	k.silence += elapsed
	if k.pingNumber != 0 {
		return k.checkPing(elapsed, use)
	}
	if limit, probed := k.silenceLimit(use); probed && k.silence >= limit {
		return pingLink
	}
	return keepLink
}

// checkPing checks a link with a PING that has no reply yet.
func (k *keepalive) checkPing(elapsed time.Duration, use linkUse) keepaliveAction {
	if use.written < k.pingNumber {
		return keepLink // the PING waits behind other frames
	}
	k.sincePing += elapsed
	if k.sincePing < pingTimeout {
		return keepLink
	}
	return closeLink
}

// silenceLimit returns how long the link may be silent before it is probed, and false if it
// is not probed because nothing is expected from the peer.
func (k *keepalive) silenceLimit(use linkUse) (time.Duration, bool) {
	switch {
	case k.accepted:
		return acceptedSilence, true
	case use.streams:
		return streamSilence, true
	default:
		return noticeSilence[k.class], use.sent != k.sent
	}
}

// recordPing records that a PING was queued as the frame with the given number.
func (k *keepalive) recordPing(number uint64) { k.pingNumber, k.sincePing = number, 0 }

// checkAlive checks the link, and probes or closes it if necessary. Links to peers that do not
// reply to a PING are not checked. Calls must not overlap.
func (l *link) checkAlive(now time.Time, streams bool) {
	if !l.peerAnswersPing.Load() {
		return
	}
	use := linkUse{received: l.receivedBytes.Load(), sent: l.sentFrames.Load(), written: l.writtenFrames.Load(), streams: streams}
	switch l.keepalive.check(now, use) {
	case pingLink:
		if number, queued := l.queueKeepalive(wirev1.FrameKind_FRAME_KIND_PING); queued {
			l.keepalive.recordPing(number)
		}
	case closeLink:
		klog.InfoS("link is unresponsive; closing it", "peer", l.conn.RemoteAddr(), "accepted", l.keepalive.accepted,
			"class", l.keepalive.class, "silentMs", l.keepalive.silence.Milliseconds(), "streams", streams)
		l.counters.Unresponsive.Add(1)
		l.close()
	}
}

// handleKeepalive replies to a PING. It reports whether the frame belongs to the keepalive.
func (l *link) handleKeepalive(frame *wirev1.Frame) bool {
	switch frame.Kind {
	case wirev1.FrameKind_FRAME_KIND_PING:
		l.queueKeepalive(wirev1.FrameKind_FRAME_KIND_PONG)
		return true
	case wirev1.FrameKind_FRAME_KIND_PONG: // its bytes have been counted
		return true
	default:
		return false
	}
}

// queueKeepalive queues a PING or PONG, and returns the number of its frame. It reports false
// if the queue is full or closed.
func (l *link) queueKeepalive(kind wirev1.FrameKind) (uint64, bool) {
	encoded, err := AppendFrame(nil, &wirev1.Frame{Kind: kind})
	if err != nil {
		return 0, false // a frame without a payload can be encoded
	}
	return l.queue.tryPutNumbered(encoded)
}
