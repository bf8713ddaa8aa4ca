// Package queuestore holds the batch jobs of the platform's deployment: queue shards,
// replicated over the disks of the storage nodes, whose program it runs in. Edges use
// Layouts and ShardOf of it to find a shard.
//
// It owns the jobs (through the log of their shard), the layout of the shards, the
// ledger of waiting tokens, and what leaders lend of tenants' limits; on the leader of a
// shard also the runs of its items. It relies on shardhost for the replicas, on package
// queue for what commands mean, on the platform's store for member sets only, and on an
// Executor for the sending of items to runners.
package queuestore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// Work is one item to be run.
type Work struct {
	Key   queue.ItemKey
	Host  string
	Route string
	// Tenant is whose job it is of; empty where there are no tenants.
	Tenant string
	Item   *wirev1.QueueItem
	Output queue.ItemOutput
	Due    time.Time
	// Slack is the time to spare at the start of the run; negative if the item
	// will be late.
	Slack    time.Duration
	Failures int
	// Save keeps what the run has produced so far; the run may be ended any time.
	Save func(output queue.ItemOutput)
	// FullService is set by an executor that found no free slot there for the item.
	FullService string
}

// Outcome is what came of a run.
type Outcome struct {
	// Done: Output is whole. Dead: the item can never be done.
	Done, Dead bool
	// Failed: the runner's own failure, which counts as an attempt; Attempts is
	// how many the route allows.
	Failed   bool
	Attempts int
	// Output is what is known of the output, for the next run.
	Output queue.ItemOutput
	// Wait is how long to wait before the next run.
	Wait time.Duration
	// Events and Took are what the run made and how long it worked.
	Events int64
	Took   time.Duration
	Reason string
}

// Executor runs items at runners.
type Executor interface {
	// TryStart starts an item if a runner has a free slot for it, and calls done once
	// when the run has ended. It does not block. If it finds no free slot it names the
	// service in work.FullService.
	TryStart(ctx context.Context, work *Work, done func(Outcome)) bool
}

// Retirement reports to operators how far the emptying of a node is.
type Retirement interface {
	Report(ctx context.Context, node string, done bool)
}

// StoreContact reports whether the platform's store does not answer this node.
type StoreContact interface{ Lost() bool }

// NodeOptions are what a node needs.
type NodeOptions struct {
	Node       string
	Region     string
	DiskLosses int
	// Retention is how long after its acceptance a finished job is kept.
	Retention time.Duration
	// LogBytes is how much of the applied log is kept for replicas that lag.
	LogBytes uint64
	// TruncateInterval is the time between two looks at the length of a log; zero is
	// one second.
	TruncateInterval time.Duration
	DB               *logstore.DB
	Directory        *peers.Directory
	Layouts          *Layouts
	Pool             *rpc.Pool
	Store            ports.KeyValueStore
	Contact          StoreContact
	// Totals returns how many runners there are, if nodes know a part of them each;
	// nil stands for not.
	Totals func() *subset.Totals
	// Retirement is notified what becomes of nodes that are being emptied.
	Retirement Retirement
	Executor   Executor
	// TenantLimit returns a tenant's limit on requests; false for one that is not
	// known. Tolerance is by how much limits may be exceeded.
	TenantLimit func(tenant string) (allotment.RateLimit, bool)
	Tolerance   allotment.Tolerance
	Registry    prometheus.Registerer
}

// StorageNode runs this machine's replicas.
type StorageNode struct {
	NodeOptions

	metrics *metrics
	mutex   sync.Mutex
	host    *shardhost.Host[*wirev1.QueueCommand, *queue.ApplyResult]
	tasks   tasks.Group
	homes   homes
	free    freeSpace
	// ledgerDisk is that of the last known leader of ledgerShard.
	ledgerDisk string
	context    context.Context
	cancel     context.CancelFunc
	draining   atomic.Bool
}

// New returns a node that does not run yet.
func New(options NodeOptions) *StorageNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &StorageNode{NodeOptions: options, metrics: newMetrics(options.Registry), context: ctx, cancel: cancel}
	n.host = n.newHost()
	return n
}

type metrics struct {
	leading   prometheus.Gauge
	unfinish  prometheus.Gauge
	persists  prometheus.Histogram
	jobs      *prometheus.CounterVec
	results   *prometheus.CounterVec
	runs      *prometheus.CounterVec
	handOvers *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		leading:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_queue_shards_leading", Help: "Queue shards this node leads."}),
		unfinish:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_queue_items_unfinished", Help: "Accepted items without a result, on the leader."}),
		persists:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_queue_persist_seconds", Help: "Time of one durable write.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 13)}),
		jobs:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_jobs_total", Help: "Submissions by outcome."}, []string{"outcome"}),
		results:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_results_total", Help: "Listed results by kind."}, []string{"kind"}),
		runs:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_runs_total", Help: "Ended runs of items by reason."}, []string{"reason"}),
		handOvers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_handovers_total", Help: "Member set changes driven here by outcome."}, []string{"outcome"}),
	}
	registry.MustRegister(m.leading, m.unfinish, m.persists, m.jobs, m.results, m.runs, m.handOvers)
	return m
}

// Handle registers the node's calls.
func (n *StorageNode) Handle(server *rpc.Server) {
	n.host.Handle(server)
	server.Handle(wirev1.Method_METHOD_QUEUE_SUBMIT, n.serveSubmit)
	server.Handle(wirev1.Method_METHOD_QUEUE_READ, n.serveRead)
	server.Handle(wirev1.Method_METHOD_QUEUE_ITEM, n.serveItem)
	server.Handle(wirev1.Method_METHOD_QUEUE_END, n.serveEnd)
	server.Handle(wirev1.Method_METHOD_QUEUE_RESERVE, n.serveReserve)
	server.Handle(wirev1.Method_METHOD_ALLOTMENT, n.serveAllotment)
}

// Start starts the shards the disk holds, before the platform's store is
// asked: elections need only the shards' own replicas.
func (n *StorageNode) Start() error {
	if err := n.host.Restore(); err != nil {
		return trace.Wrap(err)
	}
	n.tasks.Go(func() { n.layoutLoop(n.context) })
	n.tasks.Go(func() { n.limitsLoop(n.context) })
	return nil
}

// shard returns a shard that has a replica here, nil if it has none.
func (n *StorageNode) shard(id uint32) *shard {
	s := n.host.Shard(id)
	if s == nil {
		return nil
	}
	return s.Application().(*shard)
}

func (n *StorageNode) allShards() []*shard {
	var list []*shard
	for _, s := range n.host.Shards() {
		list = append(list, s.Application().(*shard))
	}
	return list
}

// Drain hands leaderships on; the node takes no new part in changes.
func (n *StorageNode) Drain(ctx context.Context) {
	n.draining.Store(true)
	for _, s := range n.allShards() {
		s.HandOnLeadership(ctx, func(string) bool { return true })
	}
}

// Stop ends all replicas.
func (n *StorageNode) Stop() {
	n.cancel()
	n.host.Stop()
	n.tasks.Wait()
	klog.InfoS("queue replicas stopped", "node", n.Node)
}
