package online

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
	"cobaltramp.example/cobaltramp/internal/serving/admission"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// limitedKeeper grants a limited number of credits and no shares.
type limitedKeeper struct {
	mutex   sync.Mutex
	left    int
	granted int
}

func (k *limitedKeeper) Allot(_ context.Context, _ string, request *wirev1.AllotmentRequest) (*wirev1.AllotmentReply, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	count := min(int(request.Credits), k.left)
	k.left -= count
	k.granted += count
	return &wirev1.AllotmentReply{Credits: uint32(count), WaitMs: 700}, nil
}

func (k *limitedKeeper) ShardOf(string) (uint32, bool) { return 0, true }

// longLived credits do not expire during a test.
var longLived = allotment.Tolerance{Window: time.Hour, Overrun: 1, Slack: 20}

func limitedForwarder(keeper admission.KeeperClient, client exchange.CallSender, runners int, tolerance allotment.Tolerance) *Forwarder {
	set := runnerset.New()
	var records []runnerset.Record
	for i := range runners {
		records = append(records, runnerset.Record{ID: string(rune('a' + i)), Service: "s", Slots: 4})
	}
	set.Replace(records, 1, time.Now())
	forwarder := New("z", set, client, prometheus.NewRegistry())
	forwarder.listWait = time.Millisecond
	limit := func(string) (allotment.RateLimit, bool) { return allotment.RateLimit{Rate: 1, Burst: 1}, true }
	forwarder.Admission = admission.New(keeper, limit, tolerance, allotment.HolderID{Node: "n", Incarnation: 1}, prometheus.NewRegistry())
	return forwarder
}

func limitedRequest(route *catalog.Route) *CallerRequest {
	now := time.Now()
	return &CallerRequest{
		ID: "id", Method: http.MethodPost, URI: "/x", Route: route, Tenant: &catalog.Tenant{Name: "t", RatePerSecond: 1, Burst: 1},
		Received: now, Deadline: now.Add(30 * time.Second), ResumeAfter: -1,
	}
}

// Each run uses one credit; a credit that no runner used is kept for the next run; a
// request that is reported as not run has not run.
func TestEachRunUsesOneCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runners := &fakeRunners{outcomes: rapid.SliceOfN(rapid.SampledFrom(outcomes), 0, 12).Draw(t, "outcomes")}
		credits := rapid.IntRange(0, 4).Draw(t, "credits")
		keeper := &limitedKeeper{left: credits}
		forwarder := limitedForwarder(keeper, runners, 8, longLived)
		kind := rapid.SampledFrom([]catalog.RouteKind{catalog.Once, catalog.Streaming, catalog.Repeatable}).Draw(t, "kind")
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			before := runners.runs
			err := forwarder.Serve(context.Background(), limitedRequest(routeOf(kind, true, 3)), &recorder{})
			ran := runners.runs - before
			if err != nil && !errors.Is(err, ErrCut) && result.CodeOf(err).Entry().Ran == result.RanNo && ran > 0 {
				t.Fatalf("reported as not run (%v), but ran %d times", err, ran)
			}
		}
		if runners.runs > credits {
			t.Fatalf("%d runs with %d credits", runners.runs, credits)
		}
	})
}

// A request over the limit is refused immediately with a retry delay, and reaches no
// runner.
func TestRequestsOverTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	runners := &fakeRunners{}
	forwarder := limitedForwarder(&limitedKeeper{}, runners, 2, longLived)
	err := forwarder.Serve(context.Background(), limitedRequest(routeOf(catalog.Once, false, 1)), &recorder{})
	is.True(result.Is(err, result.TenantRate))
	is.True(result.FromError(err).RetryAfter >= 700*time.Millisecond)
	is.Equal(runners.runs, 0)
}

// A node that was suspended between admission and send does not send, because the credit
// has expired.
func TestExpiredCreditIsNotSpent(t *testing.T) {
	is := is.New(t)
	brief := allotment.Tolerance{Window: time.Second} // gives credits the shortest lifetime
	withdrawn := 0
	client := clientFunc(func(_ context.Context, call *exchange.Call) (*exchange.Response, error) {
		time.Sleep(2 * brief.CreditLife())
		if call.MaySend() {
			return nil, &exchange.OutcomeUnknownError{Cause: errors.New("sent")}
		}
		withdrawn++
		return nil, &exchange.NotRunError{Reason: exchange.ReasonWithdrawn, Cause: errors.New("withdrawn")}
	})
	forwarder := limitedForwarder(&limitedKeeper{left: 2}, client, 4, brief)
	err := forwarder.Serve(context.Background(), limitedRequest(routeOf(catalog.Once, false, 1)), &recorder{})
	is.True(result.Is(err, result.TenantRate))
	is.Equal(withdrawn, 2)
}
