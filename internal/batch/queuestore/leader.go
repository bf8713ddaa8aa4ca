package queuestore

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/batch/queue"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/serving/allotment"
)

// leadership is what only a serving leader has: the table of unfinished items,
// the runs in progress, and those who wait for results. While this replica has
// lost its epoch and no other leads yet it is kept, suspended: a change of the
// member set then interrupts no run.
type leadership struct {
	epoch   uint64
	table   *queue.ItemTable
	context context.Context
	cancel  context.CancelFunc
	runs    map[queue.ItemKey]context.CancelFunc
	// saves is what runs have produced that is not proposed yet.
	saves queue.ProgressBatch
	// decided are results on their way through the log.
	decided map[queue.ItemKey]*wirev1.QueueResult
	changed map[string]chan struct{}
	// taken are the acceptance times of all jobs, for retention.
	taken map[string]int64
	// accepting are tokens of submissions on their way through the log.
	accepting map[queue.TokenAccount]uint64
	// acceptingBytes are their sizes.
	acceptingBytes int
	// ledger is what all shards have reported, on the leader of ledgerShard.
	ledger *queue.Ledger
	// allotments are the tenants' limits on requests that this leader lends.
	allotments *allotment.Keeper
	// reports counts those of this shard to the ledger; reportedSum and reportedAt
	// are of the last time.
	reports     uint64
	reportedSum uint64
	reportedAt  time.Time
	retained    time.Time
	preferred   time.Time // when the first member was last considered as leader
	// full holds until when no item is tried at a service that had no free slot.
	full map[string]time.Time
	// aloneSince is when contact to a quorum was lost.
	aloneSince time.Time
	// suspended is when the epoch was lost; zero while this replica serves.
	suspended time.Time
}

// suspendTime is how long runs go on without a leader.
const suspendTime = 1200 * time.Millisecond

// FollowLeadership implements shardhost.LeaderWork: it takes leadership up when this
// replica comes to serve, suspends it when it no longer leads, and drops it when
// another does.
func (s *shard) FollowLeadership() {
	if s.Replica.Role() != replica.Leader {
		s.suspendLeadership()
		return
	}
	if s.leader != nil && s.leader.epoch == s.Replica.Epoch() && s.leader.suspended.IsZero() {
		return
	}
	if !s.Replica.Serving() || s.AppliedIndex() < s.Replica.Commit() {
		return
	}
	if s.leader != nil {
		s.resumeLeadership()
		return
	}
	s.takeLeadership()
}

func (s *shard) suspendLeadership() {
	l := s.leader
	if l == nil {
		return
	}
	now := time.Now()
	if l.suspended.IsZero() {
		l.suspended = now
		klog.InfoS("queue leadership lost", "shard", s.ID, "epoch", l.epoch, "runs", len(l.runs))
	}
	other := s.Replica.Leader()
	if other != "" && other != s.Disk {
		s.DropLeadership("another leads")
	} else if now.Sub(l.suspended) > suspendTime {
		s.DropLeadership("no leader for too long")
	}
}

// resumeLeadership goes on after an interruption. The table has followed the
// log; only what was on its way to it has to be sent again.
func (s *shard) resumeLeadership() {
	l := s.leader
	l.epoch, l.suspended = s.Replica.Epoch(), time.Time{}
	l.ledger = nil // others may have reported to another meanwhile
	l.allotments = s.node.newKeeper()
	klog.InfoS("queue shard led again", "shard", s.ID, "epoch", l.epoch, "unfinished", l.table.Len(), "runs", len(l.runs), "decided", len(l.decided))
	for key := range l.runs {
		l.table.ResetSaved(key)
	}
	for key, decided := range l.decided {
		l.table.ResetSaved(key)
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{decided}}}})
	}
}

