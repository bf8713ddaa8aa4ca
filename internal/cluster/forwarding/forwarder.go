package forwarding

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Forwarder serves calls and notices of peers that have no direct path to a node.
type Forwarder struct {
	caller *Caller
	// connectTimeout has its default value except in tests.
	connectTimeout time.Duration
	// receive handles a notice that another node has sent through a forwarder.
	receive  rpc.NoticeHandler
	outcomes *prometheus.CounterVec
	notices  *rate.Limiter

	mutex  sync.Mutex
	limits *limits
	// connecting holds the dials in progress.
	connecting map[connection]chan struct{}
}

// connection identifies the connection to a node for a class of traffic.
type connection struct {
	address string
	class   rpc.Class
}

// Values of the outcome label of refused calls and of notices. outcomeLabels has those of the
// calls that were sent.
const (
	labelBusy          = "busy"
	labelInvalid       = "invalid"
	labelUnreachable   = "unreachable"
	labelNoticeSent    = "notice"
	labelNoticeDropped = "notice_dropped"
)

// NewForwarder returns a forwarder that sends calls on the caller's direct paths. receive
// handles the reports of requests at runners that arrive through other forwarders.
func NewForwarder(caller *Caller, receive rpc.NoticeHandler, registry prometheus.Registerer) *Forwarder {
	f := &Forwarder{
		caller: caller, connectTimeout: connectTimeout, receive: receive, limits: newLimits(), connecting: map[connection]chan struct{}{},
		notices: rate.NewLimiter(passedNoticesPerSecond, passedNoticesPerSecond),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cobaltramp_forwarding_total", Help: "Calls and notices of peers to forward, by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(f.outcomes)
	return f
}

// Handle registers the handlers with a server.
func (f *Forwarder) Handle(server *rpc.Server) {
	server.Handle(wirev1.Method_METHOD_FORWARD, f.serve)
	server.HandleNotice(wirev1.Method_METHOD_FORWARD_NOTICE, f.ReceiveNotice)
}

// serve handles a call that a peer wants to have forwarded. An error with code InvalidRequest
// means that the call was not sent; any other error, that its outcome is unknown.
func (f *Forwarder) serve(ctx context.Context, stream *rpc.ServerStream) error {
	var request wirev1.ForwardRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	if request.Address == "" {
		return stream.Send(&wirev1.ForwardReply{}) // a probe of the path to this node
	}
	reply, err := f.forward(ctx, stream.Peer, &request)
	if err != nil {
		return err
	}
	return stream.Send(reply)
}

// forward sends the call of a peer to its target unless a limit or a rule forbids it.
func (f *Forwarder) forward(ctx context.Context, asker string, request *wirev1.ForwardRequest) (*wirev1.ForwardReply, error) {
	target, found := f.caller.directory.DiskAt(request.Address)
	if !found || !forwardable(request.Method) || request.Class > uint32(rpc.ClassBulk) {
		return f.refuse(labelInvalid, result.PeerUnreachable, "calls of %v to %s are not forwarded", request.Method, request.Address), nil
	}
	if f.caller.unreachable(target.Address, time.Now()) {
		return f.refuse(labelUnreachable, result.PeerUnreachable, "node %s is not reached from here", target.Address), nil
	}
	reserved := len(request.Request) + expectedReplyBytes(request)
	f.mutex.Lock()
	acquired := f.limits.acquire(asker, reserved, time.Now())
	f.mutex.Unlock()
	if !acquired {
		return f.refuse(labelBusy, result.Saturated, "too many calls to forward"), nil
	}
	defer func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.limits.release(asker, reserved)
	}()
	class := rpc.Class(request.Class)
	if !f.connect(ctx, target.Address, class) {
		return f.refuse(labelUnreachable, result.PeerUnreachable, "node %s is not reached from here", target.Address), nil
	}
	direct := f.caller.callDirectly(ctx, target.Address, class, request.Method, request.Request)
	f.mutex.Lock()
	f.limits.resize(reserved, len(request.Request)+len(direct.reply))
	reserved = len(request.Request) + len(direct.reply)
	f.mutex.Unlock()
	return f.reply(direct)
}

