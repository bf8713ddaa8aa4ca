package shardhost

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/batch/replica"
	"cobaltramp.example/cobaltramp/internal/batch/shardstatus"
)

// Serving says whether a replica served as leader at its last tick, and if not, why.
type Serving struct {
	State wirev1.ServingState
	// Since is the start of the state.
	Since time.Time
	// ServedAt is the last time at which the replica saw the shard served, or the start of
	// the replica.
	ServedAt   time.Time
	Generation uint64
	Attempt    uint64
	Epoch      uint64
	Role       replica.ElectionRole
	// Leader is the node or the disk of the known leader; empty if none is known.
	Leader string
	// Detail holds further key-value pairs about the state; it may be empty.
	Detail string
}

// Unserved returns how long the replica has not seen the shard served; 0 if it does, and if
// the replica can't tell.
func (v *Serving) Unserved(now time.Time) time.Duration {
	if shardstatus.Served(v.State) || !shardstatus.Judges(v.State) {
		return 0
	}
	return max(0, now.Sub(v.ServedAt)) // the replica may have ticked after now
}

// Text returns a line of key-value pairs.
func (v *Serving) Text(now time.Time) string {
	text := fmt.Sprintf("state=%s for=%s generation=%d attempt=%d role=%s epoch=%d leader=%s",
		shardstatus.StateName(v.State), shardstatus.Duration(now.Sub(v.Since)), v.Generation, v.Attempt, v.Role, v.Epoch, v.Leader)
	if unserved := v.Unserved(now); unserved > 0 {
		text += " unserved=" + shardstatus.Duration(unserved)
	}
	if v.Detail != "" {
		text += " " + v.Detail
	}
	return text
}

// servingTracker follows the serving state of a replica. Only the shard's goroutine uses it,
// apart from the atomic fields.
type servingTracker struct {
	current atomic.Pointer[Serving]
	// lastTick is the time of the last tick in Unix nanoseconds.
	lastTick atomic.Int64

	frozenSince     time.Time
	installingSince time.Time
	logged          wirev1.ServingState
	loggedAt        time.Time
	publishedAt     time.Time

	lastSwap, lastFence memberSetWrite
	lastHandOver        handOverOutcome
	failure             error // the argument of Fail
}

// memberSetWrite is the outcome of one call of Swap or Fence.
type memberSetWrite struct {
	at        time.Time
	memberSet replica.MemberSet
	committed bool
	err       error
}

// handOverOutcome is the end of a hand-over.
type handOverOutcome struct {
	at         time.Time
	generation uint64
	outcome    string
}

const (
	// servingLogInterval is the shortest time between two log lines about changes of the
	// serving state. Of several changes within it, the last is logged.
	servingLogInterval = 200 * time.Millisecond
	// servingDetailInterval is the time between two updates of Serving.Detail while the
	// shard is not served.
	servingDetailInterval = 200 * time.Millisecond
	// stalledAfter is the time without a tick after which a replica counts as stalled. It is
	// longer than the intervals of ticks.
	stalledAfter = 2 * time.Second
)

// Serving returns whether the replica served at its last tick, and if not, why. Any goroutine
// may call it.
func (s *Shard[Command, Result]) Serving(now time.Time) *Serving {
	current := s.serving.current.Load()
	last := time.Unix(0, s.serving.lastTick.Load())
	if current.State == wirev1.ServingState_SERVING_STATE_STOPPED || now.Sub(last) < stalledAfter {
		return current
	}
	stalled := *current
	stalled.State, stalled.Since = wirev1.ServingState_SERVING_STATE_STALLED, last
	stalled.Detail = "before=" + shardstatus.StateName(current.State)
	if shardstatus.Served(current.State) {
		stalled.ServedAt = last
	}
	return &stalled
}

// notLeader returns the error for a request that only a serving leader may handle. Any
// goroutine may call it.
func (s *Shard[Command, Result]) notLeader() error {
	now := time.Now()
	return result.New(result.NotLeader, "shard %d is not led here: %s", s.ID, s.Serving(now).Text(now))
}

// NotLeader updates the serving state and returns the error for a request that only a
// serving leader may handle.
func (s *Shard[Command, Result]) NotLeader() error {
	s.followServing(time.Now())
	return s.notLeader()
}

// stoppedError returns the error for a request to a shard that has stopped. Any goroutine may
// call it.
func (s *Shard[Command, Result]) stoppedError(code result.Code) error {
	current := s.serving.current.Load()
	if current.State != wirev1.ServingState_SERVING_STATE_STOPPED {
		return result.New(code, "shard %d stopped here", s.ID)
	}
	return result.New(code, "shard %d stopped here: %s", s.ID, current.Text(time.Now()))
}

