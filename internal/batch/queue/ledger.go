package queue

// localAllowanceShare is the share of a limit's permitted overrun that is divided
// among the shards as their local allowances.
const localAllowanceShare = 0.8

// LocalAllowance returns how many tokens of an account each shard may hold waiting
// without asking the limit keeper, the node that enforces the limit over all shards.
// The overrun is the share by which the limit may be exceeded. The allowances of all
// shards together stay within it, so small jobs are accepted even while the keeper is
// unresponsive or another shard has no leader.
func LocalAllowance(limit uint64, overrun float64, shards int) uint64 {
	if shards < 1 {
		return 0
	}
	return uint64(localAllowanceShare * overrun * float64(limit) / float64(shards))
}

// Ledger adds up the waiting tokens of all shards to enforce limits that apply across
// shards. Before a shard leader admits a submission beyond its local allowance, it
// reports its waiting tokens, including the submissions in progress. An outdated
// report may therefore still count finished items, but it misses only tokens within
// the shard's local allowance.
//
// Invariant: a shard's report is replaced only by a report of a newer epoch, or by one
// of the same epoch with a higher number.
type Ledger struct {
	shards  int
	reports map[uint32]shardReport
}

type shardReport struct {
	epoch, number uint64
	waiting       map[TokenAccount]uint64
}

// NewLedger returns a ledger for a number of shards, without any reports.
func NewLedger(shards int) *Ledger {
	return &Ledger{shards: shards, reports: map[uint32]shardReport{}}
}

// Report records the waiting tokens of a shard. It returns false if a leader of a
// newer epoch has already reported for the shard.
func (l *Ledger) Report(shard uint32, epoch, number uint64, waiting map[TokenAccount]uint64) bool {
	previous, known := l.reports[shard]
	if known && epoch < previous.epoch {
		return false
	}
	if !known || epoch > previous.epoch || number > previous.number {
		l.reports[shard] = shardReport{epoch, number, waiting}
	}
	return true
}

// AllReported reports whether every shard has reported. Until then Waiting returns
// only a partial sum.
func (l *Ledger) AllReported() bool { return len(l.reports) == l.shards }

// Waiting returns the waiting tokens of an account over all reported shards.
func (l *Ledger) Waiting(account TokenAccount) uint64 {
	sum := uint64(0)
	for _, report := range l.reports {
		sum += report.waiting[account]
	}
	return sum
}

// Release subtracts the tokens of a rejected submission from the report that included
// them. It does nothing if the shard has sent another report since.
func (l *Ledger) Release(shard uint32, epoch, number uint64, account TokenAccount, tokens uint64) {
	report := l.reports[shard]
	if report.epoch == epoch && report.number == number && report.waiting[account] >= tokens {
		report.waiting[account] -= tokens
	}
}
