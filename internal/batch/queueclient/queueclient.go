// Package queueclient calls the leaders of queue shards from an edge. Requests for a job
// go to the leader of the job's shard. Requests for allotments go to the leader of the
// shard to which the tenant's name maps; this leader is the keeper of the tenant's limit.
//
// The client remembers the last known leader of each shard and the nodes that were
// recently unresponsive. The members of a shard come from queuestore's layout and their
// addresses from package peers; package rpc sends the calls, or package forwarding, which
// sends them through peers while there is no direct path to a member.
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

// CallSender calls other nodes. *rpc.Pool and *forwarding.Caller implement it.
type CallSender interface {
	// Call returns an error with code PeerUnreachable if the request was not sent.
	Call(ctx context.Context, address string, class rpc.Class, method wirev1.Method, request, reply proto.Message) error
}

// ShardClient calls queue shards. It is safe for concurrent use.
type ShardClient struct {
	Directory *peers.Directory
	Layouts   *queuestore.Layouts
	Sender    CallSender

	mutex        sync.Mutex
	leaders      map[uint32]string    // address of the last known leader, by shard
	unresponsive map[string]time.Time // time of the last missing response, by address
	outages      map[uint32]*outage   // by shard; see outage.go
}

// New returns a client without any known leaders.
func New(directory *peers.Directory, layouts *queuestore.Layouts, sender CallSender) *ShardClient {
	return &ShardClient{Directory: directory, Layouts: layouts, Sender: sender, leaders: map[uint32]string{}, unresponsive: map[string]time.Time{}, outages: map[uint32]*outage{}}
}

const (
	// attemptTimeout bounds a call to one node. The time that the request itself may
	// wait or transfer is added.
	attemptTimeout = 900 * time.Millisecond
	// hedgeDelay is how long a call to one node may take before the next node is called
	// as well. The wait of the request is added.
	hedgeDelay = 150 * time.Millisecond
	// unresponsivePenalty is how long after a missing response a node is called last.
	unresponsivePenalty = 2 * time.Second
	// roundDelay is the pause before the members of a shard are called again.
	roundDelay = 60 * time.Millisecond
	// retryDelay is the delay after which a caller should retry a request that no node
	// executed.
	retryDelay = 300 * time.Millisecond
)

// Read reads results of a job. The leader may wait up to request.WaitMs for new results.
func (c *ShardClient) Read(ctx context.Context, request *wirev1.QueueReadRequest) (*wirev1.QueueReadReply, error) {
	reply := &wirev1.QueueReadReply{}
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return reply, c.call(ctx, request.JobId, wirev1.Method_METHOD_QUEUE_READ, wait, request, reply)
}

// Item reads the body of an item.
func (c *ShardClient) Item(ctx context.Context, request *wirev1.QueueItemRequest) (*wirev1.QueueItemReply, error) {
	reply := &wirev1.QueueItemReply{}
	return reply, c.call(ctx, request.JobId, wirev1.Method_METHOD_QUEUE_ITEM, 0, request, reply)
}

// End ends a job.
func (c *ShardClient) End(ctx context.Context, request *wirev1.QueueEndRequest) (*wirev1.QueueEndReply, error) {
	reply := &wirev1.QueueEndReply{}
	return reply, c.call(ctx, request.JobId, wirev1.Method_METHOD_QUEUE_END, 0, request, reply)
}

// Allot requests an allotment from the keeper of a tenant's limit, the leader of the
// shard to which the tenant's name maps. It calls each member of the shard at most once
// and leaves retries to the caller, because all nodes of a fleet may call at the same time.
func (c *ShardClient) Allot(ctx context.Context, tenant string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
	reply := &wirev1.AllotmentReply{}
	return reply, c.round(ctx, tenant, wirev1.Method_METHOD_ALLOTMENT, 0, hedgeDelay, request, reply).err
}

// ShardOf returns the shard to which a job's ID or a tenant's name maps. It returns false while
// no layout is known.
func (c *ShardClient) ShardOf(key string) (uint32, bool) {
	layout := c.Layouts.Current()
	if layout == nil {
		return 0, false
	}
	return queuestore.ShardOf(key, len(layout.Shards)), true
}

