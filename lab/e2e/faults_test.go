package e2e

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/lab/fleet"
	"cobaltramp.example/cobaltramp/lab/load"
)

func requireNoFailures(t *testing.T, recorder *load.Recorder) {
	t.Helper()
	is := is.New(t)
	t.Logf("%d requests, %d resent, errors %v", recorder.Requests.Load(), recorder.Resent.Load(), recorder.Errors())
	is.True(recorder.Requests.Load() > 0)
	is.Equal(recorder.Failed.Load(), int64(0))    // failed
	is.Equal(recorder.Truncated.Load(), int64(0)) // truncated
	is.Equal(recorder.Wrong.Load(), int64(0))     // unexpected text
}

// withOnlineLoad generates online load while the action runs, and returns its results.
func withOnlineLoad(deployment *fleet.Fleet, addresses []string, rate float64, action func()) *load.Recorder {
	recorder := load.NewRecorder()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Add(1)
	loadTarget := target(deployment)
	loadTarget.Addresses = addresses
	go func() {
		defer group.Done()
		load.RunOnline(ctx, loadTarget, load.OnlineWorkload{Rate: rate, PromptWords: 20, AnswerTokens: 30, Seed: 4}, recorder)
	}()
	action()
	cancel()
	group.Wait()
	return recorder
}

// Each caller gets exactly its own response when engines send events late, repeatedly, out
// of order or for other requests.
func TestReorderedAndRepeatedEvents(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, topology(3, 2))
	for _, disorderly := range deployment.Engines {
		disorderly.SetDisorder(true)
		disorderly.SetResponseDelays(20*time.Millisecond, 20*time.Millisecond)
	}
	recorder := withOnlineLoad(deployment, deployment.APIAddresses(), 20, func() { time.Sleep(2 * time.Second) })
	requireNoFailures(t, recorder)
}

// Requests of a crashed engine continue at other engines, and their responses are complete.
func TestRequestsContinueAfterEngineCrash(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, topology(3, 4))
	recorder := withOnlineLoad(deployment, deployment.APIAddresses(), 20, func() {
		time.Sleep(time.Second)
		deployment.Engines[0].Crash()
		time.Sleep(2 * time.Second)
	})
	requireNoFailures(t, recorder)
}

// Callers at other nodes get complete responses without a retry when the owner of a runner
// is killed.
func TestKilledOwnerIsInvisibleToCallers(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, topology(5, 4))
	addresses := deployment.APIAddresses()[:4]
	recorder := withOnlineLoad(deployment, addresses, 20, func() {
		time.Sleep(time.Second)
		deployment.KillNode(4)
		time.Sleep(2 * time.Second)
	})
	requireNoFailures(t, recorder)
	is.New(t).Equal(recorder.Resent.Load(), int64(0))
}

// No request fails or is truncated while each node in turn is drained and restarted under
// load.
func TestRollingRestartTruncatesNoResponse(t *testing.T) {
	t.Parallel()
	deployment := startDeployment(t, topology(3, 3))
	for index := range deployment.Nodes() {
		others := append([]string(nil), deployment.APIAddresses()...)
		others = append(others[:index], others[index+1:]...)
		recorder := withOnlineLoad(deployment, others, 30, func() {
			time.Sleep(300 * time.Millisecond)
			deployment.StopNode(index)
			is.New(t).NoErr(deployment.StartNode(index))
			ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
			defer cancel()
			is.New(t).NoErr(deployment.AwaitReady(ctx, 1))
		})
		requireNoFailures(t, recorder)
	}
}

// A node that is stopped as planned completes the open streams of its callers.
func TestPlannedStopCompletesOpenStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 2))
	for _, slowed := range deployment.Engines {
		slowed.SetSlow(12)
	}
	api := client(deployment, 0)
	stream := api.Chat.Completions.NewStreaming(callContext(t), chatParams("a stream that outlives its node's stop order", 40))
	is.True(stream.Next())
	stopped := make(chan struct{})
	go func() {
		deployment.StopNode(0)
		close(stopped)
	}()
	text := stream.Current().Choices[0].Delta.Content
	for stream.Next() {
		if chunk := stream.Current(); len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text, expectedAnswer("a stream that outlives its node's stop order", 40))
	<-stopped
}

