package platformday

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"cobaltramp.example/cobaltramp/lab/standin"
)

// runPersistentClient runs a client with a persistent connection until the context ends.
// Every third client uses the route whose requests may run only once.
func (s *soak) runPersistentClient(ctx context.Context, number int, random *rand.Rand) {
	client := s.persistentClient(random)
	if number%3 == 2 {
		client.Prefix, client.AtMostOnce = standin.OncePrefix, true
	}
	client.Run(ctx, fmt.Sprintf("kept%d", number))
}

// persistentClient returns a client with a persistent connection on the route whose requests may
// be repeated.
func (d *Day) persistentClient(random *rand.Rand) *standin.PersistentClient {
	return &standin.PersistentClient{
		StreamClient: standin.StreamClient{Endpoints: d, Ledger: d.ledger, Tally: d.tally, Host: host, Prefix: standin.EventsPrefix, Random: random},
		MaxPause:     maxRequestPause,
		Disrupted:    d.nodeDisrupted,
	}
}

// runResumingClient runs a client that resumes its streams at other nodes until the context ends.
func (s *soak) runResumingClient(ctx context.Context, number int, streams *standin.StreamTally, random *rand.Rand) {
	client := &standin.ResumingClient{Endpoints: s, Tally: s.tally, Streams: streams, Host: host, Prefix: standin.EventsPrefix, Random: random}
	client.Run(ctx, fmt.Sprintf("resumed%d", number))
}

// nodeDisrupted reports whether the node at an address was killed, suspended or resumed
// after a point in time, or within the second before it. It returns true for an unknown
// address.
func (d *Day) nodeDisrupted(address string, since time.Time) bool {
	for _, p := range d.currentNodes() {
		if p.callerAddress == address {
			return p.disruptedSince(since.Add(-time.Second))
		}
	}
	return true
}

// sendCrashingRequests repeatedly sends the request that crashes runners, to random edges.
func (s *soak) sendCrashingRequests(ctx context.Context, random *rand.Rand) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if addresses := s.Addresses(); len(addresses) > 0 {
			client := standin.NodeClient{Address: addresses[random.IntN(len(addresses))], Host: host}
			client.Request(standin.EventsPrefix+"x", fmt.Sprintf("crash%d", attempt), crashBody)
		}
		select {
		case <-ctx.Done():
		case <-time.After(crashInterval):
		}
	}
}

// sendCrashingPart sends requests with a part that crashes runners, no two alike, to random edges.
func (s *soak) sendCrashingPart(ctx context.Context, random *rand.Rand) {
	load := &promptLoad{
		Day: s.Day, perSecond: crashingPartRate, target: standin.EventsPrefix + "x", name: "part",
		draw: func(*rand.Rand) []string { return []string{"aa", crashingPart} },
	}
	load.run(ctx, random)
}
