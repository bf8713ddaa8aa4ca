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

// maxSyncedHolds is the maximum number of holds in one reply to a peer, and the number
// of holds that Digest covers. A hold takes about 40 bytes in a reply.
const maxSyncedHolds = 256

// Digest returns a hash of the holds that NewestHolds returns. Nodes compare their
// digests to detect that their holds differ. The digest is 0 if there are no holds or
// the receiver is nil.
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
	return newestHolds(c.Holds(), maxSyncedHolds)
}

// NewestHolds returns the latest maxSyncedHolds of the active and the recently lifted
// holds, for a peer with a different digest.
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

// ReceiveDocument applies the holds of the document in the platform's store, which was
// read at the given revision. It logs unreadable entries and applies the others.
func (c *Coordinator) ReceiveDocument(text []byte, revision int64) {
	if c == nil {
		return
	}
	holds, err := parseDocument(text)
	if err != nil {
		klog.ErrorS(err, "decoding the stored quarantine failed in part or as a whole", "revision", revision)
	}
	stored := make(map[Fingerprint]Hold, len(holds))
	for _, hold := range holds {
		stored[hold.Fingerprint] = hold
		c.applyHold(hold, "store")
	}
	c.stored.Store(&stored)
}

// ServeAdmin handles an operator's request. It lifts a hold if the request names one,
// and then replies with the active holds.
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
