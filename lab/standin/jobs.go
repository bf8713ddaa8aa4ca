package standin

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Job is a batch job that a BatchClient has submitted.
type Job struct {
	ID string
	// Items holds the IDs of the items in the order of submission.
	Items []string
	// Results holds the results that were read, by position.
	Results []itemResult
	// Accepted is set once a node has accepted the job.
	Accepted bool
}

// itemResult is the result of an item: state is "completed" or "dead_lettered", and text is
// the data of all events, joined by line feeds.
type itemResult struct{ id, state, text string }

// BatchClient submits jobs, reads them from any node, and verifies that the position
// and the content of each result do not change. Its methods may be called concurrently.
type BatchClient struct {
	Endpoints Endpoints
	Ledger    *Ledger
	Tally     *Tally
	Host      string
	Prefix    string
	Random    *rand.Rand
	// BodyBytes is the smallest size of the body of an item.
	BodyBytes int
	// mutex guards Random, jobs and the fields of each job that change.
	mutex sync.Mutex
	jobs  []*Job
}

// draw returns a random number below a bound.
func (b *BatchClient) draw(bound int) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Random.IntN(bound)
}

// acceptedJobs returns the jobs that a node has accepted.
func (b *BatchClient) acceptedJobs() []*Job {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(b.jobs), func(job *Job) bool { return !job.Accepted })
}

// resultCount returns the number of results of a job that were read.
func (b *BatchClient) resultCount(job *Job) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(job.Results)
}

// call sends a request to a random node; the status is 0 if the response is missing or
// incomplete.
func (b *BatchClient) call(ctx context.Context, method, target, id string, body []byte) (int, []byte) {
	addresses := b.Endpoints.Addresses()
	if len(addresses) == 0 {
		return 0, nil
	}
	return b.callNode(ctx, addresses[b.draw(len(addresses))], method, target, id, body)
}

// callNode sends a request to a node, as call does.
func (b *BatchClient) callNode(ctx context.Context, address, method, target, id string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = b.Host
	if id != "" {
		request.Header.Set(attemptHeader, id)
	}
	return roundTrip(request)
}

