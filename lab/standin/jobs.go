package standin

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

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
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addresses[b.Random.IntN(len(addresses))]+target, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = b.Host
	if id != "" {
		request.Header.Set(attemptHeader, id)
	}
	return answerOf(request)
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
	body, err := json.Marshal(map[string]any{"items": list})
	if err != nil {
		b.Tally.RecordViolation("job %s: %v", id, err)
		return
	}
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
		b.Tally.RecordViolation("job %s: 404 after it was taken", job.ID)
	}
	if status != http.StatusOK {
		return
	}
	var results wireResults
	if json.Unmarshal(text, &results) != nil || results.Total != len(job.Items) || results.Next != since+len(results.Results) {
		b.Tally.RecordViolation("job %s: an answer that does not add up: %s", job.ID, text)
		return
	}
	for i, item := range results.Results {
		b.take(job, since+i, seenResult{item.ID, item.State, item.Message})
	}
}

func (b *BatchClient) take(job *Job, position int, result seenResult) {
	if position < len(job.Seen) {
		if job.Seen[position] != result {
			b.Tally.RecordViolation("job %s position %d: %v was %v", job.ID, position, result, job.Seen[position])
		}
		return
	}
	for _, seen := range job.Seen {
		if seen.id == result.id {
			b.Tally.RecordViolation("job %s: item %s stands twice", job.ID, result.id)
		}
	}
	var texts []string
	for number := int64(1); number <= EventsOf(result.id); number++ {
		texts = append(texts, EventData(result.id, number))
	}
	if result.state == "completed" && result.text != strings.Join(texts, "\n") {
		b.Tally.RecordViolation("job %s item %s: the text is not its whole output: %q", job.ID, result.id, result.text)
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
