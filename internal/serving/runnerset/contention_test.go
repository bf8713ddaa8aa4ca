package runnerset

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// report records a load with this contention as the runner's own report.
func report(r *Runner, contention float64, now time.Time) {
	r.RecordLoad(&exchange.Load{Contention: contention}, now)
}

func near(got, want, tolerance float64) bool { return math.Abs(got-want) <= tolerance }

// A contended runner is expected to be slower and loses against an equal runner. Once the
// report has expired, only its share in the average counts.
func TestContendedRunnerIsAvoided(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"), record("b", "z"))
	criteria := Criteria{Service: "s", Zone: "z", Prompt: Prompt{Tokens: 1000}}
	usual := s.Pick(&criteria, now).FirstEvent
	report(s.byID["a"], 2.5, now)
	report(s.byID["b"], 1, now)
	for range 20 {
		is.Equal(pick(s, criteria, now), "b")
	}
	criteria.Excluded = map[string]bool{"b": true}
	contended := s.Pick(&criteria, now)
	is.True(near(float64(contended.FirstEvent), 2.5*float64(usual), 1e3)) // refusals depend on it
	is.Equal(contended.Sources.Contention, 2.5)
	later := s.Pick(&criteria, now.Add(contentionLifetime))
	is.True(near(float64(later.FirstEvent), (1+1.5*maxContentionWeight)*float64(usual), 1e3))
	is.Equal(later.Sources.ContentionAge, contentionLifetime)
	is.Equal(s.Pick(&criteria, now.Add(2*contentionAverageLifetime)).FirstEvent, usual)
}

// Batch items use a contended runner only if no other runner may get them, even if the
// others are not home runners.
func TestBatchItemsAvoidContendedRunners(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("home", "z"), record("other", "z"))
	home := func(r *Record) bool { return r.ID == "home" }
	criteria := Criteria{Zone: "z", Batch: &BatchLimits{MaxUnread: 1000, Home: home}}
	is.Equal(pick(s, criteria, now), "home")
	report(s.byID["home"], contendedThreshold, now)
	is.Equal(pick(s, criteria, now), "other")
	report(s.byID["home"], 1.2, now.Add(time.Millisecond))
	is.Equal(pick(s, criteria, now.Add(time.Millisecond)), "home")
	report(s.byID["home"], 4, now.Add(2*time.Millisecond))
	criteria.Excluded = map[string]bool{"other": true}
	is.Equal(pick(s, criteria, now.Add(2*time.Millisecond)), "home") // there is no other runner
}

// The weight of a report falls linearly to zero, and a clock difference in a peer's report
// never makes it newer than its arrival.
func TestContentionEstimateFades(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	state := contentionState{average: 1.2, newest: contentionSample{value: 2.2, at: now}}
	is.Equal(state.estimate(now.Add(-time.Second)).value, 2.2)
	is.True(near(state.estimate(now).value, 2.2, 1e-9))
	is.True(near(state.estimate(now.Add(contentionLifetime/2)).value, 1.7, 1e-9))
	is.True(near(state.estimate(now.Add(contentionLifetime)).value, 1.2, 1e-9))
	is.Equal(state.estimate(now.Add(contentionAverageLifetime+1)), contentionEstimate{value: 1})
	is.Equal((&contentionState{}).estimate(now), contentionEstimate{value: 1})

	s := setOf(record("a", "z"))
	s.RecordPeerReport("p", "a", PeerReport{Contention: ContentionReport{Value: 2, Age: -time.Hour}}, now)
	is.Equal(s.byID["a"].contention.newest.at, now)
	estimate, reported := s.byID["a"].Contention(now)
	is.Equal(estimate, 2.0)
	is.True(reported)
}

// The contention during a request is that of the more recent reports, and only the part of
// the expected time that is work grows with it.
func TestContentionDuringRequest(t *testing.T) {
	is := is.New(t)
	average, fresh := contentionEstimate{value: 1.2}, contentionEstimate{value: 2.5, weight: 1}
	is.Equal(contentionDuring(average, fresh), 2.5)
	is.Equal(contentionDuring(fresh, average), 2.5)
	is.Equal(contentionDuring(average, average), 1.2)
	is.Equal(contentionDuring(fresh, contentionEstimate{value: 1, weight: 1}), 1.75)
	expected := firstEventTime{work: 100 * time.Millisecond, preemption: preemptionTime}
	is.Equal(expected.at(2), 200*time.Millisecond+preemptionTime)
}

