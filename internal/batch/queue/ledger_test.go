package queue

import (
	"testing"

	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// ledgerModel simulates shards whose leaders change, a limit keeper that is replaced,
// and reports that are delayed, lost or reordered.
type ledgerModel struct {
	limit    uint64
	ledger   *Ledger
	waiting  []uint64 // tokens of accepted, unfinished items, by shard
	reserved []uint64 // admitted by the shard's leader, not yet accepted
	epochs   []uint64
	numbers  []uint64
	delayed  []sentReport
	// maxApproved is the highest sum of waiting tokens at which the keeper approved a
	// submission.
	maxApproved uint64
}

type sentReport struct {
	shard         uint32
	epoch, number uint64
	tokens        uint64
}

var ledgerRoute = TokenAccount{Tenant: "tenant", Route: "route"}

func (m *ledgerModel) report(shard int) sentReport {
	m.numbers[shard]++
	return sentReport{uint32(shard), m.epochs[shard], m.numbers[shard], m.waiting[shard] + m.reserved[shard]}
}

func (m *ledgerModel) deliver(r sentReport) bool {
	return m.ledger.Report(r.shard, r.epoch, r.number, map[TokenAccount]uint64{ledgerRoute: r.tokens})
}

func (m *ledgerModel) total() uint64 {
	sum := uint64(0)
	for _, tokens := range m.waiting {
		sum += tokens
	}
	return sum
}

const ledgerOverrun = 0.4

// submit submits a job to a shard's leader. The leader accepts it within the local
// allowance; otherwise it reserves the tokens, asks the keeper, and accepts the job or
// releases the tokens.
func (m *ledgerModel) submit(shard int, tokens uint64) {
	if m.waiting[shard]+m.reserved[shard]+tokens <= LocalAllowance(m.limit, ledgerOverrun, len(m.waiting)) {
		m.waiting[shard] += tokens
		return
	}
	m.reserved[shard] += tokens
	sent := m.report(shard)
	if !m.deliver(sent) {
		m.reserved[shard] -= tokens
		return
	}
	if m.ledger.AllReported() && m.ledger.Waiting(ledgerRoute) <= m.limit {
		m.reserved[shard] -= tokens
		m.waiting[shard] += tokens
		m.maxApproved = max(m.maxApproved, m.ledger.Waiting(ledgerRoute))
		return
	}
	m.ledger.Release(sent.shard, sent.epoch, sent.number, ledgerRoute, tokens)
	m.reserved[shard] -= tokens
}

// The limit of waiting tokens holds over all shards across changes of leaders and of
// the keeper, and with delayed, lost and reordered reports.
func TestLimitHoldsOverAllShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 5).Draw(t, "shards")
		m := &ledgerModel{
			limit: 100, ledger: NewLedger(shards), waiting: make([]uint64, shards), reserved: make([]uint64, shards),
			epochs: make([]uint64, shards), numbers: make([]uint64, shards),
		}
		anyShard := rapid.IntRange(0, shards-1)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				m.submit(anyShard.Draw(t, "shard"), uint64(rapid.IntRange(1, 60).Draw(t, "tokens")))
			},
			"finish": func(t *rapid.T) {
				shard := anyShard.Draw(t, "shard")
				m.waiting[shard] -= min(m.waiting[shard], uint64(rapid.IntRange(1, 40).Draw(t, "tokens")))
			},
			"report": func(t *rapid.T) { m.deliver(m.report(anyShard.Draw(t, "shard"))) },
			"report late": func(t *rapid.T) {
				m.delayed = append(m.delayed, m.report(anyShard.Draw(t, "shard")))
			},
			"late one comes": func(t *rapid.T) {
				if len(m.delayed) == 0 {
					return
				}
				index := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
				m.deliver(m.delayed[index])
			},
			"a submission overtakes a report": func(t *rapid.T) {
				shard := anyShard.Draw(t, "shard")
				overtaken := m.report(shard)
				if rapid.Bool().Draw(t, "of the leader before") {
					m.epochs[shard]++
					m.numbers[shard] = 0
				}
				m.submit(shard, uint64(rapid.IntRange(30, 60).Draw(t, "tokens")))
				m.deliver(overtaken)
			},
			"another leads": func(t *rapid.T) {
				shard := anyShard.Draw(t, "shard")
				m.epochs[shard]++
				m.numbers[shard] = 0
			},
			"another keeps": func(*rapid.T) {
				m.ledger = NewLedger(shards)
				m.delayed = nil // sent to the previous keeper
			},
			"": func(t *rapid.T) {
				if total, most := m.total(), uint64((1+ledgerOverrun)*float64(m.limit)); total > most {
					t.Fatalf("%d tokens wait, %d may", total, most)
				}
				if m.maxApproved > m.limit {
					t.Fatalf("the keeper approved up to %d tokens, %d may wait", m.maxApproved, m.limit)
				}
			},
		})
	})
}

// The local allowances of all shards together stay within the permitted overrun, even
// without any report to the keeper.
func TestLocalAllowancesStayWithinOverrun(t *testing.T) {
	for _, shards := range []int{2, 5, 24} {
		m := &ledgerModel{
			limit: 1000, ledger: NewLedger(shards), waiting: make([]uint64, shards), reserved: make([]uint64, shards),
			epochs: make([]uint64, shards), numbers: make([]uint64, shards),
		}
		for shard := range shards {
			m.deliver(m.report(shard))
		}
		for range 2 * m.limit { // the first shard uses the whole limit
			m.submit(0, 1)
		}
		m.ledger = NewLedger(shards + 1) // never complete, so the keeper approves nothing
		for shard := 1; shard < shards; shard++ {
			for range m.limit {
				m.submit(shard, 1)
			}
		}
		total := m.total()
		if total <= m.limit {
			t.Fatalf("%d shards: nothing was accepted within the local allowances", shards)
		}
		if most := uint64((1 + ledgerOverrun) * float64(m.limit)); total > most {
			t.Fatalf("%d shards: %d tokens wait, %d may", shards, total, most)
		}
	}
}
