// Package directory reaches batch shards from any node: it knows which node leads
// which shard, and carries commands and reads there, again if leadership moved. Every
// command is idempotent by the ids in it, so sending one again after a lost answer
// changes nothing.
//
// It owns the map of shards to leaders, in memory, which it reads from the nodes with
// a disk; it relies on the view of the fleet for these and on the links. The plain
// node runs it.
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

// Views gives the view of the fleet.
type Views interface{ View() *fleet.View }

// Map is a snapshot of who leads what.
type Map struct {
	// Regions holds the home region of each shard, by shard number.
	Regions []string
	Leaders map[uint32]string // shard → internal address
	Pending []uint32
}

// Module provides access to shards.
type Module struct {
	views Views
	pool  *rpc.Pool

	current    atomic.Pointer[Map]
	refreshing sync.Mutex
	refreshed  time.Time

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
	m.current.Store(&Map{Leaders: map[uint32]string{}})
	ctx.Provide(m)
	return nil
}

const (
	// refreshInterval is the time between two looks at the map; it grows with
	// the disk nodes to ask, so that the traffic does not.
	refreshInterval = 500 * time.Millisecond
	perDiskInterval = 100 * time.Millisecond
	// refreshTimeout bounds one look, at all disk nodes at once.
	refreshTimeout = time.Second
	// firstLooks bounds the looks of a node that knows no shards yet.
	firstLooks = 10
	// retryPause is the shortest wait between two attempts of a call; a random time
	// of up to as much is added.
	retryPause = 50 * time.Millisecond
	// attemptTimeout bounds one attempt, so that a leader that was paused does not
	// hold a caller until its deadline.
	attemptTimeout = 3 * time.Second
)

// Start implements kernel.Starter.
func (m *Module) Start(ctx context.Context) error {
	m.background.Go(func() { m.refreshLoop(ctx) })
	return nil
}

// Cleanup implements kernel.Cleaner. The loop ends with the context of Start.
func (m *Module) Cleanup() { m.background.Wait() }

func (m *Module) refreshLoop(ctx context.Context) {
	for {
		interval := max(refreshInterval, time.Duration(len(m.views.View().DiskMembers()))*perDiskInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			m.refresh(ctx)
		}
	}
}

// Map returns the map last read; it may be stale.
func (m *Module) Map() *Map { return m.current.Load() }

// refresh asks every disk node what it leads. Disk nodes are few.
func (m *Module) refresh(ctx context.Context) {
	m.refreshing.Lock()
	defer m.refreshing.Unlock()
	if time.Since(m.refreshed) < refreshInterval/5 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	disks := m.views.View().DiskMembers()
	replies := make([]*wirev1.ShardMapReply, len(disks))
	request := &wirev1.ShardMapRequest{KnownShards: m.Shards()}
	var asking tasks.Group
	for i, disk := range disks {
		asking.Go(func() {
			reply := &wirev1.ShardMapReply{}
			if m.pool.Call(ctx, disk.Address, rpc.ClassControl, wirev1.Method_METHOD_SHARD_MAP, request, reply) == nil {
				replies[i] = reply
			}
		})
	}
	asking.Wait()
	m.current.Store(merge(m.current.Load(), disks, replies))
	m.refreshed = time.Now()
}

