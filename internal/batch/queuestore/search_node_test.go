package queuestore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// searchNode is a machine of a searchWorld. Its disk survives the ends of its runs. The
// world's mutex guards its fields.
type searchNode struct {
	name string
	disk *vfs.MemFS
	// documents are the values of the layout that the node has written to its disk.
	documents []*wirev1.StoredItem
	clock     time.Duration // how much the clock of the machine is ahead
	run       *nodeRun      // nil while the machine is down
	starting  bool          // a process opens the disk
	removed   bool          // the machine was taken away for good
}

// nodeRun is a process of a node.
type nodeRun struct {
	world   *searchWorld
	node    *searchNode
	db      *logstore.DB
	pool    *rpc.Pool
	storage *StorageNode

	// dead is set when the process or its machine has ended. What it does afterwards, until
	// its goroutines have ended, has no effect.
	dead      atomic.Bool
	inContact atomic.Bool
	context   context.Context
	cancel    context.CancelFunc
	tasks     tasks.Group
	snapshots callGroup

	mutex     sync.Mutex
	suspended chan struct{} // closed when the process continues; nil while it runs
}

// callGroup counts calls that use a database, so that it can be closed.
type callGroup struct {
	mutex  sync.Mutex
	closed bool
	calls  sync.WaitGroup
}

func (g *callGroup) begin() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.closed {
		g.calls.Add(1)
	}
	return !g.closed
}

func (g *callGroup) end() { g.calls.Done() }

func (g *callGroup) wait() {
	g.mutex.Lock()
	g.closed = true
	g.mutex.Unlock()
	g.calls.Wait()
}

// syncHook is a file system that calls before in front of each sync of a file.
type syncHook struct {
	vfs.FS
	before func()
}

type syncHookFile struct {
	vfs.File
	before func()
}

func (h *syncHook) wrap(file vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &syncHookFile{file, h.before}, nil
}

// Create implements vfs.FS.
func (h *syncHook) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return h.wrap(h.FS.Create(name, category))
}

// ReuseForWrite implements vfs.FS.
func (h *syncHook) ReuseForWrite(before, after string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return h.wrap(h.FS.ReuseForWrite(before, after, category))
}

// Sync implements vfs.File.
func (f *syncHookFile) Sync() error {
	f.before()
	return f.File.Sync()
}

// SyncData implements vfs.File.
func (f *syncHookFile) SyncData() error {
	f.before()
	return f.File.SyncData()
}

// startRun starts a process on a machine that is down.
func (w *searchWorld) startRun(node *searchNode) error {
	w.mutex.Lock()
	if node.run != nil || node.removed || node.starting || w.ended {
		w.mutex.Unlock()
		return nil
	}
	node.starting = true
	disk, documents, clock := node.disk, node.documents, node.clock
	w.mutex.Unlock()
	r := &nodeRun{world: w, node: node}
	r.context, r.cancel = context.WithCancel(w.context)
	var err error
	r.db, err = logstore.OpenOn(&syncHook{disk, func() { w.observe(stepSync, r) }}, "/data", logstore.DiskLimits{})
	if err != nil {
		return err
	}
	incarnation := uint64(time.Now().Add(clock).UnixMilli())
	self := &wirev1.NodeRecord{NodeId: node.name, Address: node.name, Zone: node.name, Region: "r", DiskId: r.db.DiskID(), Incarnation: incarnation}
	layouts := NewLayouts()
	for _, item := range documents {
		layouts.UpdateIfNewer(item.Key, item.Value, item.Revision, "disk")
	}
	r.pool = rpc.NewPool(node.name, "test", nil, &rpc.Counters{})
	seen := nodeStore{w.store, r}
	r.storage = New(NodeOptions{
		Node: node.name, Region: "r", DiskLosses: w.series.diskLosses, Retention: time.Hour, TruncateInterval: w.series.truncateInterval, LogBytes: w.series.logBytes,
		DB: r.db, Directory: peers.NewDirectory(self), Layouts: layouts, Pool: r.pool, Store: seen, Contact: seen, Retirement: seen,
		Executor: &testExecutor{full: true, runs: map[string]int{}}, Registry: prometheus.NewRegistry(),
		TenantLimit: testLimit, Tolerance: allotment.Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
	})
	options := r.storage.hostOptions()
	options.Send = func(message *wirev1.ReplicaMessage) { w.links.send(r, message) }
	options.FetchSnapshot = func(ctx context.Context, address string, shard uint32, receive func(*wirev1.SnapshotChunk) error) error {
		return w.links.fetch(ctx, r, address, shard, receive)
	}
	options.LogKeys = []any{"node", node.name}
	r.storage.host = r.storage.newHost(options)
	w.mutex.Lock()
	node.run, node.starting = r, false
	if w.ended {
		w.crashLocked([]*searchNode{node}, 100)
	}
	w.mutex.Unlock()
	w.logf("%s starts with %s", node.name, r.db.DiskID())
	if err := r.storage.Start(); err != nil && !r.dead.Load() {
		return err
	}
	r.tasks.Go(r.syncWithPeers)
	r.tasks.Go(r.watchStore)
	return nil
}

