package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	promptHeader = "Cobaltramp-Prompt-Prefix"
	// crashDelay is the time between the head of a response and the crash of its runner.
	crashDelay = 60 * time.Millisecond
	// partTokens is the number of tokens of each part of a prompt.
	partTokens = 100
)

// promptOf returns the header of a prompt with the given shared parts and one part of the
// request's own.
func promptOf(shared []string, id string) string {
	var parts []string
	for _, part := range append(slices.Clone(shared), id) {
		parts = append(parts, fmt.Sprintf("%s:%d", part, partTokens))
	}
	return strings.Join(parts, ",")
}

// sharedParts returns the names of all parts of a prompt but the last.
func sharedParts(header http.Header) []string {
	parts := strings.Split(header.Get(promptHeader), ",")
	var names []string
	for _, part := range parts[:len(parts)-1] {
		name, _, _ := strings.Cut(part, ":")
		names = append(names, name)
	}
	return names
}

// beginResponse sends the head of a response. The returned function ends the response: with
// EndsHeadCleanly it closes the connection, which then looks like the end of a whole response.
func (r *Runner) beginResponse(writer http.ResponseWriter, id string) (end func()) {
	header := writer.Header()
	header.Set("Cobaltramp-Attempt-Id", id)
	header.Set("Cobaltramp-Server-Seal", "seal-"+id)
	header.Set("Content-Type", "text/event-stream")
	if !r.EndsHeadCleanly {
		writeAndFlush(writer, "")
		return func() {}
	}
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return func() {}
	}
	// Errors are ignored: the runner crashes in any case.
	_, _ = fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = header.Write(buffer)
	_, _ = fmt.Fprint(buffer, "\r\n")
	_ = buffer.Flush()
	return func() { _ = connection.Close() }
}

// PartCrashes returns the times at which runs of requests with a shared part that crashed
// a runner began, in their order.
func (l *Ledger) PartCrashes(part string) []time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var times []time.Time
	for _, runs := range l.runs {
		for _, run := range runs {
			if run.Crashed && slices.Contains(run.Parts, part) {
				times = append(times, run.BeganAt)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// EndingsBeforeLimit is the number of runners that may end under requests with one part
// before the number of further requests is limited, and MaxLaterRuns is that limit: the
// number of such requests that may reach runners later than LearnTime after that ending.
const (
	EndingsBeforeLimit = 5
	MaxLaterRuns       = 3
	LearnTime          = 3 * time.Second
)

// LaterRuns returns how many runs of requests with a part that crashes runners began later
// than LearnTime after the ending number EndingsBeforeLimit. Times are the results of
// PartCrashes.
func LaterRuns(times []time.Time) int {
	if len(times) < EndingsBeforeLimit {
		return 0
	}
	limit := times[EndingsBeforeLimit-1].Add(LearnTime)
	count := 0
	for _, at := range times {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// PromptRequest sends a request with the given shared parts in its prompt, and reports whether
// the response is the whole stream of the request.
func (c NodeClient) PromptRequest(target, id string, shared []string) (served bool) {
	client := &http.Client{Timeout: RequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.Address+target, strings.NewReader("prompt of "+id))
	if err != nil {
		return false
	}
	request.Host = c.Host
	setRequestHeaders(request, id)
	request.Header.Set(promptHeader, promptOf(shared, id))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(text) == expectedStream(id)
}
