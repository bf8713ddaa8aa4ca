package standin

import (
	"cmp"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/silence"
)

// RunnerOptions configures a runner.
type RunnerOptions struct {
	ID, Service, Zone string
	// Address is the IP:port to listen on; port 0 selects a free port.
	Address       string
	Slots         int
	QueueLimit    int
	EventInterval time.Duration
	// Slowness multiplies EventInterval; 0 counts as 1.
	Slowness float64
	// Contention returns the contention at a time after the start of the runner, which
	// multiplies EventInterval and is reported in the load header. Without it, the header
	// has three figures.
	Contention func(sinceStart time.Duration) float64
	Store      *Store
	Ledger     *Ledger
	// Version is the version of the runner's software; empty counts as "v1".
	Version string
	// StartedAt is the start time that the runner's entry states, in Unix milliseconds; 0
	// if it states none.
	StartedAt int64
	// Crashes reports whether a request with the body crashes the runner at the start
	// of its run; nil stands for no crashes. OnCrash is called once, after such a crash.
	Crashes func(body []byte) bool
	OnCrash func(crashed *Runner)
	// CrashesOnPart reports whether requests with a shared part of the prompt crash the
	// runner shortly after it has sent the head of its response; nil stands for no crashes.
	CrashesOnPart func(part string) bool
	// EndsHeadCleanly makes such a response one that ends with its connection, without an
	// error on the connection.
	EndsHeadCleanly bool
}

// Runner emulates a model runner: it runs at most as many requests at once as it has
// slots, queues further ones, and responds with server-sent events.
type Runner struct {
	RunnerOptions
	server        *http.Server
	listener      *silence.Listener
	started       time.Time
	slots         chan struct{}
	waiting       atomic.Int64
	fault         atomic.Pointer[RunnerFault]
	draining      atomic.Bool
	endClaimed    atomic.Bool
	serving       tasks.Group
	ended         atomic.Bool
	entryRevision int
}

// connectionKey is the context key of the connection of a request.
type connectionKey struct{}

// runnerConnection is a connection from a node. It counts the requests that ran.
type runnerConnection struct {
	net.Conn
	requests atomic.Int64
}

// StartRunner starts a runner and registers it in the store.
func StartRunner(options RunnerOptions) (*Runner, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	options.Version = cmp.Or(options.Version, "v1")
	r := &Runner{RunnerOptions: options, listener: silence.Wrap(listener), started: time.Now(), slots: make(chan struct{}, options.Slots)}
	r.Address = listener.Addr().String()
	r.fault.Store(&RunnerFault{})
	r.server = &http.Server{
		Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: 5 * time.Second,
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, &runnerConnection{Conn: connection})
		},
	}
	r.serving.Go(func() {
		_ = r.server.Serve(r.listener) // always returns an error once the server is closed
	})
	r.publish("ready")
	return r, nil
}

// publish writes the entry of the runner to the store.
func (r *Runner) publish(state string) {
	r.entryRevision++
	entry := map[string]any{
		"service": r.Service, "addr": r.Address, "zone": r.Zone, "version": r.Version, "slots": r.Slots, "state": state,
		"cold_left_ms": 0, "seq": r.entryRevision,
	}
	if r.StartedAt > 0 {
		entry["born"] = r.StartedAt
	}
	r.Store.Put("servers/"+r.ID, entry)
}

// SetFault sets the injected fault.
func (r *Runner) SetFault(fault RunnerFault) { r.fault.Store(&fault) }

// SilenceConnections makes all open connections silent, and returns their number. New
// connections work.
func (r *Runner) SilenceConnections() int { return r.listener.Silence() }

// ResetConnections resets all open connections, and returns their number. New connections work.
func (r *Runner) ResetConnections() int { return r.listener.Reset() }

// Drain sets the published state to draining; the runner serves until it is stopped.
func (r *Runner) Drain() {
	r.draining.Store(true)
	r.publish("draining")
}

// Stop stops the runner and removes its entry from the store.
func (r *Runner) Stop() {
	r.Store.Remove("servers/" + r.ID)
	r.Crash()
}

// ClaimEnd returns true for its first caller only, which may then end the runner.
func (r *Runner) ClaimEnd() bool { return r.endClaimed.CompareAndSwap(false, true) }

// Crash stops the runner at once and leaves its entry in the store, as with a real
// crash.
func (r *Runner) Crash() {
	r.ended.Store(true)
	r.Ledger.recordEnded(r.ID)
	_ = r.server.Close() // closes all connections even if it returns an error
	r.serving.Wait()
}

func (r *Runner) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Cobaltramp-Attempt-Id")
	header := writer.Header()
	header.Set("Cobaltramp-Instance-Load", r.loadHeader())
	if expected := request.Header.Get("Cobaltramp-Expect-Instance"); expected != "" && expected != r.ID {
		header.Set("Cobaltramp-Instance-Id", r.ID)
		header.Set("Cobaltramp-Attempt-Id", id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.respondNotExecuted(writer, id, http.StatusBadRequest)
		return
	}
	if affects(id+r.ID, "early", r.fault.Load().EarlyRefusal) {
		r.respondNotExecuted(writer, id, http.StatusServiceUnavailable) // the server reads the body afterwards
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
	from, err := parseOptionalInt(request.Header.Get("Last-Event-Id"))
	if err != nil {
		r.respondNotExecuted(writer, id, http.StatusBadRequest)
		return
	}
	run := &Run{Runner: r.ID, Version: r.Version, Body: sha256.Sum256(body), Path: request.URL.RequestURI(), LastEventID: from, resumesForCaller: request.Header.Get(resumesHeader) != ""}
	run.Parts, run.BeganAt, run.Stream = sharedParts(request.Header), time.Now(), request.Header.Get(streamHeader)
	crashesOnPart := r.CrashesOnPart != nil && slices.ContainsFunc(run.Parts, r.CrashesOnPart)
	run.Crashed = crashesOnPart || r.Crashes != nil && r.Crashes(body)
	r.Ledger.begin(id, run)
	if crashesOnPart {
		defer r.beginResponse(writer, id)()
		time.Sleep(crashDelay)
	}
	if run.Crashed {
		r.crashOnce()
		panic(http.ErrAbortHandler)
	}
	connection := request.Context().Value(connectionKey{}).(*runnerConnection)
	r.sendLateRefusal(connection, id)
	complete := r.respond(writer, request, id, run)
	r.Ledger.end(run, complete, request.Context().Err() != nil && !r.ended.Load(), silence.IsLost(connection.Conn))
}

// crashOnce crashes the runner, unless it has ended already. A runner that drains ends as well; who
// drains it lets its successor start.
func (r *Runner) crashOnce() {
	claimed := r.ClaimEnd()
	r.Crash()
	if claimed {
		r.OnCrash(r)
	}
}

// parseOptionalInt parses a number; the empty text stands for 0.
func parseOptionalInt(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

// respondNotExecuted responds with an error status and states that the request did not
// run.
func (r *Runner) respondNotExecuted(writer http.ResponseWriter, id string, status int) {
	writer.Header().Set("Cobaltramp-Not-Executed", "1")
	writer.Header().Set("Cobaltramp-Attempt-Id", id)
	writer.WriteHeader(status)
}

// admit waits for a slot. It reports false if the queue is full or the context ends.
func (r *Runner) admit(ctx context.Context, writer http.ResponseWriter, id string) bool {
	if int(r.waiting.Load()) >= r.QueueLimit {
		r.respondNotExecuted(writer, id, http.StatusServiceUnavailable)
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
