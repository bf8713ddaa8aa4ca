package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
	"cobaltramp.example/cobaltramp/lab/standin"
)

// promptLoad sends requests whose prompts share parts, a few of which crash the runners that
// begin to respond to them.
type promptLoad struct {
	*Day
	// perSecond is the number of requests per second.
	perSecond float64
	// draw returns the shared parts of a request.
	draw func(random *rand.Rand) []string
	// target is the route and the path of the requests.
	target string
	// name is a prefix of the requests' ids.
	name string

	mutex    sync.Mutex
	outcomes []promptOutcome
}

// promptOutcome is the outcome of the only attempt at a request.
type promptOutcome struct {
	sent   time.Time
	served bool
}

// run sends requests to random edges until the context ends, and waits for their responses.
func (l *promptLoad) run(ctx context.Context, random *rand.Rand) {
	var requests tasks.Group
	defer requests.Wait()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.perSecond))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		addresses := l.Addresses()
		client := standin.NodeClient{Address: addresses[random.IntN(len(addresses))], Host: host}
		shared, id := l.draw(random), fmt.Sprintf("%s%d", l.name, number)
		requests.Go(func() { l.send(client, id, shared) })
	}
}

func (l *promptLoad) send(client standin.NodeClient, id string, shared []string) {
	sent := time.Now()
	served := client.PromptRequest(l.target, id, shared)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outcomes = append(l.outcomes, promptOutcome{sent, served})
}

// servedShare returns the fraction of the requests of a period that were served, and their
// number.
func (l *promptLoad) servedShare(from, until time.Time) (share float64, sent int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	served := 0
	for _, outcome := range l.outcomes {
		if outcome.sent.Before(from) || outcome.sent.After(until) {
			continue
		}
		sent++
		if outcome.served {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}
