// Package informer keeps a node's copy of the contents of the platform's store: the
// configuration, the runners, the nodes and the layout of the queues. It passes each part
// to the package that owns it, and adds the parts that a peer lacks to replies to that
// peer. It also writes the record of its own node, if the node has a disk, and the progress
// of retirements. A retirement empties a storage node of its replicas.
//
// The package owns which runners this node knows, and at which revision. It relies on
// package listwatch to watch the store, on package relay for changes that other nodes
// pass on, and on a Schema for the platform's keys and encodings. It runs on edges and
// storage nodes.
package informer

import (
	"context"
	"sync/atomic"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/cluster/listwatch"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// StoreAPI is the interface of a client of the platform's store.
type StoreAPI interface {
	ports.KeyValueStore
	listwatch.ListerWatcher
}

// Options configures an Informer.
type Options struct {
	Schema *Schema
	Store  StoreAPI
	// WatchTimeout is the longest time that a watch of the store waits for a change.
	WatchTimeout time.Duration
	Contact      *listwatch.StoreContact
	Catalogs     *catalog.Holder
	Runners      *runnerset.Set
	Layouts      *queuestore.Layouts
	Directory    *peers.Directory
	// Mirror is the copy of the store that a node with a disk sends to other nodes; nil on
	// nodes without a disk.
	Mirror *relay.Mirror
	// Pool holds the connections to other nodes. If it is nil, the node uses no relays and
	// does not widen its subset of the runners.
	Pool *rpc.Pool
	// Drain is how long a leaving runner still accepts requests; 0 if unknown.
	Drain time.Duration
	// DiskCache keeps the contents of the mirror on this node's disk; nil without a disk.
	// It is not used without a mirror.
	DiskCache relay.DiskCache
	// Quarantine receives the holds of requests that crash runners. If it is nil, holds
	// are ignored.
	Quarantine *quarantine.Coordinator
	// Interest determines this node's subset of the runners in a large fleet; the zero
	// value stands for all runners.
	Interest subset.Interest
	// Timing holds the intervals and timeouts between sources and followers.
	Timing relay.FollowTiming
}

// Informer keeps a node's copy of the contents of the platform's store. Options must not
// be changed after Run is called.
type Informer struct {
	Options

	runners *runnerCache
	merger  *relay.Merger
	// reflector is nil before Run.
	reflector atomic.Pointer[listwatch.Reflector]
	// follower is nil before Run, and stays nil without a Pool.
	follower atomic.Pointer[relay.Follower]
	// peerAnswered is true if another node has answered a PeerStateRequest of this node.
	peerAnswered atomic.Bool
	// retirementWithdrawn is set when this node is no longer to retire, until its record is written again.
	retirementWithdrawn atomic.Bool
}

// New returns an informer without contents.
func New(options Options) *Informer {
	i := &Informer{Options: options, runners: newRunnerCache(options.Schema, options.Runners, options.Interest)}
	i.merger = relay.NewMerger((*storeSink)(i))
	return i
}

var (
	_ peers.Documents       = (*Informer)(nil)
	_ queuestore.Retirement = (*Informer)(nil)
)

// UsesRelay reports whether relays keep this node up to date with the store, so that it
// does not watch the store itself (see relay.Follower.UsesRelay).
func (i *Informer) UsesRelay() bool {
	follower := i.follower.Load()
	return follower != nil && follower.UsesRelay()
}

// CatchUp implements streamorigin.ListUpdater (see listwatch.Reflector.CatchUp).
func (i *Informer) CatchUp(ctx context.Context) {
	if reflector := i.reflector.Load(); reflector != nil {
		reflector.CatchUp(ctx)
	}
}

// Level returns this node's level in the tree of a large fleet (see relay.Follower.Level);
// 0 before Run or without a Pool.
func (i *Informer) Level() uint32 {
	if follower := i.follower.Load(); follower != nil {
		return follower.Level()
	}
	return 0
}

// Sources returns the addresses of the live sources of this node (see relay.Follower).
func (i *Informer) Sources() []string {
	if follower := i.follower.Load(); follower != nil {
		return follower.Sources()
	}
	return nil
}

// storeRevision returns the store's revision that this node has reached; it is negative
// before the first contents arrive.
func (i *Informer) storeRevision() int64 { return i.merger.Revision() }

// Watched returns the nodes that this node has to probe in order to determine its level.
func (i *Informer) Watched() []*wirev1.NodeRecord {
	if follower := i.follower.Load(); follower != nil {
		return follower.NodesToProbe()
	}
	return nil
}

// Run keeps the copy up to date and registers this node until the context ends.
func (i *Informer) Run(ctx context.Context) {
	reflector := listwatch.New(listwatch.Options{
		Store: i.Store, Prefix: allKeys, Contact: i.Contact, Merger: i.merger, WatchTimeout: i.WatchTimeout, Drain: i.Drain,
	})
	var running tasks.Group
	if i.Mirror != nil && i.DiskCache != nil {
		relay.Restore(i.DiskCache, i.Schema.Classify, i.merger, i.versionsDocument())
		running.Go(func() { relay.Persist(ctx, i.DiskCache, i.Mirror, i.versionsDocument()) })
	}
	if i.Pool != nil {
		follower := i.newFollower()
		reflector.Relays, reflector.MarkLarge = follower, i.Directory.MarkLarge
		if i.Mirror == nil { // a node with a disk may have to watch the store for its zone
			reflector.PeerAnswered = i.peerAnswered.Load
		}
		running.Go(func() { follower.Run(ctx) })
		running.Go(func() { i.widen(ctx) })
	}
	i.reflector.Store(reflector)
	running.Go(func() { reflector.Run(ctx) })
	i.register(ctx)
	running.Wait()
}

// newFollower creates and stores the follower that passes the changes from relays to the
// merger.
func (i *Informer) newFollower() *relay.Follower {
	follower := &relay.Follower{
		Nodes: i.Directory, Pool: i.Pool, Merger: i.merger, Timing: i.Timing, Lost: i.Contact.Lost, Confirmed: i.Contact.RenewAsOf,
	}
	if i.Interest != (subset.Interest{}) {
		follower.Interest = i.runners.widenedInterest
	}
	i.follower.Store(follower)
	return follower
}
