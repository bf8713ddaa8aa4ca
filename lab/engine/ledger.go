package engine

import "sync"

// Ledger counts the runs of requests on all engines of a lab. The system under test
// has no access to it.
type Ledger struct {
	mutex     sync.Mutex
	starts    map[uint64]int // by prompt hash; excludes runs that continue a response
	continued int            // runs that continue a response
	finishes  map[uint64]int
	cancels   int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{starts: map[uint64]int{}, finishes: map[uint64]int{}}
}

func (l *Ledger) started(promptHash uint64, _ string, first int) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if first > 0 {
		l.continued++
		return
	}
	l.starts[promptHash]++
}

func (l *Ledger) finished(promptHash uint64, _ string) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.finishes[promptHash]++
}

func (l *Ledger) cancelled(string) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cancels++
}

// Starts returns the number of runs of a body that started at the first token of the
// response.
func (l *Ledger) Starts(body []byte) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.starts[ParsePrompt(body).Hash]
}

// Totals holds sums over all prompts.
type Totals struct {
	Prompts   int `json:"prompts"`
	Starts    int `json:"starts"`
	Finishes  int `json:"finishes"`
	Continued int `json:"continued"`
	Cancels   int `json:"cancels"`
}

// Totals returns the sums over all prompts.
func (l *Ledger) Totals() Totals {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	totals := Totals{Prompts: len(l.starts), Continued: l.continued, Cancels: l.cancels}
	for _, count := range l.starts {
		totals.Starts += count
	}
	for _, count := range l.finishes {
		totals.Finishes += count
	}
	return totals
}
