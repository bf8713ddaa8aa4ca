package streamorigin

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

const (
	// callTimeout is the timeout of a call to a holder.
	callTimeout = 250 * time.Millisecond
	// resendInterval is the pause before a record that no holder has confirmed is sent again.
	resendInterval = 250 * time.Millisecond
	// maxRecordWait is how long after the record was sent the first event of a stream waits
	// for its confirmation. Events usually arrive later than the confirmation.
	maxRecordWait = 100 * time.Millisecond
)

// Values of the label "outcome" of cobaltramp_stream_origins_recorded_total.
const (
	outcomeConfirmed   = "confirmed"
	outcomeUnconfirmed = "unconfirmed"
)

// Stream is a stream that this node begins.
type Stream struct {
	Key Key
	// ID is the ID of the request, for the log.
	ID string
	// Window is the result of WindowOf.
	Window time.Duration
}

// Recording is a record that is being sent.
type Recording struct {
	tracker *Tracker
	stream  Stream
	record  Record
	sentAt  time.Time
	// confirmed is closed when a holder has confirmed the record, and ended when all calls
	// to the holders known at first have ended.
	confirmed, ended chan struct{}
}

// Record sends the record of a stream to its holders, without waiting. Until the context ends,
// which is that of the stream, a record that no holder has confirmed is sent again: the holders
// may not be known yet. Record returns nil if no record is needed, since all runners of the service
// have had the same version for the whole window.
func (t *Tracker) Record(ctx context.Context, stream Stream, record Record) *Recording {
	now := time.Now()
	if t.versions.SoleFor(record.Origin.Service, stream.Window, now) {
		return nil
	}
	if t.table.Put(stream.Key, record, stream.Window, now) != nil {
		t.refused.Inc() // the other holders still get the record
	}
	recording := &Recording{
		tracker: t, stream: stream, record: record, sentAt: now,
		confirmed: make(chan struct{}), ended: make(chan struct{}),
	}
	if !t.sending.Go(func() { recording.run(ctx) }) {
		close(recording.ended)
	}
	return recording
}

// run sends the record until a holder has confirmed it or the stream ends.
func (r *Recording) run(stream context.Context) {
	confirmed := r.send()
	close(r.ended)
	for !confirmed && r.waitToResend(stream) {
		confirmed = r.send()
	}
}

// waitToResend waits for resendInterval. It returns false if the stream or this node's calls end
// before.
func (r *Recording) waitToResend(stream context.Context) bool {
	timer := time.NewTimer(resendInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stream.Done():
		return false
	case <-r.tracker.sendContext.Done():
		return false
	}
}

// send calls the preferred holders, and for each call that fails a further one. It reports whether
// one of them has confirmed the record.
func (r *Recording) send() bool {
	holders := holdersOf(r.tracker.directory.Disks(), r.stream.Key)
	results := make(chan error, len(holders))
	next, pending, confirmed := 0, 0, false
	call := func() {
		if next < len(holders) {
			address := holders[next].Address
			r.tracker.sending.Go(func() { results <- r.call(address) })
			next++
			pending++
		}
	}
	for range copies {
		call()
	}
	for pending > 0 {
		select {
		case err := <-results:
			pending--
			if err != nil {
				call()
			} else if !confirmed {
				confirmed = true
				close(r.confirmed)
			}
		case <-r.tracker.sendContext.Done():
			return confirmed
		}
	}
	return confirmed
}

// call sends the record to one holder.
func (r *Recording) call(address string) error {
	ctx, cancel := context.WithTimeout(r.tracker.sendContext, callTimeout)
	defer cancel()
	message := encodeRecord(r.stream.Key, &r.record, r.stream.Window)
	return r.tracker.caller.Call(ctx, address, rpc.ClassControl, wirev1.Method_METHOD_STREAM_ORIGIN_RECORD, message, &wirev1.StreamOriginRecordReply{})
}

func encodeRecord(key Key, record *Record, lifetime time.Duration) *wirev1.StreamOriginRecord {
	return &wirev1.StreamOriginRecord{
		Key: uint64(key), Service: record.Origin.Service, SoftwareVersion: record.Origin.SoftwareVersion,
		Sequence: record.Sequence, LifetimeMs: uint32(lifetime.Milliseconds()), Runner: record.Runner,
	}
}

// Await waits until a holder has confirmed the record, all calls have failed, or maxRecordWait has
// passed since it was sent. A nil recording needs no confirmation. The first event is passed on in
// any case: a resumption is then refused, unless the confirmation arrives later.
func (r *Recording) Await(ctx context.Context) {
	if r == nil {
		return
	}
	select {
	case <-r.confirmed: // the usual case, without a timer
		r.tracker.records.WithLabelValues(outcomeConfirmed).Inc()
		return
	default:
	}
	timer := time.NewTimer(time.Until(r.sentAt.Add(maxRecordWait)))
	defer timer.Stop()
	outcome := outcomeUnconfirmed
	select {
	case <-r.confirmed:
		outcome = outcomeConfirmed
	case <-r.ended:
	case <-timer.C:
	case <-ctx.Done():
	}
	r.tracker.records.WithLabelValues(outcome).Inc()
	if outcome == outcomeUnconfirmed {
		klog.InfoS("no storage node has confirmed the origin of a stream", "id", r.stream.ID, "service", r.record.Origin.Service,
			"version", r.record.Origin.SoftwareVersion, "waitedMs", time.Since(r.sentAt).Milliseconds())
	}
}
