package shutdown

import (
	"math/bits"
	"sync"
	"time"
)

// Kind groups requests that may last about equally long: those of one route whose callers allow about
// equally many output tokens.
type Kind struct {
	Route string
	// outputBits is the number of bits of the output limit; anyOutput stands for all limits.
	outputBits int
}

// anyOutput is the Kind.outputBits of all requests of a route.
const anyOutput = -1

// KindOf returns the kind of a request. outputLimit is the number of output tokens that its caller
// allows; 0 if unknown.
func KindOf(route string, outputLimit int) Kind {
	return Kind{route, bits.Len(uint(max(0, outputLimit)))}
}

// durationWindow is the time for which a duration is remembered at least. It is forgotten after three
// times that time at most.
const durationWindow = time.Minute

// durations remembers how long the requests of each kind lasted lately, at the most. It is safe for
// concurrent use; the zero value is ready to use.
type durations struct {
	mutex sync.Mutex
	// current holds the longest durations since began, and previous those of the window before.
	current, previous map[Kind]time.Duration
	began             time.Time
}

// record records how long a request lasted that has been answered.
func (d *durations) record(kind Kind, lasted time.Duration, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rotate(now)
	for _, counted := range []Kind{kind, {kind.Route, anyOutput}} {
		d.current[counted] = max(d.current[counted], lasted)
	}
}

// longest returns how long a request of a kind lasted lately at the most, or one of its route if there
// was none of its kind. It returns false if there was none at all.
func (d *durations) longest(kind Kind, now time.Time) (time.Duration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rotate(now)
	for _, counted := range []Kind{kind, {kind.Route, anyOutput}} {
		current, inCurrent := d.current[counted]
		previous, inPrevious := d.previous[counted]
		if inCurrent || inPrevious {
			return max(current, previous), true
		}
	}
	return 0, false
}

// rotate begins another window if the current one has passed. The caller holds the mutex.
func (d *durations) rotate(now time.Time) {
	age := now.Sub(d.began)
	if d.current != nil && age < durationWindow {
		return
	}
	d.previous = d.current
	if age >= 2*durationWindow {
		d.previous = nil
	}
	d.current, d.began = map[Kind]time.Duration{}, now
}
