package standin

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Contention occurs in the given fraction of the periods, differs between runners, and is
// the same in each run.
func TestContentionBursts(t *testing.T) {
	is := is.New(t)
	const periods = 4000
	bursts := ContentionBursts{Seed: 1, ID: "a", Fraction: 0.15, Length: 600 * time.Millisecond, Factor: 2.5}
	other := bursts
	other.ID = "b"
	contended, different := 0, 0
	for i := range periods {
		at := time.Duration(i) * bursts.Length
		value := bursts.At(at)
		is.Equal(value, bursts.At(at+bursts.Length-1))
		if value == 2.5 {
			contended++
		} else {
			is.Equal(value, 1.0)
		}
		if value != other.At(at) {
			different++
		}
	}
	is.True(math.Abs(float64(contended)/periods-0.15) < 0.02)
	is.True(different > 0)
}

// Slowness and contention multiply the time between events, and only a runner with
// contention reports it.
func TestUnequalRunners(t *testing.T) {
	is := is.New(t)
	plain := &Runner{RunnerOptions: RunnerOptions{Slots: 8, EventInterval: 10 * time.Millisecond}}
	is.Equal(plain.eventInterval(), 10*time.Millisecond)
	is.Equal(plain.loadHeader(), "0,0,8")
	unequal := &Runner{RunnerOptions: RunnerOptions{
		Slots: 8, EventInterval: 10 * time.Millisecond, Slowness: 2, Contention: func(time.Duration) float64 { return 1.5 },
	}}
	is.Equal(unequal.eventInterval(), 30*time.Millisecond)
	is.Equal(unequal.loadHeader(), "0,0,8,150")
}
