package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// resultsTimeout is the longest time from the last job to the last result.
const resultsTimeout = 60 * time.Second

// runTraffic sends requests and jobs while faults are injected, waits until every
// accepted item has a result, and verifies the results.
func (d *Day) runTraffic(ctx context.Context) error {
	random := rand.New(rand.NewPCG(d.Seed, 1))
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	clients := []*standin.StreamClient{
		{Endpoints: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.EventsPrefix, Random: fork()},
		{Endpoints: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.OncePrefix, AtMostOnce: true, Random: fork()},
	}
	var senders tasks.Group
	for number, client := range clients {
		senders.Go(func() { d.sendRequests(ctx, client, number) })
	}
	batch := &standin.BatchClient{Endpoints: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.BatchPrefix, Random: fork()}
	senders.Go(func() { d.batch(ctx, batch) })
	d.injectFaults(ctx, fork())
	senders.Wait()
	for _, client := range clients {
		client.CheckRunCounts()
	}
	d.report("%s", d.tally.Summary())
	if open := batch.OpenItems(); open > 0 {
		d.tally.RecordViolation("%d taken items have no result", open)
	}
	return nil
}

// sendRequests sends PerSecond requests per second for the length of the day, and waits
// until all have ended.
func (d *Day) sendRequests(ctx context.Context, client *standin.StreamClient, number int) {
	var requests tasks.Group
	defer requests.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(d.PerSecond))
	defer ticker.Stop()
	ends := time.Now().Add(d.Length)
	for count := 0; time.Now().Before(ends); count++ {
		<-ticker.C
		// Each request has a random generator of its own, so that its choices do not depend
		// on concurrent requests.
		requestClient := *client
		requestClient.Random = rand.New(rand.NewPCG(d.Seed, uint64(number*1_000_000+count)))
		requests.Go(func() { requestClient.SendWithRetry(ctx, fmt.Sprintf("%d%06d", number+1, count)) })
	}
}

// batch submits jobs and reads their results for the length of the day. Then it reads
// until all items have a result or resultsTimeout has passed.
func (d *Day) batch(ctx context.Context, batch *standin.BatchClient) {
	ends := time.Now().Add(d.Length)
	for count := 0; time.Now().Before(ends); count++ {
		submitContext, cancel := context.WithTimeout(ctx, 10*time.Second)
		batch.Submit(submitContext, fmt.Sprintf("job%03d", count), 4)
		cancel()
		batch.ReadAll(ctx)
		time.Sleep(250 * time.Millisecond)
	}
	deadline := time.Now().Add(resultsTimeout)
	for batch.OpenItems() > 0 && time.Now().Before(deadline) {
		batch.ReadAll(ctx)
		time.Sleep(100 * time.Millisecond)
	}
}
