package queueclient

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

// unanswered returns the values of the outage metric by shard.
func unanswered(t *testing.T, registry *prometheus.Registry) map[string]float64 {
	t.Helper()
	families, err := registry.Gather()
	is.New(t).NoErr(err)
	values := map[string]float64{}
	for _, family := range families {
		for _, sample := range family.Metric {
			values[sample.Label[0].GetValue()] = sample.GetGauge().GetValue()
		}
	}
	return values
}

// An outage begins with a round that fails at all members and ends with the next answer. Its
// metric is the time between the first and the last failure.
func TestOutageLastsFromFailedRoundToAnswer(t *testing.T) {
	is := is.New(t)
	var answering atomic.Bool
	respond := func() (*wirev1.QueueReadReply, error) {
		if answering.Load() {
			return &wirev1.QueueReadReply{Found: true}, nil
		}
		return nil, result.New(result.NotLeader, "state=no_votes")
	}
	client := clientOf(t, serveReads(t, respond), serveReads(t, respond))
	registry := prometheus.NewRegistry()
	client.RegisterMetrics(registry)
	is.Equal(len(unanswered(t, registry)), 0)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.True(result.Is(err, result.StoreUnavailable))
	is.True(strings.Contains(err.Error(), result.NotLeader.String()))
	is.True(!strings.Contains(err.Error(), "state=")) // the states of nodes are for the log, not for callers
	is.True(unanswered(t, registry)["0"] > 0)
	is.True(client.outages[0].failedRounds > 1)
	answering.Store(true)
	_, err = client.Read(context.Background(), &wirev1.QueueReadRequest{Host: "h"})
	is.NoErr(err)
	is.Equal(len(unanswered(t, registry)), 0)
}

// A round that the end of its request cuts off is no outage.
func TestRoundThatIsCutOffIsNoOutage(t *testing.T) {
	is := is.New(t)
	client := clientOf(t, unresponsiveAddress(t), unresponsiveAddress(t))
	ctx, cancel := context.WithTimeout(context.Background(), hedgeDelay/2)
	defer cancel()
	_, err := client.Read(ctx, &wirev1.QueueReadRequest{Host: "h"})
	is.True(err != nil)
	client.mutex.Lock()
	defer client.mutex.Unlock()
	is.Equal(len(client.outages), 0)
}

// The answers of all members are listed by node, those without an answer too.
func TestAnswersAreListedByNode(t *testing.T) {
	is := is.New(t)
	client := clientOf(t, "127.0.0.1:1", "127.0.0.1:2")
	text := client.answersText([]answer{{"127.0.0.1:1", result.New(result.NotLeader, "state=frozen")}, {address: "127.0.0.1:2"}, {address: "127.0.0.1:3"}})
	is.Equal(text, "a: not_leader (1501): state=frozen; b: no answer in time; 127.0.0.1:3: no answer in time")
}
