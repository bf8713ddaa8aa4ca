// Package listwatch keeps a node up to date with the platform's store: it lists the store
// and then watches it from the revision of the list. A list reads all values; a watch is a
// call that waits for changes after a revision. The package decides when a node
// lists, watches, probes and retries, how long it coalesces changes, when it relies on
// relays instead of the store, and when it counts as in contact with the store.
//
// The package owns StoreContact and the loop of the Reflector. It relies on a client of
// the store (ListerWatcher) and, if there are relays, on relay.Follower. It passes the
// contents of the store to a relay.Merger. It runs on edges and storage nodes.
package listwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/boottime"
	"cobaltramp.example/cobaltramp/internal/app/pause"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// Page is one page of a list of the store's values.
type Page struct {
	Values []ports.Value
	// More is true if further pages follow.
	More bool
	// Revision is the revision of the store when the page was read.
	Revision int64
}

// ListerWatcher is a client of the platform's store. Its errors wrap
// ports.ErrUnavailable or ports.ErrOutcomeUnknown, except for the ports.ErrCompacted of
// Changes.
type ListerWatcher interface {
	// FirstPage reads the first page of the values under a prefix. ListFrom reads the
	// remaining pages. It returns the values of all pages, including the first, and the
	// revision of the first page.
	FirstPage(ctx context.Context, prefix string) (*Page, error)
	ListFrom(ctx context.Context, prefix string, first *Page) ([]ports.Value, int64, error)
	// Changes waits up to the given time for changes after a revision. It returns the
	// changes, possibly none, and the revision from which to continue. The error is
	// ports.ErrCompacted if the store no longer has all changes after the revision.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]ports.WatchEvent, int64, error)
	// Probe reads the store's revision. The error is nil if the store responds, even if it
	// refuses the call. The revision is one that the store had reached after the call was sent;
	// 0 if the response names none.
	Probe(ctx context.Context) (revision int64, err error)
}

// Options configures a Reflector.
type Options struct {
	Store ListerWatcher
	// Prefix is the prefix of the watched keys.
	Prefix  string
	Contact *StoreContact
	// Merger receives the contents of the store.
	Merger *relay.Merger
	// WatchTimeout is how long a watch waits for a change.
	WatchTimeout time.Duration
	// Drain is how long a leaving runner still accepts requests; 0 if unknown.
	Drain time.Duration
	// Relays follows the nodes that relay the store's changes; nil if there are none.
	Relays *relay.Follower
	// MarkLarge is called when the first page of a list shows that the fleet is large (see
	// largeListLength). If it is nil, lists always read all pages.
	MarkLarge func()
	// PeerAnswered reports whether another node has answered a request of this node. If it
	// is nil, the node does not wait for a peer before its first list.
	PeerAnswered func() bool
}

// Reflector keeps one node up to date with the store.
type Reflector struct {
	Options
	started time.Time
	// sourceTimeout is how long this node waits for a relay in a large fleet before it
	// watches the store itself.
	sourceTimeout time.Duration

	// waitingSince is when the waiting watch was sent; nil while no watch waits.
	waitingSince atomic.Pointer[time.Time]
	catchUps     catchUps

	// The fields below are used only by the goroutine of listAndWatch. storeLost is true
	// while calls fail. needsList is true if the node has to list again, because the store
	// has compacted its history or watches do not deliver changes.
	storeLost bool
	needsList bool
	// failures counts the consecutive calls that failed, and unanswered those of them,
	// since the last response, that had no response. watchesBehind counts the consecutive
	// watches that checkWatch has ended.
	failures      int
	unanswered    int
	watchesBehind int
	coalescer     *coalescer
}

// New returns the reflector of a node that starts now.
func New(options Options) *Reflector {
	return &Reflector{
		Options: options, coalescer: newCoalescer(time.Now(), options.Drain), sourceTimeout: randomSourceTimeout(), started: time.Now(),
		catchUps: newCatchUps(),
	}
}

