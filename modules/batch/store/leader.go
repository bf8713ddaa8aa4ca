package store

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/grants"
	"cobaltramp.example/cobaltramp/internal/batch/logstore"
	"cobaltramp.example/cobaltramp/internal/batch/shard"
)

// The part of a replica that only a serving leader uses: the table of grants.

// FollowLeadership implements shardhost.LeaderWork: it makes the table when this replica comes to serve and drops
// it when it no longer does.
func (s *shardReplica) FollowLeadership() {
	serving := s.Replica.Serving() && s.AppliedIndex() >= s.Replica.Commit()
	if !serving {
		if s.table != nil && s.Replica.Role().String() != "leader" {
			s.table = nil
			s.module.metrics.leading.Dec()
		}
		return
	}
	if s.table != nil && s.tableEpoch == s.Replica.Epoch() {
		return
	}
	if s.table == nil {
		s.module.metrics.leading.Inc()
	}
	s.module.metrics.elections.Inc()
	s.tableEpoch = s.Replica.Epoch()
	s.table = grants.New(grants.DefaultTiming(), time.Now())
	klog.V(1).InfoS("shard led", "node", s.module.settings.Node.ID, "shard", s.ID, "epoch", s.tableEpoch)
	err := shard.Jobs(s.Store.View(), func(job *wirev1.JobRecord) bool {
		if unfinished(job.Status) {
			s.table.AddJob(job)
		}
		return true
	})
	if err != nil {
		s.Fail(err)
	}
}

func unfinished(status wirev1.JobStatus) bool {
	return status == wirev1.JobStatus_JOB_STATUS_IN_PROGRESS || status == wirev1.JobStatus_JOB_STATUS_CANCELLING
}

// noteApplied keeps the table in line with what was applied.
func (s *shardReplica) noteApplied(command *wirev1.Command, answer *wirev1.CommandResult) {
	if s.table == nil || answer == nil {
		return
	}
	switch kind := command.Kind.(type) {
	case *wirev1.Command_CreateJob:
		if answer.Job != nil && answer.Duplicates == 0 && unfinished(answer.Job.Status) {
			s.table.AddJob(answer.Job)
		}
	case *wirev1.Command_CancelJob:
		if answer.Job != nil {
			s.table.Stop(kind.CancelJob.JobId, true)
		}
	case *wirev1.Command_ExpireJob:
		s.table.Stop(kind.ExpireJob.JobId, false)
	case *wirev1.Command_FinishCancel:
		s.table.RemoveJob(kind.FinishCancel.JobId)
	case *wirev1.Command_CompleteItems:
		s.noteCompleted(kind.CompleteItems, answer)
	}
}

func (s *shardReplica) noteCompleted(command *wirev1.CompleteItems, answer *wirev1.CommandResult) {
	keys := make([]grants.Key, len(command.Results))
	jobs := map[string]bool{}
	for i, item := range command.Results {
		keys[i] = grants.KeyFromProto(item.Item)
		jobs[item.Item.JobId] = true
	}
	s.table.Completed(keys)
	s.module.metrics.completed.WithLabelValues("accepted").Add(float64(answer.Accepted))
	s.module.metrics.completed.WithLabelValues("duplicate").Add(float64(answer.Duplicates))
	for id := range jobs {
		if job, err := shard.Job(s.Store.View(), id); err == nil && job != nil && !unfinished(job.Status) {
			s.table.RemoveJob(id)
		}
	}
}

// tickGrants proposes what time has decided.
func (s *shardReplica) tickGrants(now time.Time) {
	if s.table == nil {
		return
	}
	due := s.table.Tick(now)
	at := now.UnixMilli()
	if len(due.Unknown) > 0 {
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_CompleteItems{CompleteItems: unknownItems(due.Unknown, at)}})
	}
	for _, id := range due.Expired {
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_ExpireJob{ExpireJob: &wirev1.ExpireJob{JobId: id, AtUnixMs: at}}})
	}
	for _, id := range due.Cancelled {
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_FinishCancel{FinishCancel: &wirev1.FinishCancel{JobId: id, AtUnixMs: at}}})
	}
}

const (
	retainInterval = 10 * time.Second
	retainLimit    = 64
)

