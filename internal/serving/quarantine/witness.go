package quarantine

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// Prober looks whether a process answers at a runner's address.
type Prober interface {
	// ConnectionRefused reports whether the machine says that nothing listens there. No
	// answer within the context is not that.
	ConnectionRefused(ctx context.Context, address string) bool
}

const (
	// probeTime bounds a look. The runner's machine has just reset or closed a
	// connection, so it answers within a round trip.
	probeTime = 60 * time.Millisecond
	// findingLife is how long what was found holds for other requests at the same
	// runner: they all break in the same moment.
	findingLife = 300 * time.Millisecond
	// maxFindings bounds the memory.
	maxFindings = 256
)

// Witness distinguishes a runner that ended from a connection that broke: when many
// requests at a runner break together, it looks once.
type Witness struct {
	prober   Prober
	looks    singleflight.Group
	mutex    sync.Mutex
	findings map[string]finding
}

// finding is what a look at a runner's address found.
type finding struct {
	ended bool
	at    time.Time
}

// NewWitness returns a witness that looks with a prober.
func NewWitness(prober Prober) *Witness {
	return &Witness{prober: prober, findings: map[string]finding{}}
}

// HasEnded reports whether the runner whose answer broke has ended.
func (w *Witness) HasEnded(runner, address string) bool {
	// The look below returns no error.
	ended, _, _ := w.looks.Do(runner, func() (any, error) {
		if found, known := w.known(runner); known {
			return found, nil
		}
		// The look is for all who wait: no single request's end ends it.
		ctx, cancel := context.WithTimeout(context.Background(), probeTime)
		defer cancel()
		found := w.prober.ConnectionRefused(ctx, address)
		w.keep(runner, found)
		return found, nil
	})
	return ended.(bool)
}

func (w *Witness) known(runner string) (ended, known bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found, known := w.findings[runner]
	return found.ended, known && time.Since(found.at) < findingLife
}

func (w *Witness) keep(runner string, ended bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.findings) >= maxFindings {
		clear(w.findings)
	}
	w.findings[runner] = finding{ended, time.Now()}
}