// Run keeps the merger up to date with the store until the context ends.
func (r *Reflector) Run(ctx context.Context) {
	var running tasks.Group
	running.Go(func() { r.listAndWatch(ctx) })
	running.Go(func() { r.probe(ctx) })
	running.Go(func() { r.runCatchUps(ctx) })
	running.Wait()
}

// listAndWatch lists the store, watches it from the revision of the list, and lists it
// again if the store has compacted its history. It makes no calls while relays keep the
// node up to date, or while the node waits for a peer or a relay.
func (r *Reflector) listAndWatch(ctx context.Context) {
	for ctx.Err() == nil {
		if r.waitsForPeer(time.Now()) {
			pause.For(ctx, peerCheckInterval)
			continue
		}
		if r.usesRelay() {
			r.Contact.regain()
			r.storeLost, r.failures, r.unanswered = false, 0, 0
			pause.For(ctx, r.Relays.HeartbeatInterval())
			continue
		}
		if r.waitsForSource() {
			r.Contact.markLost()
			pause.For(ctx, minRetry)
			continue
		}
		err := r.listOrWatchOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		r.recordResult(err)
		if err != nil && !errors.Is(err, ports.ErrCompacted) && !errors.Is(err, errWatchBehind) {
			pause.For(ctx, r.retryDelay())
		}
	}
}

// usesRelay reports whether relays keep this node up to date.
func (r *Reflector) usesRelay() bool { return r.Relays != nil && r.Relays.UsesRelay() }

// waitsForSource reports whether this node, which no relay keeps up to date at present,
// still waits for a relay: in a large fleet, until it has been isolated for sourceTimeout.
// Calls from all nodes of a large fleet at once would overload the store.
func (r *Reflector) waitsForSource() bool {
	return r.Relays != nil && r.Relays.InTree() && r.Relays.IsolatedFor() < r.sourceTimeout
}

const (
	// peerTimeout is how long after its start a node without contents waits for the
	// response of another node before it lists the store, and peerCheckInterval is how
	// often it checks for the response.
	peerTimeout       = time.Second
	peerCheckInterval = 20 * time.Millisecond
)

// waitsForPeer reports whether this node delays its first list because no other node has
// answered it yet and peerTimeout has not passed. The response tells it whether the fleet
// is large. In a large fleet, the first pages read by all starting nodes would saturate
// the store's network link.
func (r *Reflector) waitsForPeer(now time.Time) bool {
	if r.PeerAnswered == nil || r.Merger.Revision() >= 0 {
		return false
	}
	return !r.PeerAnswered() && now.Sub(r.started) < peerTimeout
}

const (
	// minSourceTimeout is the minimum time for which a node of a large fleet looks for a
	// relay before it watches the store itself. A random time up to sourceTimeoutJitter
	// is added.
	minSourceTimeout    = 2500 * time.Millisecond
	sourceTimeoutJitter = 2 * time.Second
)

func randomSourceTimeout() time.Duration { return minSourceTimeout + rand.N(sourceTimeoutJitter) }

// The pause after a failed call of the store is random: up to minRetry after the first
// failure and after the first call without a response, which may concern only one connection,
// and otherwise between minRetry and maxRetry. minRetry is also the interval at which a node
// checks whether it still waits for a relay.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 600 * time.Millisecond
	// relayedRetryFactor multiplies the longer pause of nodes that rely on relays, to reduce
	// the load on a failing store.
	relayedRetryFactor = 4
)

// retryDelay returns the pause after a failed call of the store.
func (r *Reflector) retryDelay() time.Duration {
	if r.failures == 1 || r.unanswered == 1 {
		return rand.N(minRetry)
	}
	wait := minRetry + rand.N(maxRetry-minRetry)
	if r.Relays != nil && r.Relays.ReliesOnRelays() {
		wait *= relayedRetryFactor
	}
	return wait
}

// errLargeFleet ends a list after its first page, because the fleet is large and the node
// still waits for a relay to send the contents.
var errLargeFleet = errors.New("the fleet is large; waiting for a relay to send the store's contents")

