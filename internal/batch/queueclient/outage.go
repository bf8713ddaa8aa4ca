package queueclient

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/textlog"
	"cobaltramp.example/cobaltramp/internal/batch/queuestore"
)

// answer is what a node answered to a call that failed; a nil error stands for no answer in
// time.
type answer struct {
	address string
	err     error
}

// addUnanswered adds the nodes that have not answered in time.
func (r *callResult) addUnanswered(addresses map[string]bool) {
	for address := range addresses {
		r.answers = append(r.answers, answer{address: address})
	}
}

// outage is the time in which no member of a shard answered as its leader. It begins with a
// round of calls that fails at all members and ends with the next answer.
type outage struct {
	began        time.Time
	lastFailure  time.Time
	failedRounds int
	loggedAt     time.Time
}

// outageLogInterval is the time between two log lines about a continuing outage.
const outageLogInterval = 5 * time.Second

// recordFailedRound records a round that failed at all members of a job's shard. A round that
// failed because its caller gave up doesn't count.
func (c *ShardClient) recordFailedRound(ctx context.Context, job string, answers []answer) {
	layout := c.Layouts.Current()
	if layout == nil || ctx.Err() != nil {
		return
	}
	shard := queuestore.ShardOf(job, len(layout.Shards))
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	current := c.outages[shard]
	if current == nil {
		current = &outage{began: now}
		c.outages[shard] = current
	}
	current.failedRounds++
	current.lastFailure = now
	if now.Sub(current.loggedAt) < outageLogInterval {
		return
	}
	current.loggedAt = now
	stored := layout.Shards[shard]
	klog.InfoS("no leader of queue shard answers", "shard", shard, "seconds", now.Sub(current.began).Seconds(), "failedRounds", current.failedRounds,
		"storedGeneration", stored.Generation, "storedAttempt", stored.Attempt, "members", stored.Members, "answers", c.answersText(answers))
}

// endOutage ends an outage of a shard, if there is one. The caller holds the mutex.
func (c *ShardClient) endOutage(shard uint32, address string) {
	ended := c.outages[shard]
	if ended == nil {
		return
	}
	delete(c.outages, shard)
	klog.InfoS("leader of queue shard answers again", "shard", shard, "address", address, "seconds", time.Since(ended.began).Seconds(), "failedRounds", ended.failedRounds)
}

// answersText lists the answers by node.
func (c *ShardClient) answersText(answers []answer) string {
	texts := make([]string, 0, len(answers))
	for _, a := range answers {
		name := a.address
		if record, known := c.Directory.DiskAt(a.address); known {
			name = record.NodeId
		}
		text := "no answer in time"
		if a.err != nil {
			text = textlog.OneLine(a.err)
		}
		texts = append(texts, name+": "+text)
	}
	return strings.Join(texts, "; ")
}

var unansweredDescription = prometheus.NewDesc("cobaltramp_queue_shard_unanswered_seconds",
	"Time from the first to the last call in a row that failed at all members of a queue shard; absent while the shard answers.", []string{"shard"}, nil)

// RegisterMetrics registers the metrics of the client.
func (c *ShardClient) RegisterMetrics(registry prometheus.Registerer) {
	registry.MustRegister(outageCollector{c})
}

// outageCollector reports the outages of shards.
type outageCollector struct{ client *ShardClient }

// Describe implements prometheus.Collector.
func (outageCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- unansweredDescription
}

// Collect implements prometheus.Collector.
func (o outageCollector) Collect(metrics chan<- prometheus.Metric) {
	o.client.mutex.Lock()
	defer o.client.mutex.Unlock()
	for shard, current := range o.client.outages {
		metrics <- prometheus.MustNewConstMetric(unansweredDescription, prometheus.GaugeValue, current.lastFailure.Sub(current.began).Seconds(), strconv.FormatUint(uint64(shard), 10))
	}
}
