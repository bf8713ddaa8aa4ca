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

// maxSyncedHolds bounds the holds in one reply to a peer, of about 40 bytes each.
const maxSyncedHolds = 256

// Digest returns a hash of the newest holds, by which nodes detect that they know
// different ones. It is 0 if there are none or the receiver is nil.
func (c *Coordinator) Digest() uint64 {
	if c == nil {
		return 0
	}
	newest := c.newest()
	if len(newest) == 0 {
		return 0
	}
	digest := xxhash.New() // Write never returns an error.
	for _, hold := range newest {
		for _, part := range []uint64{uint64(hold.Fingerprint), uint64(hold.Decided), uint64(hold.Until)} {
			_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, part))
		}
	}
	return digest.Sum64()
}

func (c *Coordinator) newest() []Hold {
	holds := c.Holds()
	return holds[:min(len(holds), maxSyncedHolds)]
}

// NewestHolds returns the holds decided last, for a peer with a different digest.
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

// ReceiveDocument applies the holds of the document in the platform's store.
func (c *Coordinator) ReceiveDocument(text []byte, revision int64) {
	if c == nil {
		return
	}
	holds, err := parseDocument(text)
	if err != nil {
		klog.ErrorS(err, "stored quarantine has unreadable entries", "revision", revision)
	}
	for _, hold := range holds {
		if c.table.ApplyHold(hold) {
			c.recordHold(hold, "store")
		}
	}
}

// ServeAdmin serves an operator's request to list holds or to lift one.
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
