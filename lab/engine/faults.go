package engine

import (
	"bytes"
	"time"
)

// faults configures the faults of an engine; the zero value has none.
type faults struct {
	headerDelay time.Duration
	endDelay    time.Duration
	disorderly  bool
	// crashOn is a text: the engine crashes when it starts a request whose body
	// contains it. Empty means no crash.
	crashOn string
}

// CrashOn makes the engine crash whenever it starts a request whose body contains a
// text.
func (e *Engine) CrashOn(text string) { e.setFaults(func(f *faults) { f.crashOn = text }) }

// crashesOn reports whether a request with the body crashes the engine.
func (e *Engine) crashesOn(body []byte) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.faults.crashOn != "" && bytes.Contains(body, []byte(e.faults.crashOn))
}

// Crashed reports whether the engine has crashed and has not been restarted.
func (e *Engine) Crashed() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.server == nil
}

// Stall suspends the scheduler for a duration: streams stay open and send no tokens.
func (e *Engine) Stall(duration time.Duration) {
	scheduler, _ := e.current()
	scheduler.mutex.Lock()
	scheduler.stalledUntil = time.Now().Add(duration)
	scheduler.mutex.Unlock()
}

// SetSlow multiplies the duration of each step by a factor; 1 is the normal speed.
func (e *Engine) SetSlow(factor float64) {
	scheduler, _ := e.current()
	scheduler.mutex.Lock()
	scheduler.slowFactor = factor
	scheduler.mutex.Unlock()
}

// SetResponseDelays delays the header and the end of each response.
func (e *Engine) SetResponseDelays(header, end time.Duration) {
	e.setFaults(func(f *faults) { f.headerDelay, f.endDelay = header, end })
}

// SetDisorder makes streams duplicate and reorder events and include events of
// other streams.
func (e *Engine) SetDisorder(on bool) { e.setFaults(func(f *faults) { f.disorderly = on }) }

func (e *Engine) setFaults(change func(*faults)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.faults)
}

func (e *Engine) delayHeader() {
	e.mutex.Lock()
	delay := e.faults.headerDelay
	e.mutex.Unlock()
	time.Sleep(delay)
}

func (e *Engine) delayEnd() {
	e.mutex.Lock()
	delay := e.faults.endDelay
	e.mutex.Unlock()
	time.Sleep(delay)
}

// emit writes one event. With the disorder fault, every third event is preceded by a
// copy of the next event, every fourth is written twice, and every fifth is preceded by
// an event of another stream.
func (e *Engine) emit(w *eventWriter, index int, data []byte) bool {
	e.mutex.Lock()
	disorderly := e.faults.disorderly
	e.mutex.Unlock()
	last := w.source.first+index == w.source.length-1
	if !disorderly || last {
		return w.writeEvent(index, data)
	}
	if index%5 == 4 {
		foreign := []byte(`{"id":"someone-else","choices":[{"index":0,"text":" wrong","delta":{"content":" wrong"}}]}`)
		if !w.writeEvent(index, foreign) {
			return false
		}
	}
	if index%3 == 1 && w.source.first+index+2 < w.source.length {
		early := w.tokenEvent(w.source.first+index+1, "")
		if !w.writeEvent(index+1, early) {
			return false
		}
	}
	if !w.writeEvent(index, data) {
		return false
	}
	return index%4 != 3 || w.writeEvent(index, data)
}
