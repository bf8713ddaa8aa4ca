package standin

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strconv"
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
	request.Header.Set("Cobaltramp-Deadline-Ms", strconv.Itoa(int(RequestTimeout.Milliseconds())))
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
