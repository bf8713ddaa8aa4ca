package zoneload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/serving/runnerset"
)

var testLatency = runnerset.Latency{
	Idle: 40 * time.Millisecond, PerRequest: 2 * time.Millisecond, SlotWait: time.Second,
	Preemption: 15 * time.Millisecond, Crossing: 27 * time.Millisecond,
}

var testModel = Model{Latency: testLatency, Hold: time.Second}

// zoneOf returns a zone of 12 runners with 96 slots in a steady state: with a hold of one
// second, there are as many requests as arrivals a second.
func zoneOf(name string, arrivals float64) ZoneLoad {
	return ZoneLoad{Zone: name, Runners: 12, Slots: 96, Running: arrivals, Arrivals: arrivals, Contention: 1}
}

func sumOf(shares []Share) float64 {
	sum := 0.0
	for _, share := range shares {
		sum += share.Probability
	}
	return sum
}

func drawZoneLoads(t *rapid.T) []ZoneLoad {
	zones := make([]ZoneLoad, rapid.IntRange(1, 6).Draw(t, "zones"))
	for i := range zones {
		runners := rapid.IntRange(0, 30).Draw(t, "runners")
		slots := runners * rapid.IntRange(1, 8).Draw(t, "slots")
		running := rapid.Float64Range(0, 2).Draw(t, "utilization") * float64(slots)
		zones[i] = ZoneLoad{
			Zone: fmt.Sprintf("z%d", i), Runners: float64(runners), Slots: float64(slots),
			Running: running, Batch: running * rapid.Float64Range(0, 1).Draw(t, "batch"),
			Arrivals:   rapid.Float64Range(0, 3).Draw(t, "arrivals") * float64(slots),
			Contention: rapid.SampledFrom([]float64{0, 1, 1, 2.5}).Draw(t, "contention"),
		}
	}
	return zones
}

func drawModel(t *rapid.T) Model {
	milliseconds := func(low, high int, name string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	return Model{Hold: milliseconds(0, 5000, "hold"), Latency: runnerset.Latency{
		Idle: milliseconds(0, 200, "idle"), PerRequest: milliseconds(0, 20, "perRequest"), SlotWait: milliseconds(0, 5000, "slotWait"),
		Preemption: milliseconds(0, 15, "preemption"), Crossing: milliseconds(0, 50, "crossing"),
	}}
}

// Whatever the loads are: probabilities are valid, no zone sends to itself or more than its
// excess, and all zones together send to a zone at most as many requests as it has free
// slots within the horizon.
func TestPlansOfAllZonesRespectRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, model := drawZoneLoads(t), drawModel(t)
		forecasts := forecastAll(zones, model)
		received := map[string]float64{}
		for i, zone := range zones {
			shares := Plan(zones, model, zone.Zone)
			if sum := sumOf(shares); sum < 0 || sum > 1+1e-9 || sum*zone.Arrivals > forecasts[i].excess*(1+1e-9) {
				t.Fatalf("zone %s sends %v of %v arrivals, excess %v", zone.Zone, sum, zone.Arrivals, forecasts[i].excess)
			}
			for _, share := range shares {
				if share.Zone == zone.Zone || math.IsNaN(share.Probability) || share.Probability < 0 {
					t.Fatalf("zone %s: invalid share %v", zone.Zone, share)
				}
				received[share.Zone] += share.Probability * zone.Arrivals
			}
		}
		for i, zone := range zones {
			free := max(0, zone.Slots-(zone.Running-zone.Batch))
			if received[zone.Zone] > forecasts[i].room*(1+1e-9) || received[zone.Zone]*planHorizon.Seconds() > free*(1+1e-9) {
				t.Fatalf("zone %s receives %v a second, room %v, free slots %v", zone.Zone, received[zone.Zone], forecasts[i].room, free)
			}
		}
	})
}

// A zone sends requests only to zones in which they are served sooner by more than the cost
// of crossing, also after the inflow; zones that receive some but could receive more are at
// a common level.
func TestFlowsGainMoreThanTheCostOfCrossing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, model := drawZoneLoads(t), drawModel(t)
		forecasts := forecastAll(zones, model)
		level := findLevel(forecasts)
		const tolerance = 1e-6 // seconds
		sum := 0.0
		for _, inflow := range level.inflows {
			sum += inflow
		}
		if math.Abs(sum-level.total) > tolerance*(1+level.total) || sum > offered(forecasts, level.low)*(1+tolerance) {
			t.Fatalf("inflows %v, total %v, offered %v", level.inflows, level.total, offered(forecasts, level.low))
		}
		for i := range forecasts {
			if level.inflows[i] == 0 {
				continue
			}
			reached := forecasts[i].expectedTime(level.inflows[i])
			if reached > level.high+tolerance {
				t.Fatalf("zone %d is at %v s, above the level %v", i, reached, level.high)
			}
			for j := range forecasts {
				sent := level.outflow(&forecasts[j])
				if sent > 0 && forecasts[j].expected-model.Crossing.Seconds() < reached-tolerance {
					t.Fatalf("zone %d at %v s sends to zone %d at %v s", j, forecasts[j].expected, i, reached)
				}
			}
			if forecasts[i].expectedTime(min(forecasts[i].room, level.inflows[i]*1.01+0.01)) > level.low+tolerance {
				continue
			}
			if level.total < offered(forecasts, level.low)*(1-1e-6) && level.inflows[i] < forecasts[i].room*(1-1e-6) {
				t.Fatalf("zone %d receives %v of %v although load is left and it is below the level", i, level.inflows[i], forecasts[i].room)
			}
		}
	})
}

