// Package bundles keeps the bundle in force on this node, and makes operators'
// changes to it.
//
// A few watchers per region watch the head in the platform's key-value service. A
// node that learns of a new head notifies a few others at once, which fetch the head
// and the changed documents from it; gossip carries the head's revision as repair.
// While the platform is down all that is in force stays, and a starting node learns
// from its peers.
//
// It owns the snapshots in memory; the head and the generations last in the
// platform's service and change by compare-and-swap. It relies on
// internal/configuration/bundle for what is valid and signed, on internal/cluster/spread
// for whom to notify, and on the links. The plain node runs it.
package bundles

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/cluster/ownership"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/cluster/spread"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/fleet/membership"
	"cobaltramp.example/cobaltramp/modules/platform/etcdgateway"
)

// ModuleName registers the module.
const ModuleName = "config.bundles"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName, etcdgateway.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Membership is the part of the membership module used here.
type Membership interface {
	View() *fleet.View
	SetBundleRevision(uint64)
	AheadPeer() (uint64, string)
}

// Module provides the snapshot in force.
type Module struct {
	settings *settings.Settings
	store    ports.KeyValueStore
	members  Membership
	pool     *rpc.Pool
	metrics  *metrics

	inForce  atomic.Pointer[bundle.Snapshot]
	accepted atomic.Pointer[bundle.Snapshot]
	head     atomic.Pointer[bundle.Head]

	// applying serialises changes of the three pointers above.
	applying sync.Mutex
	// previous is what was in force before; peers may still ask for it.
	previous  atomic.Pointer[bundle.Snapshot]
	listeners []func(*bundle.Snapshot)
	reachable atomic.Bool
	notices   chan string

	background tasks.Group
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var server *rpc.Server
	var registry prometheus.Registerer
	if err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&m.store), kernel.Dependency(&m.members),
		kernel.Dependency(&m.pool), kernel.Dependency(&server), kernel.Dependency(&registry),
	); err != nil {
		return trace.Wrap(err)
	}
	m.metrics = newMetrics(registry)
	m.notices = make(chan string, noticeQueue)
	server.Handle(wirev1.Method_METHOD_BUNDLE_FETCH, m.serveFetch)
	server.HandleNotice(wirev1.Method_METHOD_BUNDLE_NOTICE, m.receiveNotice)
	ctx.Provide(m)
	return nil
}

// noticeQueue bounds the notices that wait; the repair loop makes up for others.
const noticeQueue = 16

// Snapshot returns the bundle in force, nil before the first.
func (m *Module) Snapshot() *bundle.Snapshot { return m.inForce.Load() }

// Accepted returns the newest accepted bundle, which may not be rolled here.
func (m *Module) Accepted() *bundle.Snapshot { return m.accepted.Load() }

// Head returns the newest head known here, nil before the first.
func (m *Module) Head() *bundle.Head { return m.head.Load() }

// PlatformReachable reports whether the last call to the key-value service
// was answered.
func (m *Module) PlatformReachable() bool { return m.reachable.Load() }

