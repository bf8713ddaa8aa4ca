package quarantine

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/app/tasks"
)

// slowProber answers each probe after a round trip with the state of the runner at its beginning.
type slowProber struct {
	ended  atomic.Bool
	probes atomic.Int64
}

const roundTrip = 2 * time.Millisecond

func (p *slowProber) ConnectionRefused(context.Context, string) bool {
	p.probes.Add(1)
	ended := p.ended.Load()
	time.Sleep(roundTrip)
	return ended
}

// Guards against answers without a length that count as whole although their runner crashed
// (review/2): a probe that found a runner alive says nothing about a later moment, not even while
// its result is under way.
func TestLivingRunnerIsProbedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prober := &slowProber{}
		detector := NewCrashDetector(prober)
		is.True(!detector.HasEnded("r", "a"))
		var earlier tasks.Group
		earlier.Go(func() { detector.HasEnded("r", "a") })
		time.Sleep(roundTrip / 2)
		prober.ended.Store(true) // after the earlier probe began
		is.True(detector.HasEnded("r", "a"))
		earlier.Wait()
		probes := prober.probes.Load()
		is.True(detector.HasEnded("r", "a")) // an end is remembered
		is.Equal(prober.probes.Load(), probes)
	})
}

// Answers that end at the same moment need two probes at most.
func TestAnswersThatEndTogetherShareProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		prober := &slowProber{}
		detector := NewCrashDetector(prober)
		var answers tasks.Group
		for range 50 {
			answers.Go(func() { detector.HasEnded("r", "a") })
		}
		answers.Wait()
		is.True(prober.probes.Load() <= 2)
	})
}
