// Package queueclient reaches the leader of a host's queue shard from any node.
package queueclient

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/peers"
	"cobaltramp.example/cobaltramp/internal/queuestore"
	"cobaltramp.example/cobaltramp/internal/result"
	"cobaltramp.example/cobaltramp/internal/rpc"
)

// Client calls queue shards.
type Client struct {
	Directory *peers.Directory
	Layouts   *queuestore.Layouts
	Pool      *rpc.Pool

	mutex   sync.Mutex
	leaders map[uint32]string // address of each shard's last known leader
}

// New returns a client.
func New(directory *peers.Directory, layouts *queuestore.Layouts, pool *rpc.Pool) *Client {
	return &Client{Directory: directory, Layouts: layouts, Pool: pool, leaders: map[uint32]string{}}
}

const (
	// tryTimeout bounds one try at one node, beyond what a read waits.
	tryTimeout = 900 * time.Millisecond
	roundWait  = 60 * time.Millisecond
	// comeBack is when a caller that could not be served should try again.
	comeBack = 300 * time.Millisecond
)

// Submit hands in a job. The error's code tells whether it may have been
// taken: CommitUnknown if so.
func (c *Client) Submit(ctx context.Context, request *wirev1.QueueSubmitRequest) (*wirev1.QueueSubmitReply, error) {
	reply := &wirev1.QueueSubmitReply{}
	return reply, c.call(ctx, request.Job.Host, wirev1.Method_METHOD_QUEUE_SUBMIT, 0, request, reply)
}

// Read reads results.
func (c *Client) Read(ctx context.Context, request *wirev1.QueueReadRequest) (*wirev1.QueueReadReply, error) {
	reply := &wirev1.QueueReadReply{}
	wait := time.Duration(request.WaitMs) * time.Millisecond
	return reply, c.call(ctx, request.Host, wirev1.Method_METHOD_QUEUE_READ, wait, request, reply)
}

// Item reads an item's body.
func (c *Client) Item(ctx context.Context, request *wirev1.QueueItemRequest) (*wirev1.QueueItemReply, error) {
	reply := &wirev1.QueueItemReply{}
	return reply, c.call(ctx, request.Host, wirev1.Method_METHOD_QUEUE_ITEM, 0, request, reply)
}

// End ends a job.
func (c *Client) End(ctx context.Context, request *wirev1.QueueEndRequest) (*wirev1.QueueEndReply, error) {
	reply := &wirev1.QueueEndReply{}
	return reply, c.call(ctx, request.Host, wirev1.Method_METHOD_QUEUE_END, 0, request, reply)
}

// call tries the nodes of the shard, its last known leader first, until one
// answers or the context ends. All calls may be repeated: a job is taken once,
// and an end is an end.
func (c *Client) call(ctx context.Context, host string, method wirev1.Method, wait time.Duration, request, reply proto.Message) error {
	unknown := false
	var last error
	for round := 0; ; round++ {
		for _, address := range c.candidates(host) {
			err := c.try(ctx, address, method, wait, request, reply)
			if err == nil {
				c.remember(host, address)
				return nil
			}
			last = err
			if final(err) {
				return err
			}
			unknown = unknown || !result.Is(err, result.NotLeader) && !result.Is(err, result.PeerUnreachable) && !result.Is(err, result.StoreUnavailable)
			if ctx.Err() != nil {
				break
			}
		}
		if !pause(ctx, roundWait) {
			klog.InfoS("queue call failed", "method", method.String(), "host", host, "rounds", round+1, "unknown", unknown, "last", last)
			return c.failed(unknown, last)
		}
	}
}

func (c *Client) failed(unknown bool, last error) error {
	if unknown {
		return result.New(result.CommitUnknown, "no storage node confirmed it: %v", last)
	}
	return result.New(result.StoreUnavailable, "no storage node could take it: %v", last).After(comeBack)
}

// final tells the answers that another node or try would give as well.
func final(err error) bool { return result.Is(err, result.TenantTokens) }

func (c *Client) try(ctx context.Context, address string, method wirev1.Method, wait time.Duration, request, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+wait)
	defer cancel()
	return c.Pool.Call(ctx, address, rpc.ClassOnline, method, request, reply)
}

// candidates lists the nodes that may lead the shard of a host.
func (c *Client) candidates(host string) []string {
	layout := c.Layouts.Current()
	if layout == nil {
		return nil
	}
	id := queuestore.ShardOf(host, len(layout.Shards))
	c.mutex.Lock()
	leader := c.leaders[id]
	c.mutex.Unlock()
	var list []string
	for _, member := range layout.Shards[id].Members {
		record, known := c.Directory.Disk(member)
		switch {
		case !known:
		case record.Address == leader:
			list = append([]string{leader}, list...)
		default:
			list = append(list, record.Address)
		}
	}
	return list
}

func (c *Client) remember(host, address string) {
	layout := c.Layouts.Current()
	if layout == nil {
		return
	}
	id := queuestore.ShardOf(host, len(layout.Shards))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leaders[id] != address {
		klog.InfoS("queue leader found", "shard", id, "address", address, "before", c.leaders[id])
		c.leaders[id] = address
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
