// Package directory sends commands and reads to the leaders of batch shards from any node.
// Except for Pull, it retries a call if the leader has changed or cannot be reached, or if the
// response was lost. Commands contain ids that make them idempotent: a command that is sent
// again has no further effect.
//
// The package keeps the map of shards to leaders in memory and refreshes it from the nodes
// with a disk, which it finds in the view of the fleet. The plain node runs it.
package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/kernel"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/internal/cluster/fleet"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
	"cobaltramp.example/cobaltramp/modules/fleet/membership"
)

// ModuleName registers the module.
const ModuleName = "batch.directory"

func init() {
	kernel.Register(kernel.Info{
		Name: ModuleName, DependsOn: []string{membership.ModuleName},
		New: func() kernel.Module { return &Module{} },
	})
}

// Views provides the current view of the fleet.
type Views interface{ View() *fleet.View }

// ShardMap is a snapshot of the known shards and their leaders.
type ShardMap struct {
	// Regions lists the region of each shard's members, in the order of shard numbers.
	Regions []string
	Leaders map[uint32]string // address of the node that leads a shard
	Pending []uint32          // shards that have items to grant
}

// Module sends calls to the leaders of shards.
type Module struct {
	views Views
	pool  *rpc.Pool

	current      atomic.Pointer[ShardMap]
	refreshMutex sync.Mutex
	lastRefresh  time.Time

	background tasks.Group
}

var (
	_ kernel.Module  = (*Module)(nil)
	_ kernel.Starter = (*Module)(nil)
	_ kernel.Cleaner = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	if err := ctx.Resolve(
		kernel.Dependency(&m.views), kernel.Dependency(&m.pool),
	); err != nil {
		return trace.Wrap(err)
	}
	m.current.Store(&ShardMap{Leaders: map[uint32]string{}})
	ctx.Provide(m)
	return nil
}

const (
	// The map is refreshed in the background every refreshInterval, or, if that is
	// longer, every refreshIntervalPerDisk times the number of nodes with a disk, so that
	// the rate of calls stays bounded.
	refreshInterval        = 500 * time.Millisecond
	refreshIntervalPerDisk = 100 * time.Millisecond
	// refreshTimeout is the timeout of one refresh, which asks all nodes with a disk at
	// the same time.
	refreshTimeout = time.Second
	// maxInitialRefreshes is the maximum number of refreshes that one call of HomeShards
	// makes while the node knows no shards.
	maxInitialRefreshes = 10
	// minRetryDelay is the shortest delay between two attempts of a call. A random time
	// below minRetryDelay is added, and then the map is refreshed.
	minRetryDelay = 50 * time.Millisecond
	// attemptTimeout is the timeout of one attempt. It keeps a caller from waiting until
	// its own deadline for a leader whose process is suspended.
	attemptTimeout = 3 * time.Second
)

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.background.Go(func() { m.refreshLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. It waits for the refresh loop, which ends with the
// context of Start.
func (m *Module) Cleanup() { m.background.Wait() }

func (m *Module) refreshLoop(ctx context.Context) {
	for {
		interval := max(refreshInterval, time.Duration(len(m.views.View().DiskMembers()))*refreshIntervalPerDisk)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			m.refresh(ctx)
		}
	}
}

// ShardMap returns the map of the last refresh, which may be stale.
func (m *Module) ShardMap() *ShardMap { return m.current.Load() }

// refresh asks each node with a disk which shards the node leads. It does nothing if the last
// refresh ended less than a fifth of refreshInterval ago.
func (m *Module) refresh(ctx context.Context) {
	m.refreshMutex.Lock()
	defer m.refreshMutex.Unlock()
	if time.Since(m.lastRefresh) < refreshInterval/5 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	disks := m.views.View().DiskMembers()
	replies := make([]*wirev1.ShardMapReply, len(disks))
	request := &wirev1.ShardMapRequest{KnownShards: m.Shards()}
	var calls tasks.Group
	for i, disk := range disks {
		calls.Go(func() {
			reply := &wirev1.ShardMapReply{}
			if m.pool.Call(ctx, disk.Address, rpc.ClassControl, wirev1.Method_METHOD_SHARD_MAP, request, reply) == nil {
				replies[i] = reply
			}
		})
	}
	calls.Wait()
	m.current.Store(mergeReplies(m.current.Load(), disks, replies))
	m.lastRefresh = time.Now()
}

// mergeReplies returns the map that the replies describe. A reply is nil if the node did not
// respond; the shards of such a node have no leader in the map.
func mergeReplies(previous *ShardMap, disks []*wirev1.MemberRecord, replies []*wirev1.ShardMapReply) *ShardMap {
	next := &ShardMap{Regions: previous.Regions, Leaders: map[uint32]string{}}
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		if len(reply.Regions) > len(next.Regions) {
			next.Regions = reply.Regions
		}
		for _, shard := range reply.Leading {
			next.Leaders[shard] = disks[i].Address
		}
		next.Pending = append(next.Pending, reply.Pending...)
	}
	return next
}

// Shards returns the number of shards, 0 while none are known.
func (m *Module) Shards() uint32 { return uint32(len(m.ShardMap().Regions)) }

