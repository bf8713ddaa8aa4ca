package enginemodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// engine is a simulated engine with random parameters.
type engine struct{ base, perKToken, perRunning, hold float64 }

func (e engine) first(load EngineLoad) float64 {
	return e.base + e.perKToken*load.Tokens/1000 + e.perRunning*load.Running
}

func drawEngine(t *rapid.T) engine {
	return engine{
		base:      rapid.Float64Range(0.005, 0.3).Draw(t, "base"),
		perKToken: rapid.Float64Range(0.002, 0.1).Draw(t, "per 1,000 tokens"), perRunning: rapid.Float64Range(0, 0.004).Draw(t, "per running request"),
		hold: rapid.Float64Range(0.05, 10).Draw(t, "hold"),
	}
}

func drawLoad(random *rand.Rand) EngineLoad {
	return EngineLoad{Tokens: random.ExpFloat64() * 1500, Running: float64(random.IntN(16))}
}

// After several hundred samples the model predicts the time to the first event and the
// hold time of any engine, despite noise and although one runner in eight is much slower
// or fails immediately.
func TestModelConvergesDespiteOutliers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, model := drawEngine(t), New()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		slowdown := rapid.Float64Range(0, 30).Draw(t, "slowdown of the outlying runner")
		noise := rapid.Float64Range(0, 0.15).Draw(t, "noise")
		for range 600 {
			load := drawLoad(random)
			took := e.first(load) * (1 + noise*random.NormFloat64())
			if random.IntN(8) == 0 {
				took = e.first(load) * slowdown
			}
			model.ObserveFirstEvent(load, time.Duration(took*float64(time.Second)))
			model.ObserveHold(time.Duration(e.hold * (1 + noise*random.NormFloat64()) * float64(time.Second)))
		}
		off, sum := 0.0, 0.0
		for range 200 {
			load := drawLoad(random)
			off += math.Abs(model.ExpectedFirstEvent(load).Seconds() - e.first(load))
			sum += e.first(load)
		}
		if off > 0.5*sum {
			t.Fatalf("the relative error is %.2f for engine %+v", off/sum, e)
		}
		if hold := model.hold; hold < e.hold/1.5 || hold > 1.5*e.hold {
			t.Fatalf("the hold time is %.3f s, learnt was %.3f s", e.hold, hold)
		}
	})
}

// More tokens and running requests never reduce the expected time, and the model adapts
// when the engine's parameters change.
func TestModelAdaptsToChangedEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := New()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		for _, e := range []engine{drawEngine(t), drawEngine(t)} {
			for range 1500 {
				load := drawLoad(random)
				model.ObserveFirstEvent(load, time.Duration(e.first(load)*float64(time.Second)))
				if more := (EngineLoad{load.Tokens + 500, load.Running + 1}); model.ExpectedFirstEvent(more) < model.ExpectedFirstEvent(load) {
					t.Fatalf("%v is expected sooner than %v", more, load)
				}
			}
			load := EngineLoad{Tokens: 1500, Running: 8}
			if got, want := model.ExpectedFirstEvent(load).Seconds(), e.first(load); math.Abs(got-want) > 0.4*want {
				t.Fatalf("expected time %.3f s, actual time %.3f s", got, want)
			}
		}
	})
}

// The expected wait starts at the wait for slots that become free at even intervals and
// converges to the observed waits; a single outlier changes it little.
func TestExpectedWaitIsLearnt(t *testing.T) {
	is := is.New(t)
	m := New()
	for range 500 {
		m.ObserveHold(600 * time.Millisecond)
	}
	even := m.ExpectedWait(0.5)
	is.True(even > 290*time.Millisecond && even < 310*time.Millisecond)
	is.Equal(m.ExpectedWait(0), time.Duration(0))
	for range 500 {
		m.ObserveWait(0.5, 450*time.Millisecond)
	}
	learnt := m.ExpectedWait(0.5)
	is.True(learnt > 440*time.Millisecond && learnt < 460*time.Millisecond)
	m.ObserveWait(0.5, time.Minute)
	is.True(m.ExpectedWait(0.5)-learnt < 20*time.Millisecond)
	m.ObserveWait(0, time.Second) // ignored, since no request had to end first
	is.True(m.ExpectedWait(0.5)-learnt < 20*time.Millisecond)
}
