package bundles

import (
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	generation prometheus.Gauge
	revision   prometheus.Gauge
	applied    prometheus.Counter
	fetches    *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		generation: prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_bundle_generation", Help: "Bundle generation in force on this node."}),
		revision:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "cobaltramp_bundle_head_revision", Help: "Revision of the newest bundle head known here."}),
		applied:    prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_bundle_applied_total", Help: "Generations put in force."}),
		fetches:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_bundle_fetches_total", Help: "Fetches of bundle content by source."}, []string{"source"}),
	}
	registry.MustRegister(m.generation, m.revision, m.applied, m.fetches)
	return m
}
