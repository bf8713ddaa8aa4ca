package runnerset

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each consecutive failure doubles the ejection up to its maximum; a first event resets
// the backoff.
func TestEjectionDoubles(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var e ejection
	is.True(!e.active(now))
	for _, length := range []time.Duration{400, 800, 1600, 3200, 6000, 6000} {
		e.fail(now)
		is.True(e.active(now.Add(length*time.Millisecond - 1)))
		is.True(!e.active(now.Add(length * time.Millisecond)))
	}
	e.end()
	is.True(!e.active(now))
	e.fail(now)
	is.True(!e.active(now.Add(minEjection)))
}

// A request is stalled if the runner has sent no event since, or has started a request
// that was sent later.
func TestStalledRequests(t *testing.T) {
	is := is.New(t)
	sent := time.Now()
	before, after := sent.Add(-time.Second), sent.Add(time.Second)
	is.True(stalled(sent, time.Time{}, time.Time{})) // the runner has never sent an event
	is.True(stalled(sent, before, before))
	is.True(!stalled(sent, after, before)) // the runner still serves older requests
	is.True(stalled(sent, after, after))
}

// The estimate is the largest of the requests that nodes report, the runner's own report,
// and the expected requests of nodes that do not report.
func TestEstimatedLoad(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		name   string
		inputs loadInputs
		want   float64
	}{
		{"reported by nodes", loadInputs{own: NodeLoad{Running: 1}, reported: load{running: 5}, slots: 8}, 5},
		{"reported by the runner", loadInputs{own: NodeLoad{Running: 1}, reported: load{running: 2}, report: runnerReport{6, now}, slots: 8}, 7},
		{"half faded", loadInputs{own: NodeLoad{Running: 1}, reported: load{running: 2}, report: runnerReport{6, now.Add(-runnerReportLifetime / 2)}, slots: 8}, 4},
		{"too old", loadInputs{own: NodeLoad{Running: 1}, reported: load{running: 2}, report: runnerReport{6, now.Add(-runnerReportLifetime)}, slots: 8}, 2},
		{"not reported", loadInputs{own: NodeLoad{Running: 1}, reported: load{running: 1}, slots: 8, unreportedUtilization: 0.5}, 5},
	} {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(estimateLoad(&test.inputs, now).running, test.want) })
	}
}

// Each disadvantage of a runner adds its surcharge, and an overdue first event counts
// with the time waited for it.
func TestCosts(t *testing.T) {
	const expected = 50 * time.Millisecond
	for _, test := range []struct {
		name string
		c    candidate
		want time.Duration
	}{
		{"near and idle", candidate{}, expected},
		{"overdue", candidate{overdue: time.Second}, time.Second},
		{"in another zone", candidate{otherZone: true, bytes: 1000}, expected + 24*time.Millisecond},
		{"not a home runner", candidate{nonHome: true}, expected + nonHomeCost},
		{"unreported", candidate{unreported: true}, expected + unreportedCost},
		{"ejected", candidate{ejected: true}, expected + ejectedCost},
		{"cold", candidate{cold: true}, expected + coldCost},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.c.expected = expected
			is.Equal(test.c.cost(0), test.want)
			is.Equal(test.c.cost(0.5), test.want+maxJitter/2)
		})
	}
}

// Batch items are preempted first; if that is not enough, other requests have to end.
func TestSlotsToFree(t *testing.T) {
	for _, test := range []struct {
		at               load
		preempted, ahead float64
	}{
		{load{running: 3}, 0, 0},
		{load{running: 4, batch: 2}, 1, 0},
		{load{running: 7, batch: 2}, 2, 0.5},
	} {
		is := is.New(t)
		preempted, ahead := slotsToFree(test.at, 4)
		is.Equal(preempted, test.preempted)
		is.Equal(ahead, test.ahead)
	}
}

// Error responses to one item, which may be the item's fault, eject no runner. Error responses
// to different items in succession do, unless a first event comes between them.
func TestErrorsOfDifferentItemsEject(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var e ejection
	for range 3 {
		e.failItem("a", now)
	}
	is.True(!e.active(now))
	e.failItem("b", now)
	is.True(e.active(now))
	e.end()
	e.failItem("a", now)
	is.True(!e.active(now))
}
