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

// This file contains the work of a serving leader, which manages the table of grants.

// FollowLeadership implements shardhost.LeaderWork. It creates the table of grants once per
// epoch, when this replica serves as leader and has applied all committed entries. It keeps
// the table while the replica is leader, and drops it afterwards.
func (s *shardReplica) FollowLeadership() {
	serving := s.Replica.Serving() && s.AppliedIndex() >= s.Replica.Commit()
	if !serving {
		if s.table != nil && s.Replica.Role().String() != "leader" {
			s.table = nil
			s.module.metrics.ledShards.Dec()
		}
		return
	}
	if s.table != nil && s.tableEpoch == s.Replica.Epoch() {
		return
	}
	if s.table == nil {
		s.module.metrics.ledShards.Inc()
	}
	s.module.metrics.elections.Inc()
	s.tableEpoch = s.Replica.Epoch()
	s.table = grants.New(grants.DefaultTiming(), time.Now())
	klog.V(1).InfoS("node became leader of a shard", "node", s.module.settings.Node.ID, "shard", s.ID, "epoch", s.tableEpoch)
	err := shard.Jobs(s.Store.View(), func(job *wirev1.JobRecord) bool {
		if isUnfinished(job.Status) {
			s.table.AddJob(job)
		}
		return true
	})
	if err != nil {
		s.Fail(err)
	}
}

func isUnfinished(status wirev1.JobStatus) bool {
	return status == wirev1.JobStatus_JOB_STATUS_IN_PROGRESS || status == wirev1.JobStatus_JOB_STATUS_CANCELLING
}

// updateTable applies the effects of a command to the table of grants.
func (s *shardReplica) updateTable(command *wirev1.Command, commandResult *wirev1.CommandResult) {
	if s.table == nil || commandResult == nil {
		return
	}
	switch kind := command.Kind.(type) {
	case *wirev1.Command_CreateJob:
		if commandResult.Job != nil && commandResult.Duplicates == 0 && isUnfinished(commandResult.Job.Status) {
			s.table.AddJob(commandResult.Job)
		}
	case *wirev1.Command_CancelJob:
		if commandResult.Job != nil {
			s.table.Stop(kind.CancelJob.JobId, true)
		}
	case *wirev1.Command_ExpireJob:
		s.table.Stop(kind.ExpireJob.JobId, false)
	case *wirev1.Command_FinishCancel:
		s.table.RemoveJob(kind.FinishCancel.JobId)
	case *wirev1.Command_CompleteItems:
		s.recordCompleted(kind.CompleteItems, commandResult)
	}
}

func (s *shardReplica) recordCompleted(command *wirev1.CompleteItems, commandResult *wirev1.CommandResult) {
	keys := make([]grants.Key, len(command.Results))
	jobs := map[string]bool{}
	for i, item := range command.Results {
		keys[i] = grants.KeyFromProto(item.Item)
		jobs[item.Item.JobId] = true
	}
	s.table.Completed(keys)
	s.module.metrics.completed.WithLabelValues("accepted").Add(float64(commandResult.Accepted))
	s.module.metrics.completed.WithLabelValues("duplicate").Add(float64(commandResult.Duplicates))
	for id := range jobs {
		if job, err := shard.Job(s.Store.View(), id); err == nil && job != nil && !isUnfinished(job.Status) {
			s.table.RemoveJob(id)
		}
	}
}

// tickGrants proposes the commands that have become due: to end items of class once whose
// holder was lost, jobs whose deadline has passed, and cancelled jobs.
func (s *shardReplica) tickGrants(now time.Time) {
	if s.table == nil {
		return
	}
	due := s.table.Tick(now)
	atUnixMs := now.UnixMilli()
	if len(due.Unknown) > 0 {
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_CompleteItems{CompleteItems: completeAsUnknown(due.Unknown, atUnixMs)}})
	}
	for _, id := range due.Expired {
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_ExpireJob{ExpireJob: &wirev1.ExpireJob{JobId: id, AtUnixMs: atUnixMs}}})
	}
	for _, id := range due.Cancelled {
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_FinishCancel{FinishCancel: &wirev1.FinishCancel{JobId: id, AtUnixMs: atUnixMs}}})
	}
}

const (
	retentionInterval = 10 * time.Second
	retentionLimit    = 64
)

