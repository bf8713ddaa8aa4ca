package rpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/transport/sockets"
)

// Class is a kind of traffic. Each class has its own link between two nodes.
type Class uint8

// Classes of traffic between two nodes.
const (
	// ClassControl carries membership messages, digests and leader elections.
	ClassControl Class = iota
	// ClassOnline carries online requests and their tokens.
	ClassOnline
	// ClassBulk carries batch items, their results and replicated log entries.
	ClassBulk
	classCount
)

const (
	dialTimeout = 2 * time.Second
	// dialBackoff is the time after a failed dial in which calls to the address fail
	// without another dial.
	dialBackoff = 200 * time.Millisecond
)

// errPoolClosed is returned for calls after Close.
var errPoolClosed = errors.New("pool closed")

// Pool dials other nodes and keeps at most one link per address and class. Idle links are
// closed.
type Pool struct {
	hello    *wirev1.Hello
	tls      func() *tls.Config
	counters *Counters

	// idleTimeout and handshakeTimeout have their default values except in tests.
	idleTimeout      time.Duration
	handshakeTimeout time.Duration
	// background runs the read and write loops of links, and the dials for notices.
	// Close cancels the context, which ends them.
	background tasks.Group
	context    context.Context
	cancel     context.CancelFunc

	mutex  sync.Mutex
	peers  map[peerKey]*peer
	closed bool
	// idleCheck is the timer for the next closeIdle, and linkCheck the one for the next
	// checkLinks. Both are nil while the pool has no peers.
	idleCheck, linkCheck *time.Timer
}

type peerKey struct {
	address string
	class   Class
}

// peer holds the last link to one address and class: current is nil before the first
// successful dial, and may be a closed link. The channel dialling holds an element while the
// peer is dialled. Its holder may access dialFailedAt and dialError, which describe the last
// failed dial.
type peer struct {
	dialling     chan struct{}
	current      atomic.Pointer[clientLink]
	dialFailedAt time.Time
	dialError    error
}

func newPeer() *peer { return &peer{dialling: make(chan struct{}, 1)} }

// acquire waits until no other caller dials the peer, or until the context ends.
func (e *peer) acquire(ctx context.Context) error {
	select {
	case e.dialling <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryAcquire reports whether it acquired the peer, which no other caller dials.
func (e *peer) tryAcquire() bool {
	select {
	case e.dialling <- struct{}{}:
		return true
	default:
		return false
	}
}

func (e *peer) release() { <-e.dialling }

// NewPool returns a pool for the node nodeID of the cluster. If tlsConfig is not nil, it
// is called for each dial, so that replaced keys are used without a restart. Links use
// plain TCP if tlsConfig is nil or returns nil.
func NewPool(nodeID, cluster string, tlsConfig func() *tls.Config, counters *Counters) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		hello:       newHello(nodeID, cluster),
		tls:         tlsConfig,
		counters:    counters,
		peers:       map[peerKey]*peer{},
		idleTimeout: defaultIdleTimeout, handshakeTimeout: handshakeTimeout,
		context: ctx,
		cancel:  cancel,
	}
}

// Close closes all links and waits until their read and write loops have ended. Later calls
// fail.
func (p *Pool) Close() {
	p.cancel()
	p.mutex.Lock()
	p.closed = true
	for _, timer := range []*time.Timer{p.idleCheck, p.linkCheck} {
		if timer != nil {
			timer.Stop()
		}
	}
	p.peers = map[peerKey]*peer{}
	p.mutex.Unlock()
	p.background.Wait()
}

// Open starts a stream with the request. If Open returns an error, no frame of the
// request was queued and the request was not delivered. The error has the code
// PeerUnreachable unless the request cannot be encoded.
func (p *Pool) Open(ctx context.Context, address string, class Class, method wirev1.Method, request proto.Message) (*ClientStream, error) {
	payload, err := proto.Marshal(request)
	if err != nil {
		return nil, trace.Wrap(err, "encoding request")
	}
	return p.openEncoded(ctx, address, class, method, payload)
}

// openEncoded is Open for an encoded request. A request whose context ends before there is
// a link is not sent.
func (p *Pool) openEncoded(ctx context.Context, address string, class Class, method wirev1.Method, payload []byte) (*ClientStream, error) {
	for {
		l, err := p.link(ctx, address, class)
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return nil, result.New(result.PeerUnreachable, "node %s: %v", address, err)
		}
		stream, err := l.open(ctx, method, payload)
		if errors.Is(err, errIdleClosed) {
			continue // the link was closed as idle after it was looked up; dial a new link
		}
		return stream, err
	}
}

// Call opens a stream, reads one reply and closes the stream. It returns io.EOF if the
// server ends the stream without a reply and without an error.
func (p *Pool) Call(ctx context.Context, address string, class Class, method wirev1.Method, request, reply proto.Message) error {
	stream, err := p.Open(ctx, address, class, method, request)
	if err != nil {
		return err
	}
	defer stream.Close()
	if err := stream.Receive(ctx, reply); err != nil {
		return err
	}
	return nil
}

func (p *Pool) peer(address string, class Class) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil
	}
	key := peerKey{address, class}
	entry := p.peers[key]
	if entry == nil {
		entry = newPeer()
		p.peers[key] = entry
	}
	if p.idleCheck == nil {
		p.idleCheck = time.AfterFunc(p.idleTimeout/2, p.closeIdle)
	}
	if p.linkCheck == nil {
		p.linkCheck = time.AfterFunc(keepaliveInterval, p.checkLinks)
	}
	return entry
}

