// Package bundles keeps this node's active bundle up to date and commits operators'
// changes to the bundle.
//
// The head records the newest generation of the bundle and the generation that is to be
// active in each zone (see bundle.Head). A few nodes per region, the watchers, watch the
// head in the platform's key-value service. A node that has applied a new head sends a
// notice to a few other nodes, which then fetch the head and the changed documents from
// the sender. Gossip also carries the revision of the head, so that nodes that missed a
// notice catch up. While the platform is down, the active bundle stays active, and a
// node that starts fetches the bundle from a peer.
//
// The module keeps snapshots in memory. The key-value service stores the head and the
// generations, and the head is changed by compare-and-swap. The module depends on
// internal/configuration/bundle for validation and signatures, on
// internal/cluster/spread for the choice of watchers and of nodes to notify, and on
// the connections between nodes. Plain nodes run it.
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

// ModuleName is the name under which the module is registered.
const ModuleName = "config.bundles"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName, etcdgateway.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Membership is the part of the membership module that this module uses.
type Membership interface {
	View() *fleet.View
	SetBundleRevision(uint64)
	AheadPeer() (uint64, string)
}

// Module keeps the active bundle and commits operators' changes.
type Module struct {
	settings *settings.Settings
	store    ports.KeyValueStore
	members  Membership
	pool     *rpc.Pool
	metrics  *metrics

	active   atomic.Pointer[bundle.Snapshot]
	accepted atomic.Pointer[bundle.Snapshot]
	head     atomic.Pointer[bundle.Head]

	// updateMutex is held while active, accepted, head and previous are changed. They
	// are read without it.
	updateMutex sync.Mutex
	// previous is the snapshot that was active before active; peers may request it.
	previous          atomic.Pointer[bundle.Snapshot]
	listeners         []func(*bundle.Snapshot)
	platformReachable atomic.Bool
	notices           chan string // addresses of peers that have a newer head

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
	m.notices = make(chan string, noticeQueueSize)
	server.Handle(wirev1.Method_METHOD_BUNDLE_FETCH, m.serveFetch)
	server.HandleNotice(wirev1.Method_METHOD_BUNDLE_NOTICE, m.receiveNotice)
	ctx.Provide(m)
	return nil
}

// noticeQueueSize is the number of notices that may wait. When the queue is full, new
// notices are dropped and the repair loop fetches the head later.
const noticeQueueSize = 16

// Snapshot returns the active bundle, or nil if there is none yet.
func (m *Module) Snapshot() *bundle.Snapshot { return m.active.Load() }

// Accepted returns the newest accepted bundle, or nil if there is none yet. The bundle
// is not necessarily rolled out to this node's zone.
func (m *Module) Accepted() *bundle.Snapshot { return m.accepted.Load() }

// Head returns the newest head that this node knows, or nil if there is none yet.
func (m *Module) Head() *bundle.Head { return m.head.Load() }

// PlatformReachable reports whether the last read of the head or of a stored delta from
// the key-value service succeeded. It is also false after this node failed to apply a
// head that it had committed, until the next read succeeds.
func (m *Module) PlatformReachable() bool { return m.platformReachable.Load() }

// OnSnapshot registers a listener that is called whenever a generation becomes active.
// OnSnapshot must be called while modules are provisioned. The listener is called with
// updateMutex held and must not call ApplyHead, Submit or Roll.
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

// Cleanup implements kernel.Cleaner. The loops end when the context of Start does.
func (m *Module) Cleanup() { m.background.Wait() }

const (
	// repairInterval is the time between two checks for a peer with a newer head.
	repairInterval = 500 * time.Millisecond
	// watchBackoff is the minimum wait between two rounds of the watch loop. A random
	// jitter of up to the same duration is added.
	watchBackoff = time.Second
	// fetchTimeout is the timeout of a fetch from a peer.
	fetchTimeout = 5 * time.Second
)

func (m *Module) isWatcher() bool {
	view := m.members.View()
	self := ownership.Node{ID: view.Self.Id, Zone: view.Self.Zone, Region: view.Self.Region}
	return spread.IsWatcher(self, view.Candidates)
}

// watchLoop watches the head in the key-value service while this node is a watcher. A
// node that is not a watcher reads the head in each round until it has a head.
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

// watchOnce reads the head and applies it. On a watcher it then watches the head, from
// the store's revision at the time of the read, until the watch ends.
func (m *Module) watchOnce(ctx context.Context) {
	values, revision, err := m.store.List(ctx, m.headKey())
	m.platformReachable.Store(err == nil)
	if err != nil {
		return
	}
	for _, value := range values {
		m.applyStoredHead(ctx, value.Value)
	}
	if !m.isWatcher() {
		return
	}
	err = m.store.Watch(ctx, m.headKey(), revision, func(event ports.WatchEvent) {
		if !event.Deleted {
			m.applyStoredHead(ctx, event.Value.Value)
		}
	})
	klog.V(1).InfoS("watch of the bundle head ended", "node", m.settings.Node.ID, "err", err)
}

func (m *Module) applyStoredHead(ctx context.Context, text []byte) {
	head, err := bundle.DecodeHead(text)
	if err != nil {
		klog.ErrorS(err, "cannot decode the stored bundle head", "node", m.settings.Node.ID)
		return
	}
	if err := m.ApplyHead(ctx, head, ""); err != nil {
		klog.ErrorS(err, "cannot apply the stored bundle head", "node", m.settings.Node.ID, "generation", head.Generation)
	}
}

// repairLoop fetches the head from a peer when gossip reports that the peer has a
// newer one.
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
			m.fetchHead(ctx, peer)
		}
	}
}

func (m *Module) noticeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-m.notices:
			m.fetchHead(ctx, peer)
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
		klog.V(1).InfoS("bundle notice dropped: it cannot be decoded", "node", m.settings.Node.ID, "peer", from, "err", err)
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
	default: // the queue is full; the repair loop fetches the head later
	}
}

// fetchHead fetches the head that a peer has, and applies it if it is newer than this
// node's head.
func (m *Module) fetchHead(ctx context.Context, peer string) {
	reply, err := m.callFetch(ctx, peer, 0)
	if err != nil {
		klog.V(1).InfoS("cannot fetch the bundle head from a peer", "node", m.settings.Node.ID, "peer", peer, "err", err)
		return
	}
	if len(reply.Head) == 0 {
		return
	}
	head, err := bundle.DecodeHead(reply.Head)
	if err != nil {
		klog.V(1).InfoS("cannot decode the bundle head of a peer", "node", m.settings.Node.ID, "peer", peer, "err", err)
		return
	}
	if head.Revision <= m.revision() {
		return
	}
	if err := m.ApplyHead(ctx, head, peer); err != nil {
		klog.V(1).InfoS("cannot apply the bundle head fetched from a peer", "node", m.settings.Node.ID, "peer", peer, "err", err)
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