// call calls the members of the job's shard in rounds, the last known leader first, until
// one returns a reply or a final error, or until the context ends. The wait is how long a
// member may take in addition to the usual timeouts. All methods that use call are
// idempotent, so a request may be executed more than once.
func (c *ShardClient) call(ctx context.Context, job string, method wirev1.Method, wait time.Duration, request, reply proto.Message) error {
	outcomeUnknown := false
	var lastErr error
	var answers []answer // of the last round that the end of the context did not cut off
	for round := 0; ; round++ {
		lastTimeout := hedgeDelay*time.Duration(round+1) + wait
		roundResult := c.round(ctx, job, method, wait, lastTimeout, request, reply)
		if roundResult.err == nil {
			return nil
		}
		if final(roundResult.err) {
			return roundResult.err
		}
		lastErr = roundResult.err
		if ctx.Err() == nil || len(answers) == 0 {
			answers = roundResult.answers
		}
		outcomeUnknown = outcomeUnknown || roundResult.outcomeUnknown
		if !sleep(ctx, roundDelay) {
			shard, _ := c.ShardOf(job)
			klog.InfoS("call to queue shard failed", "method", method.String(), "job", job, "shard", shard, "rounds", round+1, "unknown", outcomeUnknown, "last", lastErr, "answers", c.answersText(answers))
			return c.unavailableError(outcomeUnknown, lastErr)
		}
	}
}

// callResult is the result of a round, or of a single attempt in it.
type callResult struct {
	address string
	reply   proto.Message
	err     error
	// outcomeUnknown reports that a node may have executed the request although err is
	// set.
	outcomeUnknown bool
	// answers holds what each called node answered in a failed round.
	answers []answer
}

// round calls the members of the shard, each at most once, until one returns a reply or a
// final error. It calls the next member when any attempt has failed, or when none has
// ended within hedgeDelay plus the wait. After the last call, the round ends when no
// attempt ends within lastTimeout, because another member may have become the leader. The
// round doesn't wait for cancelled attempts to return, since a dial to a dead node may
// take seconds. It merges the received reply into reply.
func (c *ShardClient) round(
	ctx context.Context, job string, method wirev1.Method, wait, lastTimeout time.Duration, request, reply proto.Message,
) callResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	uncalled := c.candidates(job)
	attempts := make(chan callResult, len(uncalled))
	running := map[string]bool{}
	combined := callResult{err: result.New(result.StoreUnavailable, "no storage node is known")}
	for len(uncalled) > 0 || len(running) > 0 {
		if len(uncalled) > 0 {
			address := uncalled[0]
			uncalled = uncalled[1:]
			running[address] = true
			go func() { attempts <- c.attempt(ctx, address, method, wait, request, reply) }()
		}
		timeout := lastTimeout
		if len(uncalled) > 0 {
			timeout = hedgeDelay + wait
		}
		latest, ended := await(attempts, timeout)
		if !ended && len(uncalled) == 0 {
			c.recordUnresponsive(job, running)
			combined.outcomeUnknown = true
			combined.addUnanswered(running)
			c.recordFailedRound(ctx, job, combined.answers)
			return combined
		}
		if !ended {
			continue
		}
		delete(running, latest.address)
		if latest.err == nil || final(latest.err) {
			proto.Merge(reply, latest.reply)
			c.recordLeader(job, latest.address)
			return callResult{err: latest.err}
		}
		c.forgetLeader(job, latest.address)
		combined.err = latest.err
		combined.answers = append(combined.answers, answer{latest.address, latest.err})
		combined.outcomeUnknown = combined.outcomeUnknown || latest.outcomeUnknown
	}
	c.recordFailedRound(ctx, job, combined.answers)
	return combined
}

// recordUnresponsive records that the nodes did not respond, so that they are called last
// during unresponsivePenalty. It also forgets the leader of the job's shard if the leader is
// one of them.
func (c *ShardClient) recordUnresponsive(job string, addresses map[string]bool) {
	now := time.Now()
	for address := range addresses {
		c.forgetLeader(job, address)
		c.mutex.Lock()
		c.unresponsive[address] = now
		c.mutex.Unlock()
	}
}

