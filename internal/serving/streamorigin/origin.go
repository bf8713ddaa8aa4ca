// Package streamorigin finds out at which software version of a service a stream began, when a
// caller resumes the stream at another node. The output of two versions does not fit together,
// so a stream may go on only at the version that began it.
//
// A node that begins a stream sends a record of its origin to some storage nodes, which are
// chosen by a hash of the stream, and does not pass on the first event before one of them has
// confirmed the record. It sends no record while it is certain that all runners of the service
// have had one version for as long as a caller may come back. A node at which a stream is
// resumed asks the same storage nodes, and combines their answers with what it and they know
// about the versions of the service. If the answers don't prove the version, the stream is not
// resumed.
//
// Storage nodes own the records, in memory: they are lost with the process, and the other
// holders still have them. An edge also keeps the records of its own streams. The package relies
// on runnerset for the history of versions, and on package rpc for the calls. Package online uses
// it. It runs on edges and storage nodes.
//
// evidence.go holds the rule without I/O or clock, and placement.go the choice of holders.
package streamorigin

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Key identifies a stream: a hash of the request's content, with its tenant, and of the caller's
// attempt that brought the first event. A caller that names the attempt of another tenant or
// request finds no record.
type Key uint64

// KeyOf returns the key of a stream. content is a hash of the request, and attempt is the ID of
// the caller's attempt.
func KeyOf(content uint64, attempt string) Key {
	digest := xxhash.New() // Write never returns an error.
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, content))
	_, _ = digest.WriteString(attempt)
	return Key(digest.Sum64())
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is runnerset.Record.SoftwareVersion of the runner that wrote the first
	// event.
	SoftwareVersion string
}

const (
	minWindow = 8 * time.Second
	// MaxWindow limits the memory for records.
	MaxWindow = runnerset.MaxVersionWindow
	// windowFactor covers the attempt that began the stream, and the attempts of the caller
	// after it.
	windowFactor = 2
)

// WindowOf returns for how long after its beginning a stream may be resumed. timeout is the
// longest duration of one attempt; 0 stands for no limit.
func WindowOf(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return MaxWindow
	}
	return min(max(windowFactor*timeout, minWindow), MaxWindow)
}
