// Package listwatch keeps a node up to date with the platform's store by a list and
// watches from its revision on. It decides when a node lists, watches, probes and
// retries, how long it coalesces changes, when it leaves the store to the nodes that
// relay its changes, and when it counts as in contact with the store.
//
// It owns StoreContact and the Reflector's loop. It relies on a client of the store
// (ListerWatcher) and, where there are relays, on relay.Follower; what it reads goes
// to a relay.Merger. It runs on edges and storage nodes.
package listwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// Page is a page of a list of the store's values.
type Page struct {
	Values []ports.Value
	// More: further pages follow.
	More bool
	// Revision of the store when the page was read.
	Revision int64
}

// ListerWatcher is a client of the platform's store. Its errors wrap
// ports.ErrUnavailable or ports.ErrOutcomeUnknown.
type ListerWatcher interface {
	// FirstPage reads the first page of the values below a prefix, and ListFrom the
	// rest of a list: it returns all values and the revision of the first page.
	FirstPage(ctx context.Context, prefix string) (*Page, error)
	ListFrom(ctx context.Context, prefix string, first *Page) ([]ports.Value, int64, error)
	// Changes waits at most so long for changes after a revision. It returns them and
	// the revision to go on from, or ports.ErrCompacted.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]ports.WatchEvent, int64, error)
	// Probe makes the cheapest call there is. It returns nil if the store answers,
	// with a refusal too.
	Probe(ctx context.Context) error
}

// Options are what a Reflector works with.
type Options struct {
	Store ListerWatcher
	// Prefix of the keys that are followed.
	Prefix  string
	Contact *StoreContact
	// Merger takes what the store holds.
	Merger *relay.Merger
	// WatchTimeout is how long a watch is held without a change.
	WatchTimeout time.Duration
	// Drain is how long a leaving runner still takes requests; 0 if that is not known.
	Drain time.Duration
	// Relays may pass the changes on; nil if there are none.
	Relays *relay.Follower
	// MarkLarge takes that the store holds more than a small fleet's; may be nil.
	MarkLarge func()
	// PeerAnswered reports whether another node has answered this one; nil if none is
	// asked before the first list.
	PeerAnswered func() bool
}

// Reflector follows the store for one node.
type Reflector struct {
	Options
	started time.Time
	// sourceTimeout is how long this node waits for a relay in a large fleet before it
	// follows the store itself.
	sourceTimeout time.Duration

	lost      bool
	relist    bool // history is gone: everything has to be listed
	coalescer *coalescer
}

// New returns the reflector of a node that starts now.
func New(options Options) *Reflector {
	return &Reflector{
		Options: options, coalescer: newCoalescer(time.Now(), options.Drain), sourceTimeout: drawSourceTimeout(), started: time.Now(),
	}
}

// Run keeps the merge in line with the store until the context ends.
func (r *Reflector) Run(ctx context.Context) {
	var running tasks.Group
	running.Go(func() { r.follow(ctx) })
	running.Go(func() { r.probe(ctx) })
	running.Wait()
}

// follow lists, then watches from the list's revision, and lists again when history
// is lost. While relays pass the changes on it makes no calls.
func (r *Reflector) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if r.waitsForPeer(time.Now()) {
			pause.For(ctx, peerPause)
			continue
		}
		if r.usesRelay() {
			r.Contact.Confirm()
			r.lost = false
			pause.For(ctx, r.Relays.HeartbeatInterval())
			continue
		}
		if r.waitsForSource() {
			r.Contact.lose()
			pause.For(ctx, minRetry)
			continue
		}
		err := r.once(ctx)
		if ctx.Err() != nil {
			return
		}
		r.note(err)
		if err != nil && !errors.Is(err, ports.ErrCompacted) {
			pause.For(ctx, r.retryWait())
		}
	}
}

// usesRelay reports whether relays pass the changes on to this node.
func (r *Reflector) usesRelay() bool { return r.Relays != nil && r.Relays.UsesRelay() }

// waitsForSource reports whether this node leaves the store to others though none
// relays changes to it at present: in a large fleet all nodes at once would be too
// many for the store.
func (r *Reflector) waitsForSource() bool {
	return r.Relays != nil && r.Relays.InTree() && r.Relays.IsolatedFor() < r.sourceTimeout
}