// stop ends the goroutines of a dead run.
func (r *nodeRun) stop() {
	r.cancel()
	r.storage.Stop()
	r.tasks.Wait()
	r.snapshots.wait()
	r.pool.Close()
	_ = r.db.Close()
}

func (r *nodeRun) suspend() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspended == nil {
		r.suspended = make(chan struct{})
	}
}

func (r *nodeRun) resume() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.suspended != nil {
		close(r.suspended)
		r.suspended = nil
	}
}

func (r *nodeRun) isSuspended() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.suspended != nil
}

// waitWhileSuspended waits until the process continues or has ended, or the context ends.
func (r *nodeRun) waitWhileSuspended(ctx context.Context) {
	for {
		r.mutex.Lock()
		suspended := r.suspended
		r.mutex.Unlock()
		if suspended == nil {
			return
		}
		select {
		case <-suspended:
		case <-ctx.Done():
			return
		case <-r.context.Done():
			return
		}
	}
}

// receive passes a message to the replica.
func (r *nodeRun) receive(message *wirev1.ReplicaMessage) {
	r.waitWhileSuspended(r.context)
	if !r.dead.Load() {
		r.storage.host.Receive(&wirev1.ReplicaBatch{Messages: []*wirev1.ReplicaMessage{message}})
	}
}

const (
	searchSyncInterval = 500 * time.Millisecond
	// searchSyncRounds is the number of rounds between two syncs with all nodes, after the
	// first searchStartupRounds.
	searchSyncRounds    = 2
	searchStartupRounds = 6
)

// syncWithPeers exchanges records and documents with other nodes, as peers.Syncer does.
func (r *nodeRun) syncWithPeers() {
	for round := 0; r.context.Err() == nil; round++ {
		others := r.world.machines()
		only := rand.IntN(len(others))
		for i, other := range others {
			if other != r.node && (round < searchStartupRounds || round%searchSyncRounds == 0 || i == only) {
				r.syncWith(other)
			}
		}
		r.pause(searchSyncInterval)
	}
}

func (r *nodeRun) pause(duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-r.context.Done():
	}
}

// syncWith makes one exchange with a node.
func (r *nodeRun) syncWith(other *searchNode) {
	r.waitWhileSuspended(r.context)
	there := r.world.runAt(other.name)
	links := r.world.links
	asked := there != nil && !there.isSuspended() && links.isWhole(r.node.name, other.name)
	now := time.Now()
	if asked {
		directory := there.storage.Directory
		directory.Put(r.storage.Directory.Self())
		directory.RecordContact(r.node.name, now)
	}
	if !asked || !links.isWhole(other.name, r.node.name) {
		r.storage.Directory.RecordUnresponsive(other.name, now)
		return
	}
	directory := r.storage.Directory
	for _, record := range there.storage.Directory.Records() {
		directory.Put(record)
	}
	directory.SetRetiring(r.world.retiringNodes())
	directory.RecordContactAt(other.name, now)
	for _, item := range there.storage.Layouts.Documents() {
		r.storage.Layouts.UpdateIfNewer(item.Key, item.Value, item.Revision, "peer")
	}
}

// searchStoreTimeout limits a call of watchStore.
const searchStoreTimeout = 3 * time.Second

// watchStore passes the contents of the store to the node with the series' lag.
func (r *nodeRun) watchStore() {
	store := r.world.store
	for r.context.Err() == nil {
		r.pause(r.world.series.watchLag)
		r.waitWhileSuspended(r.context)
		ctx, cancel := context.WithTimeout(r.context, searchStoreTimeout)
		err := nodeStore{store, r}.enter(ctx)
		cancel()
		if err != nil {
			r.inContact.Store(false)
			continue
		}
		r.inContact.Store(true)
		for _, value := range store.all() {
			if seen, found := store.read(value.Key); found {
				r.storage.Layouts.UpdateIfNewer(seen.Key, seen.Value, seen.Revision, "store")
			}
		}
		if !r.dead.Load() {
			r.world.keepDocuments(r.node, r.storage.Layouts.Documents())
		}
	}
}
