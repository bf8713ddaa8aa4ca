package standin

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is one run of a request at a runner.
type Run struct {
	Runner string
	// Version is the version of the runner's software.
	Version string
	Body    [sha256.Size]byte
	Path    string
	// LastEventID is the event after which the run resumed; 0 for a run from the start.
	LastEventID int64
	// Sent is the number of the last event that the runner sent; 0 if it sent none.
	Sent int64
	// Complete is true if the runner sent the whole response. Disconnected is true if
	// the node closed the connection before that.
	Complete, Disconnected bool
	// Lost is true if the connection was reset by the network, or had gone silent, by the end of the
	// run.
	Lost bool
	// resumesForCaller is true if the caller resumed a stream with the request, so that the
	// output before is of another request.
	resumesForCaller bool
	// Crashed is true if the runner crashed at the start of the run.
	Crashed bool
	// Parts are the names of the shared parts of the prompt.
	Parts []string
	// BeganAt and EndedAt are when the runner began and ended the run; EndedAt is zero before.
	BeganAt, EndedAt time.Time
	// Stream is the stream of which the run is a part; empty if callers do not resume it.
	Stream string
}

// String describes a run for the message of a violation.
func (r Run) String() string {
	return fmt.Sprintf("%s (%s) from event %d, sent up to %d, complete %v, disconnected %v, lost %v",
		r.Runner, r.Version, r.LastEventID, r.Sent, r.Complete, r.Disconnected, r.Lost)
}

// describeRuns describes the runs of a request in the order of their start.
func describeRuns(runs []Run) string {
	var texts []string
	for _, run := range runs {
		texts = append(texts, run.String())
	}
	return strings.Join(texts, "; ")
}

// MaxCrashes is the largest number of runners that one request may crash: the users'
// rule allows three runners, and three more attempts.
const MaxCrashes = 6

// Ledger records the runs of requests on all runners.
type Ledger struct {
	mutex sync.Mutex
	runs  map[string][]*Run
	// ended holds the runners that have ended; the last output of such a runner may be
	// lost.
	ended map[string]bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]*Run{}, ended: map[string]bool{}} }

// Ended reports whether a runner has ended.
func (l *Ledger) Ended(runner string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.ended[runner]
}

func (l *Ledger) recordEnded(runner string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended[runner] = true
}

func (l *Ledger) begin(id string, run *Run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[id] = append(l.runs[id], run)
}

func (l *Ledger) end(run *Run, complete, disconnected, lost bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run.EndedAt = time.Now()
	run.Complete, run.Disconnected, run.Lost = complete, disconnected && !complete, lost
}

func (l *Ledger) recordSent(run *Run, number int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run.Sent = number
}

// MixedRuns describes the runs that resumed the output of an earlier run of the same request,
// although no earlier run of a runner of the same software version had come so far.
func (l *Ledger) MixedRuns() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var mixed []string
	for id, runs := range l.runs {
		for number, run := range runs {
			continues := func(earlier *Run) bool { return earlier.Version == run.Version && earlier.Sent >= run.LastEventID }
			if run.LastEventID > 0 && !run.resumesForCaller && !slices.ContainsFunc(runs[:number], continues) {
				mixed = append(mixed, fmt.Sprintf("request %s: the run at %s (%s) resumed after event %d, which no run of that version had sent", id, run.Runner, run.Version, run.LastEventID))
			}
		}
	}
	return mixed
}

// Runs returns the runs of a request in the order of their start.
func (l *Ledger) Runs(id string) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var list []Run
	for _, run := range l.runs[id] {
		list = append(list, *run)
	}
	return list
}

// Crashes returns the number of runs of a body that crashed a runner.
func (l *Ledger) Crashes(body []byte) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sum, count := sha256.Sum256(body), 0
	for _, runs := range l.runs {
		for _, run := range runs {
			if run.Crashed && run.Body == sum {
				count++
			}
		}
	}
	return count
}

// IDs returns the ids of all requests that ran.
func (l *Ledger) IDs() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var ids []string
	for id := range l.runs {
		ids = append(ids, id)
	}
	return ids
}
