// Package worker runs batch items in the idle capacity of this node's runners. It pulls
// items from shard leaders, runs them in the slots that the runners' arbiters grant, returns preempted items
// to the leaders, and delivers results.
//
// It keeps the held items and the unconfirmed results in memory. If they are lost, the
// leases of the items expire on the leaders. Module serving.owner provides free slots and
// runs the items, and module batch.directory calls the shards. The plain node runs it.
package worker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/batch/grants"
	"cobaltramp.example/cobaltramp/internal/configuration/settings"
	"cobaltramp.example/cobaltramp/modules/batch/directory"
	"cobaltramp.example/cobaltramp/modules/serving/owner"
)

// ModuleName registers the module.
const ModuleName = "batch.worker"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{owner.ModuleName, directory.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Owner is the part of module serving.owner that this package uses.
type Owner interface {
	FreeBatchSlots() map[string]int
	RunBatch(context.Context, *owner.BatchRequest) (*owner.BatchResponse, error)
	StopBatch()
	Freed() <-chan struct{}
}

// Shards is the part of module batch.directory that this package uses.
type Shards interface {
	ShardMap() *directory.ShardMap
	Pull(context.Context, *wirev1.PullRequest) (*wirev1.PullReply, error)
	Complete(context.Context, *wirev1.CompleteRequest) (*wirev1.CompleteReply, error)
}

// Module pulls and runs items. Its mutex guards the maps and draining.
type Module struct {
	settings *settings.Settings
	owner    Owner
	shards   Shards
	metrics  *metrics
	session  uint64 // random; identifies this process to the leaders

	// tasks are the loops and the running items. They end with the context, and Cleanup
	// waits for them.
	context context.Context
	cancel  context.CancelFunc
	tasks   tasks.Group

	mutex          sync.Mutex
	held           map[grants.Key]*heldItem
	returned       map[uint32][]*wirev1.ItemKey // by shard; sent with the next pull
	startingCounts map[string]int               // by model; number of granted items that no arbiter counts yet
	leaders        map[uint32]string            // by shard; address of its leader at the last successful pull
	lastPullTimes  map[uint32]time.Time         // by shard; only successful pulls
	outboxes       map[uint32]chan *wirev1.ItemResult
	draining       bool
}

// heldItem is a granted item that has not been returned and whose result its shard has not
// confirmed.
type heldItem struct {
	shard  uint32
	cancel context.CancelFunc
}

type metrics struct {
	heldItems prometheus.Gauge
	runs      *prometheus.CounterVec
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Drainer = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var registry prometheus.Registerer
	if err := ctx.Resolve(
		kernel.Dependency(&m.settings), kernel.Dependency(&m.owner), kernel.Dependency(&m.shards),
		kernel.Dependency(&registry),
	); err != nil {
		return trace.Wrap(err)
	}
	m.metrics = &metrics{
		heldItems: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_worker_items", Help: "Items held by this node."}),
		runs:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_worker_runs_total", Help: "Runs of items by outcome code name."}, []string{"code"}),
	}
	registry.MustRegister(m.metrics.heldItems, m.metrics.runs)
	m.session = rand.Uint64()
	m.held = map[grants.Key]*heldItem{}
	m.returned = map[uint32][]*wirev1.ItemKey{}
	m.startingCounts = map[string]int{}
	m.leaders = map[uint32]string{}
	m.lastPullTimes = map[uint32]time.Time{}
	m.outboxes = map[uint32]chan *wirev1.ItemResult{}
	return nil
}

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.context, m.cancel = context.WithCancel(ctx)
	m.tasks.Go(m.pullLoop)
	return nil
}

const (
	// pullInterval is the longest wait between two rounds of pulls.
	pullInterval = 100 * time.Millisecond
	// While the node holds items of a shard, it pulls from the shard every
	// heartbeatInterval, even without free slots, to renew the leases of the items.
	heartbeatInterval = time.Second
	// pullTimeout is the timeout of one Pull call.
	pullTimeout = 2 * time.Second
	// maxPullItems is the maximum number of items of one model that a pull requests.
	maxPullItems = 256
)

// pullLoop pulls items while there are free slots and renews the leases of held items.
func (m *Module) pullLoop() {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.context.Done():
			return
		case <-ticker.C:
		case <-m.owner.Freed():
		}
		m.pullRound()
	}
}

