package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Front lists where callers reach the system.
type Front interface {
	// Addresses are the IP:port of the nodes that are ready.
	Addresses() []string
}

// Callers send streaming requests and check each answer from outside.
type Callers struct {
	Front  Front
	Ledger *Ledger
	Tally  *Tally
	Host   string
	// Prefix is the route's; Once says that its requests may run only once.
	Prefix string
	Once   bool
	Random *rand.Rand
}

const callerDeadline = 4 * time.Second

// attemptHeader carries the id of a request's try, or of a job.
const attemptHeader = "Cobaltramp-Attempt-Id"

// newClient uses a connection of its own, as callers that retry do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// answerOf sends a request and reads its answer; the status is 0 if no whole
// answer came.
func answerOf(request *http.Request) (status int, text []byte) {
	response, err := newClient().Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// One sends one request with one retry where the answer allows it.
func (c *Callers) One(ctx context.Context, id string) {
	for attempt := range 2 {
		tryID := fmt.Sprintf("%s%d", id, attempt)
		if !c.try(ctx, tryID) {
			return
		}
	}
}

// try sends one try and reports whether it may be sent again.
func (c *Callers) try(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, callerDeadline)
	defer cancel()
	addresses := c.Front.Addresses()
	if len(addresses) == 0 {
		c.Tally.count(&c.Tally.Failed)
		return false
	}
	address := addresses[c.Random.IntN(len(addresses))]
	body := "prompt of " + id
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Prefix+"x?y=1", strings.NewReader(body))
	if err != nil {
		c.Tally.RecordViolation("request %s: %v", id, err)
		return false
	}
	request.Host = c.Host
	setCallerHeaders(request, id)
	response, err := newClient().Do(request)
	if err != nil {
		c.Tally.count(&c.Tally.Failed)
		return !c.Once
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode == http.StatusOK && err == nil:
		c.checkWhole(id, response.Header, string(text))
		c.Tally.count(&c.Tally.Served)
		return false
	case response.StatusCode == http.StatusOK:
		if !strings.HasPrefix(wholeText(id), string(text)) {
			c.Tally.RecordViolation("request %s: %q is not the beginning of its stream", id, text)
		}
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		if c.Once && len(c.Ledger.Runs(id)) > 0 {
			c.Tally.RecordViolation("request %s: refused as not run, and it ran", id)
		}
		c.Tally.count(&c.Tally.Refused)
		return true
	}
	c.Tally.count(&c.Tally.Failed)
	return !c.Once
}

func setCallerHeaders(request *http.Request, id string) {
	request.Header.Set(attemptHeader, id)
	request.Header.Set("Cobaltramp-Deadline-Ms", strconv.Itoa(int(callerDeadline.Milliseconds())))
	request.Header.Set("Cobaltramp-Model", "m")
	request.Header.Set("Cobaltramp-Token-Usage", "300,100")
	request.Header.Set("Cobaltramp-Prompt-Prefix", "aa:100,bb:100,"+id+":100")
}

func wholeText(id string) string {
	var text strings.Builder
	for number := int64(1); number <= EventsOf(id); number++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, EventData(id, number))
	}
	return text.String()
}

func (c *Callers) checkWhole(id string, header http.Header, text string) {
	if header.Get("Cobaltramp-Server-Seal") != "seal-"+id {
		c.Tally.RecordViolation("request %s: an answer with the mark %q", id, header.Get("Cobaltramp-Server-Seal"))
	}
	if text != wholeText(id) {
		c.Tally.RecordViolation("request %s: an answer that is not its whole stream: %q", id, text)
	}
}

// CheckRuns checks what the runners saw of the callers' requests.
func (c *Callers) CheckRuns() {
	for _, id := range c.Ledger.IDs() {
		runs := c.Ledger.Runs(id)
		if c.Once && strings.HasPrefix(runs[0].Path, c.Prefix) && len(runs) > 1 {
			c.Tally.RecordViolation("request %s: ran %d times", id, len(runs))
		}
	}
}
