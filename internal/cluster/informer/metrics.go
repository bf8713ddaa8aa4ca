package informer

import (
	"github.com/prometheus/client_golang/prometheus"

	"cobaltramp.example/cobaltramp/internal/cluster/relay"
)

// RegisterMetrics registers gauges of this node's sources, level and revision, of the
// server's followers, of the runners that the node knows and their total number, and of
// the factor by which its subset of the runners is enlarged.
func (i *Informer) RegisterMetrics(registry prometheus.Registerer, source *relay.Source) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	registry.MustRegister(
		gauge("cobaltramp_runners_known", "Runners that this node chooses among.", func() float64 {
			listed, _ := i.Runners.Count()
			return float64(listed)
		}),
		gauge("cobaltramp_runners_total", "Runners that there are, rounded down to a power of two by zone; 0 if not told.", func() float64 {
			return float64(i.Runners.Total())
		}),
		gauge("cobaltramp_runner_entries_unreadable", "Runners' entries that can't be decoded; they name no runners.", func() float64 {
			return float64(i.runners.unreadableCount())
		}),
		gauge("cobaltramp_runner_draw_factor", "By how much more runners are wanted than usual, for want of room.", func() float64 {
			return float64(i.runners.wideningFactor())
		}),
		gauge("cobaltramp_store_level", "Hops from the store at which this node takes its changes in a large fleet.", func() float64 {
			return float64(i.Level())
		}),
		gauge("cobaltramp_store_sources", "Nodes that keep this node up to date with the store.", func() float64 {
			return float64(len(i.Sources()))
		}),
		gauge("cobaltramp_store_followers", "Nodes that this node keeps up to date with the store.", func() float64 {
			return float64(source.Followers())
		}),
		gauge("cobaltramp_store_probed_revision", "Newest revision of the store that a probe has read; 0 if relays keep the node up to date.", func() float64 {
			return float64(i.Contact.StoreRevision())
		}),
		gauge("cobaltramp_store_contents_age_seconds", "Time since this node last knew that it held all that the store held, counted from the store.", func() float64 {
			return i.Contact.Age().Seconds()
		}),
		gauge("cobaltramp_store_revision", "Revision of the store up to which this node knows it.", func() float64 {
			return float64(i.storeRevision())
		}),
	)
}