// beginServing initializes the serving state before the run loop starts.
func (s *Shard[Command, Result]) beginServing(now time.Time) {
	s.serving.lastTick.Store(now.UnixNano())
	s.serving.current.Store(s.newServing(now, s.servingState(now), &Serving{ServedAt: now}))
	s.serving.logged = s.serving.current.Load().State
}

func (s *Shard[Command, Result]) servingState(now time.Time) wirev1.ServingState {
	if s.installing {
		return wirev1.ServingState_SERVING_STATE_INSTALLING_SNAPSHOT
	}
	return s.Replica.ServingState(now)
}

// tickServing follows the serving state at each tick.
func (s *Shard[Command, Result]) tickServing(now time.Time) {
	s.serving.lastTick.Store(now.UnixNano())
	sinceWhile(&s.serving.frozenSince, s.Replica.Frozen(), now)
	sinceWhile(&s.serving.installingSince, s.installing, now)
	s.followServing(now)
	s.logServing(now)
}

// sinceWhile sets a time to now when a condition begins, and to zero when it ends.
func sinceWhile(since *time.Time, condition bool, now time.Time) {
	if !condition {
		*since = time.Time{}
	} else if since.IsZero() {
		*since = now
	}
}

// followServing publishes the serving state if it has changed, or if the shard is not served
// and the details are old.
func (s *Shard[Command, Result]) followServing(now time.Time) {
	before := s.serving.current.Load()
	state := s.servingState(now)
	changed := state != before.State || s.Replica.Epoch() != before.Epoch || s.Replica.MemberSet().Attempt != before.Attempt || s.Replica.MemberSet().Generation != before.Generation
	served := shardstatus.Served(state) && shardstatus.Served(before.State)
	if !changed && (served || now.Sub(s.serving.publishedAt) < servingDetailInterval) {
		return
	}
	s.serving.current.Store(s.newServing(now, state, before))
}

// newServing describes the state of the replica. An unchanged state keeps its start.
func (s *Shard[Command, Result]) newServing(now time.Time, state wirev1.ServingState, before *Serving) *Serving {
	s.serving.publishedAt = now
	memberSet := s.Replica.MemberSet()
	next := &Serving{
		State: state, Since: now, ServedAt: before.ServedAt, Generation: memberSet.Generation, Attempt: memberSet.Attempt,
		Epoch: s.Replica.Epoch(), Role: s.Replica.Role(), Leader: s.nodeName(s.Replica.Leader()),
	}
	if state == before.State {
		next.Since = before.Since
	}
	if before.Unserved(now) == 0 || next.Unserved(now) == 0 {
		next.ServedAt = now
	}
	if !shardstatus.Served(state) {
		next.Detail = s.servingDetail(now)
	}
	return next
}

// nodeName returns the node that has a disk, or the disk if its node is not known.
func (s *Shard[Command, Result]) nodeName(disk string) string {
	if disk == "" {
		return ""
	}
	if peer, known := s.host.options.Peer(disk); known {
		return peer.Node
	}
	return disk
}

// servingDetail describes in key-value pairs what prevents the replica from serving: the
// answers of the other members to its campaigns, silent members, messages of another
// generation, the freeze and the state of the log.
func (s *Shard[Command, Result]) servingDetail(now time.Time) string {
	status := s.Replica.Status(now)
	detail := fmt.Sprintf("commit=%d last=%d applied=%d", status.CommitIndex, status.LastIndex, s.applied)
	if status.EpochStartIndex > 0 {
		detail += fmt.Sprintf(" epochStart=%d", status.EpochStartIndex)
	}
	if status.Frozen {
		detail += fmt.Sprintf(" frozenAttempt=%d frozen=%s", status.FrozenAttempt, shardstatus.Duration(ageOf(now, s.serving.frozenSince)))
	}
	if s.serving.lastFence.err != nil {
		detail += " fence=failed"
	}
	if status.Foreign != nil && s.Replica.ForeignSeen(now) {
		detail += fmt.Sprintf(" foreign=%d@%s:%s", status.Foreign.Generation, s.nodeName(status.Foreign.Disk), shardstatus.Age(status.Foreign.AgoMs))
	}
	var members []string
	for _, member := range status.Members {
		if member.Disk != s.Disk {
			members = append(members, s.nodeName(member.Disk)+":"+memberText(member))
		}
	}
	return detail + " members=" + strings.Join(members, ",")
}

// ageOf returns the time since an event, or 0 if the event has not happened.
func ageOf(now, event time.Time) time.Duration {
	if event.IsZero() {
		return 0
	}
	return now.Sub(event)
}

// memberSilence is the time without a message of a member after which it counts as silent in
// texts. It is longer than the longest time between two campaigns.
const memberSilence = 2 * time.Second

