package queuestore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/lab/silence"
)

// testStore is an in-memory platform store that sends changes to its watchers. While it is down,
// reads and commits fail. It is also the StoreContact and the Retirement of the nodes.
type testStore struct {
	mutex        sync.Mutex
	values       map[string]ports.Value
	revision     int64
	down         bool
	fenceCommits int // number of commits that fence a hand-over
	committed    []ports.Put
	watchers     []*Layouts
	retired      map[string]bool
}

func (s *testStore) Get(_ context.Context, key string) (ports.Value, bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return ports.Value{}, false, ports.ErrUnavailable
	}
	value, found := s.values[key]
	return value, found, nil
}

func (s *testStore) List(context.Context, string) ([]ports.Value, int64, error) {
	return nil, 0, ports.ErrUnavailable
}

func (s *testStore) Watch(context.Context, string, int64, func(ports.WatchEvent)) error {
	return ports.ErrUnavailable
}

func (s *testStore) Commit(_ context.Context, conditions []ports.Condition, puts []ports.Put) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return false, ports.ErrUnavailable
	}
	if conditions[0].Revision != s.values[conditions[0].Key].Revision {
		return false, nil
	}
	s.revision++
	value := ports.Value{Key: puts[0].Key, Value: puts[0].Value, Revision: s.revision}
	if s.values == nil {
		s.values = map[string]ports.Value{}
	}
	s.values[value.Key] = value
	s.committed = append(s.committed, puts[0])
	if bytes.Contains(value.Value, []byte(`"attempt"`)) {
		s.fenceCommits++
	}
	for _, layouts := range s.watchers {
		layouts.UpdateIfNewer(value.Key, value.Value, value.Revision, "test")
	}
	return true, nil
}

// storedMemberSets returns the member sets of shard 0 that were stored after the initial one, but
// without those that only raise the attempt.
func (s *testStore) storedMemberSets(t *testing.T) []replica.MemberSet {
	t.Helper()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var stored []replica.MemberSet
	for _, put := range s.committed {
		memberSet := replica.MemberSet{}
		if put.Key != shardKey(0) {
			continue
		}
		if err := json.Unmarshal(put.Value, &memberSet); err != nil {
			t.Fatal(err)
		}
		if memberSet.Attempt == 0 {
			stored = append(stored, memberSet)
		}
	}
	return stored
}

// sendAll sends all values to a Layouts, unless the store is down.
func (s *testStore) sendAll(layouts *Layouts) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, value := range s.values {
		if !s.down {
			layouts.UpdateIfNewer(key, value.Value, value.Revision, "test")
		}
	}
}

// Lost implements StoreContact.
func (s *testStore) Lost() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.down
}

// Report implements Retirement.
func (s *testStore) Report(_ context.Context, node string, done bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retired[node] = s.retired[node] || done
}

func (s *testStore) isRetired(node string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.retired[node]
}

// testExecutor runs items without a runner. The output of an item is its body, followed by the
// number of the event, in each of two events. While full is set, there is no free slot.
type testExecutor struct {
	mutex sync.Mutex
	full  bool
	runs  map[string]int
	// avoiding holds the IDs of items that can't start although there are free slots.
	avoiding map[string]bool
	// refused is the number of refused attempts to start a run.
	refused int
}

func (e *testExecutor) TryStart(ctx context.Context, work *Work, done func(Outcome)) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.full {
		e.refused++
		work.FullService = "service"
		return false
	}
	if e.avoiding[work.Item.Id] {
		e.refused++
		work.NotBefore = time.Now().Add(time.Minute)
		return false
	}
	e.runs[work.Item.Id]++
	go func() {
		output := work.Output
		for id := output.LastEventID + 1; id <= 2; id++ {
			output.Append(id, fmt.Appendf(nil, "%s/%d", work.Item.Body, id))
		}
		done(Outcome{Done: ctx.Err() == nil, Output: output, Reason: "test"})
	}()
	return true
}

func (e *testExecutor) setFull(full bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.full = full
}

// testNode is one storage node of a test cluster.
type testNode struct {
	name     string
	folder   string
	disk     slowDisk
	address  string
	db       *logstore.DB
	node     *StorageNode
	server   *rpc.Server
	pool     *rpc.Pool
	listener *silence.Listener
	running  bool
}

// testCluster runs storage nodes in the test process, connected over the loopback interface.
type testCluster struct {
	t           *testing.T
	store       *testStore
	executor    *testExecutor
	nodes       map[string]*testNode
	records     map[string]*wirev1.NodeRecord
	retiring    map[string]bool
	layouts     *Layouts // receives all changes of the store, as on an edge
	client      *rpc.Pool
	incarnation uint64
	limits      logstore.DiskLimits
	// retention is the Retention option of nodes that are started.
	retention time.Duration
	// truncateInterval is the TruncateInterval option of nodes that are started.
	truncateInterval time.Duration
}

func newCluster(t *testing.T, names ...string) *testCluster {
	t.Helper()
	return newClusterWithLimits(t, logstore.DiskLimits{}, names...)
}

