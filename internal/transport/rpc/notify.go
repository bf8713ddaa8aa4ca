package rpc

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// Notify sends a one-way message. It does not block: if there is no open link, the address
// is dialled in the background. The message is dropped if the dial fails or the send queue
// of the link is full.
func (p *Pool) Notify(address string, class Class, method wirev1.Method, message proto.Message) {
	p.NotifyAll([]string{address}, class, method, message)
}

// NotifyAll sends a one-way message to several addresses, as Notify does, and encodes
// the message once.
func (p *Pool) NotifyAll(addresses []string, class Class, method wirev1.Method, message proto.Message) {
	payload, err := proto.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "notice cannot be encoded", "method", method)
		return
	}
	encoded, err := AppendFrame(nil, &wirev1.Frame{Kind: wirev1.FrameKind_FRAME_KIND_NOTIFY, Method: method, Payload: payload})
	if err != nil {
		klog.ErrorS(err, "notice cannot be sent", "method", method, "bytes", len(payload))
		return
	}
	for _, address := range addresses {
		p.counters.recordSent(method, len(payload))
		p.notify(address, class, encoded)
	}
}

func (p *Pool) notify(address string, class Class, encoded []byte) {
	if entry := p.peer(address, class); entry != nil {
		if l := entry.current.Load(); l != nil && l.alive() {
			l.touch()
			l.link.tryQueue(encoded)
			return
		}
	}
	p.background.Go(func() {
		ctx, cancel := context.WithTimeout(p.context, dialTimeout)
		defer cancel()
		if l, err := p.link(ctx, address, class); err == nil {
			l.touch()
			l.link.tryQueue(encoded)
		}
	})
}
