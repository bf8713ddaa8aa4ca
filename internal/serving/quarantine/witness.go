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
	// endedTTL is how long the end of a runner is remembered for other requests there. All
	// requests at a runner break at the same time when it ends.
	endedTTL = 300 * time.Millisecond
	// maxEndedStarts is the maximum number of remembered ends. At the maximum all of them are
	// forgotten.
	maxEndedStarts = 256
)

// CrashDetector distinguishes a runner that ended from a broken connection. It probes
// the runner, and shares the result among requests that break together. It is safe for
// concurrent use.
type CrashDetector struct {
	prober Prober
	probes singleflight.Group // by start of a runner
	mutex  sync.Mutex
	// ended contains the times of the probes that found a runner ended, by its start.
	ended map[string]time.Time
}

// probeResult is the result of a probe.
type probeResult struct {
	ended bool
	began time.Time
}

// NewCrashDetector returns a detector that uses the prober.
func NewCrashDetector(prober Prober) *CrashDetector {
	return &CrashDetector{prober: prober, ended: map[string]time.Time{}}
}

// HasEnded reports whether the runner of a broken request has ended, according to a probe of
// its address. That a runner was alive says nothing about later moments, so only a probe that
// began after the call can return false; that it has ended may be known for up to endedTTL.
// HasEnded returns false if the probe is inconclusive. start identifies the start of the runner.
func (d *CrashDetector) HasEnded(start, address string) bool {
	called := time.Now()
	for {
		// The function below returns no error. The first call may join an earlier probe, the
		// second one can't.
		shared, _, _ := d.probes.Do(start, func() (any, error) { return d.probe(start, address), nil })
		result := shared.(probeResult)
		if result.ended || !result.began.Before(called) {
			return result.ended
		}
	}
}

// probe probes a runner, unless its end is known.
func (d *CrashDetector) probe(start, address string) probeResult {
	began := time.Now()
	if d.knowsEnd(start, began) {
		return probeResult{true, began}
	}
	// All waiting requests share the probe, so it does not use a request's context.
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	refused := d.prober.ConnectionRefused(ctx, address)
	if refused {
		d.rememberEnd(start, began)
	}
	return probeResult{refused, began}
}

// knowsEnd reports whether the end of a start of a runner is remembered.
func (d *CrashDetector) knowsEnd(start string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	at, known := d.ended[start]
	return known && now.Sub(at) < endedTTL
}

func (d *CrashDetector) rememberEnd(start string, at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.ended) >= maxEndedStarts {
		clear(d.ended)
	}
	d.ended[start] = at
}
