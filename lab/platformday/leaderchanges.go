package platformday

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// leaderLine is in the log line of a node that begins to lead a queue shard.
	leaderLine = "became leader of queue shard"
	// maxLeaderOutage is the longest time for which a storage node is suspended or away.
	maxLeaderOutage = 2500 * time.Millisecond
)

// changeLeaders disrupts one storage node after the other until the context ends. A suspended leader
// goes on with what it had begun when another one leads.
func (s *soak) changeLeaders(ctx context.Context, random *rand.Rand) {
	disruptions := []func(ctx context.Context, random *rand.Rand){s.suspendStorage, s.suspendStorage, s.killStorageTwice, s.stopStorage}
	for ctx.Err() == nil {
		s.runDisruption(ctx, random, disruptions[random.IntN(len(disruptions))])
		sleepUpTo(ctx, random, maxDisruptionPause)
	}
}

// suspendStorage suspends a storage node for up to maxLeaderOutage.
func (s *soak) suspendStorage(ctx context.Context, random *rand.Rand) {
	s.onFreeNode("storage", random, func(p *process) {
		s.sendSignal(p, syscall.SIGSTOP)
		sleepUpTo(ctx, random, maxLeaderOutage)
		s.sendSignal(p, syscall.SIGCONT)
	})
}
