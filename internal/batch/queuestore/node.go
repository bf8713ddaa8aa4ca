// Package queuestore stores batch jobs in queue shards and runs their items. The log of a
// shard is replicated over several disks of storage nodes, the members of the shard. The
// package runs in the process of the storage nodes; edges use its Layouts and ShardOf to find
// the shard of a job.
//
// The leader of a shard accepts the shard's jobs, starts runs of their items through an
// Executor, and grants allotments, which are shares of the request rate limits of tenants.
// The leader of shard 0 also keeps the ledger, which adds up the tokens of unfinished items
// over all shards to enforce limits on them.
//
// Package shardhost runs the replicas and package queue defines the commands of their log.
// The platform's store holds only the Layout, the member sets of all shards. A hand-over
// changes a member set: the leader freezes itself and other members, so that no more entries
// are committed with the old member set, and then replaces the member set in the store. A
// fence cancels an unfinished hand-over.
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

// Work describes one run of an item.
type Work struct {
	Key queue.ItemKey
	// Host and Route are those of the job.
	Host  string
	Route string
	// CatalogVersion is the version of the configuration by which an edge accepted the job; 0 if
	// unknown. KnownSince is when this node learned of the item as leader.
	CatalogVersion uint64
	KnownSince     time.Time
	// Tenant is the owner of the job; empty if the deployment has no tenants.
	Tenant string
	Item   *wirev1.QueueItem
	// Output is the output of earlier runs; the run continues after it.
	Output queue.ItemOutput
	Due    time.Time
	// Slack is the estimated time between the end of the run and the item's due time. It
	// is negative if the item is expected to be late.
	Slack time.Duration
	// Failures is the number of earlier runs that failed, and FailedRunners holds the times
	// of the last failures by the ID of the runner. The map must not be changed.
	Failures      int
	FailedRunners map[string]time.Time
	// Save records the output produced so far, so that a later run can continue from it.
	// It may block, and must not be called before TryStart returns.
	Save func(output queue.ItemOutput)
	// FullService is the service that had no free slot, or "" if no service is to be
	// avoided. TryStart sets it when it returns false.
	FullService string
	// NotBefore is the earliest time of the next attempt to start the item; zero means at
	// once. TryStart sets it when it returns false for a reason that concerns only this item.
	NotBefore time.Time
}

// Outcome is the result of a run.
type Outcome struct {
	// Done reports that Output is complete, Dead that the item can never succeed. If
	// neither is set, the item is run again unless it has used up its attempts.
	Done, Dead bool
	// Failed reports a failure of the runner, which counts as a failed attempt. Attempts
	// is the number of failed attempts after which the item is dead; it applies only if
	// Failed is set.
	Failed   bool
	Attempts int
	// RunnerEnded reports that the run's runner ended with it, early in the run.
	RunnerEnded bool
	// Runner is the ID of the runner of the run; empty if there was no run.
	Runner string
	// Output is the output so far; the next run continues from it.
	Output queue.ItemOutput
	// RetryDelay is the time to wait before the next run, if there is one.
	RetryDelay time.Duration
	// Events is the number of events that the run produced, Duration its running time.
	Events   int64
	Duration time.Duration
	// Reason is a short code of the outcome for logs and metrics.
	Reason string
}

// Executor runs items at runners.
type Executor interface {
	// TryStart starts a run and returns true if a runner has a free slot for the item.
	// It calls done once, on another goroutine, when the run has ended. If there is no
	// free slot, TryStart returns false without calling done; it may set
	// work.FullService or work.NotBefore. The shard's goroutine calls TryStart, which must not block.
	TryStart(ctx context.Context, work *Work, done func(Outcome)) bool
}

// Retirement reports to operators whether a retiring node still holds replicas.
type Retirement interface {
	// Report reports the state of a retiring node. done means that it holds no replicas.
	Report(ctx context.Context, node string, done bool)
}

// StoreContact reports whether this node has lost contact with the platform's store.
type StoreContact interface{ Lost() bool }

// NodeOptions configures a StorageNode.
type NodeOptions struct {
	// Node is the node's name.
	Node   string
	Region string
	// DiskLosses is the number of members that a shard can lose at once without losing its
	// quorum.
	DiskLosses int
	// Retention is how long a job is kept after its acceptance. A job with unfinished
	// items is kept longer.
	Retention time.Duration
	// LogBytes is the number of log bytes to keep for lagging replicas, divided evenly
	// among the local shards; see TruncationPoint.
	LogBytes uint64
	// TruncateInterval is the time between checks for log truncation; zero means one
	// second.
	TruncateInterval time.Duration
	DB               *logstore.DB
	Directory        *peers.Directory
	Layouts          *Layouts
	Pool             *rpc.Pool
	Store            ports.KeyValueStore
	Contact          StoreContact
	// Totals returns the numbers of runners if each node knows only a subset of them.
	// A nil function or result means that every node knows all runners.
	Totals     func() *subset.Totals
	Retirement Retirement
	Executor   Executor
	// TenantLimit returns a tenant's request rate limit, and false for an unknown
	// tenant. Tolerance bounds by how much limits may be exceeded.
	TenantLimit func(tenant string) (allotment.RateLimit, bool)
	Tolerance   allotment.Tolerance
	Registry    prometheus.Registerer
}

