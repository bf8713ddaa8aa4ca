package zoneload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

// Receiver receives the digests on an edge, and decides to which zone a request is sent. It
// is safe for concurrent use.
type Receiver struct {
	zone string
	// latency returns the latencies of a service; nil if requests are not balanced.
	latency func(service string) runnerset.Latency
	digests digests
	// mutex is held while the state changes with a digest or expires.
	mutex sync.Mutex
	// services holds the state of each balanced service; it is replaced at each change.
	services atomic.Pointer[map[string]*crossing]
	// holds estimates the time for which requests of each balanced service occupy a slot.
	holds map[string]*holdEstimate
	// sending holds the services of which requests are sent to other zones, for the log.
	sending map[string]sendingState
}

// NewReceiver returns a receiver for an edge in a zone, and registers its metrics. It
// receives digests, and keeps all requests in the zone.
func NewReceiver(zone string, registry prometheus.Registerer) *Receiver {
	r := &Receiver{zone: zone, holds: map[string]*holdEstimate{}, sending: map[string]sendingState{}}
	r.services.Store(&map[string]*crossing{})
	registry.MustRegister(&collector{r})
	return r
}

// Balance makes the receiver send requests to other zones. latency returns the latency
// model of a service. Balance is called before the first digest.
func (r *Receiver) Balance(latency func(service string) runnerset.Latency) { r.latency = latency }

// Newest returns the newest digest, its age, and whether there is one that is younger than
// digestLifetime. The digest must not be changed.
func (r *Receiver) Newest(now time.Time) (digest *wirev1.ZoneLoadDigest, age time.Duration, fresh bool) {
	digest, age = r.digests.latest(now)
	if digest == nil || age >= digestLifetime {
		return nil, age, false
	}
	return digest, age, true
}

// ReceiveNotice applies a digest. It logs and ignores a notice that cannot be decoded.
func (r *Receiver) ReceiveNotice(from string, payload []byte) {
	digest := &wirev1.ZoneLoadDigest{}
	if err := proto.Unmarshal(payload, digest); err != nil {
		klog.ErrorS(err, "failed to decode a digest of the load of zones", "peer", from, "bytes", len(payload))
		return
	}
	r.apply(from, digest, time.Now())
}

// apply stores a digest and computes the probabilities that follow from it.
func (r *Receiver) apply(from string, digest *wirev1.ZoneLoadDigest, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.digests.put(from, digest, now) || r.latency == nil {
		return
	}
	previous := *r.services.Load()
	next := map[string]*crossing{}
	for service, rows := range rowsByService(digest) {
		if !reportsContention(rows) {
			continue
		}
		state := previous[service].next(rows, r.plan(service, loadsOf(rows), now), now)
		state.own = ownLoad(rows, r.zone)
		next[service] = state
		r.recordSending(service, state, now)
	}
	r.services.Store(&next)
	r.logEnd(now)
}

// plan returns the probabilities for a service; none until its hold time is known. The
// caller holds the mutex.
func (r *Receiver) plan(service string, loads []ZoneLoad, now time.Time) []Share {
	for name, estimate := range r.holds {
		if now.Sub(estimate.at) > holdWindow {
			delete(r.holds, name)
		}
	}
	if r.holds[service] == nil {
		r.holds[service] = &holdEstimate{}
	}
	r.holds[service].observe(loads, now)
	hold, known := r.holds[service].value()
	if !known {
		return nil
	}
	return Plan(loads, Model{Latency: r.latency(service), Hold: hold}, r.zone)
}

// Target is the zone that was drawn for a request.
type Target struct {
	// Zone is empty if the request stays in the edge's zone.
	Zone string
	// Free are runners of the zone with free slots.
	Free []runnerset.FreeRunner
	// Crossing is the probability with which requests of the service are sent to other
	// zones.
	Crossing float64
}

// Draw draws the zone for a request of a service; random is from 0 to 1.
func (r *Receiver) Draw(service string, random float64, now time.Time) Target {
	current := (*r.services.Load())[service]
	probability := current.total(now)
	if probability == 0 {
		return Target{}
	}
	drawn := current.draw(random, now)
	if drawn == nil {
		return Target{Crossing: probability}
	}
	return Target{Zone: drawn.Zone, Free: drawn.free, Crossing: probability}
}
