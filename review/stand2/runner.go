package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

// runner is a model runner of the users' protocol that spoils some of its answers while a fault
// is on.
type runner struct {
	id       string
	record   *record
	slots    chan struct{}
	server   *http.Server
	spoiling *atomic.Bool
	// answers counts the answers of all runners with the fault while it is on.
	answers *atomic.Int64
}

const (
	runnerSlots   = 17
	eventInterval = 15 * time.Millisecond
	// spoiledOf is the number of answers of which one is spoiled: x = 0.03 of garble in the site file.
	spoiledOf = 33
)

// startRunner starts a runner of a service and enters it in the store.
func startRunner(d *deployment, service string, number int, spoiling *atomic.Bool, answers *atomic.Int64) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: fmt.Sprintf("i-%s-%d", service, number), record: d.record, slots: make(chan struct{}, runnerSlots), spoiling: spoiling, answers: answers}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(listener) }() // ends with an error when the server is closed
	d.store.Put("servers/"+r.id, map[string]any{
		"service": service, "addr": listener.Addr().String(), "zone": zoneOf(number), "version": "v1", "slots": runnerSlots, "state": "ready",
		words["cold"]: 0, "seq": 1,
	})
	return r, nil
}

func (r *runner) serve(writer http.ResponseWriter, request *http.Request) {
	id, header := request.Header.Get(words["attempt"]), writer.Header()
	header.Set(words["attempt"], id)
	if request.Header.Get(words["expected"]) != r.id {
		header.Set(words["instance"], r.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		header.Set(words["notRun"], "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	header.Set("Content-Type", "text/event-stream")
	if r.spoiling != nil && r.spoiling.Load() && r.answers.Add(1)%spoiledOf == 0 {
		r.record.line("%s spoils its answer to %s: no signature, not its events", r.id, id)
		_, _ = io.WriteString(writer, "id: 1\ndata: internal error\n\n")
		return
	}
	header.Set(words["seal"], "3e1b.07.5a2.600.0."+id)
	after, err := strconv.ParseInt(request.Header.Get("Last-Event-Id"), 10, 64)
	if err != nil {
		after = 0
	}
	control := http.NewResponseController(writer)
	for number := after + 1; number <= standin.EventCount(id); number++ {
		select {
		case <-time.After(eventInterval):
		case <-request.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, standin.EventData(id, number))
		_ = control.Flush() // fails if the sender has left, which the context shows
	}
}
