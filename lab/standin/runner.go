package standin

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
)

// RunnerOptions describe a runner.
type RunnerOptions struct {
	ID, Service, Zone string
	// Address is IP:port; port 0 takes a free one.
	Address       string
	Slots         int
	QueueLimit    int
	EventInterval time.Duration
	Store         *Store
	Ledger        *Ledger
	// Crashes reports whether a request, by its body, ends the runner as it begins
	// to run it; nil for none. OnCrash is called then, once.
	Crashes func(body []byte) bool
	OnCrash func(crashed *Runner)
}

// Runner is a model runner: it takes requests in the order of arrival, as many
// at once as it has slots, and answers by events.
type Runner struct {
	RunnerOptions
	server   *http.Server
	listener net.Listener
	slots    chan struct{}
	waiting  atomic.Int64
	fault    atomic.Pointer[RunnerFault]
	draining atomic.Bool
	claimed  atomic.Bool
	serving  tasks.Group
	ended    atomic.Bool
	sequence int
}

// StartRunner starts a runner and lists it in the store.
func StartRunner(options RunnerOptions) (*Runner, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	r := &Runner{RunnerOptions: options, listener: listener, slots: make(chan struct{}, options.Slots)}
	r.Address = listener.Addr().String()
	r.fault.Store(&RunnerFault{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second}
	r.serving.Go(func() {
		_ = r.server.Serve(listener) // ends with the error that the server was closed
	})
	r.list("ready")
	return r, nil
}

func (r *Runner) list(state string) {
	r.sequence++
	r.Store.Put("servers/"+r.ID, map[string]any{
		"service": r.Service, "addr": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state,
		"cold_left_ms": 0, "seq": r.sequence,
	})
}

// SetFault sets the runner's behaviour.
func (r *Runner) SetFault(fault RunnerFault) { r.fault.Store(&fault) }

// Drain states that the runner leaves; it serves on until it is stopped.
func (r *Runner) Drain() {
	r.draining.Store(true)
	r.list("draining")
}

// Stop ends the runner and removes its entry.
func (r *Runner) Stop() {
	r.Store.Remove("servers/" + r.ID)
	r.Crash()
}

// Claim is true for the first who wants to end the runner.
func (r *Runner) Claim() bool { return r.claimed.CompareAndSwap(false, true) }

// Crash ends the runner at once; its entry stays for a while, as with a runner
// that falls silent.
func (r *Runner) Crash() {
	r.ended.Store(true)
	r.Ledger.noteEnded(r.ID)
	_ = r.server.Close() // closes all connections, whatever it returns
	r.serving.Wait()
}

func (r *Runner) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Cobaltramp-Attempt-Id")
	header := writer.Header()
	header.Set("Cobaltramp-Instance-Load", fmt.Sprintf("%d,%d,%d", len(r.slots), r.waiting.Load(), r.Slots))
	if expected := request.Header.Get("Cobaltramp-Expect-Instance"); expected != "" && expected != r.ID {
		header.Set("Cobaltramp-Instance-Id", r.ID)
		header.Set("Cobaltramp-Attempt-Id", id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.notRun(writer, id, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if !r.admit(request.Context(), writer, id) {
		return
	}
	defer func() { <-r.slots }()
	from, err := numberOrZero(request.Header.Get("Last-Event-Id"))
	if err != nil {
		r.notRun(writer, id, http.StatusBadRequest)
		return
	}
	run := &Run{Runner: r.ID, Body: sha256.Sum256(body), Path: request.URL.RequestURI(), From: from}
	run.Crashed = r.Crashes != nil && r.Crashes(body)
	r.Ledger.begin(id, run)
	if run.Crashed {
		if r.Claim() {
			r.Crash()
			r.OnCrash(r)
		}
		panic(http.ErrAbortHandler)
	}
	whole := r.answer(writer, request, id, from)
	r.Ledger.end(run, whole, request.Context().Err() != nil && !r.ended.Load())
}

// numberOrZero reads a number that may be left out.
func numberOrZero(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func (r *Runner) notRun(writer http.ResponseWriter, id string, status int) {
	writer.Header().Set("Cobaltramp-Not-Executed", "1")
	writer.Header().Set("Cobaltramp-Attempt-Id", id)
	writer.WriteHeader(status)
}

// admit waits for a slot, in the order of arrival as far as a channel keeps it.
func (r *Runner) admit(ctx context.Context, writer http.ResponseWriter, id string) bool {
	if int(r.waiting.Load()) >= r.QueueLimit {
		r.notRun(writer, id, http.StatusServiceUnavailable)
		return false
	}
	r.waiting.Add(1)
	defer r.waiting.Add(-1)
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