// tickRetention proposes, every retentionInterval, to delete records whose retention has
// ended, at most retentionLimit of each kind. It does nothing while the node has no bundle.
func (s *shardReplica) tickRetention(now time.Time) {
	snapshot := s.module.snapshots.Snapshot()
	if s.table == nil || snapshot == nil || now.Sub(s.lastRetention) < retentionInterval {
		return
	}
	s.lastRetention = now
	beforeUnixMs := now.Add(-snapshot.Policy.Batch.Retention.Std()).UnixMilli()
	found, err := shard.HasRecordsPastRetention(s.Store.View(), beforeUnixMs)
	if err != nil {
		s.Fail(err)
		return
	}
	if found {
		retain := &wirev1.Retain{FinishedBeforeUnixMs: beforeUnixMs, Limit: retentionLimit}
		s.Propose(&wirev1.Command{Kind: &wirev1.Command_Retain{Retain: retain}})
	}
}

// completeAsUnknown returns a command that ends items of class once whose holder was lost.
func completeAsUnknown(keys []grants.Key, atUnixMs int64) *wirev1.CompleteItems {
	command := &wirev1.CompleteItems{AtUnixMs: atUnixMs}
	for _, key := range keys {
		command.Results = append(command.Results, &wirev1.ItemResult{
			Item: key.Proto(), Code: uint32(result.OutcomeUnknown), Message: "the node that ran the item was lost; it may or may not have run",
		})
	}
	return command
}

// stateLoader reads the applied state of a shard for the table of grants.
type stateLoader struct{ view *logstore.StateView }

// Segment implements grants.Loader.
func (l stateLoader) Segment(file string, segment uint32) ([]*wirev1.Item, error) {
	return shard.Segment(l.view, file, segment)
}

// Progress implements grants.Loader.
func (l stateLoader) Progress(job string, segment uint32) (*wirev1.SegmentProgress, error) {
	return shard.Progress(l.view, job, segment)
}

// pull grants items to a node and takes back the items that the node returns. It returns an
// item of class once only after the start of the item is committed, now or for an earlier
// holder that returned the item without running it.
func (s *shardReplica) pull(ctx context.Context, request *wirev1.PullRequest) (*wirev1.PullReply, error) {
	session := grants.Session{Node: request.NodeId, ID: request.Session}
	var offers []grants.Offer
	var stopped []string
	var pending bool
	err := s.withTable(ctx, func(table *grants.Table, now time.Time) error {
		s.adoptHeldItems(table, now, session, request.Held)
		if len(request.Returned) > 0 {
			table.Return(now, session, keysFromProto(request.Returned))
			s.module.metrics.requeued.WithLabelValues("returned").Add(float64(len(request.Returned)))
		}
		var err error
		offers, err = table.Pull(now, session, freeSlotsFromProto(request.Room), stateLoader{s.Store.View()})
		stopped = table.StoppedJobs(session)
		pending = table.HasPending()
		return err
	})
	if err != nil {
		return nil, err
	}
	if offers, err = s.recordStarts(ctx, session, offers); err != nil {
		return nil, err
	}
	s.module.metrics.grants.Add(float64(len(offers)))
	reply := &wirev1.PullReply{CancelledJobs: stopped, LeaseMs: uint32(grants.DefaultTiming().Lease.Milliseconds())}
	for _, offer := range offers {
		reply.Grants = append(reply.Grants, grantToProto(offer))
	}
	if pending {
		reply.Pending = request.Room
	}
	return reply, nil
}

