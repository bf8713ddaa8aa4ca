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

// scriptedKeepers answer as a test says.
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

func controllerOf(keepers Keepers) *Controller {
	return New(keepers, func(string) (allotment.RateLimit, bool) { return limitOf(limited), true }, tolerance, allotment.HolderID{Node: "n", Incarnation: 1}, prometheus.NewRegistry())
}

const maxWait = 5 * time.Second // of tests that don't wait it out

// A tenant without a limit, and nobody's request, ask no keeper.
func TestUnlimitedTenantsAskNobody(t *testing.T) {
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

// Requests that come together are admitted by one question after the other, as
// many as the keeper gives credits, and the others learn when to come back.
func TestRequestsShareQuestions(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	var asked atomic.Int64
	keepers := &scriptedKeepers{allot: func(request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
		<-release
		asked.Add(int64(request.Credits))
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
	eventually.Require(t, "the keeper holds the question of the first request", func() bool { return keepers.calls.Load() == 1 }, func() any { return keepers.calls.Load() })
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
	is.Equal(keepers.calls.Load(), int64(2)) // the first request's, and one for the eleven
}

// A credit whose request no runner has run admits the next request.
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

// A keeper that does not answer keeps no request for longer than it may wait; the
// refusal says that it has not run and when to come back.
func TestSilentKeeperRefusesSoon(t *testing.T) {
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
	is.True(result.FromError(err).RetryAfter >= noAnswerRetryAfter)
}

// Renewals carry what is held, one message for all tenants of a keeper, and the
// share that is granted admits without a question.
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
	controller.renewAt(context.Background(), []string{"t", "u"})
	is.Equal(len(claims), 2)
	is.True(claims[0].Wanted > 0 && claims[0].Held == 0)
	controller.renewAt(context.Background(), []string{"t", "u"})
	is.Equal(claims[2].Held, 0.4)
	is.True(claims[2].Spare)
	calls := keepers.calls.Load()
	allowance := controller.allowance("t")
	hasCredit := func() bool {
		allowance.mutex.Lock()
		defer allowance.mutex.Unlock()
		credit, ok := allowance.Take(controller.now(), limitOf(limited))
		if ok {
			allowance.Allowance.Return(controller.now(), limitOf(limited), credit)
		}
		return ok
	}
	eventually.Require(t, "credit comes together at the share's rate", hasCredit, func() any {
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

// While a keeper does not answer, requests are refused without a question for
// each: all nodes of a fleet would ask at once.
func TestSilentKeeperIsNotAskedForEachRequest(t *testing.T) {
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
	is.True(paused && until.(time.Time).After(before.Add(noAnswerPause)))
	controller.pausedUntil.Store(uint32(0), before.Add(time.Hour)) // the pause itself, not its length
	for _, name := range []string{"t", "u", "v", "t"} {            // of one shard
		is.True(result.Is(admit(name), result.NotReady))
	}
	is.Equal(keepers.calls.Load(), int64(1))
	controller.pausedUntil.Store(uint32(0), before) // it is over
	is.True(result.Is(admit("u"), result.NotReady))
	is.Equal(keepers.calls.Load(), int64(2))
}

// What was lent ends while the machine is suspended: the keeper lends it to others
// meanwhile. The steady clock stands still then.
func TestSuspendedMachineHoldsNothing(t *testing.T) {
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
	admitted, err := controller.Admit(context.Background(), "id", limited, maxWait) // one more is in stock
	is.NoErr(err)
	controller.renewAt(context.Background(), []string{limited.Name})
	allowance := controller.allowance(limited.Name)
	share, _ := allowance.Share()
	is.Equal(share, 0.4)
	is.True(admitted.Valid())
	suspended = allotment.Term
	is.True(!admitted.Valid())
	allowance.mutex.Lock()
	defer allowance.mutex.Unlock()
	_, ok := allowance.Take(controller.now(), limitOf(limited))
	is.True(!ok)
	_, ok = allowance.TakeSpare(controller.now())
	is.True(!ok)
	share, _ = allowance.Share()
	is.Equal(share, 0.0)
}

// A controller measures terms by the clock that counts suspensions.
func TestTermsCountSuspensions(t *testing.T) {
	is := is.New(t)
	before := boottime.Now()
	now := controllerOf(&scriptedKeepers{}).now()
	is.True(!now.Before(before) && !now.After(boottime.Now()))
}

// unresponsiveKeepers answer nothing until the question's context ends.
type unresponsiveKeepers struct{ asked chan struct{} }

func (k *unresponsiveKeepers) Allot(ctx context.Context, _ string, _ *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
	k.asked <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (k *unresponsiveKeepers) ShardOf(string) (uint32, bool) { return 0, true }

// A node that ends leaves no question to a keeper behind, and refuses requests that
// come later at once.
func TestQuestionsEndWithTheNode(t *testing.T) {
	is := is.New(t)
	keepers := &unresponsiveKeepers{asked: make(chan struct{})}
	controller := controllerOf(keepers)
	ctx, cancel := context.WithCancel(context.Background())
	refused := make(chan error, 1)
	go func() {
		_, err := controller.Admit(context.Background(), "id", limited, maxWait)
		refused <- err
	}()
	<-keepers.asked
	cancel()
	controller.Run(ctx) // returns, since it waits for nothing but the question
	is.True(result.Is(<-refused, result.NotReady))
	controller.pausedUntil.Clear()
	_, err := controller.Admit(context.Background(), "id", limited, maxWait)
	is.True(result.Is(err, result.NotReady))
}
