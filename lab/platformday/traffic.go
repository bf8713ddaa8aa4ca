package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// finishTimeout bounds the time from the last job to the last result.
const finishTimeout = 60 * time.Second

// traffic sends requests and jobs while the faults come, and waits until every
// taken item has its result.
func (d *Day) traffic(ctx context.Context) error {
	random := rand.New(rand.NewPCG(d.Seed, 1))
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	groups := []*standin.Callers{
		{Front: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.EventsPrefix, Random: fork()},
		{Front: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.OncePrefix, Once: true, Random: fork()},
	}
	var senders tasks.Group
	for number, callers := range groups {
		senders.Go(func() { d.send(ctx, callers, number) })
	}
	batch := &standin.BatchClient{Front: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.BatchPrefix, Random: fork()}
	senders.Go(func() { d.batch(ctx, batch) })
	d.faults(ctx, fork())
	senders.Wait()
	for _, callers := range groups {
		callers.CheckRuns()
	}
	d.say("%s", d.tally.Summary())
	if open := batch.Open(); open > 0 {
		d.tally.RecordViolation("%d taken items have no result", open)
	}
	return nil
}

func (d *Day) send(ctx context.Context, callers *standin.Callers, number int) {
	var requests tasks.Group
	defer requests.Wait()
	ticker := time.NewTicker(time.Second / time.Duration(d.PerSecond))
	defer ticker.Stop()
	ends := time.Now().Add(d.Length)
	for count := 0; time.Now().Before(ends); count++ {
		<-ticker.C
		// Draws are made one after the other; each request has its own.
		one := *callers
		one.Random = rand.New(rand.NewPCG(d.Seed, uint64(number*1_000_000+count)))
		requests.Go(func() { one.One(ctx, fmt.Sprintf("%d%06d", number+1, count)) })
	}
}

func (d *Day) batch(ctx context.Context, batch *standin.BatchClient) {
	ends := time.Now().Add(d.Length)
	for count := 0; time.Now().Before(ends); count++ {
		submitContext, cancel := context.WithTimeout(ctx, 10*time.Second)
		batch.Submit(submitContext, fmt.Sprintf("job%03d", count), 4)
		cancel()
		batch.ReadAll(ctx)
		time.Sleep(250 * time.Millisecond)
	}
	deadline := time.Now().Add(finishTimeout)
	for batch.Open() > 0 && time.Now().Before(deadline) {
		batch.ReadAll(ctx)
		time.Sleep(100 * time.Millisecond)
	}
}
