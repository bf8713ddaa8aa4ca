package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// completionTTL is how long a completion counts as evidence that a part of prompts does
	// not crash runners.
	completionTTL = 10 * time.Minute
	// maxCompletions is the maximum number of entries in one generation of a completionLog.
	// An entry takes about 150 bytes.
	maxCompletions = 4096
	// completionResolution is the shortest time between two updates of an entry.
	completionResolution = 20 * time.Millisecond
)

// processStart is the reference for times in atomic integers.
var processStart = time.Now()

// Environment is what a part has run on: another service or another version of the runners'
// software may crash where this one does not.
type Environment struct {
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
}

// completionKey identifies a part in an environment.
type completionKey struct {
	part        Fingerprint
	environment Environment
}

// completionLog contains the time of the last known completion of each part that was
// completed recently. It has two generations: when the current one is full, it replaces the
// previous one, whose entries are dropped unless they were used since. It is safe for
// concurrent use; most calls only read.
type completionLog struct {
	mutex       sync.Mutex // guards changes of the generations
	generations atomic.Pointer[completionGenerations]
}

type completionGenerations struct {
	// current and previous map completionKey to *atomic.Int64, the nanoseconds since
	// processStart.
	current, previous *sync.Map
	count             atomic.Int64 // the number of entries in current
}

func newCompletionLog() *completionLog {
	l := &completionLog{}
	l.generations.Store(&completionGenerations{current: &sync.Map{}, previous: &sync.Map{}})
	return l
}

// last returns when the part was last completed in the environment, and whether that is known
// and less than completionTTL ago.
func (l *completionLog) last(part Fingerprint, environment Environment, now time.Time) (time.Time, bool) {
	key, generations := completionKey{part, environment}, l.generations.Load()
	entry, found := generations.current.Load(key)
	if !found {
		entry, found = generations.previous.Load(key)
	}
	if !found {
		return time.Time{}, false
	}
	at := processStart.Add(time.Duration(entry.(*atomic.Int64).Load()))
	return at, now.Sub(at) < completionTTL
}

// record records a completion, unless a later one is known.
func (l *completionLog) record(part Fingerprint, environment Environment, at time.Time) {
	key, nanoseconds := completionKey{part, environment}, int64(at.Sub(processStart))
	entry, found := l.generations.Load().current.Load(key)
	if !found {
		l.add(key, nanoseconds)
		return
	}
	time := entry.(*atomic.Int64)
	for previous := time.Load(); nanoseconds > previous+int64(completionResolution); previous = time.Load() {
		if time.CompareAndSwap(previous, nanoseconds) {
			return
		}
	}
}

// add adds an entry to the current generation.
func (l *completionLog) add(key completionKey, nanoseconds int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	generations := l.generations.Load()
	if generations.count.Load() >= maxCompletions {
		generations = &completionGenerations{current: &sync.Map{}, previous: generations.current}
		l.generations.Store(generations)
	}
	entry := &atomic.Int64{}
	entry.Store(nanoseconds)
	if older, found := generations.previous.Load(key); found {
		entry.Store(max(nanoseconds, older.(*atomic.Int64).Load()))
	}
	if _, present := generations.current.LoadOrStore(key, entry); !present {
		generations.count.Add(1)
	}
}
