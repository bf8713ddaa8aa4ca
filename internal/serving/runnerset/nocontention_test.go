package runnerset

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cobaltramp.example/cobaltramp/internal/serving/enginemodel"
	"cobaltramp.example/cobaltramp/internal/serving/exchange"
)

// plainSet applies events to a set and, for comparison, to a latency model and slownesses
// that know no contention.
type plainSet struct {
	*Set
	model    *enginemodel.EngineModel
	slowness map[*Runner]float64
	requests []*plainRequest
	now      time.Time
	// contention is what the runners report: 0 (not reported) or 1 (as usual).
	contention float64
}

type plainRequest struct {
	*InFlight
	expected time.Duration
	started  bool
}

// expected returns the expected time to the first event, without contention and slowness.
func (s *plainSet) expected(current load, slots float64, uncached int) time.Duration {
	expected := s.model.ExpectedFirstEvent(enginemodel.EngineLoad{Tokens: current.unread + float64(uncached), Running: current.running})
	preempted, ahead := slotsToFree(current, slots)
	return expected + time.Duration(preempted*float64(preemptionTime)) + s.model.ExpectedWait(ahead)
}

func (s *plainSet) begin(runner *Runner, prompt Prompt, batch bool) {
	request := &plainRequest{expected: s.expected(runner.estimate(s.now), runner.slots(), runner.prefixes.uncached(prompt))}
	request.InFlight = s.Begin(runner, prompt, batch, s.now)
	s.requests = append(s.requests, request)
}

func (s *plainSet) addSlowness(request *plainRequest, sample float64) {
	current := s.slowness[request.runner]
	if current == 0 {
		current = 1
	}
	s.slowness[request.runner] = current + slownessWeight*(min(max(sample, minSlowness), maxSlowness)-current)
}

func (s *plainSet) firstEvent(request *plainRequest) {
	took := s.now.Sub(request.sent)
	switch {
	case !request.queued:
		s.model.ObserveFirstEvent(request.load, took)
	case request.ahead > 0:
		s.model.ObserveWait(request.ahead, took-s.model.ExpectedFirstEvent(request.load))
	}
	s.addSlowness(request, float64(took)/float64(request.expected))
	request.started = true
	request.RecordFirstEvent(s.now)
}

func (s *plainSet) delay(request *plainRequest) {
	if sample := float64(s.now.Sub(request.sent)) / float64(request.expected); sample > s.slowness[request.runner] {
		s.addSlowness(request, sample)
	}
	request.RecordDelay(s.now)
}

// step applies a drawn event.
func (s *plainSet) step(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	runner := rapid.SampledFrom(s.Service("s")).Draw(t, "runner")
	kind := rapid.IntRange(0, 4).Draw(t, "event")
	switch {
	case kind == 0:
		running := rapid.IntRange(0, 9).Draw(t, "running")
		runner.RecordLoad(&exchange.Load{Running: running, Contention: s.contention}, s.now)
	case kind == 1:
		running := rapid.IntRange(0, 6).Draw(t, "peer's")
		batch, unread := rapid.IntRange(0, running).Draw(t, "items"), rapid.IntRange(0, 3000).Draw(t, "unread")
		s.RecordPeerReport("p", runner.ID, PeerReport{
			NodeLoad:   NodeLoad{Running: running, Batch: batch, Unread: unread},
			Contention: ContentionReport{Value: s.contention, Age: 5 * time.Millisecond},
		}, s.now)
	case kind == 2 || len(s.requests) == 0:
		s.begin(runner, Prompt{Tokens: rapid.IntRange(1, 5000).Draw(t, "tokens")}, rapid.Bool().Draw(t, "batch"))
	case kind == 3:
		request := rapid.SampledFrom(s.requests).Draw(t, "started")
		if !request.started {
			s.firstEvent(request)
		}
	default:
		request := rapid.SampledFrom(s.requests).Draw(t, "delayed")
		if !request.started {
			s.delay(request)
		}
	}
}

// A runner that does not report contention, or always reports the usual speed, has the
// same expected times and costs as in a set without any knowledge of contention.
func TestChoicesWithoutContentionAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &plainSet{
			Set: setOf(record("a", "z"), record("b", "z"), record("c", "y")), now: time.Now(),
			model: enginemodel.New(), slowness: map[*Runner]float64{}, contention: rapid.SampledFrom([]float64{0, 1}).Draw(t, "contention"),
		}
		criteria := Criteria{Service: "s", Zone: "z", Prompt: Prompt{Tokens: rapid.IntRange(1, 3000).Draw(t, "prompt")}}
		if rapid.Bool().Draw(t, "for a batch item") {
			criteria.Batch = &BatchLimits{MaxUnread: 5000, Home: func(r *Record) bool { return r.ID != "b" }}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step(t)
			typical := typicalSlowness(s.Service("s"))
			for _, runner := range s.Service("s") {
				want := runner.candidate(&criteria, s.now)
				expected := s.expected(want.load, want.slots, runner.prefixes.uncached(criteria.Prompt))
				want.expected = time.Duration(float64(expected) * max(1, relativeSlowness(s.slowness[runner], typical)))
				got, allowed := runner.evaluate(&criteria, s.now, typical)
				if allowed != (criteria.Batch == nil || criteria.Batch.allow(&want)) {
					t.Fatalf("runner %s is allowed: %v", runner.ID, allowed)
				}
				if extra := got.Cost - want.cost(0); allowed && (got.FirstEvent != want.expected || extra < 0 || extra > maxJitter) {
					t.Fatalf("runner %s: first event %v, want %v; cost %v, want %v", runner.ID, got.FirstEvent, want.expected, got.Cost, want.cost(0))
				}
			}
		}
	})
}
