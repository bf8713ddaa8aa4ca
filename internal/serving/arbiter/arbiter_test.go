package arbiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

func testPolicy(slots, reserve int, weight float64) RunnerPolicy {
	return RunnerPolicy{Slots: slots, ReserveSlots: reserve, FirstToken: time.Second, InterToken: 36 * time.Millisecond, TailWeight: weight}
}

// arbiterModel drives an arbiter with random events and checks its invariants.
type arbiterModel struct {
	arbiter *Arbiter
	policy  RunnerPolicy
	now     time.Time
	batch   map[BatchStream]bool
}

func (m *arbiterModel) Init(t *rapid.T) {
	slots := rapid.IntRange(1, 6).Draw(t, "slots")
	m.policy = testPolicy(slots, rapid.IntRange(0, slots/2).Draw(t, "reserve"), rapid.Float64Range(0, 1).Draw(t, "weight"))
	m.now = time.Unix(0, 0)
	m.arbiter = New(m.policy, m.now)
	m.batch = map[BatchStream]bool{}
}

func (m *arbiterModel) remove(t *rapid.T, preempted []BatchStream) {
	for _, stream := range preempted {
		if !m.batch[stream] {
			t.Fatalf("preempted stream %d is not running", stream)
		}
		for other := range m.batch {
			if other > stream && !contains(preempted, other) {
				t.Fatalf("stream %d preempted before younger %d", stream, other)
			}
		}
	}
	for _, stream := range preempted {
		delete(m.batch, stream)
	}
}

func contains(list []BatchStream, wanted BatchStream) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// AdmitOnline checks that an online request is admitted whenever online work alone leaves a
// free slot.
func (m *arbiterModel) AdmitOnline(t *rapid.T) {
	room := m.arbiter.Online() < m.policy.Slots
	admitted, preempted := m.arbiter.AdmitOnline()
	if room && !admitted {
		t.Fatalf("refused online with %d online, %d batch of %d slots", m.arbiter.Online(), m.arbiter.Batch(), m.policy.Slots)
	}
	m.remove(t, preempted)
}

func (m *arbiterModel) OnlineDone(*rapid.T) { m.arbiter.OnlineDone() }

func (m *arbiterModel) StartBatch(*rapid.T) {
	if stream, ok := m.arbiter.StartBatch(); ok {
		m.batch[stream] = true
	}
}

func (m *arbiterModel) BatchDone(t *rapid.T) {
	for stream := range m.batch {
		m.arbiter.BatchDone(stream)
		delete(m.batch, stream)
		return
	}
}

func (m *arbiterModel) Measure(t *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(t, "tokens") {
		m.arbiter.InterToken(time.Duration(rapid.IntRange(1, 90).Draw(t, "gap")) * time.Millisecond)
	}
}

func (m *arbiterModel) Tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(50, 400).Draw(t, "ms")) * time.Millisecond)
	m.remove(t, m.arbiter.Tick(m.now))
}

func (m *arbiterModel) Check(t *rapid.T) {
	if m.arbiter.Batch() != len(m.batch) {
		t.Fatalf("arbiter counts %d batch streams, %d run", m.arbiter.Batch(), len(m.batch))
	}
	if m.arbiter.Batch() > 0 && m.arbiter.Online()+m.arbiter.Batch() > m.policy.Slots {
		t.Fatalf("%d online and %d batch on %d slots", m.arbiter.Online(), m.arbiter.Batch(), m.policy.Slots)
	}
}

func TestOnlineNeverWaitsForBatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &arbiterModel{}
		m.Init(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func fillBatch(a *Arbiter) int {
	started := 0
	for range 1000 {
		if _, ok := a.StartBatch(); !ok {
			return started
		}
		started++
	}
	return started
}

func TestIdleRunnerIsFilledWithBatch(t *testing.T) {
	is := is.New(t)
	a := New(testPolicy(16, 1, 0.9), time.Unix(0, 0))
	is.Equal(fillBatch(a), 15)
}

func TestLateTokensShrinkBatchByTailWeight(t *testing.T) {
	is := is.New(t)
	limitAfterLateness := func(weight float64) int {
		now := time.Unix(0, 0)
		a := New(testPolicy(32, 0, weight), now)
		fillBatch(a)
		a.AdmitOnline()
		for range 3 {
			for range 20 {
				a.InterToken(80 * time.Millisecond)
			}
			now = now.Add(controlInterval)
			a.Tick(now)
		}
		return a.BatchLimit()
	}
	highWeight, lowWeight := limitAfterLateness(0.9), limitAfterLateness(0.1)
	is.True(highWeight < lowWeight) // a higher tail weight allows less batch
	is.True(highWeight <= 4)
	is.True(lowWeight < 32)
}

func TestLimitRecoversWhenTokensAreOnTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	a := New(testPolicy(16, 1, 0.5), now)
	a.AdmitOnline()
	a.batchLimit = 0
	for range 100 {
		for range 20 {
			a.InterToken(5 * time.Millisecond)
		}
		now = now.Add(controlInterval)
		a.Tick(now)
	}
	is.Equal(a.BatchLimit(), 15)
}

func BenchmarkAdmitOnlineWithPreemption(b *testing.B) {
	a := New(testPolicy(64, 1, 0.5), time.Unix(0, 0))
	b.ReportAllocs()
	for b.Loop() {
		a.StartBatch()
		a.AdmitOnline()
		a.OnlineDone()
		a.Tick(time.Unix(0, 0))
	}
}
