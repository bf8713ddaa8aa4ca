package standin

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"time"
)

// RunnerFault configures the faults of a runner; the zero value has none. Each field
// is the fraction of responses with a fault, from 0 to 1. The request id determines
// whether a response is affected, so that a run can be repeated.
type RunnerFault struct {
	// LoseResponse closes the connection instead of sending a response; the request
	// counts as run.
	LoseResponse float64
	// TruncateStream ends the stream within an event.
	TruncateStream float64
	// ExtraResponse sends a second response after a complete one.
	ExtraResponse float64
	// ServerError responds with status 500 instead of a stream.
	ServerError float64
	// LateRefusal sends a refusal that names no request before the response, if the connection
	// has carried another request before.
	LateRefusal float64
	// EarlyRefusal refuses the request before its body is read.
	EarlyRefusal float64
	// Endless is the form of the bytes without end that the runner sends instead of each response;
	// empty for none.
	Endless EndlessForm
}

// affects reports whether the fault with a name affects a request, by a hash of the id of
// the request.
func affects(id, faultName string, fraction float64) bool {
	digest := sha256.Sum256([]byte(id + faultName))
	return float64(digest[0])/256 < fraction
}

// EventCount returns the number of events in the response to a request, which is the
// same at every runner.
func EventCount(id string) int64 {
	digest := sha256.Sum256([]byte(id))
	return 3 + int64(digest[1]%6)
}

// EventData returns the data of an event, which is the same at every runner.
func EventData(id string, number int64) string { return fmt.Sprintf("%s says %d", id, number) }

// writeAndFlush sends a part of a response. It ignores errors: if the client
// disconnects, the context of the request ends, and respond checks it before each event.
func writeAndFlush(writer http.ResponseWriter, part string) {
	_, _ = io.WriteString(writer, part)
	_ = http.NewResponseController(writer).Flush()
}

// runnerEvents are the events of a response.
type runnerEvents struct {
	count int64
	// content determines the data of the events.
	content string
	// version is written into each event; empty if the events name no version.
	version string
}

// eventsOf returns the events of the response to a request.
func (r *Runner) eventsOf(request *http.Request, id string) runnerEvents {
	if stream := request.Header.Get(streamHeader); stream != "" {
		return runnerEvents{count: streamEvents, content: stream, version: r.Version}
	}
	return runnerEvents{count: EventCount(id), content: id}
}

// text returns an event.
func (e runnerEvents) text(number int64) string {
	version := ""
	if e.version != "" {
		version = "event: " + e.version + "\n"
	}
	return fmt.Sprintf("id: %d\n%sdata: %s\n\n", number, version, EventData(e.content, number))
}

// lateRefusal is a refusal that names no request.
const lateRefusal = "HTTP/1.1 503 Service Unavailable\r\nCobaltramp-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// sendLateRefusal sends lateRefusal where the response to a request is due, if the fault affects
// the request.
func (r *Runner) sendLateRefusal(connection *runnerConnection, id string) {
	if connection.requests.Add(1) > 1 && affects(id+r.ID, "late", r.fault.Load().LateRefusal) {
		_, _ = io.WriteString(connection, lateRefusal) // an error shows when the response is written
	}
}

// respond sends the response to a request, and reports whether it sent all of it.
func (r *Runner) respond(writer http.ResponseWriter, request *http.Request, id string, run *Run) bool {
	fault := *r.fault.Load()
	header := writer.Header()
	header.Set("Cobaltramp-Attempt-Id", id)
	header.Set("Cobaltramp-Server-Seal", "seal-"+id)
	header.Set("Content-Type", "text/event-stream")
	switch {
	case fault.Endless != "":
		r.respondForever(writer, request, fault.Endless)
		return false
	case affects(id, "lose", fault.LoseResponse):
		panic(http.ErrAbortHandler)
	case affects(id, "fail", fault.ServerError):
		writer.WriteHeader(http.StatusInternalServerError)
		return true
	}
	from, events := run.LastEventID, r.eventsOf(request, id)
	for number := from + 1; number <= events.count; number++ {
		select {
		case <-time.After(r.eventInterval()):
		case <-request.Context().Done():
			return false
		}
		if number == from+2 && affects(id+r.ID, "break", fault.TruncateStream) {
			writeAndFlush(writer, fmt.Sprintf("id: %d\nda", number))
			panic(http.ErrAbortHandler)
		}
		r.Ledger.recordSent(run, number)
		writeAndFlush(writer, events.text(number))
	}
	if affects(id, "extra", fault.ExtraResponse) {
		r.respondAgain(writer, id)
	}
	return true
}

// respondAgain sends an unsolicited second response on the connection.
func (r *Runner) respondAgain(writer http.ResponseWriter, id string) {
	connection, buffer, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	// Errors are ignored: the client expects no second response.
	_, _ = fmt.Fprintf(buffer, "0\r\n\r\nHTTP/1.1 200 OK\r\nCobaltramp-Attempt-Id: %s\r\nCobaltramp-Server-Seal: x\r\nContent-Length: 5\r\n\r\nextra", id)
	_ = buffer.Flush()
	time.Sleep(50 * time.Millisecond)
}