// newClusterWithLimits starts a cluster whose disks have the given limits.
func newClusterWithLimits(t *testing.T, limits logstore.DiskLimits, names ...string) *testCluster {
	t.Helper()
	c := &testCluster{
		t: t, limits: limits, store: &testStore{retired: map[string]bool{}}, executor: &testExecutor{runs: map[string]int{}},
		nodes: map[string]*testNode{}, records: map[string]*wirev1.NodeRecord{}, retiring: map[string]bool{},
		retention: time.Hour, layouts: NewLayouts(), client: rpc.NewPool("test", "test", nil, &rpc.Counters{}),
	}
	c.store.watchers = append(c.store.watchers, c.layouts)
	for _, name := range names {
		c.start(name)
	}
	t.Cleanup(func() {
		for name := range c.nodes {
			c.stop(name)
		}
		c.client.Close()
	})
	return c
}

// start starts a node, reusing its folder and address if it ran before.
func (c *testCluster) start(name string) {
	c.t.Helper()
	n := c.nodes[name]
	if n == nil {
		n = &testNode{name: name, disk: slowDisk{FS: vfs.Default}, folder: filepath.Join(c.t.TempDir(), name), address: "127.0.0.1:0"}
		c.nodes[name] = n
	}
	listening, err := net.Listen("tcp", n.address)
	if err != nil {
		c.t.Fatal(err)
	}
	n.listener = silence.Wrap(listening)
	n.address = n.listener.Addr().String()
	if n.db, err = logstore.OpenOn(&n.disk, n.folder, c.limits); err != nil {
		c.t.Fatal(err)
	}
	c.incarnation++
	record := &wirev1.NodeRecord{NodeId: name, Address: n.address, Zone: name, Region: "r", DiskId: n.db.DiskID(), Incarnation: c.incarnation}
	directory := peers.NewDirectory(record)
	layouts := NewLayouts()
	c.store.sendAll(layouts)
	c.store.mutex.Lock()
	c.store.watchers = append(c.store.watchers, layouts)
	c.store.mutex.Unlock()
	n.server = rpc.NewServer(name, "test", &rpc.Counters{})
	n.pool = rpc.NewPool(name, "test", nil, &rpc.Counters{})
	n.node = New(NodeOptions{
		Node: name, Region: "r", DiskLosses: 1, Retention: c.retention, TruncateInterval: c.truncateInterval, LogBytes: 48 << 20, DB: n.db, Directory: directory, Layouts: layouts,
		Pool: n.pool, Store: c.store, Contact: c.store, Retirement: c.store, Executor: c.executor, Registry: prometheus.NewRegistry(),
		TenantLimit: testLimit, Tolerance: allotment.Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
	})
	n.node.Handle(n.server)
	n.running = true
	listener := n.listener
	server := n.server
	go func() { _ = server.Serve(listener, nil) }()
	if err := n.node.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.records[name] = record
	c.exchangeRecords()
}

// exchangeRecords gives every running node all node records and the retiring nodes, and records
// contact with all running nodes.
func (c *testCluster) exchangeRecords() {
	now := time.Now()
	for _, n := range c.nodes {
		if !n.running {
			continue
		}
		n.node.Directory.SetRetiring(c.retiring)
		for name, record := range c.records {
			n.node.Directory.Put(record)
			if c.nodes[name].running {
				n.node.Directory.RecordContact(name, now)
			}
		}
	}
}

func (c *testCluster) stop(name string) {
	n := c.nodes[name]
	if !n.running {
		return
	}
	n.running = false
	n.node.Stop()
	_ = n.listener.Close()
	n.pool.Close()
	n.server.Close()
	_ = n.db.Close()
}

// wipe stops a node and deletes its data folder, so that the node starts with a new disk.
func (c *testCluster) wipe(name string) {
	c.t.Helper()
	c.stop(name)
	if err := os.RemoveAll(c.nodes[name].folder); err != nil {
		c.t.Fatal(err)
	}
}

// retire marks a node as the only retiring node.
func (c *testCluster) retire(name string) {
	c.retiring = map[string]bool{name: true}
	c.exchangeRecords()
}

// eventually waits until a condition is true and fails the test after a minute. what names the
// condition in the failure.
func (c *testCluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for: %s", what)
		}
		c.exchangeRecords()
		time.Sleep(20 * time.Millisecond)
	}
}

// leader returns the name of the node that leads shard 0 and is in contact with a quorum, or ""
// if there is none.
func (c *testCluster) leader() string {
	for name, n := range c.nodes {
		if n.running && n.node.leads(retirementShard) {
			return name
		}
	}
	return ""
}

// awaitLeader waits until a node leads shard retirementShard, and returns its name.
func (c *testCluster) awaitLeader() string {
	c.t.Helper()
	name := ""
	c.eventually("a leader is elected", func() bool {
		name = c.leader()
		return name != ""
	})
	return name
}

var _ queue.StateReader = (*logstore.StateView)(nil)