// refuse returns the reply for a call that is not sent.
func (f *Forwarder) refuse(label string, code result.Code, format string, arguments ...any) *wirev1.ForwardReply {
	f.outcomes.WithLabelValues(label).Inc()
	return &wirev1.ForwardReply{Status: encodeStatus(result.New(code, format, arguments...))}
}

// reply returns the reply for a call that was sent, or an error if the outcome is unknown.
func (f *Forwarder) reply(direct pathResult) (*wirev1.ForwardReply, error) {
	f.outcomes.WithLabelValues(outcomeLabels[direct.outcome]).Inc()
	switch direct.outcome {
	case outcomeAnswered:
		return &wirev1.ForwardReply{Delivered: true, Status: encodeStatus(direct.err), Reply: direct.reply}, nil
	case outcomeNotSent:
		return &wirev1.ForwardReply{Status: encodeStatus(result.New(result.PeerUnreachable, "%v", direct.err))}, nil
	default:
		return nil, result.New(result.CommitUnknown, "the node did not answer: %v", direct.err)
	}
}

func encodeStatus(err error) *wirev1.Status {
	if err == nil {
		return nil
	}
	failure := result.FromError(err)
	return &wirev1.Status{Code: uint32(failure.Code), Message: failure.Message, RetryAfterMs: uint32(failure.RetryAfter.Milliseconds())}
}

const (
	// smallReplyBytes and itemReplyBytes are the sizes that are reserved for replies of
	// unknown size.
	smallReplyBytes = 32 << 10
	itemReplyBytes  = 256 << 10
)

// expectedReplyBytes returns the bytes to reserve for the reply to a call.
func expectedReplyBytes(request *wirev1.ForwardRequest) int {
	switch request.Method {
	case wirev1.Method_METHOD_QUEUE_READ:
		var read wirev1.QueueReadRequest
		if proto.Unmarshal(request.Request, &read) != nil {
			return smallReplyBytes
		}
		return smallReplyBytes + int(read.MaxBytes)
	case wirev1.Method_METHOD_QUEUE_ITEM:
		return itemReplyBytes
	default:
		return smallReplyBytes
	}
}

// connectTimeout bounds how long a forwarded call waits for a connection to its target, so
// that the asking node soon tries another forwarder.
const connectTimeout = 150 * time.Millisecond

// dialTimeout bounds a dial, which goes on after the calls that wait for it have given up.
const dialTimeout = 2 * time.Second

// connect waits until there is a connection to the target. It returns false if there is none
// within f.connectTimeout.
func (f *Forwarder) connect(ctx context.Context, address string, class rpc.Class) bool {
	dialled, dialling := f.startDial(address, class)
	if !dialling {
		return false
	}
	timer := time.NewTimer(f.connectTimeout)
	defer timer.Stop()
	select {
	case <-dialled:
		return !f.caller.unreachable(address, time.Now())
	case <-timer.C:
		f.caller.recordDirect(address, false, false, time.Now())
	case <-ctx.Done():
	}
	return false
}

// startDial dials the target in the background unless a dial is in progress, and returns a
// channel that is closed at the end of the dial. It returns false while this node stops.
func (f *Forwarder) startDial(address string, class rpc.Class) (<-chan struct{}, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	target := connection{address, class}
	if dialled := f.connecting[target]; dialled != nil {
		return dialled, true
	}
	dialled := make(chan struct{})
	if !f.caller.running.Go(func() { f.dial(target, dialled) }) {
		return nil, false
	}
	f.connecting[target] = dialled
	return dialled, true
}

func (f *Forwarder) dial(target connection, dialled chan struct{}) {
	ctx, cancel := context.WithTimeout(f.caller.context, dialTimeout)
	defer cancel()
	if err := f.caller.transport.Connect(ctx, target.address, target.class); err != nil {
		f.caller.recordDirect(target.address, false, false, time.Now())
	} else {
		f.caller.recordConnected(target.address)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.connecting, target)
	close(dialled)
}

// unreachable reports whether the node at an address could not be reached directly recently.
func (c *Caller) unreachable(address string, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	path := c.paths[address]
	return path != nil && path.unreachable(now)
}