// tickRetention proposes to drop what is past its retention, a bounded number
// of records at a time.
func (s *shardReplica) tickRetention(now time.Time) {
	snapshot := s.module.snapshots.Snapshot()
	if s.table == nil || snapshot == nil || now.Sub(s.retained) < retainInterval {
		return
	}
	s.retained = now
	before := now.Add(-snapshot.Policy.Batch.Retention.Std()).UnixMilli()
	ended, err := shard.HasRecordsPastRetention(s.Store.View(), before)
	if err != nil {
		s.Fail(err)
		return
	}
	if ended {
		retain := &wirev1.Retain{FinishedBeforeUnixMs: before, Limit: retainLimit}
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_Retain{Retain: retain}})
	}
}

// unknownItems ends items of class once whose holder was lost.
func unknownItems(keys []grants.Key, at int64) *wirev1.CompleteItems {
	command := &wirev1.CompleteItems{AtUnixMs: at}
	for _, key := range keys {
		command.Results = append(command.Results, &wirev1.ItemResult{
			Item: key.Proto(), Code: uint32(result.OutcomeUnknown), Message: "the node that ran the item was lost; it may or may not have run",
		})
	}
	return command
}

// loader reads the shard's state for the table.
type loader struct{ view *logstore.StateView }

// Segment implements grants.Loader.
func (l loader) Segment(file string, segment uint32) ([]*wirev1.Item, error) {
	return shard.Segment(l.view, file, segment)
}

// Progress implements grants.Loader.
func (l loader) Progress(job string, segment uint32) (*wirev1.SegmentProgress, error) {
	return shard.Progress(l.view, job, segment)
}

func (s *shardReplica) notServing() error {
	return result.New(result.NotLeader, "shard %d is not led here", s.ID)
}

// pull hands items to a node. Items of class once go out only after their
// start is in the log.
func (s *shardReplica) pull(ctx context.Context, request *wirev1.PullRequest) (*wirev1.PullReply, error) {
	session := grants.Session{Node: request.NodeId, ID: request.Session}
	var offers []grants.Offer
	var stopped []string
	var pending bool
	err := s.askTable(ctx, func(table *grants.Table, now time.Time) error {
		s.holdAll(table, now, session, request.Held)
		if len(request.Returned) > 0 {
			table.Return(now, session, keysOf(request.Returned))
			s.module.metrics.requeued.WithLabelValues("returned").Add(float64(len(request.Returned)))
		}
		var err error
		offers, err = table.Pull(now, session, roomOf(request.Room), loader{s.Store.View()})
		stopped = table.StoppedJobs(session)
		pending = table.HasPending()
		return err
	})
	if err != nil {
		return nil, err
	}
	if offers, err = s.startOnce(ctx, session, offers); err != nil {
		return nil, err
	}
	s.module.metrics.grants.Add(float64(len(offers)))
	reply := &wirev1.PullReply{CancelledJobs: stopped, LeaseMs: uint32(grants.DefaultTiming().Lease.Milliseconds())}
	for _, offer := range offers {
		reply.Grants = append(reply.Grants, grantOf(offer))
	}
	if pending {
		reply.Pending = request.Room
	}
	return reply, nil
}

func (s *shardReplica) holdAll(table *grants.Table, now time.Time, session grants.Session, held []*wirev1.ItemKey) {
	view := s.Store.View()
	for _, key := range held {
		job, err := shard.Job(view, key.JobId)
		if err != nil || job == nil {
			continue
		}
		items, err := shard.Segment(view, job.Spec.InputFileId, key.Segment)
		if err != nil || int(key.Offset) >= len(items) {
			continue
		}
		table.Adopt(now, session, grants.KeyFromProto(key), items[key.Offset])
	}
}

// askTable runs a function on the table if this replica serves.
func (s *shardReplica) askTable(ctx context.Context, use func(*grants.Table, time.Time) error) error {
	var useErr error
	err := s.RunInLoop(ctx, func() {
		if s.table == nil {
			useErr = s.notServing()
			return
		}
		useErr = use(s.table, time.Now())
	})
	if err != nil {
		return err
	}
	return useErr
}

