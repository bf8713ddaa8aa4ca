package e2e

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/lab/fleet"
)

// A tenant's idempotency keys are stored in its home region, and can be claimed from
// another region. While the home region is down, requests of class once are refused as not
// run, and other requests are served.
func TestHomeRegions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	spec := topology(0, 0)
	spec.DiskNodes, spec.Shards = 6, 2
	spec.Zones = []fleet.Zone{
		{Name: "home-zone", Region: "a-home", Nodes: 3, Runners: 1},
		{Name: "far-zone", Region: "b-far", Nodes: 3, Runners: 1},
	}
	deployment, err := fleet.Start(spec, t.TempDir())
	is.NoErr(err)
	t.Cleanup(deployment.Close)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := fleet.BasicBundle(deployment.Operator, model, model, slots, []fleet.TenantKey{tenantKey})
	text = strings.Replace(text, "kind: Tenant\n", "kind: Tenant\nhome_region: a-home\n", 1)
	is.NoErr(deployment.Operator.Roll(ctx, deployment.AdminAddress(), cluster, 1, text))
	is.NoErr(deployment.AwaitReady(ctx, 1))

	far := client(deployment, 4)
	once := func(name string) []option.RequestOption {
		return []option.RequestOption{option.WithHeader("X-Work-Class", "once"), option.WithHeader("Idempotency-Key", name)}
	}
	eventually.Require(t, "a key in the home region is claimed from another region", func() bool {
		answer, err := far.Chat.Completions.New(callContext(t), chatParams("file from far", 8), once("k1")...)
		return err == nil && answer.Choices[0].Message.Content == expectedAnswer("file from far", 8)
	})
	for _, index := range []int{0, 1, 2} {
		deployment.KillNode(index)
	}
	deployment.Engines[0].Crash()
	_, err = far.Chat.Completions.New(callContext(t), chatParams("file again", 8), once("k2")...)
	var failure *openai.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Response.Header.Get("X-Run"), "no") // refused without having run
	eventually.Require(t, "other requests are served without the home region", func() bool {
		answer, err := far.Chat.Completions.New(callContext(t), chatParams("is it free?", 8))
		return err == nil && answer.Choices[0].Message.Content == expectedAnswer("is it free?", 8)
	})
}

// Two operators concurrently submit different bundles as the same generation while the
// platform's replies are lost: one submission is accepted, and the other gets a conflict.
func TestConcurrentOperatorsWithLostReplies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	deployment := startDeployment(t, topology(3, 1))
	texts := []string{}
	for _, weight := range []string{"0.7", "0.8"} {
		basic := fleet.BasicBundle(deployment.Operator, model, model, slots, []fleet.TenantKey{tenantKey})
		texts = append(texts, strings.Replace(basic, "tail_weight: 0.6", "tail_weight: "+weight, 1))
	}
	deployment.Platform.LoseResponses(2)
	outcomes := make(chan error, len(texts))
	for i, text := range texts {
		go func() {
			admin := deployment.Nodes()[i].Settings.Node.AdminAddress
			outcomes <- deployment.Operator.Roll(callContext(t), admin, cluster, 2, text)
		}()
	}
	accepted, conflicts := 0, 0
	for range texts {
		err := <-outcomes
		switch {
		case err == nil:
			accepted++
		case strings.Contains(err.Error(), result.GenerationConflict.String()):
			conflicts++
		default:
			t.Fatalf("unexpected: %v", err)
		}
	}
	is.Equal(accepted, 1)
	is.Equal(conflicts, 1)
	is.NoErr(deployment.AwaitReady(callContext(t), 2))
}
