// Package ports declares what the product needs of the services of the platform that
// it runs on: a key-value store, lists of machines and runners. The adapters are
// platform/ (edges and storage nodes) and the modules under modules/platform (plain
// nodes); replacing one changes nothing else.
//
// Nothing here is called per request or per job: the store holds configuration, who
// the nodes are, and the layout and member sets of shards.
package ports

import (
	"context"
	"errors"
)

// ErrUnavailable: the service did not take the request. A change asked for was
// not made.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrOutcomeUnknown: the request was sent and its answer was lost. A change asked for
// may have been made; the caller resolves it by reading.
var ErrOutcomeUnknown = errors.New("platform answer lost")

// ErrCompacted: the changes after a revision can't be had any more; the caller
// lists again.
var ErrCompacted = errors.New("the store's history is gone")

// Value is a stored value with the revision that wrote it.
type Value struct {
	Key      string
	Value    []byte
	Revision int64
}

// Condition requires a key to be at a revision; revision 0 means absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put is one write.
type Put struct {
	Key   string
	Value []byte
}

// WatchEvent is one change seen by a watch.
type WatchEvent struct {
	Value   Value
	Deleted bool
}

// KeyValueStore is the small, rate-limited key-value service.
type KeyValueStore interface {
	// Get returns the value of a key; found is false if it is absent.
	Get(ctx context.Context, key string) (value Value, found bool, err error)
	// List returns the values below a prefix and the revision read at.
	List(ctx context.Context, prefix string) ([]Value, int64, error)
	// Commit makes all writes if every condition holds, else none. It returns
	// whether they were made. On ErrOutcomeUnknown they may have been.
	Commit(ctx context.Context, conditions []Condition, puts []Put) (bool, error)
	// Watch calls handle for each change below prefix after the revision until
	// the context ends or the watch breaks; the caller then lists and compares.
	Watch(ctx context.Context, prefix string, after int64, handle func(WatchEvent)) error
}

// MachineEntry is an entry of the machine list.
type MachineEntry struct {
	Address string
	Zone    string
	Region  string
	Leaving bool
}

// RunnerEntry is an entry of the runner list: a model engine.
type RunnerEntry struct {
	// ID is unique and survives a restart of the engine on the same machine.
	ID string
	// Address is the engine's IP:port.
	Address string
	Zone    string
	Region  string
	// Service is the pool the runner belongs to, for example "asistente".
	Service string
	Leaving bool
}

// Discovery is the platform's lists of machines and runners; they lag.
type Discovery interface {
	Machines(ctx context.Context) ([]MachineEntry, error)
	Runners(ctx context.Context) ([]RunnerEntry, error)
}