func merge(before *Map, disks []*wirev1.MemberRecord, replies []*wirev1.ShardMapReply) *Map {
	next := &Map{Regions: before.Regions, Leaders: map[uint32]string{}}
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
func (m *Module) Shards() uint32 { return uint32(len(m.Map().Regions)) }

// HomeShards lists the shards of a tenant's home region. Without one, the home
// is the first region in alphabetical order, the same seen from everywhere. A
// node that has just started and knows no shards asks for them first.
func (m *Module) HomeShards(region string) []uint32 {
	for try := 0; m.Shards() == 0 && try < firstLooks; try++ {
		m.refresh(context.Background())
		if m.Shards() == 0 {
			time.Sleep(refreshInterval / 5)
		}
	}
	regions := m.Map().Regions
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

// call carries a request to a shard's leader until it is answered or the
// context ends. delivered says whether any attempt may have arrived.
func (m *Module) call(ctx context.Context, shard uint32, class rpc.Class, method wirev1.Method, request, reply proto.Message) error {
	delivered := false
	var last error
	for {
		err := m.callOnce(ctx, shard, class, method, request, reply)
		if err == nil {
			return nil
		}
		last = err
		switch {
		case errors.Is(err, rpc.ErrLinkLost), errors.Is(err, context.DeadlineExceeded), result.Is(err, result.CommitUnknown):
			delivered = true
		case result.Is(err, result.NotLeader), result.Is(err, result.PeerUnreachable):
		case result.Is(err, result.Internal) && ctx.Err() != nil:
			delivered = true
		default:
			return err
		}
		select {
		case <-ctx.Done():
			return m.giveUp(shard, delivered, last)
		case <-time.After(retryPause + time.Duration(rand.Int64N(int64(retryPause)))):
			m.refresh(ctx)
		}
	}
}

func (m *Module) callOnce(ctx context.Context, shard uint32, class rpc.Class, method wirev1.Method, request, reply proto.Message) error {
	leader, known := m.Map().Leaders[shard]
	if !known {
		return result.New(result.NotLeader, "no leader of shard %d is known", shard)
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return m.pool.Call(attempt, leader, class, method, request, reply)
}

func (m *Module) giveUp(shard uint32, delivered bool, last error) error {
	if delivered {
		return result.New(result.CommitUnknown, "shard %d did not confirm in time", shard).WithRetryAfter(time.Second)
	}
	code := result.StoreUnavailable
	if regions := m.Map().Regions; int(shard) < len(regions) && regions[shard] != m.views.View().Self.Region {
		code = result.HomeUnreachable
	}
	return result.New(code, "no leader of shard %d could be reached: %s", shard, result.FromError(last).Message).WithRetryAfter(time.Second)
}

// Propose carries a command to its shard. Errors are result codes: that of the
// command's answer; CommitUnknown if it may have been applied;
// StoreUnavailable or HomeUnreachable if no leader was reached until ctx ended.
func (m *Module) Propose(ctx context.Context, shard uint32, command *wirev1.Command) (*wirev1.CommandResult, error) {
	return m.propose(ctx, shard, rpc.ClassBulk, command)
}

// Claim carries a claim of an idempotency key, which an online caller waits
// for, by the online links. Its errors are those of Propose.
func (m *Module) Claim(ctx context.Context, shard uint32, command *wirev1.Command) (*wirev1.CommandResult, error) {
	return m.propose(ctx, shard, rpc.ClassOnline, command)
}

func (m *Module) propose(ctx context.Context, shard uint32, class rpc.Class, command *wirev1.Command) (*wirev1.CommandResult, error) {
	answer := &wirev1.CommandResult{}
	err := m.call(ctx, shard, class, wirev1.Method_METHOD_SHARD_PROPOSE, &wirev1.ProposeRequest{Shard: shard, Command: command}, answer)
	if err != nil {
		return nil, err
	}
	if answer.Code != 0 {
		return nil, result.New(result.Code(answer.Code), "%s", answer.Message)
	}
	return answer, nil
}

// Read asks a shard's leader, again until it is answered or ctx ends. Its errors are
// those of Propose.
func (m *Module) Read(ctx context.Context, request *wirev1.ReadRequest) (*wirev1.ReadReply, error) {
	reply := &wirev1.ReadReply{}
	return reply, m.call(ctx, request.Shard, rpc.ClassBulk, wirev1.Method_METHOD_SHARD_READ, request, reply)
}

// Pull asks a shard's leader for items, once: the caller pulls again anyway. It
// returns NotLeader if no leader is known, or the error of the call.
func (m *Module) Pull(ctx context.Context, request *wirev1.PullRequest) (*wirev1.PullReply, error) {
	reply := &wirev1.PullReply{}
	return reply, m.callOnce(ctx, request.Shard, rpc.ClassBulk, wirev1.Method_METHOD_PULL, request, reply)
}

// Complete delivers results to a shard's leader, again until it is answered or ctx
// ends. Its errors are those of Propose.
func (m *Module) Complete(ctx context.Context, request *wirev1.CompleteRequest) (*wirev1.CompleteReply, error) {
	reply := &wirev1.CompleteReply{}
	return reply, m.call(ctx, request.Shard, rpc.ClassBulk, wirev1.Method_METHOD_COMPLETE, request, reply)
}
