package fairshare

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A tenant is over its share by its arrivals and its requests in flight together; neither
// alone restricts it.
func TestStandingExamples(t *testing.T) {
	const duration = 1500 * time.Millisecond
	for _, test := range []struct {
		name  string
		load  Load
		share float64
		state State
	}{
		{"idle", Load{}, 1, Under},
		{"usual rate", Load{InFlight: 6, ArrivalsPerSecond: 4}, 8, Under},
		{"seven times the usual rate", Load{InFlight: 20, ArrivalsPerSecond: 28}, 8, Over},
		{"held at the share by refusals", Load{InFlight: 8, ArrivalsPerSecond: 28}, 8, Over},
		{"after the burst", Load{InFlight: 20, ArrivalsPerSecond: 4}, 8, At},
		{"at the start of the burst", Load{InFlight: 3, ArrivalsPerSecond: 28}, 8, At},
		{"many short requests in few slots", Load{InFlight: 2, ArrivalsPerSecond: 28}, 8, At},
		{"two requests of a small tenant at once", Load{InFlight: 2, ArrivalsPerSecond: 4}, 1, At},
		{"the only request of a small tenant", Load{ArrivalsPerSecond: 2}, 0.4, Under},
		{"another request of a small tenant", Load{InFlight: 1, ArrivalsPerSecond: 2}, 0.4, At},
		{"no share", Load{InFlight: 3, ArrivalsPerSecond: 10}, 0, Over},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(standingOf(test.load, test.share, duration, false).State, test.state)
		})
	}
}

// The fraction of requests that the share has room for makes up for requests in flight above
// and below the share.
func TestWithinShare(t *testing.T) {
	const share, arrivals, duration = 10, 50, 2 * time.Second
	for _, test := range []struct{ inFlight, within float64 }{
		{6, 0.14}, // half of the requests end within a second, and the share has room for 7 of 50
		{10, 0.1},
		{16, 0.04},
		{20, 0},
		{50, 0},
	} {
		standing := standingOf(Load{InFlight: test.inFlight, ArrivalsPerSecond: arrivals}, share, duration, false)
		is.New(t).Equal(standing.Within, test.within)
	}
}

// A tenant over its share returns only when its arrivals clearly fit, or it uses little.
func TestHysteresis(t *testing.T) {
	const share, duration = 10, time.Second
	for _, test := range []struct {
		load    Load
		wasOver bool
		over    bool
	}{
		{Load{InFlight: 8, ArrivalsPerSecond: 16}, false, false},
		{Load{InFlight: 8, ArrivalsPerSecond: 16}, true, true},
		{Load{InFlight: 8, ArrivalsPerSecond: 12}, true, false},
		{Load{InFlight: 3, ArrivalsPerSecond: 60}, false, false},
		{Load{InFlight: 3, ArrivalsPerSecond: 60}, true, true},
		{Load{InFlight: 1, ArrivalsPerSecond: 60}, true, false},
	} {
		is.New(t).Equal(standingOf(test.load, share, duration, test.wasOver).State == Over, test.over)
	}
}

// Only a tenant whose arrivals would occupy more than its share is restricted, and not all of
// its requests are refused while it uses less than its share.
func TestStandingProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := Load{
			InFlight:          float64(rapid.IntRange(0, 500).Draw(t, "in flight")),
			ArrivalsPerSecond: rapid.Float64Range(0, 500).Draw(t, "arrivals"),
		}
		share := rapid.Float64Range(0, 100).Draw(t, "share")
		duration := time.Duration(rapid.IntRange(int(minDuration), int(maxDuration)).Draw(t, "duration"))
		standing := standingOf(load, share, duration, rapid.Bool().Draw(t, "was over"))
		if standing.Within < 0 || standing.Within > 1 || standing.State != Over && standing.Within != 1 {
			t.Fatalf("the share has room for %v of the requests", standing.Within)
		}
		if standing.State == Over && load.wanted(duration) <= share {
			t.Fatal("over the share with arrivals that fit into it")
		}
		if standing.State == Under && load.InFlight+1 > max(1, share) {
			t.Fatal("under the share without room for another request")
		}
		if standing.State == Over && standing.Within == 0 && load.InFlight < share {
			t.Fatal("all requests are refused while the share is not used")
		}
	})
}
