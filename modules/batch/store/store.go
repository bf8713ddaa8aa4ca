// Package store holds the files and jobs of the OpenAI-style batch interface: shards,
// replicated over the plain nodes with a data folder. It owns their member sets, and on
// a leader the table of items handed out. It relies on shardhost for the replicas, on
// package shard for what commands mean, and on the platform's service for the layout.
// Other nodes reach shards through package directory.
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

// Views gives the view of the fleet.
type Views interface{ View() *fleet.View }

// Snapshots gives the bundle in force.
type Snapshots interface{ Snapshot() *bundle.Snapshot }

// Module runs this node's replicas.
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
	m.db, _ = kernel.Find[*logstore.DB](ctx) // none on a node without a data folder
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
	m.prepare()
	m.handle(server)
	ctx.Provide(m)
	return nil
}

// prepare makes the host of the shards, without shards.
func (m *Module) prepare() {
	m.context, m.cancel = context.WithCancel(context.Background())
	m.host = m.newHost(m.context)
}

func (m *Module) handle(server *rpc.Server) {
	m.host.Handle(server)
	server.Handle(wirev1.Method_METHOD_SHARD_MAP, m.serveShardMap)
	server.Handle(wirev1.Method_METHOD_SHARD_PROPOSE, m.servePropose)
	server.Handle(wirev1.Method_METHOD_SHARD_READ, m.serveRead)
	server.Handle(wirev1.Method_METHOD_PULL, m.servePull)
	server.Handle(wirev1.Method_METHOD_COMPLETE, m.serveComplete)
}

type metrics struct {
	leading   prometheus.Gauge
	proposals *prometheus.CounterVec
	applied   prometheus.Counter
	logBytes  prometheus.Counter
	persists  prometheus.Histogram
	grants    prometheus.Counter
	completed *prometheus.CounterVec
	requeued  *prometheus.CounterVec
	handOvers *prometheus.CounterVec
	snapshots *prometheus.CounterVec
	elections prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, db *logstore.DB) *metrics {
	m := &metrics{
		leading:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_shards_leading", Help: "Shards this node leads."}),
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_shard_proposals_total", Help: "Commands proposed here by outcome."}, []string{"outcome"}),
		applied:   prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_shard_applied_total", Help: "Log entries applied."}),
		logBytes:  prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_shard_log_bytes_total", Help: "Bytes of commands written to logs."}),
		persists:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_shard_persist_seconds", Help: "Time of one durable write.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
		grants:    prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_items_granted_total", Help: "Items handed to nodes."}),
		completed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_items_completed_total", Help: "Item completions by fate (accepted, duplicate)."}, []string{"fate"}),
		requeued:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_items_requeued_total", Help: "Items handed out again by reason."}, []string{"reason"}),
		handOvers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_shard_handovers_total", Help: "Member set changes driven here by outcome."}, []string{"outcome"}),
		snapshots: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_shard_snapshots_total", Help: "Snapshots by direction."}, []string{"direction"}),
		elections: prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_shard_elections_won_total", Help: "Elections won by replicas here."}),
	}
	registry.MustRegister(m.leading, m.proposals, m.applied, m.logBytes, m.persists, m.grants, m.completed, m.requeued, m.handOvers, m.snapshots, m.elections)
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

// replica returns a shard that has a replica here, nil if it has none.
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

// Drain implements kernel.Drainer: leadership is handed on.
func (m *Module) Drain(ctx context.Context) {
	if m.host == nil {
		return
	}
	m.draining.Store(true)
	for _, held := range m.allReplicas() {
		held.HandOnLeadership(ctx, aliveDisks(m.views.View()))
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

// Status lists this node's replicas for operators.
func (m *Module) Status() []*wirev1.ShardStatus {
	if m.host == nil {
		return nil
	}
	var list []*wirev1.ShardStatus
	for _, held := range m.allReplicas() {
		if status := held.status(); status != nil {
			list = append(list, status)
		}
	}
	return list
}