const (
	// peerTimeout is how long a node that knows nothing yet waits for the answer of
	// another node before it lists the store, and peerPause how often it looks.
	peerTimeout = time.Second
	peerPause   = 20 * time.Millisecond
)

// waitsForPeer reports whether this node puts off its first list until another node
// has said whether the fleet is large: a page of the store is 150 KB there, and a
// thousand of these at once keep the store's link from the nodes that relay.
func (r *Reflector) waitsForPeer(now time.Time) bool {
	if r.PeerAnswered == nil || r.Merger.Revision() >= 0 {
		return false
	}
	return !r.PeerAnswered() && now.Sub(r.started) < peerTimeout
}

const (
	// minSourceTimeout is how long a node of a large fleet looks for a relay before it
	// follows the store itself, and sourceTimeoutJitter how much longer at most: a
	// relay that does not answer is replaced within a second.
	minSourceTimeout    = 2500 * time.Millisecond
	sourceTimeoutJitter = 2 * time.Second
)

func drawSourceTimeout() time.Duration { return minSourceTimeout + rand.N(sourceTimeoutJitter) }

// Pauses between tries while the store does not answer.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// relayedRetryFactor is how many times longer a node pauses that is usually kept up
	// to date by relays: it is not to add to a store's trouble.
	relayedRetryFactor = 4
)

func (r *Reflector) retryWait() time.Duration {
	wait := minRetry + rand.N(maxRetry-minRetry)
	if r.Relays != nil && r.Relays.NeedsRelays() {
		wait *= relayedRetryFactor
	}
	return wait
}

// errLarge ends the first list of a node in a large fleet: relays pass on the rest.
var errLarge = errors.New("the store holds more than a page: others are to pass it on")

// note records what came of a call, and logs contact lost and regained.
func (r *Reflector) note(err error) {
	revision := r.Merger.Revision()
	switch {
	case err == nil:
		if r.lost {
			klog.InfoS("store regained", "prefix", r.Prefix, "revision", revision)
		}
		r.lost = false
	case errors.Is(err, errLarge):
		klog.InfoS("list ended after a page", "reason", err.Error())
	case errors.Is(err, ports.ErrCompacted):
		klog.InfoS("store history lost, listing again", "prefix", r.Prefix, "revision", revision)
		r.relist = true
	default:
		if !r.Contact.Lost() {
			r.Contact.fail()
		}
		if !r.lost {
			klog.InfoS("store lost", "prefix", r.Prefix, "revision", revision, "err", err)
		}
		r.lost = true
	}
}

// once lists or watches once, and hands on what came.
func (r *Reflector) once(ctx context.Context) error {
	revision := r.Merger.Revision()
	if revision < 0 || r.relist || r.Merger.Partial() {
		return r.listAll(ctx)
	}
	ctx, cancel := r.Contact.untilFailure(ctx)
	defer cancel()
	wait := r.WatchTimeout
	if r.Contact.Lost() {
		wait = time.Millisecond // to know at once whether it answers again
	}
	events, at, err := r.Store.Changes(ctx, r.Prefix, revision, wait)
	if err != nil {
		return err
	}
	r.Contact.Confirm()
	r.Merger.Apply(events, at)
	if len(events) > 0 {
		pause.For(ctx, r.coalescer.pauseAfter(time.Now()))
	}
	return nil
}

// largeList is how many values on the first page of several show a large fleet: a
// page of the store takes about 500.
const largeList = 400

// listAll lists everything. A node that finds the fleet to be large by the length of
// the list, and that relays may keep up to date, stops after the first page.
func (r *Reflector) listAll(ctx context.Context) error {
	first, err := r.Store.FirstPage(ctx, r.Prefix)
	if err != nil {
		return err
	}
	if first.More && len(first.Values) >= largeList && r.MarkLarge != nil {
		r.MarkLarge()
		if r.waitsForSource() {
			return errLarge
		}
	}
	values, revision, err := r.Store.ListFrom(ctx, r.Prefix, first)
	if err != nil {
		return err
	}
	r.Contact.Confirm()
	r.relist = false
	r.Merger.Reset(values, revision)
	return nil
}
