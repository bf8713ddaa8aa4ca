package standin

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ContentionBursts describes a contention that varies: in a fraction of all periods of
// Length, work takes Factor times as long. Seed and ID determine the periods, so that a
// run can be repeated and runners differ.
type ContentionBursts struct {
	Seed     uint64
	ID       string
	Fraction float64
	Length   time.Duration
	Factor   float64
}

// At returns the contention at a time after the start of the run.
func (b ContentionBursts) At(sinceStart time.Duration) float64 {
	key := binary.LittleEndian.AppendUint64([]byte(b.ID), b.Seed)
	key = binary.LittleEndian.AppendUint64(key, uint64(sinceStart/b.Length))
	if float64(xxhash.Sum64(key))/math.MaxUint64 < b.Fraction {
		return b.Factor
	}
	return 1
}

// contention returns the runner's present contention; 1 if it has none.
func (r *Runner) contention() float64 {
	if r.Contention == nil {
		return 1
	}
	return r.Contention(time.Since(r.started))
}

// eventInterval returns the present time between two events.
func (r *Runner) eventInterval() time.Duration {
	interval := float64(r.EventInterval) * r.contention()
	if r.Slowness > 0 {
		interval *= r.Slowness
	}
	return time.Duration(interval)
}

// loadHeader returns the value of the load header, with the contention as the fourth
// figure if the runner has any.
func (r *Runner) loadHeader() string {
	header := fmt.Sprintf("%d,%d,%d", len(r.slots), r.waiting.Load(), r.Slots)
	if r.Contention != nil {
		header += fmt.Sprintf(",%d", int(math.Round(100*r.contention())))
	}
	return header
}
