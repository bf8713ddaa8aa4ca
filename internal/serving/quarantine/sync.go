package quarantine

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// maxExchanged bounds the holds that one answer to a peer brings: 40 bytes each.
const maxExchanged = 256

// Digest is the same for nodes that would send each other the same holds; 0 if there
// are none, or the receiver is nil.
func (c *Coordinator) Digest() uint64 {
	if c == nil {
		return 0
	}
	newest := c.newest()
	if len(newest) == 0 {
		return 0
	}
	digest := xxhash.New() // its writes never fail
	for _, hold := range newest {
		for _, part := range []uint64{uint64(hold.Fingerprint), uint64(hold.Decided), uint64(hold.Until)} {
			_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, part))
		}
	}
	return digest.Sum64()
}

func (c *Coordinator) newest() []Hold {
	holds := c.Holds()
	return holds[:min(len(holds), maxExchanged)]
}

// NewestHolds returns the holds decided last, for a peer that knows others.
func (c *Coordinator) NewestHolds() []*wirev1.QuarantineHold {
	if c == nil {
		return nil
	}
	var encoded []*wirev1.QuarantineHold
	for _, hold := range c.newest() {
		encoded = append(encoded, Encode(hold))
	}
	return encoded
}

// ReceiveDocument takes in the holds that the platform's store has.
func (c *Coordinator) ReceiveDocument(text []byte, revision int64) {
	if c == nil {
		return
	}
	holds, err := parseDocument(text)
	if err != nil {
		klog.ErrorS(err, "stored quarantine is unreadable in part", "revision", revision)
	}
	for _, hold := range holds {
		if c.table.Take(hold) {
			c.noteHold(hold, "store")
		}
	}
}

// ServeAdmin answers an operator who lists holds, or lifts one.
func (c *Coordinator) ServeAdmin(_ context.Context, stream *rpc.ServerStream) error {
	var request wirev1.QuarantineAdminRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	reply := &wirev1.QuarantineAdminReply{}
	if request.Lift != 0 {
		reply.Lifted = c.Lift(Fingerprint(request.Lift))
	}
	now := time.Now().UnixMilli()
	for _, hold := range c.Holds() {
		if hold.Until > now {
			reply.Holds = append(reply.Holds, Encode(hold))
		}
	}
	return stream.Send(reply)
}
