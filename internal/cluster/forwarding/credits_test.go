package forwarding

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// keeperNode serves allotments from a keeper.
type keeperNode struct {
	mutex  sync.Mutex
	keeper *allotment.Keeper
	limit  allotment.RateLimit
}

func (k *keeperNode) serve(_ context.Context, stream *rpc.ServerStream) error {
	var request wirev1.AllotmentRequest
	if err := stream.DecodeRequest(&request); err != nil {
		return err
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	reply := &wirev1.AllotmentReply{}
	for _, claim := range request.Claims {
		holder := allotment.HolderID{Node: request.Node, Incarnation: request.Incarnation}
		grant, valid := k.keeper.Renew(time.Now(), holder, request.Number, k.limit, allotment.Claim{Tenant: claim.Tenant, Held: claim.Held, Wanted: claim.Wanted, Spare: claim.Spare})
		if !valid {
			return result.New(result.StaleEpoch, "stale")
		}
		reply.Grants = append(reply.Grants, &wirev1.AllotmentGrant{Tenant: claim.Tenant, Share: grant.Share, Spare: grant.Spare})
	}
	if request.Credits > 0 {
		granted, wait := k.keeper.Credits(time.Now(), request.Tenant, k.limit, int(request.Credits))
		reply.Credits, reply.WaitMs = uint32(granted), uint32(wait.Milliseconds())
	}
	return stream.Send(reply)
}

// directKeeper is an admission.KeeperClient that calls one keeper.
type directKeeper struct {
	caller  *Caller
	address string
}

func (k *directKeeper) Allot(ctx context.Context, _ string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
	reply := &wirev1.AllotmentReply{}
	return reply, k.caller.Call(ctx, k.address, rpc.ClassOnline, wirev1.Method_METHOD_ALLOTMENT, request, reply)
}

func (k *directKeeper) ShardOf(string) (uint32, bool) { return 0, true }

// All nodes together admit no more requests than the limit allows, although requests for
// credits are executed twice, and partitioned nodes admit requests too.
func TestLimitHoldsWhileCreditsAreForwarded(t *testing.T) {
	is := is.New(t)
	limit := allotment.RateLimit{Rate: 100, Burst: 50}
	tolerance := allotment.Tolerance{Window: time.Second, Overrun: 0.1, Slack: 5}
	keeper := &keeperNode{keeper: allotment.NewKeeper(time.Now().Add(-time.Hour), tolerance), limit: limit}
	f := startFleet(t, 6, 1, 0, map[wirev1.Method]rpc.StreamHandler{wirev1.Method_METHOD_ALLOTMENT: keeper.serve})
	partitioned := f.edges[:3]
	f.cut(faultRepliesLost, partitioned...)
	tenant := &catalog.Tenant{Name: "t", RatePerSecond: limit.Rate, Burst: limit.Burst}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	admitted := make([]atomic.Int64, len(f.edges))
	started := time.Now()
	var askers sync.WaitGroup
	for i, edge := range f.edges {
		controller := admission.New(&directKeeper{edge.Caller, f.disks[0].address}, func(string) (allotment.RateLimit, bool) { return limit, true },
			tolerance, allotment.HolderID{Node: fmt.Sprint(i), Incarnation: 1}, prometheus.NewRegistry())
		group.Add(1)
		go func() { defer group.Done(); controller.Run(ctx) }()
		for range 4 {
			askers.Add(1)
			go func() {
				defer askers.Done()
				for time.Since(started) < 2500*time.Millisecond {
					if _, err := controller.Admit(ctx, "id", tenant, longTimeout); err == nil {
						admitted[i].Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			}()
		}
	}
	askers.Wait()
	elapsed := time.Since(started).Seconds()
	total, throughPeers := int64(0), int64(0)
	for i := range admitted {
		total += admitted[i].Load()
		if i < len(partitioned) {
			throughPeers += admitted[i].Load()
		}
	}
	allowed := (1+tolerance.Overrun)*(limit.Burst+limit.Rate*elapsed) + float64(tolerance.Slack)
	t.Logf("%d admitted in %.1f s, %d of them at partitioned nodes; allowed are %.0f", total, elapsed, throughPeers, allowed)
	is.True(throughPeers > 0)
	is.True(float64(total) <= allowed)
}