// checkLinks checks whether the peers of all links respond.
func (p *Pool) checkLinks() {
	p.mutex.Lock()
	peers := slices.Collect(maps.Values(p.peers))
	p.mutex.Unlock()
	now := time.Now()
	for _, entry := range peers {
		if l := entry.current.Load(); l != nil && l.alive() {
			l.checkAlive(now)
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.linkCheck = nil
	if len(p.peers) > 0 && !p.closed {
		p.linkCheck = time.AfterFunc(keepaliveInterval, p.checkLinks)
	}
}

// CloseLinks closes the links to an address and drops its peers from the pool. It is called
// for the addresses of members that died. A later call dials the address again.
func (p *Pool) CloseLinks(address string) {
	for class := Class(0); class < classCount; class++ {
		p.mutex.Lock()
		entry := p.peers[peerKey{address, class}]
		delete(p.peers, peerKey{address, class})
		p.mutex.Unlock()
		if entry == nil {
			continue
		}
		if l := entry.current.Load(); l != nil {
			l.link.close()
		}
	}
}

// link returns the link to an address. It dials the address if there is no open link.
func (p *Pool) link(ctx context.Context, address string, class Class) (*clientLink, error) {
	for {
		entry := p.peer(address, class)
		if entry == nil {
			return nil, errPoolClosed
		}
		l, err := p.linkToPeer(ctx, peerKey{address, class}, entry)
		if !errors.Is(err, errPeerDropped) {
			return l, err
		}
	}
}

// isCurrent reports whether the pool still holds the peer under its key.
func (p *Pool) isCurrent(key peerKey, entry *peer) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.peers[key] == entry
}

// errPeerDropped is returned if a peer was dropped from the pool before it was dialled.
var errPeerDropped = errors.New("peer dropped from the pool")

// linkToPeer returns the link of a peer, and dials the peer if it has no open link. For
// dialBackoff after a failed dial, it returns the error of that dial instead. A peer that
// was dropped from the pool is not dialled, since the check for idle links would not find
// the new link.
func (p *Pool) linkToPeer(ctx context.Context, key peerKey, entry *peer) (*clientLink, error) {
	if l := entry.current.Load(); l != nil && l.alive() {
		return l, nil
	}
	if err := entry.acquire(ctx); err != nil {
		return nil, err
	}
	if l := entry.current.Load(); l != nil && l.alive() {
		entry.release()
		return l, nil
	}
	if !p.isCurrent(key, entry) {
		entry.release()
		return nil, errPeerDropped
	}
	if time.Since(entry.dialFailedAt) < dialBackoff {
		defer entry.release()
		return nil, entry.dialError
	}
	return p.dial(ctx, key, entry)
}

// dial connects to the peer, which the caller has acquired, and releases it when the dial has
// ended. The handshake continues if the context ends meanwhile: a slow peer would otherwise
// never get a link.
func (p *Pool) dial(ctx context.Context, key peerKey, entry *peer) (*clientLink, error) {
	p.counters.Dials.Add(1)
	conn, err := p.dialConn(ctx, key.address)
	if err != nil {
		defer entry.release()
		return nil, p.recordDialFailure(entry, trace.ConnectionProblem(err, "dialling %s", key.address))
	}
	ended := make(chan error, 1)
	started := p.background.Go(func() {
		defer entry.release()
		l, err := p.greet(conn, key)
		if err != nil {
			ended <- p.recordDialFailure(entry, trace.Wrap(err, "greeting %s", key.address))
			return
		}
		entry.current.Store(l)
		ended <- nil
	})
	if !started {
		_ = conn.Close()
		entry.release()
		return nil, errPoolClosed
	}
	select {
	case err := <-ended:
		if err != nil {
			return nil, err
		}
		return entry.current.Load(), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// recordDialFailure records a failed dial of a peer that the caller has acquired, and returns
// the error.
func (p *Pool) recordDialFailure(entry *peer, err error) error {
	p.counters.DialFailures.Add(1)
	entry.dialFailedAt = time.Now()
	entry.dialError = err
	return err
}

// greet makes the handshake on a new connection and starts the loops of its link.
func (p *Pool) greet(conn net.Conn, key peerKey) (*clientLink, error) {
	stopClosing := context.AfterFunc(p.context, func() { _ = conn.Close() }) // so that Pool.Close does not wait for an unresponsive peer
	defer stopClosing()
	opened := newLink(conn, p.counters)
	opened.keepalive.class = key.class
	reader := bufio.NewReaderSize(opened, readBufferBytes)
	peerHello, err := clientHandshake(conn, reader, p.hello, p.handshakeTimeout)
	if err != nil {
		opened.close()
		return nil, err
	}
	opened.peerAnswersPing.Store(peerHello.AnswersPing)
	l := &clientLink{link: opened, streams: map[uint64]*ClientStream{}}
	l.touch()
	l.stopPoolWatch = context.AfterFunc(p.context, opened.close)
	if !p.background.Go(opened.writeLoop) || !p.background.Go(func() { l.readLoop(reader) }) {
		opened.close()
		return nil, errPoolClosed
	}
	return l, nil
}

// dialConn connects to an address within dialTimeout.
func (p *Pool) dialConn(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := sockets.Dialer(dialTimeout)
	var config *tls.Config
	if p.tls != nil {
		config = p.tls()
	}
	if config == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, "tcp", address)
}
