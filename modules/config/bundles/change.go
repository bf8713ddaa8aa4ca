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
	// commitTries bounds how often a commit whose answer was lost is sent.
	commitTries = 4
	// commitPause is the time between two of them.
	commitPause = 300 * time.Millisecond
)

// Submit offers a signed bundle as the next generation. Operators race by
// compare-and-swap: one wins, the others get GenerationConflict. Other errors:
// BundleInvalid, SignatureInvalid, PlatformUnavailable (nothing was written), and
// SubmissionUnknown (it may have been: ask Operation). A submission sent again
// returns the head that the first one wrote.
func (m *Module) Submit(ctx context.Context, submission *bundle.Submission) (*bundle.Head, error) {
	current, revision, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if done, err := m.Operation(ctx, submission.OperationID); err != nil || done != nil {
		return done, err
	}
	var judge *bundle.Snapshot
	if current != nil {
		if judge, err = m.contentFor(ctx, current); err != nil {
			return nil, unavailable(err)
		}
	}
	next, snapshot, err := bundle.Accept(current, judge, m.settings.Cluster, submission, time.Now())
	if err != nil {
		return nil, err
	}
	base := judge
	if next.Generation%fullEvery == 1 {
		base = nil
	}
	delta, err := snapshot.DeltaFrom(base).Encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	content := ports.Put{Key: GenerationKey(m.settings.Cluster, next.Generation), Value: delta}
	return m.commitHead(ctx, next, revision, content)
}

// Roll advances or halts the newest generation. Errors are those of Submit, and
// NotFound before the first bundle.
func (m *Module) Roll(ctx context.Context, request *bundle.RollRequest) (*bundle.Head, error) {
	current, revision, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if done, err := m.Operation(ctx, request.OperationID); err != nil || done != nil {
		return done, err
	}
	if current == nil {
		return nil, result.New(result.NotFound, "no bundle was submitted yet")
	}
	if request.Generation != current.Generation {
		return nil, result.New(result.GenerationConflict, "the request is for generation %d, the newest is %d", request.Generation, current.Generation)
	}
	judge, err := m.contentFor(ctx, current)
	if err != nil {
		return nil, unavailable(err)
	}
	if err := bundle.VerifyRoll(judge, m.settings.Cluster, request); err != nil {
		return nil, err
	}
	next, err := bundle.Roll(current, request.Action, request.OperationID, time.Now())
	if err != nil {
		return nil, err
	}
	return m.commitHead(ctx, next, revision)
}

// History returns the stored deltas' generations, digests and sign-offs, the
// newest first, up to limit. It returns PlatformUnavailable if one can't be read.
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
			return nil, unavailable(err)
		}
		history = append(history, delta)
	}
	return history, nil
}

func (m *Module) contentFor(ctx context.Context, head *bundle.Head) (*bundle.Snapshot, error) {
	m.applying.Lock()
	defer m.applying.Unlock()
	return m.content(ctx, head.Generation, head.Digest, "")
}

func (m *Module) readHead(ctx context.Context) (*bundle.Head, int64, error) {
	value, found, err := m.store.Get(ctx, m.headKey())
	m.reachable.Store(err == nil)
	if err != nil {
		return nil, 0, unavailable(err)
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

func unavailable(err error) error {
	return result.New(result.PlatformUnavailable, "the platform's key-value service does not answer: %v", trace.UserMessage(err)).WithRetryAfter(time.Second)
}

// Operation returns the head an operation wrote, nil if it took no effect. It
// returns PlatformUnavailable if that can't be read.
func (m *Module) Operation(ctx context.Context, operation string) (*bundle.Head, error) {
	value, found, err := m.store.Get(ctx, OperationKey(m.settings.Cluster, operation))
	if err != nil {
		return nil, unavailable(err)
	}
	if !found {
		return nil, nil
	}
	return bundle.DecodeHead(value.Value)
}

// commitHead replaces the head if it is still at the revision read. The
// operation's own key is written in the same transaction, so a lost answer is
// resolved by reading it, whatever happened to the head since.
func (m *Module) commitHead(ctx context.Context, next *bundle.Head, revision int64, more ...ports.Put) (*bundle.Head, error) {
	puts := append([]ports.Put{
		{Key: m.headKey(), Value: next.Encode()},
		{Key: OperationKey(m.settings.Cluster, next.OperationID), Value: next.Encode()},
	}, more...)
	for range commitTries {
		committed, err := m.store.Commit(ctx, []ports.Condition{{Key: m.headKey(), Revision: revision}}, puts)
		switch {
		case err == nil && committed:
			m.learnOwn(ctx, next)
			return next, nil
		case err == nil:
			return m.lostRace(ctx, next)
		case !errors.Is(err, ports.ErrOutcomeUnknown):
			return nil, unavailable(err)
		}
		// The answer was lost. The same commit again is safe: the condition
		// lets it take effect at most once, and both tries write the same.
		select {
		case <-ctx.Done():
		case <-time.After(commitPause):
		}
	}
	return nil, result.New(result.SubmissionUnknown, "the answer was lost; ask again with operation %s", next.OperationID)
}

// lostRace is reached when the head has moved: by an earlier try of this very
// operation, whose answer was lost, or by someone else.
func (m *Module) lostRace(ctx context.Context, next *bundle.Head) (*bundle.Head, error) {
	done, err := m.Operation(ctx, next.OperationID)
	if err != nil {
		return nil, result.New(result.SubmissionUnknown, "cannot read whether operation %s took effect: %v", next.OperationID, err)
	}
	if done == nil {
		return nil, result.New(result.GenerationConflict, "another change was accepted first")
	}
	m.learnOwn(ctx, done)
	return done, nil
}

func (m *Module) learnOwn(ctx context.Context, head *bundle.Head) {
	if err := m.Learn(ctx, head, ""); err != nil {
		m.reachable.Store(false)
	}
}