// startOnce records the start of items that must not run twice.
func (s *shardReplica) startOnce(ctx context.Context, session grants.Session, offers []grants.Offer) ([]grants.Offer, error) {
	var starting []*wirev1.ItemKey
	for _, offer := range offers {
		if offer.Item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE && !offer.Restarted {
			starting = append(starting, offer.Key.Proto())
		}
	}
	if len(starting) == 0 {
		return offers, nil
	}
	answer, err := s.ProposeAndWait(ctx, &wirev1.Command{Kind: &wirev1.Command_StartItems{StartItems: &wirev1.StartItems{Items: starting, Holder: session.Node}}})
	if err != nil {
		// Their start may be recorded: they are not handed out, and end as
		// unknown unless a later leader finds them unstarted.
		answer = &wirev1.CommandResult{}
	}
	askErr := s.askTable(ctx, func(table *grants.Table, _ time.Time) error {
		offers = table.Confirm(offers, answer.Started)
		return nil
	})
	return offers, askErr
}

func keysOf(wire []*wirev1.ItemKey) []grants.Key {
	keys := make([]grants.Key, len(wire))
	for i, key := range wire {
		keys[i] = grants.KeyFromProto(key)
	}
	return keys
}

func roomOf(wire []*wirev1.ModelRoom) []grants.FreeSlots {
	room := make([]grants.FreeSlots, len(wire))
	for i, item := range wire {
		room[i] = grants.FreeSlots{Model: item.Model, Items: int(item.Items)}
	}
	return room
}

func grantOf(offer grants.Offer) *wirev1.Grant {
	return &wirev1.Grant{
		Key: offer.Key.Proto(), Item: offer.Item, Attempt: offer.Attempt, Tenant: offer.Tenant,
		CustomId: offer.Item.CustomId, DeadlineUnixMs: offer.Deadline.UnixMilli(),
	}
}

// complete commits results. Failed attempts of repeatable items are tried
// again while the bundle allows.
func (s *shardReplica) complete(ctx context.Context, request *wirev1.CompleteRequest) (*wirev1.CompleteReply, error) {
	session := grants.Session{Node: request.NodeId, ID: request.Session}
	final := make([]*wirev1.ItemResult, 0, len(request.Results))
	err := s.askTable(ctx, func(table *grants.Table, _ time.Time) error {
		for _, item := range request.Results {
			if s.retried(table, session, item) {
				s.module.metrics.requeued.WithLabelValues("failed").Inc()
				continue
			}
			final = append(final, item)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(final) == 0 {
		return &wirev1.CompleteReply{}, nil
	}
	answer, err := s.ProposeAndWait(ctx, &wirev1.Command{Kind: &wirev1.Command_CompleteItems{CompleteItems: &wirev1.CompleteItems{Results: final, AtUnixMs: time.Now().UnixMilli()}}})
	if err != nil {
		return nil, err
	}
	return &wirev1.CompleteReply{Accepted: answer.Accepted, Duplicates: answer.Duplicates}, nil
}

// retried puts a failed attempt back in line if another is allowed. Results
// that are final are left to be committed.
func (s *shardReplica) retried(table *grants.Table, session grants.Session, item *wirev1.ItemResult) bool {
	if !retryable(result.Code(item.Code)) {
		return false
	}
	key := grants.KeyFromProto(item.Item)
	attempt := table.Attempt(session, key)
	if attempt == 0 {
		return true // not this session's any more: whoever holds it decides
	}
	if int(attempt) < s.maxAttempts() {
		table.Retry(session, key)
		return true
	}
	item.Message = "failed on every attempt, the last time: " + item.Message
	item.Code = uint32(result.AttemptsSpent)
	return false
}

// retryable lists failures of repeatable items another attempt may mend. The
// worker reports failures of once items under other codes.
func retryable(code result.Code) bool {
	switch code {
	case result.EngineFailed, result.RunnerLost:
		return true
	default:
		return false
	}
}

const defaultAttempts = 5

func (s *shardReplica) maxAttempts() int {
	if snapshot := s.module.snapshots.Snapshot(); snapshot != nil {
		return snapshot.Policy.Batch.MaxAttempts
	}
	return defaultAttempts
}
