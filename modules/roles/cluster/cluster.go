// Package cluster connects an edge or a storage node to the cluster and to the platform's
// store. It creates and runs:
//
//   - the directory of node records, and the syncer, which exchanges records between nodes;
//   - the informer, which keeps a copy of the store's contents, and the relay, which sends
//     changes of the store to other nodes;
//   - the reporter, which exchanges reports with other nodes about the requests that each
//     node runs at runners;
//   - the publisher (storage nodes) or the receiver (edges) of the load of zones, if zones are
//     balanced or fair shares of the slots are enabled;
//   - the quarantine of requests that crash runners;
//   - the records of the software versions at which streams began;
//   - if the settings enable it, the caller that reaches storage nodes through peers while
//     there is no direct path to them, and the forwarder that does so for peers;
//   - the counts of requests by tenant, if fair shares of the slots are enabled.
//
// The platform's adapter provides the client of the store and the prober of runners. Only
// storage nodes with a data folder keep a mirror of the store's changes for other nodes.
package cluster

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/role"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/cluster/forwarding"
	"cobaltramp.example/cobaltramp/internal/cluster/informer"
	"cobaltramp.example/cobaltramp/internal/cluster/listwatch"
	"cobaltramp.example/cobaltramp/internal/cluster/notify"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/relay"
	"cobaltramp.example/cobaltramp/internal/cluster/subset"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/serving/loadshare"
	"cobaltramp.example/cobaltramp/internal/serving/quarantine"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
	"cobaltramp.example/cobaltramp/internal/serving/streamorigin"
	"cobaltramp.example/cobaltramp/internal/serving/zoneload"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/roles/links"
)

// ModuleName is the name under which the module is registered.
const ModuleName = "roles.cluster"

// AdapterName is the name of the module that connects a node to the platform. That module
// provides an *informer.Schema, an informer.StoreAPI and a quarantine.Prober.
const AdapterName = "platform.adapter"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, Roles: []string{role.Edge, role.Storage}, DependsOn: []string{links.ModuleName, AdapterName},
		New: func() kernel.Module { return &Module{} },
	})
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Module provides the informer with its store contact, catalogs, runners and queue layouts,
// the directory of nodes, the quarantine coordinator, and the tracker of streams' origins. If the settings enable them, it also
// provides the caller that reaches storage nodes through peers (*forwarding.Caller) and, on
// edges, the receiver of the load of zones (*zoneload.Receiver) and the shares of tenants
// (*fairshare.Shares).
type Module struct {
	informer   *informer.Informer
	syncer     *peers.Syncer
	reporter   *loadshare.Reporter
	publisher  *zoneload.Publisher // nil on edges, and if neither zones are balanced nor tenants have fair shares
	quarantine *quarantine.Coordinator
	holdWriter *quarantine.HoldWriter
	caller     *forwarding.Caller // nil if calls are not forwarded
	origins    *streamorigin.Tracker
	fairShares fairShares
	running    tasks.Group
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var loaded *settings.Role
	var registry prometheus.Registerer
	var pool *rpc.Pool
	var server *rpc.Server
	var schema *informer.Schema
	var store informer.StoreAPI
	var prober quarantine.Prober
	err := ctx.Resolve(
		kernel.Dependency(&loaded), kernel.Dependency(&registry), kernel.Dependency(&pool), kernel.Dependency(&server),
		kernel.Dependency(&schema), kernel.Dependency(&store), kernel.Dependency(&prober),
	)
	if err != nil {
		return trace.Wrap(err)
	}
	directory := peers.NewDirectory(&wirev1.NodeRecord{
		NodeId: loaded.Node, Address: loaded.PeerAddress(), Zone: loaded.Zone, Region: loaded.Region,
		Incarnation: uint64(time.Now().UnixMilli()), RecordsStreamOrigins: true,
	})
	m.informer = informer.New(informer.Options{
		Schema: schema, Store: store, WatchTimeout: listwatch.WatchTimeoutWithin(loaded.Store.HistoryRetention()), Contact: listwatch.NewStoreContact(),
		Catalogs: catalog.NewHolder(), Runners: runnerset.New(), Layouts: queuestore.NewLayouts(), Directory: directory,
		Pool: pool, Drain: loaded.DrainTime(),
		Interest: subset.DefaultInterest(loaded.Node, loaded.Zone, loaded.DataFolder != ""), Timing: relay.TimingWithin(loaded.DrainTime()),
	})
	m.syncer = &peers.Syncer{Directory: directory, Documents: m.informer, Pool: pool, Seeds: loaded.Seeds, Watched: m.informer.Watched}
	if loaded.DataFolder != "" {
		m.informer.Mirror = relay.NewMirror(schema.Classify)
	}
	source := &relay.Source{
		Mirror: m.informer.Mirror, Lost: m.informer.Contact.Lost, Age: m.informer.Contact.Age, UsesRelay: m.informer.UsesRelay,
		Level: m.informer.Level, Timing: m.informer.Timing,
	}
	server.Handle(wirev1.Method_METHOD_FOLLOW, source.Serve)
	m.informer.RegisterMetrics(registry, source)
	server.Handle(wirev1.Method_METHOD_PEER_STATE, m.syncer.Serve)
	node := &nodeParts{
		settings: loaded, directory: directory, runners: m.informer.Runners, catalogs: m.informer.Catalogs, pool: pool, server: server, registry: registry,
	}
	m.provisionReports(ctx, node)
	m.provisionRouting(ctx, node)
	m.provisionOrigins(node)
	server.OnPeerLost(func(peer string) {
		m.reporter.PeerLost(peer)
		m.fairShares.peerLost(peer)
	})
	m.holdWriter = quarantine.NewHoldWriter(store)
	m.quarantine = quarantine.NewCoordinator(directory, pool, prober, m.holdWriter, registry)
	m.quarantine.SetRunners(m.informer.Runners)
	m.informer.Quarantine = m.quarantine
	m.informer.Runners.SetMemory(m.runnerMemory)
	m.informer.Runners.OnRestart(func(earlier *runnerset.Runner) { m.quarantine.RecordRestart(earlier.StartID()) })
	m.quarantine.OnEnding = func(start string) { m.informer.Runners.RecordEnding(start, time.Now()) }
	server.HandleNotice(wirev1.Method_METHOD_QUARANTINE, m.quarantine.ReceiveNotice)
	server.Handle(wirev1.Method_METHOD_QUARANTINE_ADMIN, m.quarantine.ServeAdmin)
	if loaded.DataFolder == "" { // storage nodes have replicas of their own
		collector := &queuestore.StatusCollector{Directory: directory, Layouts: m.informer.Layouts, Sender: pool, Contact: m.informer.Contact}
		server.Handle(wirev1.Method_METHOD_QUEUE_STATUS, collector.Serve)
	}
	for _, service := range []any{
		m.informer, m.informer.Contact, m.informer.Catalogs, m.informer.Runners, m.informer.Layouts, directory, m.quarantine, m.origins,
	} {
		ctx.Provide(service)
	}
	return nil
}

