package rpc

import (
	"bufio"
	"net"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// newHello returns the Hello of this node.
func newHello(nodeID, cluster string) *wirev1.Hello {
	return &wirev1.Hello{NodeId: nodeID, Cluster: cluster, Protocol: ProtocolVersion, AnswersPing: true}
}

// handshakeTimeout bounds the exchange of Hello messages on a new link.
const handshakeTimeout = 5 * time.Second

// clientHandshake sends this node's Hello on a dialled connection, reads the peer's Hello,
// checks that cluster and protocol version match, and returns the peer's Hello. It does not
// check the peer's node ID.
func clientHandshake(conn net.Conn, reader *bufio.Reader, own *wirev1.Hello, timeout time.Duration) (*wirev1.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	if err := writeHello(conn, own); err != nil {
		return nil, trace.Wrap(err)
	}
	peerHello, err := readHello(reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return peerHello, checkHello(own, peerHello)
}

// serverHandshake reads the peer's Hello on an accepted connection, sends this
// node's Hello, and checks that cluster and protocol version match. It returns the peer's
// Hello.
func serverHandshake(conn net.Conn, reader *bufio.Reader, own *wirev1.Hello) (*wirev1.Hello, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	peer, err := readHello(reader)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := writeHello(conn, own); err != nil {
		return nil, trace.Wrap(err)
	}
	return peer, checkHello(own, peer)
}

func checkHello(own, peer *wirev1.Hello) error {
	if peer.Cluster != own.Cluster || peer.Protocol != own.Protocol {
		return trace.BadParameter("peer %q is of cluster %q protocol %d, want %q and %d",
			peer.NodeId, peer.Cluster, peer.Protocol, own.Cluster, own.Protocol)
	}
	return nil
}

func writeHello(conn net.Conn, hello *wirev1.Hello) error {
	payload, err := proto.Marshal(hello)
	if err != nil {
		return trace.Wrap(err)
	}
	encoded, err := AppendFrame(nil, &wirev1.Frame{Kind: wirev1.FrameKind_FRAME_KIND_HELLO, Payload: payload})
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = conn.Write(encoded)
	return trace.Wrap(err, "sending hello")
}

func readHello(reader *bufio.Reader) (*wirev1.Hello, error) {
	var frame wirev1.Frame
	if err := ReadFrame(reader, &frame); err != nil {
		return nil, trace.Wrap(err, "reading hello")
	}
	if frame.Kind != wirev1.FrameKind_FRAME_KIND_HELLO {
		return nil, trace.BadParameter("first frame is %v, want a hello", frame.Kind)
	}
	var hello wirev1.Hello
	if err := proto.Unmarshal(frame.Payload, &hello); err != nil {
		return nil, trace.Wrap(err, "decoding hello")
	}
	return &hello, nil
}