// memberText describes another member by its last answer, or by its last message if it has not
// answered, with the age.
func memberText(member *wirev1.MemberStatus) string {
	answer := member.Answer
	switch {
	case member.HeardAgoMs < 0 || member.HeardAgoMs > memberSilence.Milliseconds():
		return "silent/" + shardstatus.Age(member.HeardAgoMs)
	case answer == nil:
		return "heard/" + shardstatus.Age(member.HeardAgoMs)
	case answer.Granted:
		return "granted/" + shardstatus.Age(answer.AgoMs)
	case answer.Refusal == wirev1.VoteRefusal_VOTE_REFUSAL_UNSPECIFIED:
		return "refused/" + shardstatus.Age(answer.AgoMs)
	default:
		return shardstatus.RefusalName(answer.Refusal) + "/" + shardstatus.Age(answer.AgoMs)
	}
}

// logServing logs a change of the serving state.
func (s *Shard[Command, Result]) logServing(now time.Time) {
	current := s.serving.current.Load()
	if current.State == s.serving.logged || now.Sub(s.serving.loggedAt) < servingLogInterval {
		return
	}
	s.log("serving state of replica changed", "state", shardstatus.StateName(current.State), "before", shardstatus.StateName(s.serving.logged), "detail", current.Text(now))
	s.serving.logged, s.serving.loggedAt = current.State, now
}

// failServing records the error that stops the replica.
func (s *Shard[Command, Result]) failServing(err error) {
	now := time.Now()
	s.serving.failure = err
	stopped := s.newServing(now, wirev1.ServingState_SERVING_STATE_STOPPED, s.serving.current.Load())
	stopped.Detail = fmt.Sprintf("error=%q", err.Error())
	s.serving.current.Store(stopped)
}

// HasStopped reports whether the run loop has ended. Any goroutine may call it.
func (s *Shard[Command, Result]) HasStopped() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Status returns the status of the replica without the parts that only the application
// knows: the state of disks, the stored member set and the obstacle of a hand-over. It may
// also be called after the shard has stopped.
func (s *Shard[Command, Result]) Status(now time.Time) *wirev1.ReplicaStatus {
	status := s.Replica.Status(now)
	if s.serving.failure == nil {
		s.followServing(now)
	}
	current := s.serving.current.Load()
	status.State, status.StateMs, status.UnservedMs = current.State, now.Sub(current.Since).Milliseconds(), current.Unserved(now).Milliseconds()
	status.Summary = current.Text(now)
	status.AppliedIndex = s.applied
	status.FrozenMs = ageOf(now, s.serving.frozenSince).Milliseconds()
	status.InstallingSnapshot, status.InstallingMs = s.installing, ageOf(now, s.serving.installingSince).Milliseconds()
	status.Fencing = s.handOver.fencing
	status.LastSwap, status.LastFence = s.serving.lastSwap.status(now), s.serving.lastFence.status(now)
	status.HandOver = s.handOverStatus(now)
	if last := s.serving.lastHandOver; !last.at.IsZero() {
		status.LastHandOver = &wirev1.HandOverOutcome{Generation: last.generation, Outcome: last.outcome, AgoMs: replica.AgeMs(now, last.at)}
	}
	if s.serving.failure != nil {
		status.StoppedError = s.serving.failure.Error()
	}
	for _, member := range status.Members {
		if peer, known := s.host.options.Peer(member.Disk); known {
			member.Node, member.Address = peer.Node, peer.Address
		}
	}
	if status.Foreign != nil {
		status.Foreign.Node = s.nodeName(status.Foreign.Disk)
	}
	return status
}

// handOverStatus describes the hand-over that this replica drives; nil if there is none.
func (s *Shard[Command, Result]) handOverStatus(now time.Time) *wirev1.HandOverStatus {
	next := s.handOver.next
	if next.Generation == 0 {
		return nil
	}
	status := &wirev1.HandOverStatus{
		Generation: next.Generation, Members: next.Members, StartedAgoMs: replica.AgeMs(now, s.handOver.startedAt), Swapping: s.handOver.swapping,
	}
	if s.Replica.Frozen() {
		status.Unfrozen, status.LackingEntries = s.Replica.SealObstacles(next)
	}
	return status
}

// NextMemberSet returns the member set of the hand-over that this replica drives; its
// generation is 0 if there is none.
func (s *Shard[Command, Result]) NextMemberSet() replica.MemberSet { return s.handOver.next }

// status returns the wire form of the outcome; nil if there was no call.
func (w *memberSetWrite) status(now time.Time) *wirev1.MemberSetWrite {
	if w.at.IsZero() {
		return nil
	}
	status := &wirev1.MemberSetWrite{Generation: w.memberSet.Generation, Attempt: w.memberSet.Attempt, Committed: w.committed, AgoMs: replica.AgeMs(now, w.at)}
	if w.err != nil {
		status.Error = w.err.Error()
	}
	return status
}
