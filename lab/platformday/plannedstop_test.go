package platformday

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/eventually"
	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

const (
	// lateRequestsFrom and lateRequestsTo are when requests are sent to a node that stops, after SIGTERM.
	lateRequestsFrom = time.Second
	lateRequestsTo   = 4500 * time.Millisecond
	// lateRequestInterval is the time between two of them on each route.
	lateRequestInterval = 50 * time.Millisecond
	// lateRequestTimeout is the timeout of the routes and of the callers: longer than the stop.
	lateRequestTimeout = 20 * time.Second
	// usualTraffic is how long an edge serves requests before it is stopped.
	usualTraffic = 10 * time.Second
	// refusalTime is how long a refusal may take.
	refusalTime = time.Second
)

// lateOutcome is how a late request ended.
type lateOutcome string

const (
	lateServed  lateOutcome = "served"
	lateRefused lateOutcome = "refused"
	// lateUnread means that the connection was refused or closed before a byte of a response.
	lateUnread lateOutcome = "unread"
	lateCut    lateOutcome = "cut"
)

// plannedStop is a stop of some edges, in calm, and the outcomes of late requests.
type plannedStop struct {
	*Day
	mutex    sync.Mutex
	outcomes map[lateOutcome]int
	faults   []string
}

// TestPlannedStopCutsNoRequest guards against requests that a stopping edge takes late and cuts (LOST): in
// a planned stop in calm, whatever is taken is answered completely, or refused at once and not run.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	folder := t.TempDir()
	program := build(t, folder)
	for _, test := range []struct {
		interval time.Duration
		stopped  int
		// minServed is the least number of late requests that are served: with short runs, all that are
		// read before the connections are closed.
		minServed int
	}{
		{interval: 60 * time.Millisecond, stopped: 1, minServed: 90},
		{interval: 500 * time.Millisecond, stopped: 1, minServed: 90},
		{interval: time.Second, stopped: 1},
		{interval: time.Second, stopped: 2},
	} {
		t.Run(fmt.Sprintf("%v between events, %d edges", test.interval, test.stopped), func(t *testing.T) {
			t.Parallel()
			stop := openPlannedStop(t, program, test.interval)
			defer stop.close()
			stop.play(t, test.stopped)
			t.Logf("late requests: %v", stop.outcomes)
			for _, fault := range stop.faults {
				t.Error(fault)
			}
			if served := stop.outcomes[lateServed]; served < test.minServed {
				t.Errorf("%d late requests are served, want %d at least", served, test.minServed)
			}
		})
	}
}

// openPlannedStop starts a deployment whose routes give requests more time than a stop takes.
func openPlannedStop(t *testing.T, program string, interval time.Duration) *plannedStop {
	t.Helper()
	d, err := open(t.Context(), Options{
		Program: program, Folder: t.TempDir(), Seed: 1, Progress: os.Stderr, Edges: 3, Storages: 3, Runners: 60, EventInterval: interval,
	})
	if err != nil {
		t.Fatal(err)
	}
	config := standin.DayConfig(host, plannedStopVersion)
	standin.SetRouteTimes(config, lateRequestTimeout)
	d.store.PutConfig(config)
	stop := &plannedStop{Day: d, outcomes: map[lateOutcome]int{}}
	for _, edge := range d.nodesOf("edge") {
		eventually.Require(t, "the configuration is in force", func() bool { return stop.hasConfig(edge) })
	}
	return stop
}

