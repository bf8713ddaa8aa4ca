package zoneload

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"
)

// sendingState describes a service of which requests are sent to other zones.
type sendingState struct {
	// last is the time of the last digest with which requests were sent.
	last time.Time
	// own is the load of the service in this zone by the newest digest.
	own ZoneLoad
}

// recordSending updates the state of a service for the log, and logs when its requests begin
// to be sent to other zones. The caller holds the mutex.
func (r *Receiver) recordSending(service string, state *crossing, now time.Time) {
	total := state.total(now)
	known, started := r.sending[service]
	if total > 0 {
		r.sending[service] = sendingState{now, state.own}
	} else if started {
		known.own = state.own
		r.sending[service] = known
	}
	if total > 0 && !started {
		klog.InfoS("requests are sent to another zone", append(inputFields(service, &state.own),
			"crossing", math.Round(percent*total), "target", state.mostLikely())...)
	}
}

// logEnd logs when no requests of a service were sent to other zones for digestLifetime, so
// that a probability that is 0 for a moment is not logged. The caller holds the mutex.
func (r *Receiver) logEnd(now time.Time) {
	for service, state := range r.sending {
		if now.Sub(state.last) >= digestLifetime {
			delete(r.sending, service)
			klog.InfoS("requests stay in the zone", inputFields(service, &state.own)...)
		}
	}
}

// inputFields returns the keys and values of the load of this zone for a log line.
func inputFields(service string, own *ZoneLoad) []any {
	return []any{
		"service", service, "zone", own.Zone, "runners", own.Runners, "slots", own.Slots, "running", own.Running,
		"batch", own.Batch, "arrivals", own.Arrivals, "contention", math.Round(percent * own.Contention),
	}
}

// mostLikely returns the zone with the highest probability.
func (c *crossing) mostLikely() string {
	best := Share{}
	for i := range c.targets {
		if c.targets[i].Probability > best.Probability {
			best = c.targets[i].Share
		}
	}
	return best.Zone
}

// collector collects the metrics of a receiver.
type collector struct{ receiver *Receiver }

var (
	crossingShare = prometheus.NewDesc("cobaltramp_zone_crossing_share",
		"Highest probability of all services with which a request is sent to the runners of another zone.", []string{"zone"}, nil)
	digestAge = prometheus.NewDesc("cobaltramp_zone_digest_age_seconds",
		"Age of the newest digest of the load of zones.", nil, nil)
)

// Describe implements prometheus.Collector.
func (*collector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- crossingShare
	descriptions <- digestAge
}

// Collect implements prometheus.Collector. There is no age before the first digest.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	now := time.Now()
	c.receiver.expire(now)
	if digest, age := c.receiver.digests.latest(now); digest != nil {
		metrics <- prometheus.MustNewConstMetric(digestAge, prometheus.GaugeValue, age.Seconds())
	}
	highest := map[string]float64{}
	for _, state := range *c.receiver.services.Load() {
		for i := range state.targets {
			zone := state.targets[i].Zone
			highest[zone] = max(highest[zone], state.probability(zone, now))
		}
	}
	for zone, probability := range highest {
		metrics <- prometheus.MustNewConstMetric(crossingShare, prometheus.GaugeValue, probability, zone)
	}
}

// expire logs the end of sending if there were no recent digests.
func (r *Receiver) expire(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.logEnd(now)
}