// adoptHeldItems adds items that a node already holds to the table of a new leader. It skips
// items that the shard does not contain.
func (s *shardReplica) adoptHeldItems(table *grants.Table, now time.Time, session grants.Session, held []*wirev1.ItemKey) {
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

// withTable calls a function with the table of grants on the shard's goroutine. It returns
// a NotLeader error if there is no table.
func (s *shardReplica) withTable(ctx context.Context, callback func(*grants.Table, time.Time) error) error {
	var callbackErr error
	err := s.RunInLoop(ctx, func() {
		if s.table == nil {
			callbackErr = s.NotLeader()
			return
		}
		callbackErr = callback(s.table, time.Now())
	})
	if err != nil {
		return err
	}
	return callbackErr
}

// recordStarts commits the start of the offered items of class once, except those whose
// start is already recorded, and returns the offers that may be sent to the node.
func (s *shardReplica) recordStarts(ctx context.Context, session grants.Session, offers []grants.Offer) ([]grants.Offer, error) {
	var starts []*wirev1.ItemKey
	for _, offer := range offers {
		if offer.Item.WorkClass == wirev1.WorkClass_WORK_CLASS_ONCE && !offer.Restarted {
			starts = append(starts, offer.Key.Proto())
		}
	}
	if len(starts) == 0 {
		return offers, nil
	}
	commandResult, err := s.ProposeAndWait(ctx, &wirev1.Command{Kind: &wirev1.Command_StartItems{StartItems: &wirev1.StartItems{Items: starts, Holder: session.Node}}})
	if err != nil {
		// The start may be recorded all the same, so the items are not sent to the
		// node. They end as unknown, unless a later leader finds that they did not
		// start.
		commandResult = &wirev1.CommandResult{}
	}
	tableErr := s.withTable(ctx, func(table *grants.Table, _ time.Time) error {
		offers = table.Confirm(offers, commandResult.Started)
		return nil
	})
	return offers, tableErr
}

func keysFromProto(wire []*wirev1.ItemKey) []grants.Key {
	keys := make([]grants.Key, len(wire))
	for i, key := range wire {
		keys[i] = grants.KeyFromProto(key)
	}
	return keys
}

func freeSlotsFromProto(wire []*wirev1.ModelRoom) []grants.FreeSlots {
	slots := make([]grants.FreeSlots, len(wire))
	for i, item := range wire {
		slots[i] = grants.FreeSlots{Model: item.Model, Items: int(item.Items)}
	}
	return slots
}

func grantToProto(offer grants.Offer) *wirev1.Grant {
	return &wirev1.Grant{
		Key: offer.Key.Proto(), Item: offer.Item, Attempt: offer.Attempt, Tenant: offer.Tenant,
		CustomId: offer.Item.CustomId, DeadlineUnixMs: offer.Deadline.UnixMilli(),
	}
}

// complete commits results. It requeues failed repeatable items until they reach the
// maximum number of attempts that the bundle allows.
func (s *shardReplica) complete(ctx context.Context, request *wirev1.CompleteRequest) (*wirev1.CompleteReply, error) {
	session := grants.Session{Node: request.NodeId, ID: request.Session}
	final := make([]*wirev1.ItemResult, 0, len(request.Results))
	err := s.withTable(ctx, func(table *grants.Table, _ time.Time) error {
		for _, item := range request.Results {
			if s.retryOrFinalize(table, session, item) {
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
	commandResult, err := s.ProposeAndWait(ctx, &wirev1.Command{Kind: &wirev1.Command_CompleteItems{CompleteItems: &wirev1.CompleteItems{Results: final, AtUnixMs: time.Now().UnixMilli()}}})
	if err != nil {
		return nil, err
	}
	return &wirev1.CompleteReply{Accepted: commandResult.Accepted, Duplicates: commandResult.Duplicates}, nil
}

// retryOrFinalize requeues the item of a failed attempt if another attempt is allowed, and
// returns true. It also returns true, without requeueing, if the session no longer holds the
// item. It returns false if the result is final and has to be committed; if no attempt is
// left, it changes the result's code to AttemptsSpent.
func (s *shardReplica) retryOrFinalize(table *grants.Table, session grants.Session, item *wirev1.ItemResult) bool {
	if !isRetryable(result.Code(item.Code)) {
		return false
	}
	key := grants.KeyFromProto(item.Item)
	attempt := table.Attempt(session, key)
	if attempt == 0 {
		return true // the session no longer holds the item; the result is dropped
	}
	if int(attempt) < s.maxAttempts() {
		table.Retry(session, key)
		return true
	}
	item.Message = "failed on every attempt, the last time: " + item.Message
	item.Code = uint32(result.AttemptsSpent)
	return false
}

// isRetryable reports whether another attempt may succeed after this failure. Workers
// report failures of items of class once with other codes, so these are not retried.
func isRetryable(code result.Code) bool {
	switch code {
	case result.EngineFailed, result.RunnerLost:
		return true
	default:
		return false
	}
}

// defaultMaxAttempts applies while the node has no bundle.
const defaultMaxAttempts = 5

func (s *shardReplica) maxAttempts() int {
	if snapshot := s.module.snapshots.Snapshot(); snapshot != nil {
		return snapshot.Policy.Batch.MaxAttempts
	}
	return defaultMaxAttempts
}