// wireItem is an item of a submitted job.
type wireItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"token_count"`
}

// itemBody returns the body of an item.
func (b *BatchClient) itemBody(item string) []byte {
	body := "body of " + item
	return []byte(body + strings.Repeat(".", max(0, b.BodyBytes-len(body))))
}

// Submit submits a job, and retries until the job is accepted or the context ends. It returns the
// job if it was accepted, or nil.
func (b *BatchClient) Submit(ctx context.Context, id string, items int) *Job {
	job := &Job{ID: id}
	b.mutex.Lock()
	b.jobs = append(b.jobs, job)
	b.mutex.Unlock()
	var wireItems []wireItem
	for number := range items {
		item := fmt.Sprintf("%s-i%d", id, number)
		job.Items = append(job.Items, item)
		wireItems = append(wireItems, wireItem{
			ID: item, Path: b.Prefix + "item", Headers: map[string]string{"Cobaltramp-Model": "m", "Cobaltramp-Token-Usage": "200,100"},
			Body: base64.StdEncoding.EncodeToString(b.itemBody(item)), Tokens: 300,
		})
	}
	body, err := json.Marshal(map[string]any{"items": wireItems})
	if err != nil {
		b.Tally.RecordViolation("job %s: %v", id, err)
		return nil
	}
	for ctx.Err() == nil {
		status, _ := b.call(ctx, http.MethodPost, b.Prefix+id, id, body)
		if status == http.StatusAccepted {
			b.mutex.Lock()
			job.Accepted = true
			b.mutex.Unlock()
			b.Tally.increment(&b.Tally.JobsAccepted)
			return job
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// wireResults is the response to a read of a job.
type wireResults struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID      string `json:"id"`
		State   string `json:"state"`
		Message string `json:"message"`
	} `json:"results"`
}

// Read reads the results of a job that start at a position, and verifies them against the
// results read before.
func (b *BatchClient) Read(ctx context.Context, job *Job, since int) {
	status, text := b.call(ctx, http.MethodGet, readTarget(job, since), "", nil)
	b.verify(job, since, status, text)
}

func readTarget(job *Job, since int) string {
	return fmt.Sprintf("/-/lots/%s?since_rev=%d", job.ID, since)
}

// ReadEverywhere reads all results of each accepted job at each node, and verifies them against the
// results read before, all of which must be there. It returns the number of reads without an answer.
func (b *BatchClient) ReadEverywhere(ctx context.Context) int {
	unanswered := 0
	for _, job := range b.acceptedJobs() {
		for _, address := range b.Endpoints.Addresses() {
			known := b.resultCount(job)
			status, text := b.callNode(ctx, address, http.MethodGet, readTarget(job, 0), "", nil)
			found := b.verify(job, 0, status, text)
			if status != http.StatusOK {
				unanswered++
			} else if found < known {
				b.Tally.RecordViolation("job %s at %s: %d results, %d were read before", job.ID, address, found, known)
			}
		}
	}
	return unanswered
}

const (
	// newestJobs and olderJobs are the numbers of jobs that UnreadableJob reads: the newest ones, and
	// some of those before.
	newestJobs, olderJobs = 60, 20
)

// jobsToRead returns the newest accepted jobs, and some of those before.
func (b *BatchClient) jobsToRead() []*Job {
	jobs := b.acceptedJobs()
	if older := len(jobs) - newestJobs; older > olderJobs {
		chosen := jobs[older:]
		for range olderJobs {
			chosen = append(chosen, jobs[b.draw(older)])
		}
		return chosen
	}
	return jobs
}

// UnreadableJob reads the newest accepted jobs and some of those before at a node, until the node does
// not return one with all results that were read before. It returns a description of that job, or an
// empty string.
func (b *BatchClient) UnreadableJob(ctx context.Context, address string) string {
	for _, job := range b.jobsToRead() {
		known := b.resultCount(job)
		status, text := b.callNode(ctx, address, http.MethodGet, readTarget(job, 0), "", nil)
		found := b.verify(job, 0, status, text)
		if status != http.StatusOK {
			return fmt.Sprintf("job %s at %s: status %d", job.ID, address, status)
		}
		if found < known {
			return fmt.Sprintf("job %s at %s: %d results, %d were read before", job.ID, address, found, known)
		}
	}
	return ""
}

// verify verifies the response to a read of a job that starts at a position, and returns the number
// of results in it.
func (b *BatchClient) verify(job *Job, since, status int, text []byte) int {
	if status == http.StatusNotFound {
		b.Tally.RecordViolation("job %s: 404 after it was accepted", job.ID)
	}
	if status != http.StatusOK {
		return 0
	}
	var results wireResults
	if json.Unmarshal(text, &results) != nil || results.Total != len(job.Items) || results.Next != since+len(results.Results) {
		b.Tally.RecordViolation("job %s: inconsistent numbers in the response: %s", job.ID, text)
		return 0
	}
	for i, item := range results.Results {
		b.recordResult(job, since+i, itemResult{item.ID, item.State, item.Message})
	}
	return len(results.Results)
}

// recordResult verifies the result at a position, and stores it if it is new.
func (b *BatchClient) recordResult(job *Job, position int, result itemResult) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if position < len(job.Results) {
		if job.Results[position] != result {
			b.Tally.RecordViolation("job %s: the result at position %d changed to %v from %v", job.ID, position, result, job.Results[position])
		}
		return
	}
	for _, previous := range job.Results {
		if previous.id == result.id {
			b.Tally.RecordViolation("job %s: two results for item %s", job.ID, result.id)
		}
	}
	var texts []string
	for number := int64(1); number <= EventCount(result.id); number++ {
		texts = append(texts, EventData(result.id, number))
	}
	if result.state == "completed" && result.text != strings.Join(texts, "\n") {
		b.Tally.RecordViolation("job %s: the completed item %s lacks a part of its output: %q", job.ID, result.id, result.text)
	}
	job.Results = append(job.Results, result)
	b.Tally.increment(&b.Tally.ItemsDone)
}

// ReadAll reads each accepted job from its first unread result, or with a probability
// of 1/4 from an earlier position.
func (b *BatchClient) ReadAll(ctx context.Context) {
	for _, job := range b.acceptedJobs() {
		since := b.resultCount(job)
		if b.draw(4) == 0 && since > 0 {
			since = b.draw(since)
		}
		b.Read(ctx, job, since)
	}
}

// OpenItems returns the number of items of accepted jobs without a result.
func (b *BatchClient) OpenItems() int {
	open := 0
	for _, job := range b.acceptedJobs() {
		open += len(job.Items) - b.resultCount(job)
	}
	return open
}

// ResultsRead returns the number of results of all jobs that were read.
func (b *BatchClient) ResultsRead() int {
	read := 0
	for _, job := range b.acceptedJobs() {
		read += b.resultCount(job)
	}
	return read
}