// The order of the rows has no effect, so that senders may list zones differently.
func TestPlanIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones, model := drawZoneLoads(t), drawModel(t)
		shuffled := rapid.Permutation(zones).Draw(t, "shuffled")
		first, second := Plan(zones, model, "z0"), Plan(shuffled, model, "z0")
		for _, zone := range zones {
			if math.Abs(probabilityIn(first, zone.Zone)-probabilityIn(second, zone.Zone)) > 1e-6 {
				t.Fatalf("%v and %v", first, second)
			}
		}
	})
}

// Zones with equal load keep their requests, at any load: one with a peak has no room.
func TestEqualZonesKeepTheirRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := zoneOf("", rapid.Float64Range(0, 300).Draw(t, "arrivals"))
		load.Running = rapid.Float64Range(0, 200).Draw(t, "running")
		var zones []ZoneLoad
		for _, name := range []string{"a", "b", "c", "d"} {
			load.Zone = name
			zones = append(zones, load)
		}
		if shares := Plan(zones, drawModel(t), "a"); len(shares) > 0 {
			t.Fatalf("shares %v", shares)
		}
	})
}

// A zone with a quarter more load than its slots serve sends the excess to the other zones,
// in proportion to their room, as long as these have room.
func TestZoneWithMoreLoadSendsItsExcess(t *testing.T) {
	is := is.New(t)
	busy := zoneOf("a", 110)
	busy.Running = 97
	zones := []ZoneLoad{busy, zoneOf("b", 80), zoneOf("c", 88), zoneOf("d", 96)}
	shares := Plan(zones, testModel, "a")
	sent := sumOf(shares) * 110
	is.True(sent > 8 && sent < 18) // 14 arrivals a second more than slots come free, and 1 request waits
	is.True(probabilityIn(shares, "b") > probabilityIn(shares, "c"))
	is.Equal(probabilityIn(shares, "d"), 0.0) // its slots are used by its own requests
	is.Equal(len(Plan(zones, testModel, "b")), 0)

	waiting := busy
	waiting.Arrivals, waiting.Running = 96, 120 // slots come free for 96, so that 24 go on waiting
	is.Equal(math.Round(forecastAll([]ZoneLoad{waiting}, testModel)[0].excess), 24/planHorizon.Seconds())

	zones[0] = zoneOf("a", 80) // the load ends
	is.Equal(len(Plan(zones, testModel, "a")), 0)
}

// Half of the runners of a zone are lost: it sends what exceeds the other half.
func TestZoneThatLostHalfOfItsRunners(t *testing.T) {
	is := is.New(t)
	halved := ZoneLoad{Zone: "a", Runners: 6, Slots: 48, Running: 48, Arrivals: 70, Contention: 1}
	zones := []ZoneLoad{halved, zoneOf("b", 70), zoneOf("c", 70), zoneOf("d", 70)}
	shares := Plan(zones, testModel, "a")
	is.True(math.Abs(sumOf(shares)*70-22) < 1)
	is.True(math.Abs(probabilityIn(shares, "b")-probabilityIn(shares, "c")) < 1e-6)

	zones[0].Contention = 2 // its remaining runners are slow, too
	is.True(sumOf(Plan(zones, testModel, "a")) > sumOf(shares))
	zones[1].Contention = 2 // b is as slow as a
	shares = Plan(zones, testModel, "a")
	is.True(probabilityIn(shares, "b") < probabilityIn(shares, "c"))
}

// The slots of batch items count as free, but empty slots are used first.
func TestSlotsOfItemsAreRoom(t *testing.T) {
	is := is.New(t)
	withItems := zoneOf("b", 60)
	withItems.Running, withItems.Batch = 96, 36
	busy := zoneOf("a", 110)
	shares := Plan([]ZoneLoad{busy, withItems}, testModel, "a")
	is.True(probabilityIn(shares, "b") > 0)
	model := testModel
	model.PerRequest = 0
	shares = Plan([]ZoneLoad{busy, withItems, zoneOf("c", 60)}, model, "a")
	is.True(probabilityIn(shares, "c") > 0.9*sumOf(shares))
}

// Nothing is sent without a row of the own zone, with a single zone, or with invalid
// figures.
func TestNoPlanWithoutUsableRows(t *testing.T) {
	is := is.New(t)
	busy, free := zoneOf("a", 200), zoneOf("b", 10)
	is.True(len(Plan([]ZoneLoad{busy, free}, testModel, "a")) > 0)
	is.Equal(len(Plan([]ZoneLoad{busy, free}, testModel, "c")), 0)
	is.Equal(len(Plan([]ZoneLoad{busy}, testModel, "a")), 0)
	is.Equal(len(Plan(nil, testModel, "a")), 0)
	for _, figure := range []float64{math.NaN(), math.Inf(1), -1} {
		invalid := free
		invalid.Arrivals = figure
		is.Equal(len(Plan([]ZoneLoad{busy, invalid}, testModel, "a")), 0)
	}
}
