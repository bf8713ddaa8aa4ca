package rpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
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
	// idleCheck is the timer for the next closeIdle; nil while the pool has no peers.
	idleCheck *time.Timer
}

type peerKey struct {
	address string
	class   Class
}

// peer holds the last link to one address and class: current is nil before the first
// successful dial, and may be a closed link. The mutex serialises the dials and guards
// dialFailedAt and dialError, which describe the last failed dial.
type peer struct {
	mutex        sync.Mutex
	current      atomic.Pointer[clientLink]
	dialFailedAt time.Time
	dialError    error
}

// NewPool returns a pool for the node nodeID of the cluster. If tlsConfig is not nil, it
// is called for each dial, so that replaced keys are used without a restart. Links use
// plain TCP if tlsConfig is nil or returns nil.
func NewPool(nodeID, cluster string, tlsConfig func() *tls.Config, counters *Counters) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		hello:       &wirev1.Hello{NodeId: nodeID, Cluster: cluster, Protocol: ProtocolVersion},
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
	if p.idleCheck != nil {
		p.idleCheck.Stop()
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
		entry = &peer{}
		p.peers[key] = entry
	}
	if p.idleCheck == nil {
		p.idleCheck = time.AfterFunc(p.idleTimeout/2, p.closeIdle)
	}
	return entry
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
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if l := entry.current.Load(); l != nil && l.alive() {
		return l, nil
	}
	if !p.isCurrent(key, entry) {
		return nil, errPeerDropped
	}
	if time.Since(entry.dialFailedAt) < dialBackoff {
		return nil, entry.dialError
	}
	l, err := p.dial(ctx, key.address)
	if err != nil {
		entry.dialFailedAt = time.Now()
		entry.dialError = err
		return nil, err
	}
	entry.current.Store(l)
	return l, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*clientLink, error) {
	p.counters.Dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialConn(ctx, address)
	if err != nil {
		p.counters.DialFailures.Add(1)
		return nil, trace.ConnectionProblem(err, "dialling %s", address)
	}
	stopClosing := context.AfterFunc(p.context, func() { _ = conn.Close() }) // so that Pool.Close does not wait for an unresponsive peer
	defer stopClosing()
	opened := newLink(conn, p.counters)
	reader := bufio.NewReaderSize(opened, readBufferBytes)
	if err := clientHandshake(conn, reader, p.hello, p.handshakeTimeout); err != nil {
		p.counters.DialFailures.Add(1)
		opened.close()
		return nil, trace.Wrap(err, "greeting %s", address)
	}
	l := &clientLink{link: opened, streams: map[uint64]*ClientStream{}}
	l.touch()
	l.stopPoolWatch = context.AfterFunc(p.context, l.link.close)
	if !p.background.Go(l.link.writeLoop) || !p.background.Go(func() { l.readLoop(reader) }) {
		l.link.close()
		return nil, errPoolClosed
	}
	return l, nil
}

func (p *Pool) dialConn(ctx context.Context, address string) (net.Conn, error) {
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