// await returns the next attempt that ends, or false if none ends before the timeout.
func await(attempts <-chan callResult, timeout time.Duration) (callResult, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case latest := <-attempts:
		return latest, true
	case <-timer.C:
		return callResult{}, false
	}
}

// unavailableError returns the error of a call that no node confirmed. The error says that
// the request was not executed, unless the outcome is unknown. It goes to callers, so that it
// names the code of the last error only: the whole error names nodes and their states.
func (c *ShardClient) unavailableError(outcomeUnknown bool, lastErr error) error {
	if outcomeUnknown {
		return result.New(result.CommitUnknown, "no storage node confirmed it: %v", result.CodeOf(lastErr))
	}
	return result.New(result.StoreUnavailable, "no storage node could take it: %v", result.CodeOf(lastErr)).WithRetryAfter(retryDelay)
}

// final reports whether the error is a decision that the other members of the shard would
// not change, so that they need not be called.
func final(err error) bool {
	return result.Is(err, result.TenantTokens) || result.Is(err, result.StoreFull) || result.Is(err, result.StaleEpoch)
}

// attempt calls one node. It decodes the response into a new message of the type of reply,
// because concurrent attempts share reply.
func (c *ShardClient) attempt(ctx context.Context, address string, method wirev1.Method, wait time.Duration, request, reply proto.Message) callResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+wait)
	defer cancel()
	attemptReply := reply.ProtoReflect().New().Interface()
	err := c.Sender.Call(ctx, address, rpc.ClassOnline, method, request, attemptReply)
	notExecuted := result.Is(err, result.NotLeader) || result.Is(err, result.PeerUnreachable) ||
		result.Is(err, result.StoreUnavailable) || result.Is(err, result.NotReady)
	return callResult{address: address, reply: attemptReply, err: err, outcomeUnknown: err != nil && !notExecuted}
}

// candidates returns the known addresses of the members of a job's shard, in the order in
// which they are called. It returns none while no layout is known.
func (c *ShardClient) candidates(job string) []string {
	layout := c.Layouts.Current()
	if layout == nil {
		return nil
	}
	shard := queuestore.ShardOf(job, len(layout.Shards))
	var members []string
	for _, member := range layout.Shards[shard].Members {
		if record, found := c.Directory.Disk(member); found {
			members = append(members, record.Address)
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return callOrder(members, c.leaders[shard], c.unresponsive, time.Now())
}

// callOrder sorts the addresses of a shard's members into the order in which they are
// called: the last known leader first, even if it was recently unresponsive, and other
// recently unresponsive nodes last, because each of them may cost a hedgeDelay. The leader
// is empty if none is known.
func callOrder(members []string, leader string, unresponsive map[string]time.Time, now time.Time) []string {
	var first, last []string
	for _, address := range members {
		switch {
		case address == leader:
			first = append([]string{address}, first...)
		case now.Sub(unresponsive[address]) < unresponsivePenalty:
			last = append(last, address)
		default:
			first = append(first, address)
		}
	}
	return append(first, last...)
}

// recordLeader records the node with the address as the leader of a job's shard, which ends an
// outage of the shard.
func (c *ShardClient) recordLeader(job, address string) {
	layout := c.Layouts.Current()
	if layout == nil {
		return
	}
	shard := queuestore.ShardOf(job, len(layout.Shards))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[shard] != address {
		klog.InfoS("leader of queue shard found", "shard", shard, "address", address, "before", c.leaders[shard])
		c.leaders[shard] = address
	}
	c.endOutage(shard, address)
}

// forgetLeader forgets the leader of a job's shard if the leader has the address.
func (c *ShardClient) forgetLeader(job, address string) {
	layout := c.Layouts.Current()
	if layout == nil {
		return
	}
	shard := queuestore.ShardOf(job, len(layout.Shards))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[shard] == address {
		delete(c.leaders, shard)
	}
}

// sleep waits. It returns false if the context ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
