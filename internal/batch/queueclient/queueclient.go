// Package queueclient reaches the leader of a job's queue shard from an edge. It also
// reaches the keeper of a tenant's limit, who leads the shard of the tenant's name.
//
// It owns which node led a shard when it last answered, and which nodes were silent
// lately. It relies on queuestore's layout for the members of a shard, on peers for
// their addresses and on rpc for the calls.
package queueclient

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
	"cobaltramp.example/cobaltramp/internal/cluster/peers"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// ShardClient calls queue shards.
type ShardClient struct {
	Directory *peers.Directory
	Layouts   *queuestore.Layouts
	Pool      *rpc.Pool

	mutex   sync.Mutex
	leaders map[uint32]string    // address of each shard's last known leader
	silent  map[string]time.Time // when the node at an address was last silent
}

// New returns a client.
func New(directory *peers.Directory, layouts *queuestore.Layouts, pool *rpc.Pool) *ShardClient {
	return &ShardClient{Directory: directory, Layouts: layouts, Pool: pool, leaders: map[uint32]string{}, silent: map[string]time.Time{}}
}

const (
	// tryTimeout bounds one try at one node, beyond what a read waits.
	tryTimeout = 900 * time.Millisecond
	// hedgeDelay is how long one node is waited for before the next is asked as
	// well: a dead machine does not answer.
	hedgeDelay = 150 * time.Millisecond
	// silentMemory is how long a node that was silent is asked last.
	silentMemory = 2 * time.Second
	// roundDelay is the pause before all nodes are asked again.
	roundDelay = 60 * time.Millisecond
	// retryDelay is when a caller that could not be served should try again.
	retryDelay = 300 * time.Millisecond
)

// Read reads results.
func (c *ShardClient) Read(ctx context.Context, request *wirev1.QueueReadRequest) (*wirev1.QueueReadReply, error) {
	reply := &wirev1.QueueReadReply{}
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return reply, c.call(ctx, request.JobId, wirev1.Method_METHOD_QUEUE_READ, wait, request, reply)
}

// Item reads an item's body.
func (c *ShardClient) Item(ctx context.Context, request *wirev1.QueueItemRequest) (*wirev1.QueueItemReply, error) {
	reply := &wirev1.QueueItemReply{}
	return reply, c.call(ctx, request.JobId, wirev1.Method_METHOD_QUEUE_ITEM, 0, request, reply)
}

// End ends a job.
func (c *ShardClient) End(ctx context.Context, request *wirev1.QueueEndRequest) (*wirev1.QueueEndReply, error) {
	reply := &wirev1.QueueEndReply{}
	return reply, c.call(ctx, request.JobId, wirev1.Method_METHOD_QUEUE_END, 0, request, reply)
}

// Allot asks the keeper of a tenant's limit, who leads the shard that the
// tenant's name falls to. Each node that may lead it is asked once: who asks again
// without an answer decides when, since all nodes of a fleet may.
func (c *ShardClient) Allot(ctx context.Context, tenant string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
	reply := &wirev1.AllotmentReply{}
	return reply, c.round(ctx, tenant, wirev1.Method_METHOD_ALLOTMENT, 0, hedgeDelay, request, reply).err
}

// ShardOf returns the shard that a tenant's name falls to; false while no
// layout is known.
func (c *ShardClient) ShardOf(tenant string) (uint32, bool) {
	layout := c.Layouts.Current()
	if layout == nil {
		return 0, false
	}
	return queuestore.ShardOf(tenant, len(layout.Shards)), true
}

// call asks the nodes of the shard, its last known leader first, until one
// answers or the context ends. All calls may be repeated: a job is taken once,
// and an end is an end.
func (c *ShardClient) call(ctx context.Context, job string, method wirev1.Method, wait time.Duration, request, reply proto.Message) error {
	unknown := false
	var last error
	for round := 0; ; round++ {
		lastTimeout := hedgeDelay*time.Duration(round+1) + wait
		answered := c.round(ctx, job, method, wait, lastTimeout, request, reply)
		if answered.err == nil {
			return nil
		}
		if final(answered.err) {
			return answered.err
		}
		last = answered.err
		unknown = unknown || answered.unknown
		if !pause(ctx, roundDelay) {
			klog.InfoS("queue call failed", "method", method.String(), "job", job, "rounds", round+1, "unknown", unknown, "last", last)
			return c.failed(unknown, last)
		}
	}
}

// outcome is what came of a round, or of one try in it.
type outcome struct {
	address string
	reply   proto.Message
	err     error
	// unknown: some node may have done what was asked.
	unknown bool
}