// While the platform's key-value service is down, online requests are served, and jobs are
// accepted and completed.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 2))
	deployment.Platform.SetDown(true)
	recorder := withOnlineLoad(deployment, deployment.APIAddresses(), 20, func() {
		batches := load.NewBatchClient(target(deployment))
		job, err := batches.Submit(callContext(t), load.BatchWorkload{Items: 200, PromptWords: 10, AnswerTokens: 10, Seed: 5})
		is.NoErr(err)
		status, err := batches.Await(callContext(t), job.ID)
		is.NoErr(err)
		audit, err := batches.AuditJob(callContext(t), job, status)
		is.NoErr(err)
		is.Equal(audit.Completed, 200)
		is.Equal(audit.Lost+audit.Duplicates+audit.Wrong, 0)
	})
	requireNoFailures(t, recorder)
}

// A request of class once that is sent concurrently through all nodes runs a single time,
// and all callers get the same response.
func TestOnceRequestRunsOnceThroughAllNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 2))
	params := chatParams("file the annual return of company 7", 12)
	var group sync.WaitGroup
	answers := make([]string, 6)
	for i := range answers {
		group.Add(1)
		go func() {
			defer group.Done()
			answers[i] = sendOnceRequest(t, client(deployment, i%3), params)
		}()
	}
	group.Wait()
	for _, answer := range answers {
		is.Equal(answer, expectedAnswer("file the annual return of company 7", 12))
	}
	is.Equal(deployment.Ledger.Totals().Starts, 1) // one run at the engines
}

// sendOnceRequest sends a request of class once, and repeats it while the node responds
// that it is in progress.
func sendOnceRequest(t *testing.T, api openai.Client, params openai.ChatCompletionNewParams) string {
	ctx := callContext(t)
	for {
		answer, err := api.Chat.Completions.New(ctx, params, option.WithHeader("X-Work-Class", "once"), option.WithHeader("Idempotency-Key", "filing-7"))
		if err == nil {
			return answer.Choices[0].Message.Content
		}
		var failure *openai.Error
		if !errors.As(err, &failure) || failure.Code != "1305" {
			t.Errorf("unexpected: %v", err)
			return ""
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// If the engine crashes while it runs a request of class once, the response reports an
// unknown outcome, and a repeated request does not run again.
func TestOnceRequestIsNotRetriedAfterLostRunner(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 2))
	for _, slowed := range deployment.Engines {
		slowed.SetSlow(50)
	}
	params := chatParams("file the reservation of a name", 30)
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		eventually.Assert(t, "an engine has started the request", func() bool { return deployment.Ledger.Totals().Starts > 0 }, func() any { return deployment.Ledger.Totals() })
		for _, crashing := range deployment.Engines {
			crashing.Crash()
		}
	}()
	once := []option.RequestOption{option.WithHeader("X-Work-Class", "once"), option.WithHeader("Idempotency-Key", "name-1")}
	api := client(deployment, 0)
	_, err := api.Chat.Completions.New(callContext(t), params, once...)
	var failure *openai.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Response.Header.Get("X-Run"), "unknown")
	<-crashed
	for _, revived := range deployment.Engines {
		is.NoErr(revived.Restart())
	}
	other := client(deployment, 1)
	eventually.Require(t, "a repeated request reports an unknown outcome", func() bool {
		_, err = other.Chat.Completions.New(callContext(t), params, once...)
		return errors.As(err, &failure) && failure.Code == "1301"
	})
	is.Equal(deployment.Ledger.Totals().Starts, 1)
}

// A tenant's rate limit applies to all nodes together, and refused requests are reported
// as not run.
func TestTenantRateHoldsAcrossNodes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 2))
	const rate = 6
	text := fleet.BasicBundle(deployment.Operator, model, model, slots, nil)
	text += fmt.Sprintf("---\nkind: Tenant\nname: %s\nkey_hashes: [%s]\nrequests_per_second: %d\n", tenantKey.Tenant, tenantKey.Hash(), rate)
	is.NoErr(deployment.Operator.Roll(callContext(t), deployment.AdminAddress(), cluster, 2, text))
	is.NoErr(deployment.AwaitReady(callContext(t), 2))
	const seconds = 6
	recorder := withOnlineLoad(deployment, deployment.APIAddresses(), 60, func() { time.Sleep(seconds * time.Second) })
	served := recorder.Requests.Load() - recorder.Failed.Load()
	t.Logf("%d of %d served at a limit of %d a second for %d s", served, recorder.Requests.Load(), rate, seconds)
	is.Equal(recorder.Failed.Load(), recorder.Refused.Load()) // every refusal reports that the request did not run
	is.True(served <= 3*rate*seconds)                         // three nodes with a limit each would serve at least as many
	is.True(served >= rate)
}

