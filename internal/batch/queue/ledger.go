package queue

// localAllowanceShare is the share of a limit's permitted overrun that is divided equally
// among the shards as their local allowances.
const localAllowanceShare = 0.8

// LocalAllowance returns the number of waiting tokens of an account up to which a shard
// accepts jobs without asking the limit keeper, the node that keeps the ledger. With the
// allowance, a shard accepts small jobs even while the keeper is unresponsive or another
// shard has no leader. The limit is in tokens. The overrun is the share of the limit by
// which all shards together may exceed the limit; the sum of their allowances stays within
// it. The allowance is 0 if there are no shards.
func LocalAllowance(limit uint64, overrun float64, shards int) uint64 {
	if shards < 1 {
		return 0
	}
	return uint64(localAllowanceShare * overrun * float64(limit) / float64(shards))
}

// Ledger adds up the waiting tokens of all shards, to enforce limits that apply across
// shards. Waiting tokens are the tokens of unfinished items (ItemEntry.Tokens). Before a
// shard's leader accepts a submission beyond its local allowance, it reports its waiting
// tokens, including those of submissions in progress. An outdated report may still count
// finished items. The tokens that it leaves out are within the local allowance.
//
// Invariant: a shard's report is replaced only by a report of a newer epoch, or by a report
// of the same epoch with a higher number.
//
// A Ledger is not safe for concurrent use.
type Ledger struct {
	shards  int
	reports map[uint32]shardReport // last report by shard
}

// shardReport is a report of the leader of an epoch. The leader numbers its reports.
type shardReport struct {
	epoch, number uint64
	waiting       map[TokenAccount]uint64
}

// NewLedger returns a ledger for a number of shards, without any reports.
func NewLedger(shards int) *Ledger {
	return &Ledger{shards: shards, reports: map[uint32]shardReport{}}
}

// Report records the waiting tokens of a shard. It returns false if a leader of a newer
// epoch has already reported for the shard. It ignores a report of the same epoch whose
// number is not higher than the last, but returns true. The ledger keeps the map.
func (l *Ledger) Report(shard uint32, epoch, number uint64, waiting map[TokenAccount]uint64) bool {
	previous, found := l.reports[shard]
	if found && epoch < previous.epoch {
		return false
	}
	if !found || epoch > previous.epoch || number > previous.number {
		l.reports[shard] = shardReport{epoch, number, waiting}
	}
	return true
}

// AllReported reports whether every shard has reported. Until then Waiting returns
// only a partial sum.
func (l *Ledger) AllReported() bool { return len(l.reports) == l.shards }

// Waiting returns the sum of an account's waiting tokens over the shards that have
// reported.
func (l *Ledger) Waiting(account TokenAccount) uint64 {
	sum := uint64(0)
	for _, report := range l.reports {
		sum += report.waiting[account]
	}
	return sum
}

// Release subtracts the tokens of a rejected submission from the report that included
// them. It does nothing if that report has been replaced or counts fewer tokens.
func (l *Ledger) Release(shard uint32, epoch, number uint64, account TokenAccount, tokens uint64) {
	report := l.reports[shard]
	if report.epoch == epoch && report.number == number && report.waiting[account] >= tokens {
		report.waiting[account] -= tokens
	}
}
