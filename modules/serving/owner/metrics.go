package owner

import (
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	onlineStreams prometheus.Gauge
	batchStreams  prometheus.Gauge
	batchLimit    prometheus.Gauge
	preempted     prometheus.Counter
	dispatched    *prometheus.CounterVec
	failures      *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	firstToken    prometheus.Histogram
	tokenGap      prometheus.Histogram
	ordersSent    *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		onlineStreams: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_owner_online_streams", Help: "Online streams on owned runners."}),
		batchStreams:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_owner_batch_streams", Help: "Batch streams on owned runners."}),
		batchLimit:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_owner_batch_limit", Help: "Sum of the batch limits of owned runners."}),
		preempted:     prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_owner_preempted_total", Help: "Batch streams cancelled for online work."}),
		dispatched:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_owner_dispatched_total", Help: "Streams given to engines by kind."}, []string{"kind"}),
		failures:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_owner_failures_total", Help: "Failed streams by result code name."}, []string{"code"}),
		dropped:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_owner_events_dropped_total", Help: "Engine events dropped as repeated or foreign."}, []string{"reason"}),
		firstToken:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_owner_first_token_seconds", Help: "Online time from dispatch to first token.", Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 16)}),
		tokenGap:      prometheus.NewHistogram(prometheus.HistogramOpts{Name: "cobaltramp_owner_token_gap_seconds", Help: "Online time between tokens.", Buckets: prometheus.ExponentialBuckets(0.002, 1.5, 16)}),
		ordersSent:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_owner_orders_total", Help: "Orders to engines by outcome."}, []string{"outcome"}),
	}
	registry.MustRegister(m.onlineStreams, m.batchStreams, m.batchLimit, m.preempted, m.dispatched, m.failures, m.dropped, m.firstToken, m.tokenGap, m.ordersSent)
	return m
}