func (s *shard) takeLeadership() {
	ctx, cancel := context.WithCancel(s.node.context)
	l := &leadership{
		epoch: s.Replica.Epoch(), allotments: s.node.newKeeper(), table: queue.NewItemTable(), context: ctx, cancel: cancel,
		runs: map[queue.ItemKey]context.CancelFunc{}, decided: map[queue.ItemKey]*wirev1.QueueResult{},
		changed: map[string]chan struct{}{}, taken: map[string]int64{}, accepting: map[queue.TokenAccount]uint64{}, full: map[string]time.Time{}, preferred: time.Now(),
	}
	if err := s.fillTable(l); err != nil {
		cancel()
		s.Fail(err)
		return
	}
	s.leader = l
	s.node.metrics.leading.Inc()
	klog.InfoS("queue shard led", "shard", s.ID, "epoch", l.epoch, "jobs", len(l.taken), "unfinished", l.table.Len(), "commit", s.Replica.Commit())
}

// fillTable builds the table from the state, with what runs have saved.
func (s *shard) fillTable(l *leadership) error {
	now := time.Now()
	view := s.Store.View()
	var failed error
	err := queue.Records(view, func(record *wirev1.QueueRecord) {
		l.taken[record.Id] = record.AcceptedUnixMs
		l.table.Add(record, now, now)
		if record.Ended || !l.table.HasUnfinished(record.Id) {
			return
		}
		for number := range record.Items {
			saved, err := queue.Progress(view, record.Id, uint32(number))
			if err != nil {
				failed = err
			} else if saved.Last > 0 {
				l.table.Restore(queue.ItemKey{Job: record.Id, Number: uint32(number)}, queue.ItemOutput{LastEventID: saved.Last, Text: saved.Text})
			}
		}
	})
	if err == nil {
		err = failed
	}
	return err
}

// DropLeadership implements shardhost.LeaderWork.
func (s *shard) DropLeadership(reason string) {
	if s.leader == nil {
		return
	}
	s.leader.cancel()
	for _, changed := range s.leader.changed {
		close(changed)
	}
	klog.InfoS("queue leadership dropped", "shard", s.ID, "epoch", s.leader.epoch, "reason", reason, "runs", len(s.leader.runs))
	s.leader = nil
	s.node.metrics.leading.Dec()
	s.node.metrics.unfinish.Set(0)
}

// aloneTime is how long a leader without contact to a quorum lets its runs go on: an
// item of a job that another leader has ended must not be sent, and what a run makes
// now another leader's run makes again.
const aloneTime = 250 * time.Millisecond

// tickLeader starts items that are ready and proposes what time has decided.
func (s *shard) tickLeader(now time.Time) {
	l := s.leader
	if l == nil || !l.suspended.IsZero() {
		return
	}
	if !s.inContact(now) {
		return
	}
	s.proposeSaves(now)
	s.startReady(now)
	s.giveUpExpired(now)
	s.retain(now)
	s.tickPreference(now)
	s.node.metrics.unfinish.Set(float64(l.table.Len()))
}

// inContact reports whether a quorum answered lately; runs of a leader that is
// alone for long are ended.
func (s *shard) inContact(now time.Time) bool {
	l := s.leader
	if s.Replica.LiveMembers(now) >= s.Replica.MemberSet().WriteQuorum() {
		l.aloneSince = time.Time{}
		return true
	}
	if l.aloneSince.IsZero() {
		l.aloneSince = now
	}
	if now.Sub(l.aloneSince) > aloneTime && len(l.runs) > 0 {
		klog.InfoS("runs ended: no contact to a quorum", "shard", s.ID, "epoch", l.epoch, "runs", len(l.runs))
		for key := range l.runs {
			s.cancelRun(key)
		}
	}
	return false
}

// wake notifies readers that a job has changed.
func (l *leadership) wake(job string) {
	if changed := l.changed[job]; changed != nil {
		close(changed)
		delete(l.changed, job)
	}
}

// watch returns a channel that closes with the job's next change.
func (l *leadership) watch(job string) <-chan struct{} {
	changed := l.changed[job]
	if changed == nil {
		changed = make(chan struct{})
		l.changed[job] = changed
	}
	return changed
}
