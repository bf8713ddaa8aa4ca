// Package ports declares the interfaces of the platform's services that the product uses:
// a key-value store, and lists of machines and runners. The adapters are in platform/
// (edges and storage nodes) and in modules/platform (plain nodes). To support another
// platform, only the adapters have to be replaced.
//
// These services are not called for individual requests or jobs. The store holds the
// configuration, the node records, and the layout and members of shards.
package ports

import (
	"context"
	"errors"
)

// ErrUnavailable reports that the service did not accept the request. A requested change
// was not made.
var ErrUnavailable = errors.New("platform service unavailable")

// ErrOutcomeUnknown reports that the request was sent but its response was lost. A
// requested change may have been made; the caller has to read the store to find out.
var ErrOutcomeUnknown = errors.New("platform answer lost")

// ErrCompacted reports that the store no longer has the changes after a revision. The
// caller has to list again.
var ErrCompacted = errors.New("the store has compacted the changes after this revision")

// Value is a stored value with the revision that wrote it.
type Value struct {
	Key      string
	Value    []byte
	Revision int64
}

// Condition requires that the value of a key was written at a revision; revision 0 means
// that the key is absent.
type Condition struct {
	Key      string
	Revision int64
}

// Put is a write of one key.
type Put struct {
	Key   string
	Value []byte
}

// WatchEvent is a change of one key, as returned by a watch.
type WatchEvent struct {
	// Value is the new value. If Deleted is true, only its Key and its Revision, which is
	// the revision of the deletion, are valid.
	Value   Value
	Deleted bool
}

// KeyValueStore is the platform's key-value store. It is small and rate-limited.
type KeyValueStore interface {
	// Get returns the value of a key; found is false if the key is absent.
	Get(ctx context.Context, key string) (value Value, found bool, err error)
	// List returns the values under a prefix, and the revision at which they were read.
	List(ctx context.Context, prefix string) ([]Value, int64, error)
	// Commit makes all writes in one transaction if every condition is met, and none
	// otherwise. It returns whether the writes were made. If the error is
	// ErrOutcomeUnknown they may have been made although the result is false.
	Commit(ctx context.Context, conditions []Condition, puts []Put) (bool, error)
	// Watch calls handle for each change under prefix after the revision. It returns when
	// the context ends or the watch breaks; the caller then has to list and compare.
	Watch(ctx context.Context, prefix string, after int64, handle func(WatchEvent)) error
}

// MachineEntry is an entry in the list of machines.
type MachineEntry struct {
	Address string
	Zone    string
	Region  string
	// Leaving is true if the machine is about to be removed.
	Leaving bool
}

// RunnerEntry is an entry in the list of runners, which are model engines.
type RunnerEntry struct {
	// ID is unique and stays the same when the engine restarts on the same machine.
	ID string
	// Address is the engine's IP:port.
	Address string
	Zone    string
	Region  string
	// Service is the pool to which the runner belongs, for example "asistente".
	Service string
	// Leaving is true if the runner is about to end and should get no new requests.
	Leaving bool
}

// Discovery returns the platform's lists of machines and runners. The lists may be out of
// date.
type Discovery interface {
	Machines(ctx context.Context) ([]MachineEntry, error)
	Runners(ctx context.Context) ([]RunnerEntry, error)
}