// hasConfig reports whether an edge has the configuration of planned stops. It does not wait for the
// whole answer.
func (s *plannedStop) hasConfig(edge *process) bool {
	connection, err := net.DialTimeout("tcp", edge.callerAddress, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	path := fmt.Sprintf("/version-%d/x", plannedStopVersion)
	exchange := standin.StreamExchange{Host: host, Path: path, ID: "config-" + edge.name, Timeout: lateRequestTimeout}
	return exchange.Head(connection) == http.StatusOK
}

// plannedStopVersion is the version of the configuration of planned stops.
const plannedStopVersion = 100

// play sends requests to the first edges, stops these, and sends late ones on connections that were open
// before and on new ones.
func (s *plannedStop) play(t *testing.T, stopped int) {
	t.Helper()
	var requests tasks.Group
	edges := s.nodesOf("edge")[:stopped]
	for number := range int(usualTraffic / (2 * lateRequestInterval)) {
		for _, edge := range edges {
			for _, prefix := range []string{standin.EventsPrefix, standin.OncePrefix} {
				requests.Go(func() {
					s.request(t.Context(), nil, edge, prefix, fmt.Sprintf("usual-%s-%s-%d", edge.name, prefix[1:5], number))
				})
			}
		}
		time.Sleep(2 * lateRequestInterval)
	}
	requests.Wait()
	if len(s.faults) > 0 || s.outcomes[lateServed] == 0 {
		t.Fatalf("before the stop: %v, %v", s.outcomes, s.faults)
	}
	clear(s.outcomes)
	var lateRequests tasks.Group
	late := int((lateRequestsTo - lateRequestsFrom) / lateRequestInterval)
	kept := s.openConnections(t, edges, 2*late*stopped)
	var ends tasks.Group
	for _, edge := range edges {
		ends.Go(func() { s.signal(edge, syscall.SIGTERM) })
	}
	time.Sleep(lateRequestsFrom)
	for number := range late {
		for place, edge := range edges {
			for route, prefix := range []string{standin.EventsPrefix, standin.OncePrefix} {
				var connection net.Conn
				if number%2 == 0 {
					connection = kept[(number*stopped+place)*2+route]
				}
				lateRequests.Go(func() {
					s.request(t.Context(), connection, edge, prefix, fmt.Sprintf("late-%s-%s-%d", edge.name, prefix[1:5], number))
				})
			}
		}
		time.Sleep(lateRequestInterval)
	}
	lateRequests.Wait()
	ends.Wait()
}

// openConnections opens connections to the edges in turn, each of which has served a request.
func (s *plannedStop) openConnections(t *testing.T, edges []*process, count int) []net.Conn {
	t.Helper()
	connections := make([]net.Conn, count)
	for number := range connections {
		connection, err := net.DialTimeout("tcp", edges[number/2%len(edges)].callerAddress, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() })
		connections[number] = connection
	}
	return connections
}

// request sends a request to an edge, on a new connection if none is given, and records how it ends.
func (s *plannedStop) request(ctx context.Context, connection net.Conn, edge *process, prefix, id string) {
	began := time.Now()
	outcome, detail := s.exchange(ctx, connection, edge, prefix, id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outcomes[outcome]++
	ran := len(s.ledger.Runs(id)) > 0
	switch {
	case outcome == lateCut:
		s.faults = append(s.faults, fmt.Sprintf("%s was cut after %v: %s", id, time.Since(began), detail))
	case outcome == lateUnread && ran:
		s.faults = append(s.faults, fmt.Sprintf("%s ran and got no answer: %s", id, detail))
	case outcome == lateRefused && (ran || time.Since(began) > refusalTime):
		s.faults = append(s.faults, fmt.Sprintf("%s was refused after %v, ran: %v", id, time.Since(began), ran))
	}
}

// exchange sends a request, reads the whole response and returns how it ended.
func (s *plannedStop) exchange(ctx context.Context, connection net.Conn, edge *process, prefix, id string) (lateOutcome, string) {
	if connection == nil {
		dialed, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", edge.callerAddress)
		if err != nil {
			return lateUnread, err.Error()
		}
		connection = dialed
	}
	defer func() { _ = connection.Close() }()
	exchange := standin.StreamExchange{Host: host, Path: prefix + "x", ID: id, Timeout: lateRequestTimeout}
	response := exchange.Do(connection)
	switch {
	case response.Status == 0:
		return lateUnread, response.Err.Error()
	case response.HasAllEvents(id):
		return lateServed, ""
	case response.Status == http.StatusServiceUnavailable && response.Whole:
		return lateRefused, ""
	default:
		return lateCut, fmt.Sprintf("status %d, %d bytes, %v", response.Status, len(response.Text), response.Err)
	}
}