// StorageNode runs the queue shard replicas on this node's disk.
type StorageNode struct {
	NodeOptions

	metrics   *metrics
	mutex     sync.Mutex // guards ledgerDisk
	host      *shardhost.Host[*wirev1.QueueCommand, *queue.ApplyResult]
	tasks     tasks.Group
	homeCache homeCache
	freeSpace freeSpaceCache
	// ledgerDisk is the disk of the last known leader of ledgerShard; empty if unknown.
	ledgerDisk string
	context    context.Context
	cancel     context.CancelFunc
	draining   atomic.Bool
}

// New returns a node that has not been started.
func New(options NodeOptions) *StorageNode {
	ctx, cancel := context.WithCancel(context.Background())
	n := &StorageNode{NodeOptions: options, metrics: newMetrics(options.Registry), context: ctx, cancel: cancel}
	n.host = n.newHost(n.hostOptions())
	options.Registry.MustRegister(unservedCollector{n})
	return n
}

type metrics struct {
	leading         prometheus.Gauge
	unfinished      prometheus.Gauge
	persistDuration prometheus.Histogram
	jobs            *prometheus.CounterVec
	results         *prometheus.CounterVec
	runs            *prometheus.CounterVec
	handOvers       *prometheus.CounterVec
	unservedSeconds *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		leading:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_queue_shards_leading", Help: "Queue shards this node leads."}),
		unfinished:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_queue_items_unfinished", Help: "Accepted items without a result, on the leader."}),
		persistDuration: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_queue_persist_seconds", Help: "Time of one durable write.", Buckets: prometheus.ExponentialBuckets(0.0005, 2, 13)}),
		jobs:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_jobs_total", Help: "Submissions by outcome."}, []string{"outcome"}),
		results:         prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_results_total", Help: "Listed results by kind."}, []string{"kind"}),
		runs:            prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_runs_total", Help: "Ended runs of items by reason."}, []string{"reason"}),
		handOvers:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_handovers_total", Help: "Member set changes driven here by outcome."}, []string{"outcome"}),
		unservedSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_queue_unserved_seconds_total", Help: "Time in which a local replica saw no leader that serves its shard, by reason."}, []string{"reason"}),
	}
	registry.MustRegister(m.leading, m.unfinished, m.persistDuration, m.jobs, m.results, m.runs, m.handOvers, m.unservedSeconds)
	return m
}

// Handle registers the node's RPC handlers.
func (n *StorageNode) Handle(server *rpc.Server) {
	n.host.Handle(server)
	server.Handle(wirev1.Method_METHOD_QUEUE_SUBMIT, n.serveSubmit)
	server.Handle(wirev1.Method_METHOD_QUEUE_READ, n.serveRead)
	server.Handle(wirev1.Method_METHOD_QUEUE_ITEM, n.serveItem)
	server.Handle(wirev1.Method_METHOD_QUEUE_END, n.serveEnd)
	server.Handle(wirev1.Method_METHOD_QUEUE_RESERVE, n.serveReserve)
	server.Handle(wirev1.Method_METHOD_ALLOTMENT, n.serveAllotment)
	server.Handle(wirev1.Method_METHOD_QUEUE_STATUS, n.serveStatus)
}

// Start starts the replicas on the disk and the background tasks. It does not wait for the
// platform's store, which elections do not need.
func (n *StorageNode) Start() error {
	if err := n.host.Restore(); err != nil {
		return trace.Wrap(err)
	}
	n.tasks.Go(func() { n.layoutLoop(n.context) })
	n.tasks.Go(func() { n.waitingReportLoop(n.context) })
	n.tasks.Go(func() { n.unservedLoop(n.context) })
	return nil
}

// shard returns the local replica of a shard, or nil if there is none.
func (n *StorageNode) shard(id uint32) *shard {
	s := n.host.Shard(id)
	if s == nil {
		return nil
	}
	return s.Application().(*shard)
}

// allShards returns all local replicas.
func (n *StorageNode) allShards() []*shard {
	var list []*shard
	for _, s := range n.host.Shards() {
		list = append(list, s.Application().(*shard))
	}
	return list
}

// Drain makes the node start no more runs and plan no more member set changes, and then
// tries to transfer the leadership of its shards to other members.
func (n *StorageNode) Drain(ctx context.Context) {
	n.draining.Store(true)
	for _, s := range n.allShards() {
		s.HandOnLeadership(ctx, func(string) bool { return true })
	}
}

// Stop stops all replicas and waits for the background tasks.
func (n *StorageNode) Stop() {
	n.cancel()
	n.host.Stop()
	n.tasks.Wait()
	klog.InfoS("queue replicas stopped", "node", n.Node)
}
