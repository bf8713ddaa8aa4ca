package quarantine

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// Prober checks whether a process listens at a runner's address.
type Prober interface {
	// ConnectionRefused reports whether the machine refuses connections to the
	// address. It returns false if there is no reply before the context ends.
	ConnectionRefused(ctx context.Context, address string) bool
}

const (
	// probeTimeout bounds a probe. The runner's machine has just reset or closed a
	// connection, so it replies within a round trip.
	probeTimeout = 60 * time.Millisecond
	// probeResultTTL is how long a result is reused for other requests at the same
	// runner, all of which break at the same time.
	probeResultTTL = 300 * time.Millisecond
	// maxProbeResults bounds the cached results.
	maxProbeResults = 256
)

// CrashDetector distinguishes a runner that ended from a broken connection. When many
// requests at a runner break together, it probes the runner once.
type CrashDetector struct {
	prober  Prober
	probes  singleflight.Group
	mutex   sync.Mutex
	results map[string]probeResult
}

// probeResult is the cached result of a probe.
type probeResult struct {
	ended bool
	at    time.Time
}

// NewCrashDetector returns a detector that uses the prober.
func NewCrashDetector(prober Prober) *CrashDetector {
	return &CrashDetector{prober: prober, results: map[string]probeResult{}}
}

// HasEnded reports whether the runner of a broken request has ended.
func (w *CrashDetector) HasEnded(runner, address string) bool {
	// The function below returns no error.
	ended, _, _ := w.probes.Do(runner, func() (any, error) {
		if found, known := w.cachedResult(runner); known {
			return found, nil
		}
		// All waiting requests share the probe, so it does not use a request's context.
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		found := w.prober.ConnectionRefused(ctx, address)
		w.cacheResult(runner, found)
		return found, nil
	})
	return ended.(bool)
}

func (w *CrashDetector) cachedResult(runner string) (ended, known bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found, known := w.results[runner]
	return found.ended, known && time.Since(found.at) < probeResultTTL
}

func (w *CrashDetector) cacheResult(runner string, ended bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.results) >= maxProbeResults {
		clear(w.results)
	}
	w.results[runner] = probeResult{ended, time.Now()}
}
