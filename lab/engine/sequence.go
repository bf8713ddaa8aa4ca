package engine

import (
	"sync"
	"time"
)

// phase is the state of a sequence.
type phase uint8

const (
	phaseWaiting phase = iota
	phasePrefill
	phaseDecode
	phaseFinished
	phaseCancelled
)

// sequence is the generation of one response. Its tokens are a function of the
// prompt, so it holds only their number.
type sequence struct {
	id        string
	prompt    Prompt
	chat      bool
	priority  int
	arrival   uint64
	length    int // tokens of the whole response, counting those before first
	truncated bool
	first     int // index of the first token that this sequence generates
	prefilled int // prompt tokens that have been prefilled
	model     string

	mutex    sync.Mutex
	phase    phase
	produced int // available tokens of the response, counting those before first
	changed  chan struct{}
	readers  int
	// unreadSince is when a reader last disconnected.
	unreadSince time.Time
	ended       time.Time
}

// advance applies an update under the mutex and notifies the readers.
func (s *sequence) advance(update func()) {
	s.mutex.Lock()
	update()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mutex.Unlock()
}

// snapshot returns the phase, the number of available tokens, and a channel that is
// closed at the next change.
func (s *sequence) snapshot() (phase, int, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.phase, s.produced, s.changed
}

func (s *sequence) attach() {
	s.mutex.Lock()
	s.readers++
	s.mutex.Unlock()
}

func (s *sequence) detach(now time.Time) {
	s.mutex.Lock()
	s.readers--
	s.unreadSince = now
	s.mutex.Unlock()
}

// unreadFor returns how long the sequence has had no reader; it is 0 while the sequence
// has a reader or has never had one.
func (s *sequence) unreadFor(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readers > 0 || s.unreadSince.IsZero() {
		return 0
	}
	return now.Sub(s.unreadSince)
}

// finishReason returns the finish_reason of the response.
func (s *sequence) finishReason() string {
	if s.truncated {
		return "length"
	}
	return "stop"
}
