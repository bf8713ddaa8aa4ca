package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// NodeClient sends requests to one node and reads each response to its end, without
// verifying it.
type NodeClient struct {
	Address, Host string
}

// callTimeout is the timeout of a call, including the whole response.
const callTimeout = 10 * time.Second

// Request sends a request with an id and returns the status, which is 0 if the response
// is missing or incomplete.
func (c NodeClient) Request(target, id string, body []byte) int {
	status, _ := c.call(http.MethodPost, target, id, body)
	return status
}

func (c NodeClient) call(method, target, id string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = c.Host
	if id != "" {
		request.Header.Set(attemptHeader, id)
	}
	request.Header.Set("Cobaltramp-Model", "m")
	request.Header.Set(deadlineHeader, strconv.Itoa(int(RequestTimeout.Milliseconds())))
	return roundTrip(request)
}

// Submit submits a job with one item for each body, without retries.
func (c NodeClient) Submit(job string, bodies [][]byte) (accepted bool) {
	return c.submit(BatchPrefix, job, itemsOf(bodies))
}

// SubmitTo submits a job as Submit does, to the batch route with a path prefix.
func (c NodeClient) SubmitTo(prefix, job string, bodies [][]byte) (accepted bool) {
	return c.submit(prefix, job, itemsOf(bodies))
}

func itemsOf(bodies [][]byte) []wireItem {
	var items []wireItem
	for _, body := range bodies {
		items = append(items, wireItem{Headers: map[string]string{}, Body: base64.StdEncoding.EncodeToString(body)})
	}
	return items
}

// SubmitPrompts submits a job with one item for each prompt, without retries. A prompt is a list
// of shared parts. The items have different bodies.
func (c NodeClient) SubmitPrompts(job string, prompts [][]string) (accepted bool) {
	var items []wireItem
	for number, shared := range prompts {
		own := job + strconv.Itoa(number)
		items = append(items, wireItem{
			Headers: map[string]string{promptHeader: promptOf(shared, own)}, Body: base64.StdEncoding.EncodeToString([]byte(own)),
		})
	}
	return c.submit(BatchPrefix, job, items)
}

// submit completes the items of a job and submits it to the route with a path prefix.
func (c NodeClient) submit(prefix, job string, items []wireItem) (accepted bool) {
	for number := range items {
		item := &items[number]
		item.ID, item.Path, item.Tokens = job+"-i"+strconv.Itoa(number), prefix+"item", 100
		item.Headers["Cobaltramp-Model"] = "m"
	}
	text, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		return false
	}
	status, _ := c.call(http.MethodPost, prefix+job, job, text)
	return status == http.StatusAccepted
}

// CompletedItems returns the number of completed items of a job.
func (c NodeClient) CompletedItems(job string) int {
	completed, _ := c.ListedItems(job)
	return completed
}

// ListedItems returns the numbers of items of a job that are completed, and that ended without
// their output.
func (c NodeClient) ListedItems(job string) (completed, dead int) {
	_, text := c.call(http.MethodGet, "/-/lots/"+job+"?since_rev=0", "", nil)
	var results wireResults
	if json.Unmarshal(text, &results) != nil {
		return 0, 0
	}
	for _, result := range results.Results {
		if result.State == "completed" {
			completed++
		} else {
			dead++
		}
	}
	return completed, dead
}

// StreamPart is a part of a stream that a caller reads in one attempt.
type StreamPart struct {
	Stream, ID string
	// Resumes is the attempt that brought the first event of the stream; empty in that attempt.
	Resumes string
	// After is the last event that the caller has received, and Until the last one that it reads.
	After, Until int64
}

// ReadPart sends an attempt at a stream, reads a part of it, and closes the connection. It returns
// the number of the last event that it received.
func (c NodeClient) ReadPart(ctx context.Context, part StreamPart) (last int64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+EventsPrefix+"stream", strings.NewReader("prompt of "+part.Stream))
	if err != nil {
		return part.After
	}
	request.Host = c.Host
	setRequestHeaders(request, part.ID)
	request.Header.Set(deadlineHeader, strconv.Itoa(int(callTimeout.Milliseconds())))
	request.Header.Set(streamHeader, part.Stream)
	if part.After > 0 {
		request.Header.Set("Last-Event-Id", strconv.FormatInt(part.After, 10))
		request.Header.Set(resumesHeader, part.Resumes)
	}
	response, err := newClient().Do(request)
	if err != nil {
		return part.After
	}
	defer func() { _ = response.Body.Close() }()
	last = part.After
	for lines := bufio.NewScanner(response.Body); last < part.Until && lines.Scan(); {
		if number, found := strings.CutPrefix(lines.Text(), "id: "); found {
			last, _ = strconv.ParseInt(number, 10, 64) // 0 if it is none
		}
	}
	return last
}