// provisionReports sets up the reports of requests at runners, and the caller and the forwarder
// of calls through peers if the settings enable them.
func (m *Module) provisionReports(ctx *kernel.Context, node *nodeParts) {
	var notices notify.NoticeSender = node.pool
	if node.settings.Routing.ForwardThroughPeers {
		m.caller = forwarding.NewCaller(node.directory, node.pool, node.registry)
		m.syncer.Reachability = m.caller
		notices = m.caller
		ctx.Provide(m.caller)
	}
	m.reporter = loadshare.New(node.directory, node.runners, notices, node.registry)
	if m.caller != nil {
		forwarding.NewForwarder(m.caller, m.reporter.ReceiveNotice, node.registry).Handle(node.server)
	}
	node.server.HandleNotice(wirev1.Method_METHOD_RUNNER_USE, m.reporter.ReceiveNotice)
}

// provisionOrigins sets up the records of the software versions at which streams began.
func (m *Module) provisionOrigins(node *nodeParts) {
	node.runners.SetContact(m.informer.Contact, node.settings.DrainTime())
	m.origins = streamorigin.New(node.directory, node.pool, node.runners.Versions(), m.informer, node.registry)
	node.server.Handle(wirev1.Method_METHOD_STREAM_ORIGIN_RECORD, m.origins.ServeRecord)
	node.server.Handle(wirev1.Method_METHOD_STREAM_ORIGIN_FIND, m.origins.ServeFind)
}

// runnerMemory returns the memory of a service's runners in tokens; 0 if unknown.
func (m *Module) runnerMemory(service string) int {
	current := m.informer.Catalogs.Current()
	if current == nil || current.Services[service] == nil {
		return 0
	}
	return current.Services[service].CacheTokens
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	runs := []func(context.Context){m.informer.Run, m.syncer.Run, m.reporter.Run, m.quarantine.Run, m.holdWriter.Run, m.fairShares.run, m.origins.Run}
	if m.publisher != nil {
		runs = append(runs, m.publisher.Run)
	}
	for _, run := range runs {
		m.running.Go(func() { run(ctx) })
	}
	return nil
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.caller != nil {
		m.caller.Close()
	}
	m.running.Wait()
}