// pullRound pulls from the shards with pending items until no slot is free, in random order
// so that nodes do not all pull from the same shard first. It then sends the heartbeats
// that are due.
func (m *Module) pullRound() {
	leaders := m.shards.ShardMap()
	pending := append([]uint32(nil), leaders.Pending...)
	rand.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	for _, shard := range pending {
		free := m.freeSlots()
		if len(free) == 0 {
			break
		}
		m.pull(shard, free, leaders)
	}
	for _, shard := range m.dueHeartbeats(time.Now()) {
		m.pull(shard, nil, leaders)
	}
}

// freeSlots returns the number of items to pull, by model: the arbiters' free slots minus
// the granted items that have not started. It returns nil while the node drains.
func (m *Module) freeSlots() []*wirev1.ModelRoom {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.draining {
		return nil
	}
	var free []*wirev1.ModelRoom
	for model, items := range m.owner.FreeBatchSlots() {
		if count := min(maxPullItems, items-m.startingCounts[model]); count > 0 {
			free = append(free, &wirev1.ModelRoom{Model: model, Items: uint32(count)})
		}
	}
	return free
}

// dueHeartbeats lists the shards that need a pull: the node holds items of the shard and
// has not pulled from the shard for heartbeatInterval, or the node has items to return.
func (m *Module) dueHeartbeats(now time.Time) []uint32 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	due := map[uint32]bool{}
	for _, item := range m.held {
		if now.Sub(m.lastPullTimes[item.shard]) >= heartbeatInterval {
			due[item.shard] = true
		}
	}
	for shard := range m.returned {
		due[shard] = true
	}
	list := make([]uint32, 0, len(due))
	for shard := range due {
		list = append(list, shard)
	}
	return list
}

// pull sends one Pull request to a shard, cancels the items of cancelled jobs and starts the
// granted items. If the request fails, the items to return are sent with the next pull.
func (m *Module) pull(shard uint32, free []*wirev1.ModelRoom, leaders *directory.ShardMap) {
	request := m.pullRequest(shard, free, leaders.Leaders[shard])
	ctx, cancel := context.WithTimeout(m.context, pullTimeout)
	defer cancel()
	reply, err := m.shards.Pull(ctx, request)
	if err != nil {
		m.requeueReturned(shard, request.Returned)
		return
	}
	m.mutex.Lock()
	m.lastPullTimes[shard] = time.Now()
	m.leaders[shard] = leaders.Leaders[shard]
	m.mutex.Unlock()
	m.cancelJobs(reply.CancelledJobs)
	for _, grant := range reply.Grants {
		m.startItem(shard, grant)
	}
}

// pullRequest returns a request with the items to return. If the leader has changed since
// the last pull, the request also lists the items of the shard that this node holds.
func (m *Module) pullRequest(shard uint32, free []*wirev1.ModelRoom, leader string) *wirev1.PullRequest {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	request := &wirev1.PullRequest{
		Shard: shard, NodeId: m.settings.Node.ID, Session: m.session, Room: free, Returned: m.returned[shard],
	}
	delete(m.returned, shard)
	if m.leaders[shard] == leader {
		return request
	}
	for key, item := range m.held {
		if item.shard == shard {
			request.Held = append(request.Held, key.Proto())
		}
	}
	return request
}

// requeueReturned keeps items for the next pull, after the pull that returned them failed.
func (m *Module) requeueReturned(shard uint32, keys []*wirev1.ItemKey) {
	if len(keys) == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.returned[shard] = append(m.returned[shard], keys...)
}

// cancelJobs cancels the runs of held items of these jobs.
func (m *Module) cancelJobs(jobs []string) {
	if len(jobs) == 0 {
		return
	}
	cancelled := map[string]bool{}
	for _, id := range jobs {
		cancelled[id] = true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key, item := range m.held {
		if cancelled[key.Job] {
			item.cancel()
		}
	}
}

// Drain implements kernel.Drainer. It stops requesting new items and preempts items that may
// run again; items of class once run to their end. It waits until the node holds no items
// and has returned the preempted items, or until ctx ends. Heartbeats continue.
func (m *Module) Drain(ctx context.Context) {
	m.mutex.Lock()
	m.draining = true
	m.mutex.Unlock()
	m.owner.StopBatch()
	for ctx.Err() == nil {
		m.mutex.Lock()
		idle := len(m.held) == 0 && len(m.returned) == 0
		m.mutex.Unlock()
		if idle {
			return
		}
		time.Sleep(pullInterval)
	}
}

// Cleanup implements kernel.Cleaner.
func (m *Module) Cleanup() {
	if m.cancel != nil {
		m.cancel()
	}
	m.tasks.Wait()
}
