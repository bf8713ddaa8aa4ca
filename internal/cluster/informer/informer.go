// Package informer keeps a node's copy of what the platform's store holds: the
// configuration, the runners, the nodes and the layout of the queues. It hands each
// part to the package that owns it, passes on to peers what is newer here, and writes
// the node's own record and how far the emptying of a node is.
//
// It owns which runners this node knows, and at which revision. It relies on listwatch
// to follow the store, on relay for the changes that other nodes pass on, and on a
// Schema for the store's keys and encodings, which are the platform's. It runs on edges
// and storage nodes.
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

// StoreAPI is what a client of the platform's store offers.
type StoreAPI interface {
	ports.KeyValueStore
	listwatch.ListerWatcher
}

// Options are what an Informer works with.
type Options struct {
	Schema *Schema
	Store  StoreAPI
	// WatchTimeout is how long a watch of the store is held without a change.
	WatchTimeout time.Duration
	Contact      *listwatch.StoreContact
	Catalogs     *catalog.Holder
	Runners      *runnerset.Set
	Layouts      *queuestore.Layouts
	Directory    *peers.Directory
	// Mirror is what a node with a disk passes on of the store; nil on others,
	// which take it from such nodes through the pool.
	Mirror *relay.Mirror
	Pool   *rpc.Pool
	// Drain is how long a leaving runner still takes requests; 0 if not known.
	Drain time.Duration
	// DiskCache keeps what the mirror holds on this node's disk; nil without one.
	DiskCache relay.DiskCache
	// Quarantine takes the holds of requests that crash runners; nil takes none.
	Quarantine *quarantine.Coordinator
	// Interest is how many runners this node wants to know where there are many; the
	// zero value is all.
	Interest subset.Interest
	// Timing is of the nodes that pass the store's changes on.
	Timing relay.FollowTiming
}

// Informer keeps a node's copy of what the platform's store holds. Options may be
// changed until Run.
type Informer struct {
	Options

	runners  *runnerCache
	follower atomic.Pointer[relay.Follower]
	merger   atomic.Pointer[relay.Merger]
	// answered: another node has answered a question of this one.
	answered atomic.Bool
}

// New returns an informer that knows nothing yet.
func New(options Options) *Informer {
	return &Informer{Options: options, runners: newRunnerCache(options.Schema, options.Runners, options.Interest)}
}

var (
	_ peers.Documents       = (*Informer)(nil)
	_ queuestore.Retirement = (*Informer)(nil)
)

// UsesRelay reports whether other nodes follow the store for this one.
func (i *Informer) UsesRelay() bool {
	follower := i.follower.Load()
	return follower != nil && follower.UsesRelay()
}

// Level returns how many hops from the store this node takes its changes in a large
// fleet.
func (i *Informer) Level() uint32 {
	if follower := i.follower.Load(); follower != nil {
		return follower.Level()
	}
	return 0
}

// Sources lists the addresses of the nodes that keep this node up to date with the
// store.
func (i *Informer) Sources() []string {
	if follower := i.follower.Load(); follower != nil {
		return follower.Sources()
	}
	return nil
}

// storeRevision returns up to which revision of the store this node knows it; negative
// before the first.
func (i *Informer) storeRevision() int64 {
	if merge := i.merger.Load(); merge != nil {
		return merge.Revision()
	}
	return -1
}

// Watched lists the nodes of which this node has to know whether they live.
func (i *Informer) Watched() []*wirev1.NodeRecord {
	if follower := i.follower.Load(); follower != nil {
		return follower.Watched()
	}
	return nil
}

// Run follows the store until the context ends.
func (i *Informer) Run(ctx context.Context) {
	merge := relay.NewMerger(i.sinks())
	i.merger.Store(merge)
	reflector := listwatch.New(listwatch.Options{
		Store: i.Store, Prefix: everything, Contact: i.Contact, Merger: merge, WatchTimeout: i.WatchTimeout, Drain: i.Drain,
	})
	var running tasks.Group
	if i.Mirror != nil && i.DiskCache != nil {
		relay.Restore(i.DiskCache, i.Schema.Classify, merge)
		running.Go(func() { relay.Persist(ctx, i.DiskCache, i.Mirror) })
	}
	if i.Pool != nil {
		follower := i.newFollower(merge)
		reflector.Relays, reflector.MarkLarge = follower, i.Directory.MarkLarge
		if i.Mirror == nil { // a node with a disk may be the one that is to follow the store
			reflector.PeerAnswered = i.answered.Load
		}
		running.Go(func() { follower.Run(ctx) })
		running.Go(func() { i.widen(ctx) })
	}
	running.Go(func() { reflector.Run(ctx) })
	i.register(ctx)
	running.Wait()
}

func (i *Informer) newFollower(merger *relay.Merger) *relay.Follower {
	follower := &relay.Follower{Nodes: i.Directory, Pool: i.Pool, Merger: merger, Timing: i.Timing, Lost: i.Contact.Lost}
	if i.Interest != (subset.Interest{}) {
		follower.Interest = i.runners.wanted
	}
	i.follower.Store(follower)
	return follower
}

// sinks are those who take a part of what the store holds.
func (i *Informer) sinks() sinksByPrefix {
	sinks := sinksByPrefix{
		{i.Schema.OperatorPrefix, (*operatorSink)(i)}, {i.Schema.RunnersPrefix, i.runners}, {ownPrefix, (*ownSink)(i)},
	}
	if i.Mirror != nil {
		sinks = append(sinks, sinkOfPrefix{everything, i.Mirror})
	}
	return sinks
}
