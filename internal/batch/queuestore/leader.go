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

// leadership is the state that a leader keeps in memory: the table of unfinished items, the
// runs in progress and the watchers of jobs. When the replica loses its epoch, the leadership
// is suspended, and runs continue, so that a member set change does not interrupt them. The
// leadership resumes if this replica leads again. It is dropped, and its runs are canceled,
// if another replica leads or maxSuspension has passed.
type leadership struct {
	epoch   uint64
	table   *queue.ItemTable
	context context.Context
	cancel  context.CancelFunc
	runs    map[queue.ItemKey]context.CancelFunc
	// pendingProgress holds progress of runs that has not been proposed yet.
	pendingProgress queue.ProgressBatch
	// decided holds, for each item whose result is not applied yet, that result with the
	// item's whole output.
	decided map[queue.ItemKey]*wirev1.QueueResult
	// watched holds a channel for each watched job. It is closed on the job's next change.
	watched map[string]chan struct{}
	// acceptedAt holds the acceptance time of each stored job in Unix milliseconds.
	acceptedAt map[string]int64
	// endedEarlyAt holds the times of the ends of jobs that do not exist yet, in the same unit.
	endedEarlyAt map[string]int64
	// pendingTokens holds the tokens of submissions that are accepted into the limit (see
	// reserve) but not applied yet.
	pendingTokens map[queue.TokenAccount]uint64
	// pendingBytes is the total size of the item bodies of those submissions.
	pendingBytes int
	// ledger holds the waiting tokens that each shard's leader has reported, for limits
	// across shards. It is nil until the first report arrives; only the leader of
	// ledgerShard receives reports.
	ledger *queue.Ledger
	// allotments leases shares of the tenants' request limits to nodes and grants single
	// credits (package allotment).
	allotments *allotment.Keeper
	// reportNumber is the number of the last report to the ledger. reportedTotal is the
	// number of waiting tokens in the last periodic report and reportedAt its time; a zero
	// time makes the next check report.
	reportNumber        uint64
	reportedTotal       uint64
	reportedAt          time.Time
	retentionCheckedAt  time.Time
	preferenceCheckedAt time.Time // last check by transferToPreferredLeader
	// fullUntil holds for each service without a free slot the time until which no runs are
	// started for it.
	fullUntil map[string]time.Time
	// quorumLostAt is when the loss of contact with a quorum was detected; zero while there
	// is contact.
	quorumLostAt time.Time
	// suspendedAt is when the leadership was suspended; zero while it is not.
	suspendedAt time.Time
}

// maxSuspension is how long a leadership stays suspended, with its runs in progress, while
// no leader of the shard is known.
const maxSuspension = 1200 * time.Millisecond

// FollowLeadership implements shardhost.LeaderWork. It starts or resumes the leadership once
// this replica serves as leader and has applied all committed entries. If the replica does
// not lead, it suspends or drops the leadership.
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

// suspendLeadership suspends the leadership if there is one, and drops it if another replica
// leads or the suspension has exceeded maxSuspension.
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

// resumeLeadership continues the leadership in a new epoch. The table is up to date with the
// log. Results that are not applied are proposed again in full, because their proposals and
// earlier progress may have been lost.
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

// startLeadership creates the leadership from the applied state. It stops the replica if the
// state cannot be read.
func (s *shard) startLeadership() {
	ctx, cancel := context.WithCancel(s.node.context)
	l := &leadership{
		epoch: s.Replica.Epoch(), allotments: s.node.newAllotmentKeeper(), table: queue.NewItemTable(), context: ctx, cancel: cancel,
		runs: map[queue.ItemKey]context.CancelFunc{}, decided: map[queue.ItemKey]*wirev1.QueueResult{},
		watched: map[string]chan struct{}{}, acceptedAt: map[string]int64{}, endedEarlyAt: map[string]int64{}, pendingTokens: map[queue.TokenAccount]uint64{}, fullUntil: map[string]time.Time{}, preferenceCheckedAt: time.Now(),
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

// fillTable fills the table and the acceptance times of a new leadership from the stored
// records and the saved progress of runs.
func (s *shard) fillTable(l *leadership) error {
	now := time.Now()
	view := s.Store.View()
	var failed error
	err := queue.Records(view, func(record *wirev1.QueueRecord) {
		if queue.EndedEarly(record) {
			l.endedEarlyAt[record.Id] = record.AcceptedUnixMs
			return
		}
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
				l.table.Restore(queue.ItemKey{Job: record.Id, Number: uint32(number)}, queue.ItemOutput{
					LastEventID: saved.Last, Text: saved.Text, SoftwareVersion: saved.SoftwareVersion,
				})
			}
		}
	})
	if err == nil {
		err = failed
	}
	return err
}

// DropLeadership implements shardhost.LeaderWork. It cancels all runs and notifies all
// watchers. The reason is for the log.
func (s *shard) DropLeadership(reason string) {
	if s.leader == nil {
		return
	}
	s.leader.cancel()
	for _, watched := range s.leader.watched {
		close(watched)
	}
	klog.InfoS("queue leadership dropped", "shard", s.ID, "epoch", s.leader.epoch, "reason", reason, "runs", len(s.leader.runs))
	s.leader = nil
	s.node.metrics.leading.Dec()
	s.node.metrics.unfinished.Set(0)
}

// quorumLossGracePeriod is how long runs continue on a leader without contact with a quorum.
// After that time the runs are canceled, since another replica may lead and may have ended
// the job or started the same item.
const quorumLossGracePeriod = 250 * time.Millisecond

// tickLeader does the periodic work of a leader: it proposes progress, starts ready items,
// gives up expired items, drops expired jobs, and transfers leadership to the preferred
// member. It does nothing while the leadership is suspended. Without contact with a quorum it
// only cancels runs; see checkQuorumContact.
func (s *shard) tickLeader(now time.Time) {
	l := s.leader
	if l == nil || !l.suspendedAt.IsZero() {
		return
	}
	if !s.checkQuorumContact(now) {
		return
	}
	s.proposeProgress(now)
	s.startReadyItems(now)
	s.expireItems(now)
	s.dropExpiredJobs(now)
	s.transferToPreferredLeader(now)
	s.node.metrics.unfinished.Set(float64(l.table.Len()))
}

// checkQuorumContact reports whether a write quorum, this replica included, has responded
// within the election timeout. It records when contact was lost, and cancels all runs once
// contact has been lost for longer than quorumLossGracePeriod.
func (s *shard) checkQuorumContact(now time.Time) bool {
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

// notifyWatchers notifies all watchers of a job of a change of the job.
func (l *leadership) notifyWatchers(job string) {
	if changed := l.watched[job]; changed != nil {
		close(changed)
		delete(l.watched, job)
	}
}

// watch returns a channel that is closed on the job's next change, or when the leadership is
// dropped.
func (l *leadership) watch(job string) <-chan struct{} {
	changed := l.watched[job]
	if changed == nil {
		changed = make(chan struct{})
		l.watched[job] = changed
	}
	return changed
}
