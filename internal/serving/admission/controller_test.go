package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/boottime"
	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

var tolerance = allotment.Tolerance{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// scriptedKeepers is a KeeperClient whose responses a test defines.
type scriptedKeepers struct {
	calls atomic.Int64
	allot func(request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error)
}

func (k *scriptedKeepers) Allot(_ context.Context, _ string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
	k.calls.Add(1)
	return k.allot(request)
}

func (k *scriptedKeepers) ShardOf(string) (uint32, bool) { return 0, true }

var limited = &catalog.Tenant{Name: "t", RatePerSecond: 50, Burst: 50}

func controllerOf(keepers KeeperClient) *Controller {
	return New(keepers, func(string) (allotment.RateLimit, bool) { return limitOf(limited), true }, tolerance, allotment.HolderID{Node: "n", Incarnation: 1}, prometheus.NewRegistry())
}

const maxWait = 5 * time.Second // for tests that do not wait this long

// Requests without a tenant, or of a tenant without a limit, call no keeper.
func TestUnlimitedTenantsNeedNoKeeper(t *testing.T) {
	is := is.New(t)
	keepers := &scriptedKeepers{}
	controller := controllerOf(keepers)
	for _, tenant := range []*catalog.Tenant{nil, {Name: "free"}} {
		admitted, err := controller.Admit(context.Background(), "id", tenant, maxWait)
		is.NoErr(err)
		is.Equal(admitted, nil)
		is.True(admitted.Valid())
		admitted.Return()
	}
	is.Equal(keepers.calls.Load(), int64(0))
}

// Concurrent requests share calls to the keeper. Each granted credit admits one request; the
// other requests are refused with a retry delay.
func TestConcurrentRequestsShareKeeperCalls(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var requested atomic.Int64
	keepers := &scriptedKeepers{allot: func(request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
		<-release
		requested.Add(int64(request.Credits))
		return &wirev1.AllotmentReply{Credits: min(request.Credits, 4), WaitMs: 300}, nil
	}}
	controller := controllerOf(keepers)
	var admitted, refused atomic.Int64
	var group sync.WaitGroup
	send := func() {
		group.Add(1)
		go func() {
			defer group.Done()
			_, err := controller.Admit(context.Background(), "id", limited, maxWait)
			switch {
			case err == nil:
				admitted.Add(1)
			case result.Is(err, result.TenantRate) && result.FromError(err).RetryAfter > 0:
				refused.Add(1)
			}
		}()
	}
	send()
	eventually.Require(t, "the keeper has received the call of the first request", func() bool { return keepers.calls.Load() == 1 }, func() any { return keepers.calls.Load() })
	for range 11 {
		send()
	}
	waiting := func() int {
		allowance := controller.allowance("t")
		allowance.mutex.Lock()
		defer allowance.mutex.Unlock()
		return len(allowance.waiting)
	}
	eventually.Require(t, "the other requests wait", func() bool { return waiting() == 11 }, func() any { return waiting() })
	close(release)
	group.Wait()
	is.Equal(admitted.Load()+refused.Load(), int64(12))
	is.True(admitted.Load() >= 1)
	is.Equal(keepers.calls.Load(), int64(2)) // one for the first request, one for the other eleven
}

// A returned credit admits the next request.
func TestReturnedCreditIsUsed(t *testing.T) {
	is := is.New(t)
	keepers := &scriptedKeepers{allot: func(*wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
		return &wirev1.AllotmentReply{Credits: 1}, nil
	}}
	controller := controllerOf(keepers)
	first, err := controller.Admit(context.Background(), "id", limited, maxWait)
	is.NoErr(err)
	first.Return()
	_, err = controller.Admit(context.Background(), "id", limited, maxWait)
	is.NoErr(err)
	is.Equal(keepers.calls.Load(), int64(1))
}

// A request waits for an unresponsive keeper for at most maxWait. The error says that the
// request did not run, and carries a retry delay.
func TestUnresponsiveKeeperIsBoundedByMaxWait(t *testing.T) {
	is := is.New(t)
	never := make(chan struct{})
	defer close(never)
	keepers := &scriptedKeepers{allot: func(*wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
		<-never
		return nil, errors.New("ended")
	}}
	_, err := controllerOf(keepers).Admit(context.Background(), "id", limited, time.Millisecond)
	is.True(result.Is(err, result.NotReady))
	is.Equal(result.CodeOf(err).Entry().Ran, result.RanNo)
	is.True(result.FromError(err).RetryAfter >= unavailableRetryAfter)
}

// A renewal claims all tenants of a keeper in one message, and the granted share then admits
// requests without a call.
func TestRenewalsGiveShares(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	var claims []*wirev1.AllotmentClaim
	keepers := &scriptedKeepers{allot: func(request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
		mutex.Lock()
		defer mutex.Unlock()
		reply := &wirev1.AllotmentReply{Credits: request.Credits}
		for _, claim := range request.Claims {
			claims = append(claims, claim)
			reply.Grants = append(reply.Grants, &wirev1.AllotmentGrant{Tenant: claim.Tenant, Share: 0.4, Spare: true})
		}
		return reply, nil
	}}
	controller := controllerOf(keepers)
	for _, name := range []string{"t", "u"} {
		_, err := controller.Admit(context.Background(), "id", &catalog.Tenant{Name: name, RatePerSecond: 10, Burst: 10}, maxWait)
		is.NoErr(err)
	}
	controller.renewShares(context.Background(), []string{"t", "u"})
	is.Equal(len(claims), 2)
	is.True(claims[0].Wanted > 0 && claims[0].Held == 0)
	controller.renewShares(context.Background(), []string{"t", "u"})
	is.Equal(claims[2].Held, 0.4)
	is.True(claims[2].Spare)
	calls := keepers.calls.Load()
	allowance := controller.allowance("t")
	hasCredit := func() bool {
		allowance.mutex.Lock()
		defer allowance.mutex.Unlock()
		credit, ok := allowance.AcquireCredit(controller.now(), limitOf(limited))
		if ok {
			allowance.Allowance.Return(controller.now(), limitOf(limited), credit)
		}
		return ok
	}
	eventually.Require(t, "credit accrues at the share's rate", hasCredit, func() any {
		allowance.mutex.Lock()
		defer allowance.mutex.Unlock()
		share, level := allowance.Share()
		return []float64{share, level}
	})
	admitted, err := controller.Admit(context.Background(), "id", limited, maxWait)
	is.NoErr(err)
	is.True(admitted.Valid())
	is.Equal(keepers.calls.Load(), calls)
}

// Calls to an unavailable keeper are paused for all tenants of its shard.
func TestUnavailableKeeperIsNotCalledForEachRequest(t *testing.T) {
	is := is.New(t)
	keepers := &scriptedKeepers{allot: func(*wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
		return nil, errors.New("no leader")
	}}
	controller := controllerOf(keepers)
	admit := func(name string) error {
		_, err := controller.Admit(context.Background(), "id", &catalog.Tenant{Name: name, RatePerSecond: 10, Burst: 10}, maxWait)
		return err
	}
	before := controller.now()
	is.True(result.Is(admit("t"), result.NotReady))
	until, paused := controller.pausedUntil.Load(uint32(0))
	is.True(paused && until.(time.Time).After(before.Add(minKeeperPause)))
	controller.pausedUntil.Store(uint32(0), before.Add(time.Hour)) // tests the pause, not its length
	for _, name := range []string{"t", "u", "v", "t"} {            // all of one shard
		is.True(result.Is(admit(name), result.NotReady))
	}
	is.Equal(keepers.calls.Load(), int64(1))
	controller.pausedUntil.Store(uint32(0), before) // the pause is over
	is.True(result.Is(admit("u"), result.NotReady))
	is.Equal(keepers.calls.Load(), int64(2))
}

// Leases also expire while the machine is suspended, when the monotonic clock stops, since
// the keeper may grant the shares to other nodes.
func TestLeasesExpireDuringSuspension(t *testing.T) {
	is := is.New(t)
	keepers := &scriptedKeepers{allot: func(request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
		reply := &wirev1.AllotmentReply{Credits: 2 * request.Credits}
		for _, claim := range request.Claims {
			reply.Grants = append(reply.Grants, &wirev1.AllotmentGrant{Tenant: claim.Tenant, Share: 0.4, Spare: true})
		}
		return reply, nil
	}}
	controller := controllerOf(keepers)
	suspended := time.Duration(0)
	controller.now = func() time.Time { return boottime.Now().Add(suspended) }
	admitted, err := controller.Admit(context.Background(), "id", limited, maxWait) // leaves one credit unused
	is.NoErr(err)
	controller.renewShares(context.Background(), []string{limited.Name})
	allowance := controller.allowance(limited.Name)
	share, _ := allowance.Share()
	is.Equal(share, 0.4)
	is.True(admitted.Valid())
	suspended = allotment.LeaseTTL
	is.True(!admitted.Valid())
	allowance.mutex.Lock()
	defer allowance.mutex.Unlock()
	_, ok := allowance.AcquireCredit(controller.now(), limitOf(limited))
	is.True(!ok)
	_, ok = allowance.AcquireSpare(controller.now())
	is.True(!ok)
	share, _ = allowance.Share()
	is.Equal(share, 0.0)
}

// The controller's default clock includes suspensions.
func TestClockCountsSuspensions(t *testing.T) {
	is := is.New(t)
	before := boottime.Now()
	now := controllerOf(&scriptedKeepers{}).now()
	is.True(!now.Before(before) && !now.After(boottime.Now()))
}

// unresponsiveKeepers does not respond until the context of the call ends.
type unresponsiveKeepers struct{ called chan struct{} }

func (k *unresponsiveKeepers) Allot(ctx context.Context, _ string, _ *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
	k.called <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (k *unresponsiveKeepers) ShardOf(string) (uint32, bool) { return 0, true }

// Shutdown cancels calls to keepers, and later requests are refused at once.
func TestKeeperCallsEndWithTheNode(t *testing.T) {
	is := is.New(t)
	keepers := &unresponsiveKeepers{called: make(chan struct{})}
	controller := controllerOf(keepers)
	ctx, cancel := context.WithCancel(context.Background())
	refused := make(chan error, 1)
	go func() {
		_, err := controller.Admit(context.Background(), "id", limited, maxWait)
		refused <- err
	}()
	<-keepers.called
	cancel()
	controller.Run(ctx) // returns once the call has ended
	is.True(result.Is(<-refused, result.NotReady))
	controller.pausedUntil.Clear()
	_, err := controller.Admit(context.Background(), "id", limited, maxWait)
	is.True(result.Is(err, result.NotReady))
}