// The average is over time: many reports during a short contention, and the same report
// from many peers, count no more than few do.
func TestContentionAverageIsOverTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for _, reportsWhileContended := range []int{1, 50} {
		is := is.New(t)
		now := time.Now()
		state := contentionState{}
		const periods = 400
		sum, count := 0.0, 0
		for period := range periods {
			value, reports := 1.0, 1
			if random.IntN(5) == 0 {
				value, reports = 2.5, reportsWhileContended
			}
			for i := range reports {
				state.record(value, now.Add(time.Duration(i)*200*time.Microsecond))
			}
			now = now.Add(200 * time.Millisecond)
			if period > periods/2 {
				sum, count = sum+state.average, count+1
			}
		}
		is.True(near(sum/float64(count), 1.3, 0.12))
	}
}

// The newer of this node's and a peer's report counts. A peer's report is not passed on:
// it would lose the transfer time from its age at each node and never expire.
func TestNewestContentionReportCounts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := setOf(record("a", "z"))
	a := s.byID["a"]
	fromPeer := func(value float64, age time.Duration) {
		s.RecordPeerReport("p", "a", PeerReport{Contention: ContentionReport{Value: value, Age: age}}, now)
	}
	fromPeer(3, 50*time.Millisecond)
	is.Equal(a.OwnContention(now), ContentionReport{})
	report(a, 2, now.Add(-20*time.Millisecond))
	is.Equal(a.contention.newest.value, 2.0)
	fromPeer(4, 30*time.Millisecond) // older than the own report
	is.Equal(a.contention.newest.value, 2.0)
	fromPeer(1000, 10*time.Millisecond)
	is.Equal(a.contention.newest.value, maxContention)
	is.Equal(a.OwnContention(now), ContentionReport{Value: 2, Age: 20 * time.Millisecond})
	is.Equal(a.OwnContention(now.Add(contentionLifetime)), ContentionReport{})
	is.Equal(len(a.peers), 0) // a report of contention is no load
}

// A runner that is often contended, and one of the same speed that never is, get the same
// slowness.
func TestContentionIsNotLearntAsSlowness(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Now()
	s := setOf(record("contended", "z"), record("calm", "z"), record("slow", "z"))
	const usual = 50 * time.Millisecond
	prompt := Prompt{Tokens: 100}
	contention := 1.0
	sums, rounds := map[string]float64{}, 0
	for i := range 1200 {
		if i%6 == 0 {
			contention = 1 + 1.5*float64(random.IntN(2))
		}
		for _, runner := range s.Service("s") {
			applied, speed := 1.0, 1.0
			switch runner.ID {
			case "contended":
				applied = contention
			case "slow":
				speed = 2
			}
			inFlight := s.Begin(runner, prompt, true, now)
			arrived := now.Add(time.Duration(float64(usual) * applied * speed))
			report(runner, applied, arrived)
			inFlight.RecordFirstEvent(arrived)
			inFlight.End()
			if i > 400 {
				sums[runner.ID] += runner.slowness
			}
		}
		if i > 400 {
			rounds++
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Logf("mean slowness %v over %d rounds", sums, rounds)
	is.True(near(sums["contended"]/sums["calm"], 1, 0.1))
	is.True(near(sums["slow"]/sums["calm"], 2, 0.2))
	average := s.byID["contended"].contention.average
	is.True(average > 1.4 && average < 2.1) // contended half of the time
}

// The latency model learns the times without contention: the time to the first event from
// the contention at that time, and the hold time from the average.
func TestModelLearnsTimesWithoutContention(t *testing.T) {
	is := is.New(t)
	const usual, hold = 50 * time.Millisecond, time.Second
	s := setOf(record("a", "z"))
	a, prompt := s.byID["a"], Prompt{Tokens: 100}
	for range 500 {
		a.contention = contentionState{average: 2, newest: contentionSample{value: 3, at: time.Now()}}
		inFlight := s.Begin(a, prompt, false, a.contention.newest.at)
		inFlight.RecordFirstEvent(inFlight.sent.Add(3 * usual))
		inFlight.firstEvent = time.Now().Add(-2 * hold)
		inFlight.End()
	}
	is.True(near(float64(a.model.ExpectedFirstEvent(enginemodel.EngineLoad{Tokens: 100})), float64(usual), float64(usual)/2))
	is.True(near(float64(a.model.ExpectedWait(1)), float64(hold+usual), float64(hold)/10))
}