// OnSnapshot calls listener whenever a generation is put in force. It is
// called while modules are provisioned.
func (m *Module) OnSnapshot(listener func(*bundle.Snapshot)) {
	m.listeners = append(m.listeners, listener)
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.background.Go(func() { m.watchLoop(ctx) })
	m.background.Go(func() { m.repairLoop(ctx) })
	m.background.Go(func() { m.noticeLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. The loops end with the context of Start.
func (m *Module) Cleanup() { m.background.Wait() }

const (
	// repairInterval is the time between two looks at whether a peer is ahead.
	repairInterval = 500 * time.Millisecond
	// watchBackoff is the shortest wait after a watch has ended; a random time of up
	// to as much is added.
	watchBackoff = time.Second
	// fetchTimeout bounds one fetch from a peer.
	fetchTimeout = 5 * time.Second
)

func (m *Module) isWatcher() bool {
	view := m.members.View()
	self := ownership.Node{ID: view.Self.Id, Zone: view.Self.Zone, Region: view.Self.Region}
	return spread.IsWatcher(self, view.Candidates)
}

// watchLoop follows the head in the platform's service while this node is a
// watcher, and reads it once in a while when it knows none.
func (m *Module) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if m.isWatcher() || m.head.Load() == nil {
			m.watchOnce(ctx)
		}
		pause := watchBackoff + time.Duration(rand.Int64N(int64(watchBackoff)))
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// watchOnce reads the head, then watches from the revision read until the
// watch breaks.
func (m *Module) watchOnce(ctx context.Context) {
	values, revision, err := m.store.List(ctx, m.headKey())
	m.reachable.Store(err == nil)
	if err != nil {
		return
	}
	for _, value := range values {
		m.learnStored(ctx, value.Value)
	}
	if !m.isWatcher() {
		return
	}
	err = m.store.Watch(ctx, m.headKey(), revision, func(event ports.WatchEvent) {
		if !event.Deleted {
			m.learnStored(ctx, event.Value.Value)
		}
	})
	klog.V(1).InfoS("watch of the bundle head ended", "node", m.settings.Node.ID, "err", err)
}

func (m *Module) learnStored(ctx context.Context, text []byte) {
	head, err := bundle.DecodeHead(text)
	if err != nil {
		klog.ErrorS(err, "stored bundle head is unreadable", "node", m.settings.Node.ID)
		return
	}
	if err := m.Learn(ctx, head, ""); err != nil {
		klog.ErrorS(err, "bundle cannot be applied", "node", m.settings.Node.ID, "generation", head.Generation)
	}
}

// repairLoop fetches from a peer that gossip says is ahead.
func (m *Module) repairLoop(ctx context.Context) {
	ticker := time.NewTicker(repairInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		revision, peer := m.members.AheadPeer()
		if peer != "" && revision > m.revision() {
			m.fetchFrom(ctx, peer)
		}
	}
}

func (m *Module) noticeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-m.notices:
			m.fetchFrom(ctx, peer)
		}
	}
}

func (m *Module) revision() uint64 {
	if head := m.head.Load(); head != nil {
		return head.Revision
	}
	return 0
}

func (m *Module) receiveNotice(from string, payload []byte) {
	var notice wirev1.BundleNotice
	if err := proto.Unmarshal(payload, &notice); err != nil {
		klog.V(1).InfoS("unreadable bundle notice dropped", "node", m.settings.Node.ID, "peer", from, "err", err)
		return
	}
	if notice.Revision <= m.revision() {
		return
	}
	address, known := m.members.View().Address(from)
	if !known {
		return
	}
	select {
	case m.notices <- address:
	default: // the repair loop catches up
	}
}

// fetchFrom gets the newest head and what changed from a peer.
func (m *Module) fetchFrom(ctx context.Context, peer string) {
	reply, err := m.callFetch(ctx, peer, 0)
	if err != nil {
		klog.V(1).InfoS("bundle head not fetched from peer", "node", m.settings.Node.ID, "peer", peer, "err", err)
		return
	}
	if len(reply.Head) == 0 {
		return
	}
	head, err := bundle.DecodeHead(reply.Head)
	if err != nil {
		klog.V(1).InfoS("bundle head of peer is unreadable", "node", m.settings.Node.ID, "peer", peer, "err", err)
		return
	}
	if head.Revision <= m.revision() {
		return
	}
	if err := m.Learn(ctx, head, peer); err != nil {
		klog.V(1).InfoS("bundle fetched from peer cannot be applied", "node", m.settings.Node.ID, "peer", peer, "err", err)
	}
}

func (m *Module) callFetch(ctx context.Context, peer string, want uint64) (*wirev1.BundleFetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := &wirev1.BundleFetchRequest{WantGeneration: want}
	if accepted := m.accepted.Load(); accepted != nil {
		request.HaveGeneration = accepted.Generation
	}
	reply := &wirev1.BundleFetchReply{}
	err := m.pool.Call(ctx, peer, rpc.ClassControl, wirev1.Method_METHOD_BUNDLE_FETCH, request, reply)
	return reply, err
}
