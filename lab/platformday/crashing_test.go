package platformday

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// sendsPerPhase is how many times a phase sends its request.
	sendsPerPhase = 10
	// maxPolls is the number of polls after which a test gives up on a condition.
	maxPolls = 300
)

// crashPrefix starts the body of each request that crashes runners.
var crashPrefix = []byte("crashes the runner")

// build builds the cobaltramp binary and returns its path.
func build(t *testing.T, folder string) string {
	t.Helper()
	program := filepath.Join(folder, "cobaltramp")
	built, err := exec.Command("go", "build", "-o", program, "../../cmd/cobaltramp").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, built)
	}
	return program
}

// client returns a client of an edge.
func (d *Day) client(edge int) standin.NodeClient {
	return standin.NodeClient{Address: d.nodes[edge].callerAddress, Host: host}
}

// sendRepeatedly sends the same body several times, each time with a new id, to the edges
// in turn. Before each send it waits until other requests are served.
func (d *Day) sendRepeatedly(t *testing.T, phase, target string, body []byte, times int) {
	for attempt := range times {
		d.awaitServedRequest(t, fmt.Sprint(phase, attempt))
		status := d.client(attempt%d.Edges).Request(target, fmt.Sprintf("%s-%d", phase, attempt), body)
		d.report("%s, send %d: status %d, %d runners crashed so far", phase, attempt, status, d.ledger.Crashes(body))
	}
}

// await polls until a condition holds, and fails the test after maxPolls polls.
func (d *Day) await(t *testing.T, what string, holds func(poll int) bool) {
	t.Helper()
	for poll := range maxPolls {
		if holds(poll) {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("timed out waiting for %s\n%s", what, logTails(d.Folder))
}

// awaitServedRequest waits until a request that crashes no runner is served.
func (d *Day) awaitServedRequest(t *testing.T, phase string) {
	t.Helper()
	d.await(t, phase+": a served request", func(poll int) bool {
		return d.client(poll%d.Edges).Request(standin.EventsPrefix+"well", fmt.Sprintf("well-%s-%d", phase, poll), fmt.Appendf(nil, "well %s %d", phase, poll)) == http.StatusOK
	})
}

// A request that crashes every runner may crash at most MaxCrashes of them, on routes with
// and without retries, as an item of a job, and across restarts of all nodes. Other
// requests and the other items of the job must be served.
func TestCrashingRequestEndsFewRunners(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	d, err := open(t.Context(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Progress: os.Stderr,
		Crashes: func(body []byte) bool { return bytes.HasPrefix(body, crashPrefix) },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	bodyOf := func(phase string) []byte { return append(bytes.Clone(crashPrefix), phase...) }
	phases := []struct{ name, target string }{{"repeatable", standin.EventsPrefix + "x"}, {"once", standin.OncePrefix + "x"}}
	for _, phase := range phases {
		d.sendRepeatedly(t, phase.name, phase.target, bodyOf(phase.name), sendsPerPhase)
	}
	bodies := [][]byte{[]byte("first"), bodyOf("item"), []byte("third")}
	d.await(t, "the acceptance of the job", func(int) bool { return d.client(0).Submit("job", bodies) })
	d.await(t, "the completion of the two other items", func(int) bool { return d.client(0).CompletedItems("job") == len(bodies)-1 })
	time.Sleep(runnerRestartDelay * 4) // time for an unwanted second run of the item
	for _, p := range d.nodes {
		d.restart(p, syscall.SIGKILL)
	}
	for _, phase := range phases {
		d.sendRepeatedly(t, phase.name+" again", phase.target, bodyOf(phase.name), 4)
	}
	for _, phase := range []string{"repeatable", "once", "item"} {
		t.Logf("%s: %d runners crashed", phase, d.ledger.Crashes(bodyOf(phase)))
		if count := d.ledger.Crashes(bodyOf(phase)); count == 0 || count > standin.MaxCrashes {
			t.Errorf("%s: %d runners crashed under one request, want 1 to %d", phase, count, standin.MaxCrashes)
		}
	}
	d.liftQuarantines(t, bodyOf("repeatable"))
	if t.Failed() {
		t.Log(linesWith(folder, "quarantine") + linesWith(folder, "runner ended while running") + logTails(folder))
	}
}

// liftQuarantines lists the quarantined requests with the command line tool and lifts each
// quarantine at one edge. The other edge must then send the request to runners again.
func (d *Day) liftQuarantines(t *testing.T, body []byte) {
	t.Helper()
	var quarantined []struct {
		Fingerprint string `json:"fingerprint"`
	}
	runQuarantine := func(arguments ...string) {
		arguments = append([]string{"--output", "json", "quarantine", "--cluster", "day", "--node", d.nodes[0].peerAddress}, arguments...)
		printed, err := exec.Command(d.Program, arguments...).Output()
		if err != nil {
			t.Fatalf("%v: %v", arguments, err)
		}
		if err := json.Unmarshal(printed, &quarantined); err != nil {
			t.Fatalf("%s: %v", printed, err)
		}
	}
	runQuarantine()
	if len(quarantined) != 2 { // the item is run again later, and not held
		t.Fatalf("%d requests are quarantined, want 2", len(quarantined))
	}
	for _, request := range slices.Clone(quarantined) {
		runQuarantine("--lift", request.Fingerprint)
	}
	if len(quarantined) != 0 {
		t.Fatalf("%d requests are still quarantined", len(quarantined))
	}
	before := d.ledger.Crashes(body)
	d.await(t, "another run of the lifted request", func(poll int) bool {
		d.client(1).Request(standin.EventsPrefix+"x", fmt.Sprint("lifted-", poll), body)
		return d.ledger.Crashes(body) > before
	})
}