// round asks each node once, the next one when the one before has failed or is
// silent for a while, and takes the first answer. Nodes that are silent when all
// others have failed are waited for until lastTimeout, which grows with each round:
// another may lead by now. A try that is still on its way then is left behind: its
// context has ended, but a dial to a silent node may take seconds to notice.
func (c *ShardClient) round(
	ctx context.Context, job string, method wirev1.Method, wait, lastTimeout time.Duration, request, reply proto.Message,
) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waiting := c.candidates(job)
	tries := make(chan outcome, len(waiting))
	running := map[string]bool{}
	whole := outcome{err: result.New(result.StoreUnavailable, "no storage node is known")}
	for len(waiting) > 0 || len(running) > 0 {
		if len(waiting) > 0 {
			address := waiting[0]
			waiting = waiting[1:]
			running[address] = true
			go func() { tries <- c.try(ctx, address, method, wait, request, reply) }()
		}
		timeout := lastTimeout
		if len(waiting) > 0 {
			timeout = hedgeDelay + wait
		}
		one, ended := await(tries, timeout)
		if !ended && len(waiting) == 0 {
			c.noteSilent(job, running)
			whole.unknown = true
			return whole
		}
		if !ended {
			continue
		}
		delete(running, one.address)
		if one.err == nil || final(one.err) {
			proto.Merge(reply, one.reply)
			c.remember(job, one.address)
			return outcome{err: one.err}
		}
		c.forget(job, one.address)
		whole.err = one.err
		whole.unknown = whole.unknown || one.unknown
	}
	return whole
}

// noteSilent makes nodes that did not answer the last to be asked for a while.
func (c *ShardClient) noteSilent(job string, addresses map[string]bool) {
	now := time.Now()
	for address := range addresses {
		c.forget(job, address)
		c.mutex.Lock()
		c.silent[address] = now
		c.mutex.Unlock()
	}
}

// await waits for the end of a try, but not for longer than a timeout.
func await(tries <-chan outcome, timeout time.Duration) (outcome, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case one := <-tries:
		return one, true
	case <-timer.C:
		return outcome{}, false
	}
}

func (c *ShardClient) failed(unknown bool, last error) error {
	if unknown {
		return result.New(result.CommitUnknown, "no storage node confirmed it: %v", last)
	}
	return result.New(result.StoreUnavailable, "no storage node could take it: %v", last).WithRetryAfter(retryDelay)
}

// final reports whether another node or try would give the same answer.
func final(err error) bool {
	return result.Is(err, result.TenantTokens) || result.Is(err, result.StoreFull) || result.Is(err, result.StaleEpoch)
}

func (c *ShardClient) try(ctx context.Context, address string, method wirev1.Method, wait time.Duration, request, reply proto.Message) outcome {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+wait)
	defer cancel()
	own := reply.ProtoReflect().New().Interface()
	err := c.Pool.Call(ctx, address, rpc.ClassOnline, method, request, own)
	notDone := result.Is(err, result.NotLeader) || result.Is(err, result.PeerUnreachable) ||
		result.Is(err, result.StoreUnavailable) || result.Is(err, result.NotReady)
	return outcome{address: address, reply: own, err: err, unknown: err != nil && !notDone}
}

// candidates lists the nodes that may lead the shard of a job.
func (c *ShardClient) candidates(job string) []string {
	layout := c.Layouts.Current()
	if layout == nil {
		return nil
	}
	id := queuestore.ShardOf(job, len(layout.Shards))
	var members []string
	for _, member := range layout.Shards[id].Members {
		if record, known := c.Directory.Disk(member); known {
			members = append(members, record.Address)
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return askingOrder(members, c.leaders[id], c.silent, time.Now())
}

// askingOrder puts the addresses of a shard's members in the order in which they are
// asked: the last known leader first, and last those that were silent lately (silent
// holds when), since each of them may cost a hedgeDelay.
func askingOrder(members []string, leader string, silent map[string]time.Time, now time.Time) []string {
	var first, last []string
	for _, address := range members {
		switch {
		case address == leader:
			first = append([]string{address}, first...)
		case now.Sub(silent[address]) < silentMemory:
			last = append(last, address)
		default:
			first = append(first, address)
		}
	}
	return append(first, last...)
}

// remember keeps who answered for a shard.
func (c *ShardClient) remember(job, address string) {
	layout := c.Layouts.Current()
	if layout == nil {
		return
	}
	id := queuestore.ShardOf(job, len(layout.Shards))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[id] != address {
		klog.InfoS("queue leader found", "shard", id, "address", address, "before", c.leaders[id])
		c.leaders[id] = address
	}
}

// forget drops a leader that did not answer.
func (c *ShardClient) forget(job, address string) {
	layout := c.Layouts.Current()
	if layout == nil {
		return
	}
	id := queuestore.ShardOf(job, len(layout.Shards))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[id] == address {
		delete(c.leaders, id)
	}
}

func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
