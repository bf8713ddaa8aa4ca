package rpc

import (
	"bufio"
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
)

// StreamHandler serves one stream. The context ends when the client cancels the stream,
// the client's deadline passes, or the link closes. When the handler returns, the stream
// ends, and the client receives the result code, message and retry delay of the error.
type StreamHandler func(ctx context.Context, stream *ServerStream) error

// NoticeHandler handles a one-way message of the node with the ID from. It runs on the
// link's reading goroutine and must not block.
type NoticeHandler func(from string, payload []byte)

// Server accepts links and calls the handlers of the methods. Handlers must be registered
// before Serve is called.
type Server struct {
	hello          *wirev1.Hello
	handlers       map[wirev1.Method]StreamHandler
	noticeHandlers map[wirev1.Method]NoticeHandler
	counters       *Counters
	onPeerLost     func(peer string)

	mutex       sync.Mutex
	links       map[*link]struct{}
	linksByPeer map[string]int // number of accepted links by node ID of the peer
	closed      bool
	// linkCheck is the timer for the next checkLinks; nil while there are no links.
	linkCheck *time.Timer

	streams tasks.Group // handlers of streams
	loops   tasks.Group // read and write loops of links
}

// NewServer returns a server for the node nodeID of the cluster.
func NewServer(nodeID, cluster string, counters *Counters) *Server {
	return &Server{
		hello:          newHello(nodeID, cluster),
		handlers:       map[wirev1.Method]StreamHandler{},
		noticeHandlers: map[wirev1.Method]NoticeHandler{},
		counters:       counters,
		links:          map[*link]struct{}{},
		linksByPeer:    map[string]int{},
	}
}

// OnPeerLost sets a callback that is called when the last link that a peer dialled has
// closed. The callback is not called when the server itself is closed. OnPeerLost must be
// called before Serve.
func (s *Server) OnPeerLost(callback func(peer string)) { s.onPeerLost = callback }

// Handle registers the handler for streams of a method.
func (s *Server) Handle(method wirev1.Method, handler StreamHandler) {
	s.handlers[method] = handler
}

// HandleNotice registers the handler for one-way messages of a method.
func (s *Server) HandleNotice(method wirev1.Method, handler NoticeHandler) {
	s.noticeHandlers[method] = handler
}

// Serve accepts links until the listener fails or is closed, and returns the listener's
// error. If tlsConfig is not nil, connections use TLS with that configuration.
func (s *Server) Serve(listener net.Listener, tlsConfig *tls.Config) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return trace.Wrap(err, "accepting node links")
		}
		if tlsConfig != nil {
			conn = tls.Server(conn, tlsConfig)
		}
		if !s.loops.Go(func() { s.serveConn(conn) }) {
			_ = conn.Close() // the server is closed
		}
	}
}

// Close closes all links and waits for the handlers to return. It does not close the
// listener of Serve.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	if s.linkCheck != nil {
		s.linkCheck.Stop()
	}
	for l := range s.links {
		l.close()
	}
	s.mutex.Unlock()
	s.loops.Wait()
	s.streams.Wait()
}

func (s *Server) track(l *link) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.links[l] = struct{}{}
	if s.linkCheck == nil {
		s.linkCheck = time.AfterFunc(keepaliveInterval, s.checkLinks)
	}
	return true
}

// checkLinks checks whether the peers of all links respond.
func (s *Server) checkLinks() {
	s.mutex.Lock()
	open := slices.Collect(maps.Keys(s.links))
	s.mutex.Unlock()
	now := time.Now()
	for _, l := range open {
		l.checkAlive(now, false)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.linkCheck = nil
	if len(s.links) > 0 && !s.closed {
		s.linkCheck = time.AfterFunc(keepaliveInterval, s.checkLinks)
	}
}

func (s *Server) untrack(l *link) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.links, l)
}

// addPeerLink counts an accepted link of a peer.
func (s *Server) addPeerLink(peer string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.linksByPeer[peer]++
}

// removePeerLink subtracts a closed link from the count of a peer, and calls onPeerLost if
// no link of the peer is left.
func (s *Server) removePeerLink(peer string) {
	s.mutex.Lock()
	s.linksByPeer[peer]--
	lost := s.linksByPeer[peer] == 0 && !s.closed
	if s.linksByPeer[peer] == 0 {
		delete(s.linksByPeer, peer)
	}
	s.mutex.Unlock()
	if lost && s.onPeerLost != nil {
		s.onPeerLost(peer)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	l := newLink(conn, s.counters)
	l.keepalive.accepted = true
	defer l.close()
	if !s.track(l) {
		return
	}
	defer s.untrack(l)
	reader := bufio.NewReaderSize(l, readBufferBytes)
	peer, err := serverHandshake(conn, reader, s.hello)
	if err != nil {
		return
	}
	l.peerAnswersPing.Store(peer.AnswersPing)
	s.addPeerLink(peer.NodeId)
	defer s.removePeerLink(peer.NodeId)
	s.loops.Go(l.writeLoop)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serving := &serverLink{server: s, link: l, peer: peer.NodeId, ctx: ctx, streams: map[uint64]context.CancelFunc{}}
	serving.readLoop(reader)
}
