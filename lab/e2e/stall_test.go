package e2e

import (
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/lab/load"
)

// loadWhileEngineStalls starts a fleet and stalls an engine under a load of so many requests a
// second.
func loadWhileEngineStalls(t *testing.T, rate float64) *load.Recorder {
	t.Helper()
	deployment := startDeployment(t, topology(3, 4))
	return withOnlineLoad(deployment, deployment.APIAddresses(), rate, func() {
		time.Sleep(time.Second)
		deployment.Engines[0].Stall(15 * time.Second)
		time.Sleep(2 * time.Second)
	})
}

// Requests of an engine that stalls without closing its streams continue at other engines.
func TestRequestsContinueAfterEngineStall(t *testing.T) {
	t.Parallel()
	requireNoFailures(t, loadWhileEngineStalls(t, 20))
}

// Nodes that have just started must not run out of retries when an engine stalls under so
// many requests that a node loses more than ten.
func TestNewNodesContinueAllRequestsOfStalledEngine(t *testing.T) {
	t.Parallel()
	requireNoFailures(t, loadWhileEngineStalls(t, 40))
}