// maxWatchesBehind is the number of consecutive watches that do not deliver the store's changes
// before the node lists the store.
const maxWatchesBehind = 2

// recordResult updates the state after a list or a watch with the given result, and logs
// when the store begins and ceases to fail.
func (r *Reflector) recordResult(err error) {
	revision := r.Merger.Revision()
	switch {
	case err == nil:
		if r.storeLost {
			klog.InfoS("requests to the store succeed again", "prefix", r.Prefix, "revision", revision)
		}
		r.storeLost, r.failures, r.unanswered = false, 0, 0
	case errors.Is(err, errLargeFleet):
		klog.InfoS("list stopped after the first page", "reason", err.Error())
	case errors.Is(err, ports.ErrCompacted):
		klog.InfoS("store history compacted; listing again", "prefix", r.Prefix, "revision", revision)
		r.needsList = true
	case errors.Is(err, errWatchBehind):
		r.watchesBehind++
		r.needsList = r.watchesBehind >= maxWatchesBehind
	default:
		r.failures++
		if errors.Is(err, ports.ErrOutcomeUnknown) {
			r.unanswered++
		} else {
			r.unanswered = 0
		}
		if !r.Contact.Lost() {
			r.Contact.recordFailure()
		}
		if !r.storeLost {
			klog.InfoS("requests to the store started failing", "prefix", r.Prefix, "revision", revision, "err", err)
		}
		r.storeLost = true
	}
}

// listOrWatchOnce makes one list or one watch, and passes the result to the merger. It
// lists if the merger has no contents or holds only a selection of the runners, or if
// needsList is set. After a watch that returned changes, it pauses.
func (r *Reflector) listOrWatchOnce(ctx context.Context) error {
	revision := r.Merger.Revision()
	if revision < 0 || r.needsList || r.Merger.Partial() {
		return r.listAll(ctx)
	}
	sent := boottime.Now()
	events, at, err := r.watchOnce(ctx, revision)
	if err != nil {
		return err
	}
	r.watchesBehind = 0
	r.Contact.Update(sent, func() { r.Merger.Apply(events, at) })
	if len(events) > 0 {
		r.coalesce(ctx, r.coalescer.delayAfter(time.Now()))
	}
	return nil
}

// watchOnce makes one watch after a revision. It returns errWatchBehind if checkWatch has
// ended the watch.
func (r *Reflector) watchOnce(ctx context.Context, revision int64) ([]ports.WatchEvent, int64, error) {
	ctx, cancel := r.Contact.callContext(ctx)
	defer cancel()
	wait := r.WatchTimeout
	if r.Contact.Lost() {
		wait = time.Millisecond // the call returns soon after the store answers again
	}
	sent := time.Now()
	r.waitingSince.Store(&sent)
	defer r.waitingSince.Store(nil)
	events, at, err := r.Store.Changes(ctx, r.Prefix, revision, wait)
	if err != nil && errors.Is(context.Cause(ctx), errWatchBehind) {
		return nil, revision, errWatchBehind
	}
	return events, at, err
}

// largeListLength is the minimum number of values on the first page of a list from which a
// node concludes that the fleet is large, provided that further pages follow. A full page
// has about 500 values.
const largeListLength = 400

// listAll lists the store. If the first page shows that the fleet is large and the node
// waits for a relay, it stops after that page and returns errLargeFleet.
func (r *Reflector) listAll(ctx context.Context) error {
	sent := boottime.Now()
	first, err := r.Store.FirstPage(ctx, r.Prefix)
	if err != nil {
		return err
	}
	if first.More && len(first.Values) >= largeListLength && r.MarkLarge != nil {
		r.MarkLarge()
		if r.waitsForSource() {
			return errLargeFleet
		}
	}
	values, revision, err := r.Store.ListFrom(ctx, r.Prefix, first)
	if err != nil {
		return err
	}
	r.needsList, r.watchesBehind = false, 0
	r.Contact.Update(sent, func() { r.Merger.Reset(values, revision) })
	return nil
}
