package bundles

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/cluster/ports"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
)

const (
	// maxCommitAttempts is the maximum number of attempts of a commit whose outcome is
	// unknown.
	maxCommitAttempts = 4
	// commitRetryDelay is the time between two attempts of a commit.
	commitRetryDelay = 300 * time.Millisecond
)

// Submit submits a signed bundle as the next generation and returns the new head. Of
// several concurrent submissions one succeeds and the others return
// GenerationConflict. Submit also returns BundleInvalid or SignatureInvalid for a
// submission that is refused, PlatformUnavailable if nothing was written, and
// SubmissionUnknown if the outcome is unknown; a call of Operation can then show whether
// the submission took effect. A submission with the operation ID of an operation that
// took effect returns the head that this operation wrote.
func (m *Module) Submit(ctx context.Context, submission *bundle.Submission) (*bundle.Head, error) {
	current, revision, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if earlier, err := m.Operation(ctx, submission.OperationID); err != nil || earlier != nil {
		return earlier, err
	}
	var authority *bundle.Snapshot
	if current != nil {
		if authority, err = m.snapshotOf(ctx, current); err != nil {
			return nil, platformUnavailable(err)
		}
	}
	next, snapshot, err := bundle.Accept(current, authority, m.settings.Cluster, submission, time.Now())
	if err != nil {
		return nil, err
	}
	base := authority
	if next.Generation%fullGenerationInterval == 1 {
		base = nil
	}
	delta, err := snapshot.DeltaFrom(base).Encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	content := ports.Put{Key: GenerationKey(m.settings.Cluster, next.Generation), Value: delta}
	return m.commitHead(ctx, next, revision, content)
}

// Roll advances or halts the rollout of the newest generation and returns the new
// head. It returns NotFound if there is no bundle yet, InvalidRequest for an action that
// does not exist, GenerationConflict if the request is not for the newest generation or
// another change was accepted first, and otherwise SignatureInvalid,
// PlatformUnavailable and SubmissionUnknown like Submit.
func (m *Module) Roll(ctx context.Context, request *bundle.RollRequest) (*bundle.Head, error) {
	current, revision, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if earlier, err := m.Operation(ctx, request.OperationID); err != nil || earlier != nil {
		return earlier, err
	}
	if current == nil {
		return nil, result.New(result.NotFound, "no bundle was submitted yet")
	}
	if request.Generation != current.Generation {
		return nil, result.New(result.GenerationConflict, "the request is for generation %d, the newest is %d", request.Generation, current.Generation)
	}
	authority, err := m.snapshotOf(ctx, current)
	if err != nil {
		return nil, platformUnavailable(err)
	}
	if err := bundle.VerifyRoll(authority, m.settings.Cluster, request); err != nil {
		return nil, err
	}
	next, err := bundle.Roll(current, request.Action, request.OperationID, time.Now())
	if err != nil {
		return nil, err
	}
	return m.commitHead(ctx, next, revision)
}

// History returns the stored deltas of the newest generations, at most limit, the
// newest first. It returns PlatformUnavailable if a delta cannot be read.
func (m *Module) History(ctx context.Context, limit int) ([]*bundle.Delta, error) {
	head, _, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var history []*bundle.Delta
	if head == nil {
		return history, nil
	}
	for generation := head.Generation; generation > 0 && len(history) < limit; generation-- {
		delta, err := m.storedDelta(ctx, generation)
		if err != nil {
			return nil, platformUnavailable(err)
		}
		history = append(history, delta)
	}
	return history, nil
}

func (m *Module) snapshotOf(ctx context.Context, head *bundle.Head) (*bundle.Snapshot, error) {
	m.updateMutex.Lock()
	defer m.updateMutex.Unlock()
	return m.loadSnapshot(ctx, head.Generation, head.Digest, "")
}

func (m *Module) readHead(ctx context.Context) (*bundle.Head, int64, error) {
	value, found, err := m.store.Get(ctx, m.headKey())
	m.platformReachable.Store(err == nil)
	if err != nil {
		return nil, 0, platformUnavailable(err)
	}
	if !found {
		return nil, 0, nil
	}
	head, err := bundle.DecodeHead(value.Value)
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	return head, value.Revision, nil
}

func platformUnavailable(err error) error {
	return result.New(result.PlatformUnavailable, "the platform's key-value service does not answer: %v", trace.UserMessage(err)).WithRetryAfter(time.Second)
}

// Operation returns the head that an operation wrote, or nil if the operation has not
// taken effect. It returns PlatformUnavailable if the record cannot be read.
func (m *Module) Operation(ctx context.Context, operation string) (*bundle.Head, error) {
	value, found, err := m.store.Get(ctx, OperationKey(m.settings.Cluster, operation))
	if err != nil {
		return nil, platformUnavailable(err)
	}
	if !found {
		return nil, nil
	}
	return bundle.DecodeHead(value.Value)
}

// commitHead replaces the stored head if its key still has the given revision in the
// key-value service, and applies the new head to this node. The same transaction writes
// the operation's record and the puts in more. The record shows whether the operation
// took effect, also after the head has changed again.
func (m *Module) commitHead(ctx context.Context, next *bundle.Head, revision int64, more ...ports.Put) (*bundle.Head, error) {
	puts := append([]ports.Put{
		{Key: m.headKey(), Value: next.Encode()},
		{Key: OperationKey(m.settings.Cluster, next.OperationID), Value: next.Encode()},
	}, more...)
	for range maxCommitAttempts {
		committed, err := m.store.Commit(ctx, []ports.Condition{{Key: m.headKey(), Revision: revision}}, puts)
		switch {
		case err == nil && committed:
			m.applyOwnHead(ctx, next)
			return next, nil
		case err == nil:
			return m.resolveConflict(ctx, next)
		case !errors.Is(err, ports.ErrOutcomeUnknown):
			return nil, platformUnavailable(err)
		}
		// The outcome is unknown. Retrying is safe: the condition allows the commit to
		// take effect only once.
		select {
		case <-ctx.Done():
		case <-time.After(commitRetryDelay):
		}
	}
	return nil, result.New(result.SubmissionUnknown, "the answer was lost; ask again with operation %s", next.OperationID)
}

// resolveConflict handles a commit that failed because the head has changed: either by
// an earlier attempt of the same operation, whose response was lost, or by another
// operation.
func (m *Module) resolveConflict(ctx context.Context, next *bundle.Head) (*bundle.Head, error) {
	earlier, err := m.Operation(ctx, next.OperationID)
	if err != nil {
		return nil, result.New(result.SubmissionUnknown, "cannot read whether operation %s took effect: %v", next.OperationID, err)
	}
	if earlier == nil {
		return nil, result.New(result.GenerationConflict, "another change was accepted first")
	}
	m.applyOwnHead(ctx, earlier)
	return earlier, nil
}

func (m *Module) applyOwnHead(ctx context.Context, head *bundle.Head) {
	if err := m.ApplyHead(ctx, head, ""); err != nil {
		m.platformReachable.Store(false)
	}
}
