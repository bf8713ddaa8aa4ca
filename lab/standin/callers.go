package standin

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Endpoints lists the addresses at which clients reach the system.
type Endpoints interface {
	// Addresses returns the IP:port of each ready node.
	Addresses() []string
}

// StreamClient sends streaming requests and verifies each response.
type StreamClient struct {
	Endpoints Endpoints
	Ledger    *Ledger
	Tally     *Tally
	Host      string
	// Prefix is the path prefix of the route. AtMostOnce states that a request of the
	// route may run only once.
	Prefix     string
	AtMostOnce bool
	Random     *rand.Rand
}

// RequestTimeout is the timeout of a request, which the request also states as its
// deadline.
const RequestTimeout = 4 * time.Second

// attemptHeader carries the id of an attempt at a request, or of a job, and deadlineHeader how long
// the caller waits.
const (
	attemptHeader  = "Cobaltramp-Attempt-Id"
	deadlineHeader = "Cobaltramp-Deadline-Ms"
)

// newClient returns a client that opens a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// roundTrip sends a request and reads the whole response; the status is 0 if the
// response is missing or incomplete.
func roundTrip(request *http.Request) (status int, text []byte) {
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

// SendWithRetry sends a request, and retries it once if the response allows a retry.
func (c *StreamClient) SendWithRetry(ctx context.Context, id string) {
	for attempt := range 2 {
		tryID := fmt.Sprintf("%s%d", id, attempt)
		if !c.send(ctx, tryID) {
			return
		}
	}
}

// send makes one attempt and reports whether it may be retried.
func (c *StreamClient) send(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, RequestTimeout)
	defer cancel()
	addresses := c.Endpoints.Addresses()
	if len(addresses) == 0 {
		c.Tally.increment(&c.Tally.Failed)
		return false
	}
	address := addresses[c.Random.IntN(len(addresses))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Prefix+"x?y=1", strings.NewReader(c.body(id)))
	if err != nil {
		c.Tally.RecordViolation("request %s: %v", id, err)
		return false
	}
	request.Host = c.Host
	setRequestHeaders(request, id)
	response, err := newClient().Do(request)
	if err != nil {
		c.Tally.increment(&c.Tally.Failed)
		return !c.AtMostOnce
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	switch {
	case response.StatusCode == http.StatusOK && err == nil:
		c.checkStream(id, response.Header, string(text))
		c.Tally.increment(&c.Tally.Served)
		return false
	case response.StatusCode == http.StatusOK:
		if !strings.HasPrefix(expectedStream(id), string(text)) {
			c.Tally.RecordViolation("request %s: %q is not the beginning of its stream", id, text)
		}
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		if c.AtMostOnce && len(c.Ledger.Runs(id)) > 0 {
			c.Tally.RecordViolation("request %s: refused as not run, and it ran", id)
		}
		c.recordRefused(id)
		return true
	}
	c.Tally.increment(&c.Tally.Failed)
	return !c.AtMostOnce
}

func setRequestHeaders(request *http.Request, id string) {
	request.Header.Set(attemptHeader, id)
	request.Header.Set(deadlineHeader, strconv.Itoa(int(RequestTimeout.Milliseconds())))
	request.Header.Set("Cobaltramp-Model", "m")
	request.Header.Set("Cobaltramp-Token-Usage", "300,100")
	request.Header.Set("Cobaltramp-Prompt-Prefix", "aa:100,bb:100,"+id+":100")
}

// expectedStream returns the whole event stream of a request.
func expectedStream(id string) string {
	var text strings.Builder
	for number := int64(1); number <= EventCount(id); number++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s\n\n", number, EventData(id, number))
	}
	return text.String()
}

// checkStream verifies the seal and the text of a complete response.
func (c *StreamClient) checkStream(id string, header http.Header, text string) {
	if header.Get("Cobaltramp-Server-Seal") != "seal-"+id {
		c.Tally.RecordViolation("request %s: an answer with the mark %q", id, header.Get("Cobaltramp-Server-Seal"))
	}
	if text != expectedStream(id) {
		c.Tally.RecordViolation("request %s: an answer that is not its whole stream: %q", id, text)
	}
}

// onceBodyBytes are the sizes of the bodies of requests that may run only once. The longest ones are
// written while the response is read.
var onceBodyBytes = []int{20, 3 << 10, 18 << 10, 70 << 10, 110 << 10}

// body returns the body of a request. Its size is determined by the id.
func (c *StreamClient) body(id string) string {
	body := "prompt of " + id
	if !c.AtMostOnce {
		return body
	}
	digest := sha256.Sum256([]byte(id + "body"))
	size := onceBodyBytes[int(digest[0])%len(onceBodyBytes)]
	return body + strings.Repeat(".", max(0, size-len(body)))
}

// recordRefused counts a request that was refused as not run, which must not run later either if it
// may run only once.
func (c *StreamClient) recordRefused(id string) {
	c.Tally.increment(&c.Tally.Refused)
	if c.AtMostOnce {
		c.Tally.recordRefusedOnce(id)
	}
}

// CheckRunCounts checks that each request of an at-most-once route ran at most once, that none that
// was refused ran, and that the runs had the bodies that were sent.
func (c *StreamClient) CheckRunCounts() {
	for _, id := range c.Tally.refusedOnce() {
		if runs := c.Ledger.Runs(id); len(runs) > 0 {
			c.Tally.RecordViolation("request %s: refused as not run, and it ran later: %s", id, describeRuns(runs))
		}
	}
	for _, id := range c.Ledger.IDs() {
		runs := c.Ledger.Runs(id)
		if c.AtMostOnce && strings.HasPrefix(runs[0].Path, c.Prefix) && len(runs) > 1 {
			c.Tally.RecordViolation("request %s: ran %d times: %s", id, len(runs), describeRuns(runs))
		}
	}
}
