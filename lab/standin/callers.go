package standin

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Front lists where callers reach the system.
type Front interface {
	// Addresses are the IP:port of the nodes that are ready.
	Addresses() []string
}

// Tally counts what callers saw; Broken lists promises that were not kept.
type Tally struct {
	mutex                   sync.Mutex
	Served, Refused, Failed int
	JobsTaken, ItemsDone    int
	Broken                  []string
}

// Summary is the tally as text.
func (t *Tally) Summary() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return fmt.Sprintf("served %d, refused %d, failed %d; jobs taken %d, items done %d; broken promises %d",
		t.Served, t.Refused, t.Failed, t.JobsTaken, t.ItemsDone, len(t.Broken))
}

// Broke records a promise that was not kept.
func (t *Tally) Broke(format string, args ...any) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.Broken = append(t.Broken, fmt.Sprintf(format, args...))
}

func (t *Tally) count(counter *int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	*counter++
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

// newClient uses a connection of its own, as callers that retry do.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
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
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+c.Prefix+"x?y=1", strings.NewReader(body))
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
			c.Tally.Broke("request %s: %q is not the beginning of its stream", id, text)
		}
	case response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable:
		if c.Once && len(c.Ledger.Runs(id)) > 0 {
			c.Tally.Broke("request %s: refused as not run, and it ran", id)
		}
		c.Tally.count(&c.Tally.Refused)
		return true
	}
	c.Tally.count(&c.Tally.Failed)
	return !c.Once
}

func setCallerHeaders(request *http.Request, id string) {
	request.Header.Set("Cobaltramp-Attempt-Id", id)
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
		c.Tally.Broke("request %s: an answer with the mark %q", id, header.Get("Cobaltramp-Server-Seal"))
	}
	if text != wholeText(id) {
		c.Tally.Broke("request %s: an answer that is not its whole stream: %q", id, text)
	}
}

// CheckRuns checks what the runners saw of the callers' requests.
func (c *Callers) CheckRuns() {
	for _, id := range c.Ledger.IDs() {
		runs := c.Ledger.Runs(id)
		if c.Once && strings.HasPrefix(runs[0].Path, c.Prefix) && len(runs) > 1 {
			c.Tally.Broke("request %s: ran %d times", id, len(runs))
		}
	}
}

// Job is a batch job as its client knows it.
type Job struct {
	ID    string
	Items []string
	// Seen are the results by position.
	Seen  []seenResult
	Taken bool
	Ended bool
}

type seenResult struct{ id, state, text string }

// BatchClient hands in jobs, reads them at any node, and checks that positions
// and contents stay.
type BatchClient struct {
	Front  Front
	Ledger *Ledger
	Tally  *Tally
	Host   string
	Prefix string
	Random *rand.Rand
	Jobs   []*Job
}

func (b *BatchClient) do(ctx context.Context, method, target, id string, body []byte) (int, []byte) {
	addresses := b.Front.Addresses()
	if len(addresses) == 0 {
		return 0, nil
	}
	address := addresses[b.Random.IntN(len(addresses))]
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	request.Host = b.Host
	if id != "" {
		request.Header.Set("Cobaltramp-Attempt-Id", id)
	}
	response, err := newClient().Do(request)
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

type wireItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"token_count"`
}

// Submit hands a job in, and again until it is taken or the context ends.
func (b *BatchClient) Submit(ctx context.Context, id string, items int) {
	job := &Job{ID: id}
	b.Jobs = append(b.Jobs, job)
	var list []wireItem
	for number := range items {
		item := fmt.Sprintf("%s-i%d", id, number)
		job.Items = append(job.Items, item)
		list = append(list, wireItem{
			ID: item, Path: b.Prefix + "item", Headers: map[string]string{"Cobaltramp-Model": "m", "Cobaltramp-Token-Usage": "200,100"},
			Body: base64.StdEncoding.EncodeToString([]byte("body of " + item)), Tokens: 300,
		})
	}
	body, _ := json.Marshal(map[string]any{"items": list})
	for ctx.Err() == nil {
		status, _ := b.do(ctx, http.MethodPost, b.Prefix+id, id, body)
		if status == http.StatusAccepted {
			job.Taken = true
			b.Tally.count(&b.Tally.JobsTaken)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

type wireResults struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		Message string `json:"message"`
	} `json:"results"`
}

// Read reads a job from a position and checks it against what was seen.
func (b *BatchClient) Read(ctx context.Context, job *Job, since int) {
	status, text := b.do(ctx, http.MethodGet, fmt.Sprintf("/-/lots/%s?since_rev=%d", job.ID, since), "", nil)
	if status == http.StatusNotFound {
		b.Tally.Broke("job %s: 404 after it was taken", job.ID)
	}
	if status != http.StatusOK {
		return
	}
	var results wireResults
	if json.Unmarshal(text, &results) != nil || results.Total != len(job.Items) || results.Next != since+len(results.Results) {
		b.Tally.Broke("job %s: an answer that does not add up: %s", job.ID, text)
		return
	}
	for i, item := range results.Results {
		b.take(job, since+i, seenResult{item.ID, item.State, item.Message})
	}
}

func (b *BatchClient) take(job *Job, position int, result seenResult) {
	if position < len(job.Seen) {
		if job.Seen[position] != result {
			b.Tally.Broke("job %s position %d: %v was %v", job.ID, position, result, job.Seen[position])
		}
		return
	}
	for _, seen := range job.Seen {
		if seen.id == result.id {
			b.Tally.Broke("job %s: item %s stands twice", job.ID, result.id)
		}
	}
	var texts []string
	for number := int64(1); number <= EventsOf(result.id); number++ {
		texts = append(texts, EventData(result.id, number))
	}
	if result.state == "completed" && result.text != strings.Join(texts, "\n") {
		b.Tally.Broke("job %s item %s: the text is not its whole output: %q", job.ID, result.id, result.text)
	}
	job.Seen = append(job.Seen, result)
	b.Tally.count(&b.Tally.ItemsDone)
}

// ReadAll reads each taken job, now and then from an earlier position.
func (b *BatchClient) ReadAll(ctx context.Context) {
	for _, job := range b.Jobs {
		if !job.Taken {
			continue
		}
		since := len(job.Seen)
		if b.Random.IntN(4) == 0 && since > 0 {
			since = b.Random.IntN(since)
		}
		b.Read(ctx, job, since)
	}
}

// Open counts the items of taken jobs that are not listed yet.
func (b *BatchClient) Open() int {
	open := 0
	for _, job := range b.Jobs {
		if job.Taken {
			open += len(job.Items) - len(job.Seen)
		}
	}
	return open
}
