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

// leadership is the state of a serving leader: the table of unfinished items, the runs in
// progress and the watchers of jobs. When the replica loses its epoch, the leadership is
// suspended until another replica leads or maxSuspension has passed, so that a member set
// change does not interrupt runs.
type leadership struct {
	epoch   uint64
	table   *queue.ItemTable
	context context.Context
	cancel  context.CancelFunc
	runs    map[queue.ItemKey]context.CancelFunc
	// saves holds progress of runs that has not been proposed yet.
	saves queue.ProgressBatch
	// decided holds results that are not applied yet.
	decided map[queue.ItemKey]*wirev1.QueueResult
	// changed holds a channel for each watched job, closed on the job's next change.
	changed map[string]chan struct{}
	// acceptedAt holds the acceptance times of all jobs in Unix milliseconds.
	acceptedAt map[string]int64
	// pendingTokens holds the tokens of submissions that are not applied yet.
	pendingTokens map[queue.TokenAccount]uint64
	// pendingBytes is the total size of those submissions.
	pendingBytes int
	// ledger holds the reports of all shards; only the leader of ledgerShard has one.
	ledger *queue.Ledger
	// allotments grants shares of the tenants' request limits.
	allotments *allotment.Keeper
	// reportNumber is the number of the last report to the ledger; reportedTotal and
	// reportedAt are the total and the time of the last periodic report.
	reportNumber        uint64
	reportedTotal       uint64
	reportedAt          time.Time
	retentionCheckedAt  time.Time
	preferenceCheckedAt time.Time // last check by transferToPreferredLeader
	// fullUntil holds, for each service without a free slot, when it is tried again.
	fullUntil map[string]time.Time
	// quorumLostAt is when contact with a quorum was lost; zero while there is contact.
	quorumLostAt time.Time
	// suspendedAt is when the epoch was lost; zero while this replica serves.
	suspendedAt time.Time
}

// maxSuspension is how long runs continue while the shard has no leader.
const maxSuspension = 1200 * time.Millisecond

// FollowLeadership implements shardhost.LeaderWork. It starts or resumes leadership when
// this replica begins to serve, suspends it when the replica loses its epoch, and drops it
// when another replica leads.
func (s *shard) FollowLeadership() {
	if s.Replica.Role() != replica.Leader {
		s.suspendLeadership()
		return
	}
	if s.leader != nil && s.leader.epoch == s.Replica.Epoch() && s.leader.suspendedAt.IsZero() {
		return
	}
	if !s.Replica.Serving() || s.AppliedIndex() < s.Replica.Commit() {
		return
	}
	if s.leader != nil {
		s.resumeLeadership()
		return
	}
	s.startLeadership()
}

func (s *shard) suspendLeadership() {
	l := s.leader
	if l == nil {
		return
	}
	now := time.Now()
	if l.suspendedAt.IsZero() {
		l.suspendedAt = now
		klog.InfoS("queue leadership lost", "shard", s.ID, "epoch", l.epoch, "runs", len(l.runs))
	}
	other := s.Replica.Leader()
	if other != "" && other != s.Disk {
		s.DropLeadership("another leads")
	} else if now.Sub(l.suspendedAt) > maxSuspension {
		s.DropLeadership("no leader for too long")
	}
}

// resumeLeadership ends a suspension. The table is up to date with the log; only proposals
// that may have been lost are repeated.
func (s *shard) resumeLeadership() {
	l := s.leader
	l.epoch, l.suspendedAt = s.Replica.Epoch(), time.Time{}
	l.ledger = nil // other shards may have reported to another leader in the meantime
	l.allotments = s.node.newAllotmentKeeper()
	klog.InfoS("queue leadership resumed", "shard", s.ID, "epoch", l.epoch, "unfinished", l.table.Len(), "runs", len(l.runs), "decided", len(l.decided))
	for key := range l.runs {
		l.table.ResetSaved(key)
	}
	for key, decided := range l.decided {
		l.table.ResetSaved(key)
		s.Propose(&wirev1.QueueCommand{Kind: &wirev1.QueueCommand_Finish{Finish: &wirev1.QueueResults{Results: []*wirev1.QueueResult{decided}}}})
	}
}

func (s *shard) startLeadership() {
	ctx, cancel := context.WithCancel(s.node.context)
	l := &leadership{
		epoch: s.Replica.Epoch(), allotments: s.node.newAllotmentKeeper(), table: queue.NewItemTable(), context: ctx, cancel: cancel,
		runs: map[queue.ItemKey]context.CancelFunc{}, decided: map[queue.ItemKey]*wirev1.QueueResult{},
		changed: map[string]chan struct{}{}, acceptedAt: map[string]int64{}, pendingTokens: map[queue.TokenAccount]uint64{}, fullUntil: map[string]time.Time{}, preferenceCheckedAt: time.Now(),
	}
	if err := s.fillTable(l); err != nil {
		cancel()
		s.Fail(err)
		return
	}
	s.leader = l
	s.node.metrics.leading.Inc()
	klog.InfoS("became leader of queue shard", "shard", s.ID, "epoch", l.epoch, "jobs", len(l.acceptedAt), "unfinished", l.table.Len(), "commit", s.Replica.Commit())
}

// fillTable builds the table from the stored records and the saved progress of runs.
func (s *shard) fillTable(l *leadership) error {
	now := time.Now()
	view := s.Store.View()
	var failed error
	err := queue.Records(view, func(record *wirev1.QueueRecord) {
		l.acceptedAt[record.Id] = record.AcceptedUnixMs
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
	s.node.metrics.unfinished.Set(0)
}

// quorumLossGracePeriod is how long runs continue on a leader without contact with a quorum.
// It is short because another leader may already have ended the job or started the same
// item.
const quorumLossGracePeriod = 250 * time.Millisecond

// tickLeader does the periodic work of a leader: it starts ready items and proposes
// progress, expired items and expired jobs.
func (s *shard) tickLeader(now time.Time) {
	l := s.leader
	if l == nil || !l.suspendedAt.IsZero() {
		return
	}
	if !s.hasQuorumContact(now) {
		return
	}
	s.proposeProgress(now)
	s.startReadyItems(now)
	s.expireItems(now)
	s.dropExpiredJobs(now)
	s.transferToPreferredLeader(now)
	s.node.metrics.unfinished.Set(float64(l.table.Len()))
}

// hasQuorumContact reports whether a quorum has responded recently. It cancels all runs
// once contact has been lost for longer than quorumLossGracePeriod.
func (s *shard) hasQuorumContact(now time.Time) bool {
	l := s.leader
	if s.Replica.LiveMembers(now) >= s.Replica.MemberSet().WriteQuorum() {
		l.quorumLostAt = time.Time{}
		return true
	}
	if l.quorumLostAt.IsZero() {
		l.quorumLostAt = now
	}
	if now.Sub(l.quorumLostAt) > quorumLossGracePeriod && len(l.runs) > 0 {
		klog.InfoS("runs canceled: leader has lost contact with a quorum", "shard", s.ID, "epoch", l.epoch, "runs", len(l.runs))
		for key := range l.runs {
			s.cancelRun(key)
		}
	}
	return false
}

// notifyWatchers notifies all watchers of a job that it has changed.
func (l *leadership) notifyWatchers(job string) {
	if changed := l.changed[job]; changed != nil {
		close(changed)
		delete(l.changed, job)
	}
}

// watch returns a channel that is closed on the job's next change.
func (l *leadership) watch(job string) <-chan struct{} {
	changed := l.changed[job]
	if changed == nil {
		changed = make(chan struct{})
		l.changed[job] = changed
	}
	return changed
}
