package standin

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"time"
)

// RunnerFault says how a runner misbehaves; the zero value is well. Each field is
// a fraction of its answers, 0 to 1; which ones is drawn by the request's id, so a
// day repeats.
type RunnerFault struct {
	// LoseAnswer: the request runs and the connection is reset.
	LoseAnswer float64
	// Break: the stream ends within an event.
	Break float64
	// Extra: a second answer follows a whole one.
	Extra float64
	// Fail: the runner's own 500.
	Fail float64
}

// chosen draws a fraction of the requests by their id.
func chosen(id, what string, fraction float64) bool {
	digest := sha256.Sum256([]byte(id + what))
	return float64(digest[0])/256 < fraction
}

// EventsOf returns how many events a request has, EventData the data of one:
// the same at every runner.
func EventsOf(id string) int64 {
	digest := sha256.Sum256([]byte(id))
	return 3 + int64(digest[1]%6)
}

// EventData is the data of an event.
func EventData(id string, number int64) string { return fmt.Sprintf("%s says %d", id, number) }

// send writes a piece of an answer at once. A caller that has left ends the request's
// context, which answer looks at before the next piece.
func send(writer http.ResponseWriter, piece string) {
	_, _ = io.WriteString(writer, piece)
	_ = http.NewResponseController(writer).Flush()
}

// answer answers a request, and reports whether it sent the whole answer.
func (r *Runner) answer(writer http.ResponseWriter, request *http.Request, id string, from int64) bool {
	fault := *r.fault.Load()
	header := writer.Header()
	header.Set("Cobaltramp-Attempt-Id", id)
	header.Set("Cobaltramp-Server-Seal", "seal-"+id)
	header.Set("Content-Type", "text/event-stream")
	switch {
	case chosen(id, "lose", fault.LoseAnswer):
		panic(http.ErrAbortHandler)
	case chosen(id, "fail", fault.Fail):
		writer.WriteHeader(http.StatusInternalServerError)
		return true
	}
	for number := from + 1; number <= EventsOf(id); number++ {
		select {
		case <-time.After(r.EventInterval):
		case <-request.Context().Done():
			return false
		}
		if number == from+2 && chosen(id+r.ID, "break", fault.Break) {
			send(writer, fmt.Sprintf("id: %d\nda", number))
			panic(http.ErrAbortHandler)
		}
		send(writer, fmt.Sprintf("id: %d\ndata: %s\n\n", number, EventData(id, number)))
	}
	if chosen(id, "extra", fault.Extra) {
		r.answerAgain(writer, id)
	}
	return true
}

// answerAgain sends a second answer that nobody asked for.
func (r *Runner) answerAgain(writer http.ResponseWriter, id string) {
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	// Nobody waits for it: whether it arrives does not matter.
	_, _ = fmt.Fprintf(buffer, "0\r\n\r\nHTTP/1.1 200 OK\r\nCobaltramp-Attempt-Id: %s\r\nCobaltramp-Server-Seal: x\r\nContent-Length: 5\r\n\r\nextra", id)
	_ = buffer.Flush()
	time.Sleep(50 * time.Millisecond)
}
