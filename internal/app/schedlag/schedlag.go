// Package schedlag measures how long this process recently was not run although it had work:
// because its share of the processor was used up, its machine was stopped for a moment, or too
// much other work was ready. Times that the process measures for other processes include such
// delays. Edges use it.
package schedlag

import (
	"context"
	"math"
	"sync/atomic"
	"time"
)

const (
	// tickInterval is the interval at which the monitor expects to run.
	tickInterval = 10 * time.Millisecond
	// period is the length of the periods for each of which the longest delay is kept. It is
	// that of the usual processor quotas.
	period = 100 * time.Millisecond
	// periods is the number of periods that are kept.
	periods = 6
)

// Monitor measures delays while Run runs. The zero value is ready to use and safe for concurrent
// use; it reports no delay before Run.
type Monitor struct {
	// longest contains the longest delays of the last periods in nanoseconds, and current is
	// the index of the current period's.
	longest [periods]atomic.Int64
	current int // used by Run only
}

// Recent returns the longest delay of the recent periods. It accepts a nil receiver, which
// reports no delay.
func (m *Monitor) Recent() time.Duration {
	if m == nil {
		return 0
	}
	longest := int64(0)
	for i := range m.longest {
		longest = max(longest, m.longest[i].Load())
	}
	return time.Duration(longest)
}

// Sustained returns the delay that was reached in each of the recent periods but the current
// one: a process that uses up its share of the processor in one period has one long delay, an
// overloaded one has them in all. It accepts a nil receiver, which reports no delay.
func (m *Monitor) Sustained() time.Duration {
	if m == nil {
		return 0
	}
	shortest, second := int64(math.MaxInt64), int64(math.MaxInt64)
	for i := range m.longest {
		switch delay := m.longest[i].Load(); {
		case delay < shortest:
			shortest, second = delay, shortest
		case delay < second:
			second = delay
		}
	}
	return time.Duration(second) // the current period, which has just begun, may be the shortest
}

// Run measures delays until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	expected := time.Now().Add(tickInterval)
	periodEnd := expected.Add(period)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		periodEnd = m.advance(expected, periodEnd)
		expected = time.Now().Add(tickInterval)
		timer.Reset(tickInterval)
	}
}

// advance records the delay since the expected time, and begins new periods. It takes the end of
// the current period, and returns that of the period that is current then.
func (m *Monitor) advance(expected, periodEnd time.Time) time.Time {
	now := time.Now()
	delay := now.Sub(expected)
	m.record(delay)
	for ; periodEnd.Before(now); periodEnd = periodEnd.Add(period) {
		m.current = (m.current + 1) % periods
		m.longest[m.current].Store(0)
		if periodEnd.Add(period).Before(now) {
			m.record(delay) // the whole period lies in the delay
		}
	}
	return periodEnd
}

// record records a delay of the current period.
func (m *Monitor) record(delay time.Duration) {
	if int64(delay) > m.longest[m.current].Load() {
		m.longest[m.current].Store(int64(delay))
	}
}
