// Package store stores the files and jobs of the OpenAI-style batch interface in shards,
// which are replicated over the plain nodes that have a data folder.
//
// The package manages the member sets of the shards and, on the leader of a shard, the
// table of granted items. Package shardhost runs the replicas, package shard implements the
// commands, and the platform's store holds the layout. Other nodes reach the shards through
// package directory.
package store

import (
	"context"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/shardhost"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/batch/disk"
	"cobaltramp.example/cobaltramp/modules/config/bundles"
	"cobaltramp.example/cobaltramp/modules/fleet/membership"
	"cobaltramp.example/cobaltramp/modules/platform/etcdgateway"
)

// ModuleName registers the module.
const ModuleName = "batch.store"

func init() {
	kernel.Register(kernel.Info{
		Name:      ModuleName,
		DependsOn: []string{disk.ModuleName, membership.ModuleName, bundles.ModuleName, etcdgateway.ModuleName},
		New:       func() kernel.Module { return &Module{} },
	})
}

// Views provides the current view of the fleet.
type Views interface{ View() *fleet.View }

// Snapshots provides the active bundle.
type Snapshots interface{ Snapshot() *bundle.Snapshot }

// Module runs the replicas on this node's disk. It does nothing on a node without a data
// folder.
type Module struct {
	settings  *settings.Settings
	db        *logstore.DB
	views     Views
	snapshots Snapshots
	platform  ports.KeyValueStore
	pool      *rpc.Pool
	metrics   *metrics

	layout   atomic.Pointer[ClusterLayout]
	host     *shardhost.Host[*wirev1.Command, *wirev1.CommandResult]
	context  context.Context
	cancel   context.CancelFunc
	tasks    tasks.Group
	draining atomic.Bool
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Drainer = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.settings, err = kernel.Find[*settings.Settings](ctx); err != nil {
		return trace.Wrap(err)
	}
	m.db, _ = kernel.Find[*logstore.DB](ctx) // nil on a node without a data folder
	if m.db == nil {
		return nil
	}
	if m.views, err = kernel.Find[Views](ctx); err != nil {
		return trace.Wrap(err)
	}
	if m.snapshots, err = kernel.Find[Snapshots](ctx); err != nil {
		return trace.Wrap(err)
	}
	if m.platform, err = kernel.Find[ports.KeyValueStore](ctx); err != nil {
		return trace.Wrap(err)
	}
	if m.pool, err = kernel.Find[*rpc.Pool](ctx); err != nil {
		return trace.Wrap(err)
	}
	server, err := kernel.Find[*rpc.Server](ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	registry, err := kernel.Find[prometheus.Registerer](ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	m.metrics = newMetrics(registry, m.db)
	m.createHost()
	m.registerHandlers(server)
	ctx.Provide(m)
	return nil
}

// createHost creates the host of this node's shards. It starts no shard.
func (m *Module) createHost() {
	m.context, m.cancel = context.WithCancel(context.Background())
	m.host = m.newHost(m.context)
}

func (m *Module) registerHandlers(server *rpc.Server) {
	m.host.Handle(server)
	server.Handle(wirev1.Method_METHOD_SHARD_MAP, m.serveShardMap)
	server.Handle(wirev1.Method_METHOD_SHARD_PROPOSE, m.servePropose)
	server.Handle(wirev1.Method_METHOD_SHARD_READ, m.serveRead)
	server.Handle(wirev1.Method_METHOD_PULL, m.servePull)
	server.Handle(wirev1.Method_METHOD_COMPLETE, m.serveComplete)
}

type metrics struct {
	ledShards      prometheus.Gauge
	proposals      *prometheus.CounterVec
	applied        prometheus.Counter
	logBytes       prometheus.Counter
	persistSeconds prometheus.Histogram
	grants         prometheus.Counter
	completed      *prometheus.CounterVec
	requeued       *prometheus.CounterVec
	handOvers      *prometheus.CounterVec
	snapshots      *prometheus.CounterVec
	elections      prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, db *logstore.DB) *metrics {
	m := &metrics{
		ledShards:      prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_shards_leading", Help: "Shards this node leads."}),
		proposals:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_shard_proposals_total", Help: "Commands proposed here by outcome."}, []string{"outcome"}),
		applied:        prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_shard_applied_total", Help: "Log entries applied."}),
		logBytes:       prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_shard_log_bytes_total", Help: "Bytes of commands written to logs."}),
		persistSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_shard_persist_seconds", Help: "Time of one durable write.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
		grants:         prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_items_granted_total", Help: "Items handed to nodes."}),
		completed:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_items_completed_total", Help: "Item completions by fate (accepted, duplicate)."}, []string{"fate"}),
		requeued:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_items_requeued_total", Help: "Items handed out again by reason."}, []string{"reason"}),
		handOvers:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_shard_handovers_total", Help: "Member set changes driven here by outcome."}, []string{"outcome"}),
		snapshots:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_shard_snapshots_total", Help: "Snapshots by direction."}, []string{"direction"}),
		elections:      prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_shard_elections_won_total", Help: "Elections won by replicas here."}),
	}
	registry.MustRegister(m.ledShards, m.proposals, m.applied, m.logBytes, m.persistSeconds, m.grants, m.completed, m.requeued, m.handOvers, m.snapshots, m.elections)
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "cobaltramp_disk_has_room", Help: "1 while new jobs may be kept on this disk."}, func() float64 {
		if db.HasFreeSpace() {
			return 1
		}
		return 0
	}))
	return m
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	if m.db == nil {
		return nil
	}
	context.AfterFunc(ctx, m.cancel)
	m.tasks.Go(func() { m.layoutLoop(m.context) })
	return trace.Wrap(m.host.Restore())
}

// replica returns this node's replica of a shard, nil if the node has none.
func (m *Module) replica(id uint32) *shardReplica {
	s := m.host.Shard(id)
	if s == nil {
		return nil
	}
	return s.Application().(*shardReplica)
}

func (m *Module) allReplicas() []*shardReplica {
	var list []*shardReplica
	for _, s := range m.host.Shards() {
		list = append(list, s.Application().(*shardReplica))
	}
	return list
}

// Drain implements kernel.Drainer. It transfers the leadership of shards to replicas on
// other nodes.
func (m *Module) Drain(ctx context.Context) {
	if m.host == nil {
		return
	}
	m.draining.Store(true)
	for _, local := range m.allReplicas() {
		local.HandOnLeadership(ctx, aliveDiskFilter(m.views.View()))
	}
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.host == nil {
		return
	}
	m.cancel()
	m.host.Stop()
	m.tasks.Wait()
}

// Status returns the state of this node's replicas for operators. It leaves out replicas
// that are busy or stopped.
func (m *Module) Status() []*wirev1.ShardStatus {
	if m.host == nil {
		return nil
	}
	var list []*wirev1.ShardStatus
	for _, local := range m.allReplicas() {
		if status := local.status(); status != nil {
			list = append(list, status)
		}
	}
	return list
}
