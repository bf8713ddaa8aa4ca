package queuestore

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/batch/shardstatus"
)

const (
	// unservedCheckInterval is the time between two checks whether the local replicas see
	// their shards served.
	unservedCheckInterval = time.Second
	// unservedLogDelay is how long a shard must be without a serving leader before it is
	// logged. It is longer than an election or a hand-over usually takes.
	unservedLogDelay = 2 * time.Second
	// unservedLogInterval is the time between two log lines about such a shard.
	unservedLogInterval = 5 * time.Second
)

// unservedLoop counts the time in which local replicas see no leader that serves their shard,
// and logs the status of such shards, until the context ends. It needs neither the store nor
// the goroutines of the shards.
func (n *StorageNode) unservedLoop(ctx context.Context) {
	ticker := time.NewTicker(unservedCheckInterval)
	defer ticker.Stop()
	loggedAt := map[uint32]time.Time{}
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) > unservedLogDelay { // the process was suspended, and so were its replicas
			last = now
			continue
		}
		for _, s := range n.allShards() {
			n.checkServed(ctx, s, now, now.Sub(last), loggedAt)
		}
		last = now
	}
}

// checkServed counts the time since the last check, and logs the status, if a replica sees no
// leader that serves its shard.
func (n *StorageNode) checkServed(ctx context.Context, s *shard, now time.Time, sinceLast time.Duration, loggedAt map[uint32]time.Time) {
	serving := s.Serving(now)
	unserved := serving.Unserved(now)
	if unserved == 0 {
		delete(loggedAt, s.ID)
		return
	}
	n.metrics.unservedSeconds.WithLabelValues(shardstatus.StateName(serving.State)).Add(min(unserved, sinceLast).Seconds())
	if unserved < unservedLogDelay || now.Sub(loggedAt[s.ID]) < unservedLogInterval {
		return
	}
	status := n.replicaStatus(ctx, s.ID)
	if shardstatus.Served(status.State) {
		return
	}
	loggedAt[s.ID] = now
	klog.InfoS("queue shard has no serving leader", unservedText(status)...)
}

// unservedCollector reports for each local replica that sees no leader that serves its shard
// for how long.
type unservedCollector struct{ node *StorageNode }

var unservedDescription = prometheus.NewDesc("cobaltramp_queue_shard_unserved_seconds",
	"Time since a local replica last saw a leader that serves its shard, by the reason; absent while the shard is served.", []string{"shard", "reason"}, nil)

// Describe implements prometheus.Collector.
func (unservedCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- unservedDescription
}

// Collect implements prometheus.Collector.
func (c unservedCollector) Collect(metrics chan<- prometheus.Metric) {
	now := time.Now()
	for _, s := range c.node.allShards() {
		serving := s.Serving(now)
		unserved := serving.Unserved(now)
		if unserved == 0 {
			continue
		}
		metrics <- prometheus.MustNewConstMetric(unservedDescription, prometheus.GaugeValue, unserved.Seconds(),
			strconv.FormatUint(uint64(s.ID), 10), shardstatus.StateName(serving.State))
	}
}
