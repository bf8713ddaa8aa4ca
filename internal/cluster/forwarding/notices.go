package forwarding

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	// noticesPerSecond and noticeBurst limit the notices that a node sends through forwarders.
	noticesPerSecond = 20
	noticeBurst      = 2
	// passedNoticesPerSecond limits the notices that a node passes on for peers.
	passedNoticesPerSecond = 200
	// maxNoticeTargets bounds the receivers of one notice.
	maxNoticeTargets = 64
)

// NotifyAll sends a notice to each address. Reports of requests at runners go through one
// forwarder to the addresses whose direct path is broken; at most noticesPerSecond of these
// are sent.
func (c *Caller) NotifyAll(addresses []string, class rpc.Class, method wirev1.Method, message proto.Message) {
	now := time.Now()
	direct, broken := addresses, []string(nil)
	if method == wirev1.Method_METHOD_RUNNER_USE {
		direct, broken = c.splitBroken(addresses, now)
	}
	if len(direct) > 0 {
		c.transport.NotifyAll(direct, class, method, message)
	}
	if len(broken) == 0 {
		return
	}
	for _, address := range broken {
		c.probeIfDue(address, now)
	}
	if c.notices.AllowN(now, 1) {
		c.forwardNotice(broken[:min(len(broken), maxNoticeTargets)], class, method, message, now)
	}
}

// splitBroken separates the addresses whose direct path is broken from the others.
func (c *Caller) splitBroken(addresses []string, now time.Time) (direct, broken []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.anyBroken() {
		return addresses, nil
	}
	for i, address := range addresses {
		path := c.paths[address]
		switch {
		case path != nil && path.broken && len(broken) == 0:
			direct = append(direct, addresses[:i]...)
			broken = append(broken, address)
		case path != nil && path.broken:
			broken = append(broken, address)
		case len(broken) > 0:
			direct = append(direct, address)
		}
	}
	if len(broken) == 0 {
		return addresses, nil
	}
	return direct, broken
}

// forwardNotice sends a notice for several nodes through one forwarder.
func (c *Caller) forwardNotice(addresses []string, class rpc.Class, method wirev1.Method, message proto.Message, now time.Time) {
	forwarder := c.noticeForwarder(addresses, now)
	if forwarder == "" {
		return
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "notice cannot be encoded", "method", method)
		return
	}
	notice := &wirev1.ForwardedNotice{Addresses: addresses, Method: method, Payload: payload, From: c.directory.Self().NodeId}
	c.transport.NotifyAll([]string{forwarder}, class, wirev1.Method_METHOD_FORWARD_NOTICE, notice)
}

// noticeForwarder returns the address of a forwarder for the first node for which one is
// usable, or "" if there is none.
func (c *Caller) noticeForwarder(addresses []string, now time.Time) string {
	for _, address := range addresses {
		target, found := c.directory.DiskAt(address)
		if !found {
			continue
		}
		if forwarder, _ := c.choose(target, nil, now); forwarder != "" {
			return forwarder
		}
	}
	return ""
}

// ReceiveNotice handles a notice that a peer wants to have passed on, or that a forwarder has
// passed on to this node. A notice without addresses is never passed on.
func (f *Forwarder) ReceiveNotice(from string, payload []byte) {
	var notice wirev1.ForwardedNotice
	if err := proto.Unmarshal(payload, &notice); err != nil {
		klog.ErrorS(err, "failed to decode a forwarded notice", "peer", from, "bytes", len(payload))
		return
	}
	switch {
	case notice.Method != wirev1.Method_METHOD_RUNNER_USE:
		f.outcomes.WithLabelValues(labelNoticeDropped).Inc()
	case len(notice.Addresses) == 0:
		f.receive(notice.From, notice.Payload)
	default:
		f.passOn(from, &notice)
	}
}

// passOn sends a peer's notice to the nodes with disks among its addresses that are reached
// from here.
func (f *Forwarder) passOn(from string, notice *wirev1.ForwardedNotice) {
	now := time.Now()
	var reached []string
	for _, address := range notice.Addresses[:min(len(notice.Addresses), maxNoticeTargets)] {
		if _, found := f.caller.directory.DiskAt(address); found && !f.caller.unreachable(address, now) {
			reached = append(reached, address)
		}
	}
	if len(reached) == 0 || !f.notices.AllowN(now, 1) {
		f.outcomes.WithLabelValues(labelNoticeDropped).Inc()
		return
	}
	f.outcomes.WithLabelValues(labelNoticeSent).Inc()
	passed := &wirev1.ForwardedNotice{Method: notice.Method, Payload: notice.Payload, From: from}
	f.caller.transport.NotifyAll(reached, rpc.ClassControl, wirev1.Method_METHOD_FORWARD_NOTICE, passed)
}
