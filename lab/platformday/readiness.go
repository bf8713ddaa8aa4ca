package platformday

import (
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// pollInterval is the time between two polls of a condition or readiness probe.
	pollInterval = 100 * time.Millisecond
	startTimeout = 30 * time.Second
)

// pollReadiness probes the readiness of the edges, as the ingress of the platform does,
// until the day ends.
func (d *Day) pollReadiness() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for d.lifetime.Err() == nil {
		for _, p := range d.nodesOf("edge") {
			response, err := client.Get("http://" + p.readinessAddress + standin.ReadyPath)
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			d.mutex.Lock()
			p.ready = ready
			d.mutex.Unlock()
		}
		time.Sleep(pollInterval)
	}
}

// Addresses implements standin.Endpoints: it returns the addresses of the ready edges, or
// of all edges if none is ready.
func (d *Day) Addresses() []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var ready, all []string
	for _, p := range d.nodes {
		if p.role != "edge" {
			continue
		}
		all = append(all, p.callerAddress)
		if p.ready {
			ready = append(ready, p.callerAddress)
		}
	}
	if len(ready) == 0 {
		return all
	}
	return ready
}

func (d *Day) readyCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	count := 0
	for _, p := range d.nodes {
		if p.ready {
			count++
		}
	}
	return count
}

// storageNodesListen reports whether all storage nodes accept connections of other nodes.
func (d *Day) storageNodesListen() bool {
	for _, p := range d.nodesOf("storage") {
		connection, err := net.DialTimeout("tcp", p.peerAddress, pollInterval)
		if err != nil {
			return false
		}
		_ = connection.Close()
	}
	return true
}

// awaitReady waits until all edges are ready and all storage nodes accept connections.
func (d *Day) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for d.readyCount() < d.Edges || !d.storageNodesListen() {
		if time.Now().After(deadline) || d.lifetime.Err() != nil {
			return trace.ConnectionProblem(nil, "nodes are not ready after %v; see the logs in %s", startTimeout, d.Folder)
		}
		time.Sleep(pollInterval)
	}
	d.report("all nodes are ready")
	return nil
}
