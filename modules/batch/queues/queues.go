// Package queues runs the queue shards of a storage node. It opens and closes the database
// in the data folder, and connects package queuestore with the platform's store, the peers
// and the executor of items.
package queues

import (
	"context"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/membudget"
	"cobaltramp.example/cobaltramp/internal/app/role"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/queuerun"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/cluster/informer"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/roles/cluster"
)

// ModuleName registers the module.
const ModuleName = "batch.queues"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, Roles: []string{role.Storage}, DependsOn: []string{cluster.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module runs the replicas of the queue shards on this node's disk.
type Module struct {
	settings *settings.Role
	db       *logstore.DB
	node     *queuestore.StorageNode
	executor *queuerun.ItemExecutor
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Drainer = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// retentionFactor is how long a job is kept, as a multiple of the configured result
// retention. It is greater than 1 because clients measure the time from their first attempt.
const retentionFactor = 2

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	options := queuestore.NodeOptions{}
	var server *rpc.Server
	var catalogs *catalog.Holder
	var runners *runnerset.Set
	var client exchange.CallSender
	var store ports.KeyValueStore
	var platformInformer *informer.Informer
	var coordinator *quarantine.Coordinator
	err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&server), kernel.Dependency(&catalogs), kernel.Dependency(&runners), kernel.Dependency(&client),
		kernel.Dependency(&store), kernel.Dependency(&platformInformer), kernel.Dependency(&coordinator), kernel.Dependency(&options.Directory), kernel.Dependency(&options.Layouts), kernel.Dependency(&options.Pool),
		kernel.Dependency(&options.Contact), kernel.Dependency(&options.Retirement), kernel.Dependency(&options.Registry),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	if m.settings.DataFolder == "" {
		return &settings.FieldError{Path: "data_folder", Found: "", Allowed: "a folder on the node's disk"}
	}
	if m.db, err = logstore.Open(m.settings.DataFolder, logstore.DiskLimits{MaxBytes: int64(m.settings.Machine.DiskMegabytes) * mebibyte}); err != nil {
		return trace.Wrap(err)
	}
	klog.InfoS("disk opened", "folder", m.settings.DataFolder, "disk", m.db.DiskID())
	options.Directory.SetDisk(m.db.DiskID())
	platformInformer.DiskCache = m.db
	options.Node, options.Region = m.settings.Node, m.settings.Region
	options.DiskLosses, options.Retention = m.settings.DiskLosses, retentionFactor*m.settings.ResultRetention()
	options.DB, options.Store = m.db, store
	options.LogBytes = keptLogBytes(m.settings.Machine)
	options.TenantLimit, options.Tolerance = admission.LimitOf(catalogs), m.settings.QuotaTolerance()
	m.executor = queuerun.New(m.settings.Zone, catalogs, runners, client)
	m.executor.Home = func(runner *runnerset.Record) bool {
		return m.node.IsHomeOf(runner.ID, subset.ServiceZone{Service: runner.Service, Zone: runner.Zone})
	}
	options.Totals = runners.Totals
	m.executor.Quarantine = coordinator
	m.executor.Memory = membudget.New(m.settings.Machine.ResponseMemory())
	m.executor.Contact = platformInformer.Contact
	options.Executor = m.executor
	m.node = queuestore.New(options)
	m.node.Handle(server)
	return nil
}

const (
	// logDiskFraction is the share of the disk that may be used for applied log entries
	// kept for lagging replicas; maxLogBytes is an upper limit.
	logDiskFraction = 0.06
	maxLogBytes     = 48 << 20
	mebibyte        = 1 << 20
)

// keptLogBytes returns the size of the applied log entries to keep for lagging replicas.
func keptLogBytes(machine settings.RoleMachine) uint64 {
	return uint64(min(logDiskFraction*float64(machine.DiskMegabytes)*mebibyte, maxLogBytes))
}

// Start implements kernel.Starter.
func (m *Module) Start(context.Context) error { return m.node.Start() }

// Drain implements kernel.Drainer. It transfers the leadership of shards to replicas on
// other nodes.
func (m *Module) Drain(ctx context.Context) { m.node.Drain(ctx) }

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.node != nil {
		m.node.Stop() // cancels the running items; Wait waits until they have ended
		m.executor.Wait()
	}
	if m.db != nil {
		if err := m.db.Close(); err != nil {
			klog.ErrorS(err, "closing the database failed")
		}
	}
}
