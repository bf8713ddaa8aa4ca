package quarantine

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// Prober checks whether a process listens at a runner's address.
type Prober interface {
	// ConnectionRefused reports whether the machine refuses or resets connections to
	// the address. It returns false if the connection succeeds, if it fails in another
	// way, or if there is no reply before the context ends.
	ConnectionRefused(ctx context.Context, address string) bool
}

const (
	// probeTimeout bounds a probe. A machine whose runner has ended refuses the
	// connection within one round trip.
	probeTimeout = 60 * time.Millisecond
	// probeResultTTL is how long a result is reused for other requests at the same
	// runner. All requests at a runner break at the same time when it ends.
	probeResultTTL = 300 * time.Millisecond
	// maxProbeResults is the maximum number of cached results. At the maximum all of
	// them are dropped.
	maxProbeResults = 256
)

// CrashDetector distinguishes a runner that ended from a broken connection. It probes
// the runner, and shares the result among requests that break together. It is safe for
// concurrent use.
type CrashDetector struct {
	prober  Prober
	probes  singleflight.Group // by start of a runner
	mutex   sync.Mutex
	results map[string]probeResult // by start of a runner
}

// probeResult is the result of the probe of a runner, and the time of the probe.
type probeResult struct {
	ended bool
	at    time.Time
}

// NewCrashDetector returns a detector that uses the prober.
func NewCrashDetector(prober Prober) *CrashDetector {
	return &CrashDetector{prober: prober, results: map[string]probeResult{}}
}

// HasEnded reports whether the runner of a broken request has ended, according to a
// probe of its address or to a result of the last probeResultTTL. It returns false if
// the probe is inconclusive. start identifies the start of the runner.
func (d *CrashDetector) HasEnded(start, address string) bool {
	// The function below returns no error.
	ended, _, _ := d.probes.Do(start, func() (any, error) {
		if refused, known := d.cachedResult(start); known {
			return refused, nil
		}
		// All waiting requests share the probe, so it does not use a request's context.
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		refused := d.prober.ConnectionRefused(ctx, address)
		d.cacheResult(start, refused)
		return refused, nil
	})
	return ended.(bool)
}

// cachedResult returns the cached result for a start of a runner; valid is false if there is none
// or it is older than probeResultTTL.
func (d *CrashDetector) cachedResult(start string) (ended, valid bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	cached, valid := d.results[start]
	return cached.ended, valid && time.Since(cached.at) < probeResultTTL
}

func (d *CrashDetector) cacheResult(start string, ended bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.results) >= maxProbeResults {
		clear(d.results)
	}
	d.results[start] = probeResult{ended, time.Now()}
}
