// Package rpc carries protobuf messages between cobaltramp nodes in frames
// over TCP. A frame is a length of four bytes in big-endian order, followed by
// one encoded wirev1.Frame.
//
// A TCP connection between two nodes is called a link. Many streams share one
// link. Each pair of nodes has a separate link per Class, so that online requests
// do not wait behind batch data. TCP provides ordering, retransmission and flow
// control for a link; this package adds streams, deadlines, cancellation, one-way
// notices and typed errors.
//
// All programs use the package, through a Pool as the client and through a Server.
// The package owns the connections between nodes. Messages are defined in
// api/wire/v1, and error codes in package result.
package rpc

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
)

// MaxFrameBytes bounds one encoded frame, without its length. The largest valid frames carry a batch of log
// entries; only a faulty or malicious peer sends a larger one.
const MaxFrameBytes = 16 << 20

// lengthBytes is the size of the length that precedes each frame.
const lengthBytes = 4

// ProtocolVersion is the version of the protocol. Both sides of a handshake must have
// the same version.
const ProtocolVersion = 1

// AppendFrame appends the length of the frame and the encoded frame to the buffer.
func AppendFrame(buffer []byte, frame *wirev1.Frame) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, frame)
	if err != nil {
		return buffer[:start], trace.Wrap(err, "encoding frame")
	}
	size := len(buffer) - start - lengthBytes
	if size > MaxFrameBytes {
		return buffer[:start], trace.LimitExceeded("frame of %d bytes exceeds %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(size))
	return buffer, nil
}

// ReadFrame reads one frame. It returns io.EOF only if the input ends between two frames.
func ReadFrame(reader *bufio.Reader, frame *wirev1.Frame) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return trace.LimitExceeded("frame of %d bytes exceeds %d", size, MaxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return trace.Wrap(err, "reading frame body")
	}
	proto.Reset(frame)
	if err := proto.Unmarshal(body, frame); err != nil {
		return trace.Wrap(err, "decoding frame")
	}
	return nil
}
