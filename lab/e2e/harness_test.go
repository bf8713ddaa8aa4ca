// Package e2e tests deployments of plain nodes from outside, over loopback TCP, with
// emulated engines and an emulated platform.
package e2e

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cobaltramp.example/cobaltramp/internal/app/textlog"
	"cobaltramp.example/cobaltramp/lab/engine"
	"cobaltramp.example/cobaltramp/lab/fleet"
	"cobaltramp.example/cobaltramp/lab/load"
)

const (
	model           = "filing-assist"
	maxAnswerTokens = 64
	readyTimeout    = 40 * time.Second
	callTimeout     = 90 * time.Second
	slots           = 48
	cluster         = "e2e"
	tenantName      = "registry"
)

var tenantKey = fleet.TenantKey{Tenant: tenantName, Key: "e2e-key"}

// TestMain writes the nodes' logs to a file, and keeps the file if a test fails.
func TestMain(m *testing.M) {
	path, err := redirectLogs()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the nodes' logs can't be written:", err)
		os.Exit(1)
	}
	code := m.Run()
	if code == 0 {
		_ = os.Remove(path)
	} else {
		fmt.Fprintln(os.Stderr, "logs of the nodes:", path)
	}
	os.Exit(code)
}

// redirectLogs redirects the nodes' logs to a new temporary file, and returns its path.
func redirectLogs() (string, error) {
	file, err := os.CreateTemp("", "cobaltramp-e2e-*.log")
	if err != nil {
		return "", err
	}
	textlog.SetOutput(file, 1)
	return file.Name(), nil
}

func topology(nodes, runners int) fleet.Topology {
	return fleet.Topology{
		Cluster: cluster, Service: model, DiskNodes: 5, Shards: 4,
		Zones: []fleet.Zone{
			{Name: "braam-hall", Region: "gauteng", Nodes: (nodes + 1) / 2, Runners: (runners + 1) / 2},
			{Name: "rosebank-hall", Region: "gauteng", Nodes: nodes / 2, Runners: runners / 2},
		},
		Engine: engine.Parameters{Slots: slots, MaxAnswerTokens: maxAnswerTokens, StepBase: 2 * time.Millisecond, WeightBytes: 1 << 20},
	}
}

// startDeployment starts a fleet and waits until it is ready and generation 1 of the
// bundle is active.
func startDeployment(t *testing.T, spec fleet.Topology) *fleet.Fleet {
	t.Helper()
	is := is.New(t)
	deployment, err := fleet.Start(spec, t.TempDir())
	is.NoErr(err)
	t.Cleanup(deployment.Close)
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	text := fleet.BasicBundle(deployment.Operator, model, model, slots, []fleet.TenantKey{tenantKey})
	is.NoErr(deployment.Operator.Roll(ctx, deployment.AdminAddress(), cluster, 1, text))
	is.NoErr(deployment.AwaitReady(ctx, 1))
	return deployment
}

func target(deployment *fleet.Fleet) load.Target {
	return load.Target{Addresses: deployment.APIAddresses(), Key: tenantKey.Key, Model: model, MaxAnswerTokens: maxAnswerTokens}
}

// client returns an OpenAI client that sends its requests to the given node.
func client(deployment *fleet.Fleet, node int) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+deployment.APIAddresses()[node]+"/v1"),
		option.WithAPIKey(tenantKey.Key),
		option.WithMaxRetries(0),
	)
}

func callContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}
