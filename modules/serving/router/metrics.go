package router

import (
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	attempts *prometheus.CounterVec
	resumed  *prometheus.CounterVec
	spills   prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_router_attempts_total", Help: "Dispatches to owners by outcome code name."}, []string{"code"}),
		resumed:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cobaltramp_router_resumed_total", Help: "Answers carried on after a lost owner or runner, by how."}, []string{"how"}),
		spills:   prometheus.NewCounter(prometheus.CounterOpts{Name: "cobaltramp_router_spills_total", Help: "Requests sent to another zone."}),
	}
	registry.MustRegister(m.attempts, m.resumed, m.spills)
	return m
}
