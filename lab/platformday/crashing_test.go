package platformday

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// crashesAllowed is the users' bound: three runners, and three more sends.
	crashesAllowed = 6
	// repeats is how often a request comes again, at the edges in turn.
	repeats = 10
	// callTime bounds one call of the test; it decides nothing.
	callTime = 10 * time.Second
)

var crashMark = []byte("crashes the runner")

// build builds the product.
func build(t *testing.T, folder string) string {
	t.Helper()
	program := filepath.Join(folder, "cobaltramp")
	built, err := exec.Command("go", "build", "-o", program, "../../cmd/cobaltramp").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, built)
	}
	return program
}

// call sends a request to an edge and returns the status and the body's length; 0
// if there was no whole answer.
func (d *Day) call(edge int, method, target, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.nodes[edge].callers+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Cobaltramp-Attempt-Id", id)
	request.Header.Set("Cobaltramp-Model", "m")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// sendAgain sends the same work several times, with a new id each time, at the
// edges in turn, whenever other requests are served.
func (d *Day) sendAgain(t *testing.T, phase, target string, body []byte, times int) {
	for try := range times {
		d.awaitServed(t, fmt.Sprint(phase, try))
		status, _ := d.call(try%edges, http.MethodPost, target, fmt.Sprintf("%s-%d", phase, try), body)
		d.say("%s, try %d: status %d, %d runners ended so far", phase, try, status, d.ledger.Crashes(body))
	}
}

// awaitServed waits until a request that crashes nothing is served.
func (d *Day) awaitServed(t *testing.T, phase string) {
	t.Helper()
	for try := range 100 {
		if status, _ := d.call(try%edges, http.MethodPost, standin.EventsPrefix+"well", fmt.Sprintf("well-%s-%d", phase, try), fmt.Appendf(nil, "well %s %d", phase, try)); status == http.StatusOK {
			return
		}
		time.Sleep(readyInterval)
	}
	t.Fatalf("%s: nothing is served\n%s", phase, Logs(d.Folder))
}

// A request that crashes each runner that runs it comes again and again, at any
// edge: it reaches few runners, however the route may be repeated, as an item of
// a job too, and after all nodes have started anew. Others are served.
func TestCrashingRequestsReachFewRunners(t *testing.T) {
	folder := t.TempDir()
	d, err := open(t.Context(), Options{
		Program: build(t, folder), Folder: folder, Seed: 1, Progress: os.Stderr,
		Crashes: func(body []byte) bool { return bytes.HasPrefix(body, crashMark) },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	bodyOf := func(phase string) []byte { return append(bytes.Clone(crashMark), phase...) }
	phases := []struct{ name, target string }{{"repeatable", standin.EventsPrefix + "x"}, {"once", standin.OncePrefix + "x"}}
	for _, phase := range phases {
		d.sendAgain(t, phase.name, phase.target, bodyOf(phase.name), repeats)
	}
	d.submit(t, "item", bodyOf("item"))
	d.awaitItems(t, "item")
	for _, p := range d.nodes {
		d.restart(p, syscall.SIGKILL)
	}
	if err := d.awaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, phase := range phases {
		d.sendAgain(t, phase.name+" again", phase.target, bodyOf(phase.name), 4)
	}
	for _, phase := range []string{"repeatable", "once", "item"} {
		if count := d.ledger.Crashes(bodyOf(phase)); count == 0 || count > crashesAllowed {
			t.Errorf("%s: %d runners ended under one request, allowed are %d", phase, count, crashesAllowed)
		}
	}
	if t.Failed() {
		t.Log(Logs(folder))
	}
}

// submit hands a job in whose second item crashes runners.
func (d *Day) submit(t *testing.T, job string, crashing []byte) {
	t.Helper()
	type item struct {
		ID     string `json:"id"`
		Path   string `json:"path"`
		Body   string `json:"body"`
		Tokens int    `json:"token_count"`
	}
	var items []item
	for number, body := range [][]byte{[]byte("first"), crashing, []byte("third")} {
		items = append(items, item{fmt.Sprintf("%s-i%d", job, number), standin.BatchPrefix + "item", base64.StdEncoding.EncodeToString(body), 100})
	}
	text, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		t.Fatal(err)
	}
	for range 100 {
		if status, _ := d.call(0, http.MethodPost, standin.BatchPrefix+job, job, text); status == http.StatusAccepted {
			return
		}
		time.Sleep(readyInterval)
	}
	t.Fatalf("the job is not taken\n%s", Logs(d.Folder))
}

// awaitItems waits until the items that crash nothing are done, and gives the
// other one time to be run again.
func (d *Day) awaitItems(t *testing.T, job string) {
	t.Helper()
	is := is.New(t)
	done := 0
	for range 200 {
		_, text := d.call(0, http.MethodGet, "/-/lots/"+job+"?since_rev=0", job, nil)
		var results struct {
			Results []struct {
				State string `json:"state"`
			} `json:"results"`
		}
		if json.Unmarshal(text, &results) == nil {
			done = len(results.Results)
		}
		if done == 2 {
			break
		}
		time.Sleep(readyInterval)
	}
	is.Equal(done, 2) // the two other items
	time.Sleep(crashTime * 4)
}