// HomeShards lists the shards of a tenant's home region. If region is empty, it uses the
// first region in alphabetical order, so that all nodes choose the same region. While the
// node knows no shards, it refreshes the map up to maxInitialRefreshes times and waits
// between the refreshes. It returns nil if the region has no shards.
func (m *Module) HomeShards(region string) []uint32 {
	for attempt := 0; m.Shards() == 0 && attempt < maxInitialRefreshes; attempt++ {
		m.refresh(context.Background())
		if m.Shards() == 0 {
			time.Sleep(refreshInterval / 5)
		}
	}
	regions := m.ShardMap().Regions
	if region == "" && len(regions) > 0 {
		region = slices.Min(regions)
	}
	var shards []uint32
	for shard, home := range regions {
		if home == region {
			shards = append(shards, uint32(shard))
		}
	}
	return shards
}

// call sends a request to a shard's leader. It retries until the leader responds, an error
// occurs that a retry cannot resolve, or the context ends.
func (m *Module) call(ctx context.Context, shard uint32, class rpc.Class, method wirev1.Method, request, reply proto.Message) error {
	maybeDelivered := false
	var lastErr error
	for {
		err := m.callOnce(ctx, shard, class, method, request, reply)
		if err == nil {
			return nil
		}
		lastErr = err
		switch {
		case errors.Is(err, rpc.ErrLinkLost), errors.Is(err, context.DeadlineExceeded), result.Is(err, result.CommitUnknown):
			maybeDelivered = true
		case result.Is(err, result.NotLeader), result.Is(err, result.PeerUnreachable):
		case result.Is(err, result.Internal) && ctx.Err() != nil:
			maybeDelivered = true
		default:
			return err
		}
		select {
		case <-ctx.Done():
			return m.noReplyError(shard, maybeDelivered, lastErr)
		case <-time.After(minRetryDelay + time.Duration(rand.Int64N(int64(minRetryDelay)))):
			m.refresh(ctx)
		}
	}
}

// callOnce makes one attempt of a call, which ends after attemptTimeout. It returns NotLeader
// if no leader is known.
func (m *Module) callOnce(ctx context.Context, shard uint32, class rpc.Class, method wirev1.Method, request, reply proto.Message) error {
	leader, found := m.ShardMap().Leaders[shard]
	if !found {
		return result.New(result.NotLeader, "no leader of shard %d is known", shard)
	}
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return m.pool.Call(attemptCtx, leader, class, method, request, reply)
}

// noReplyError returns the error of a call whose context has ended: CommitUnknown if
// maybeDelivered, which means that a leader may have received one of the attempts. Otherwise
// it returns HomeUnreachable for a shard of another region, or StoreUnavailable.
func (m *Module) noReplyError(shard uint32, maybeDelivered bool, lastErr error) error {
	if maybeDelivered {
		return result.New(result.CommitUnknown, "shard %d did not confirm in time", shard).WithRetryAfter(time.Second)
	}
	code := result.StoreUnavailable
	if regions := m.ShardMap().Regions; int(shard) < len(regions) && regions[shard] != m.views.View().Self.Region {
		code = result.HomeUnreachable
	}
	return result.New(code, "no leader of shard %d could be reached: %s", shard, result.FromError(lastErr).Message).WithRetryAfter(time.Second)
}

// Propose sends a command to the leader of its shard. Its errors have result codes: the code
// of the command's result, or an error of the leader that is not retried. If ctx ends first,
// the code is CommitUnknown if the command may have been applied, otherwise StoreUnavailable,
// or HomeUnreachable for a shard of another region.
func (m *Module) Propose(ctx context.Context, shard uint32, command *wirev1.Command) (*wirev1.CommandResult, error) {
	return m.propose(ctx, shard, rpc.ClassBulk, command)
}

// Claim sends a command about the claim of an idempotency key on the online links, because
// an online caller waits for it. It returns the same errors as Propose.
func (m *Module) Claim(ctx context.Context, shard uint32, command *wirev1.Command) (*wirev1.CommandResult, error) {
	return m.propose(ctx, shard, rpc.ClassOnline, command)
}

func (m *Module) propose(ctx context.Context, shard uint32, class rpc.Class, command *wirev1.Command) (*wirev1.CommandResult, error) {
	commandResult := &wirev1.CommandResult{}
	err := m.call(ctx, shard, class, wirev1.Method_METHOD_SHARD_PROPOSE, &wirev1.ProposeRequest{Shard: shard, Command: command}, commandResult)
	if err != nil {
		return nil, err
	}
	if commandResult.Code != 0 {
		return nil, result.New(result.Code(commandResult.Code), "%s", commandResult.Message)
	}
	return commandResult, nil
}

// Read reads from a shard's leader. It retries like Propose and returns the same kinds of
// errors. The reply is never nil, but has no meaning after an error.
func (m *Module) Read(ctx context.Context, request *wirev1.ReadRequest) (*wirev1.ReadReply, error) {
	reply := &wirev1.ReadReply{}
	return reply, m.call(ctx, request.Shard, rpc.ClassBulk, wirev1.Method_METHOD_SHARD_READ, request, reply)
}

// Pull requests items from a shard's leader. It makes one attempt, because the caller pulls
// regularly. It returns NotLeader if no leader is known, or the error of the call.
func (m *Module) Pull(ctx context.Context, request *wirev1.PullRequest) (*wirev1.PullReply, error) {
	reply := &wirev1.PullReply{}
	return reply, m.callOnce(ctx, request.Shard, rpc.ClassBulk, wirev1.Method_METHOD_PULL, request, reply)
}

// Complete delivers results to a shard's leader. It retries like Propose and returns the
// same errors.
func (m *Module) Complete(ctx context.Context, request *wirev1.CompleteRequest) (*wirev1.CompleteReply, error) {
	reply := &wirev1.CompleteReply{}
	return reply, m.call(ctx, request.Shard, rpc.ClassBulk, wirev1.Method_METHOD_COMPLETE, request, reply)
}