// A runner that is listed as leaving gets no new work. Streams that are still open after
// the drain timeout continue at other runners, and no response is truncated.
func TestLeavingRunnerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 4))
	text := strings.Replace(fleet.BasicBundle(deployment.Operator, model, model, slots, []fleet.TenantKey{tenantKey}), "name: fleet\n", "name: fleet\ndrain_timeout: 1s\n", 1)
	is.NoErr(deployment.Operator.Roll(callContext(t), deployment.AdminAddress(), cluster, 2, text))
	is.NoErr(deployment.AwaitReady(callContext(t), 2))
	for _, slowed := range deployment.Engines {
		slowed.SetSlow(25) // streams far longer than the drain timeout
	}
	leaver := deployment.Engines[0]
	recorder := withOnlineLoad(deployment, deployment.APIAddresses(), 10, func() {
		eventually.Require(t, "the runner has work", func() bool { online, _ := leaver.Running(); return online > 0 })
		deployment.RegisterRunner(leaver, deployment.ZoneOf(0), "leaving")
		eventually.Require(t, "the nodes know that the runner leaves, and it is idle", func() bool {
			online, batch := leaver.Running()
			return deployment.LeavesIdle(callContext(t), leaver.ID) && online+batch == 0
		})
		accepted := leaver.Accepted()
		time.Sleep(time.Second)
		is.Equal(leaver.Accepted(), accepted) // no new work under load
		online, batch := leaver.Running()
		is.Equal(online+batch, 0)
	})
	requireNoFailures(t, recorder)
}

// Batch items of class once, with an engine that crashes and a node that is killed: no
// item runs twice, and each has exactly one outcome, a result or outcome_unknown.
func TestOnceItemsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(5, 4))
	batches := load.NewBatchClient(target(deployment))
	job, err := batches.Submit(callContext(t), load.BatchWorkload{Items: 600, PromptWords: 10, AnswerTokens: 40, Seed: 8, Once: true})
	is.NoErr(err)
	eventually.Require(t, "items run", func() bool { return deployment.Ledger.Totals().Starts > 100 })
	deployment.Engines[0].Crash()
	deployment.KillNode(4)
	status, err := batches.Await(callContext(t), job.ID)
	is.NoErr(err)
	audit, err := batches.AuditJob(callContext(t), job, status)
	is.NoErr(err)
	t.Logf("%d completed, %d failed %v, lost %d", audit.Completed, audit.Failed, audit.ErrorCodes, audit.Lost)
	is.Equal(audit.Completed+audit.Failed, 600)
	is.Equal(audit.Lost+audit.Duplicates+audit.Wrong, 0)
	is.Equal(audit.ErrorCodes["outcome_unknown"], audit.Failed)
	for _, body := range job.Bodies {
		is.True(deployment.Ledger.Starts(body) <= 1) // runs of one item at the engines
	}
}

// No item of a job starts at an engine once the job is reported as cancelled.
func TestCancelledJobStopsAtTheEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 2))
	for _, slowed := range deployment.Engines {
		slowed.SetSlow(10)
	}
	batches := load.NewBatchClient(target(deployment))
	job, err := batches.Submit(callContext(t), load.BatchWorkload{Items: 2000, PromptWords: 10, AnswerTokens: 40, Seed: 9})
	is.NoErr(err)
	eventually.Require(t, "items run", func() bool { return deployment.Ledger.Totals().Starts > 20 })
	is.NoErr(batches.Cancel(callContext(t), job.ID))
	status, err := batches.Await(callContext(t), job.ID)
	is.NoErr(err)
	is.Equal(status.State, "cancelled")
	before := deployment.Ledger.Totals().Starts
	time.Sleep(2 * time.Second)
	is.Equal(deployment.Ledger.Totals().Starts, before)
	audit, err := batches.AuditJob(callContext(t), job, status)
	is.NoErr(err)
	is.Equal(audit.Completed+audit.Failed, 2000) // every item has one outcome
	is.Equal(audit.Duplicates+audit.Lost, 0)
}

// A request that crashes every engine that runs it reaches only a few engines, even if it
// is repeated at all nodes; the other engines continue to serve.
func TestCrashingRequestReachesFewEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const mark = "this prompt crashes engines"
	deployment := startDeployment(t, topology(3, 10))
	for _, fragile := range deployment.Engines {
		fragile.CrashOn(mark)
	}
	for try := range 6 {
		api := client(deployment, try%3)
		_, err := api.Chat.Completions.New(callContext(t), chatParams(mark, 10), option.WithMaxRetries(0))
		is.True(err != nil)
	}
	crashed := 0
	for _, one := range deployment.Engines {
		if one.Crashed() {
			crashed++
		}
	}
	is.True(crashed > 0 && crashed <= 6) // three until the request is held, and at most three more by then
	api := client(deployment, 1)
	_, err := api.Chat.Completions.New(callContext(t), chatParams("an ordinary question", 10))
	is.NoErr(err)
}
