package router

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// isOwnershipChange reports whether a change of ownership may be the reason for a refusal:
// the owner does not own the runners, is stopping, is not ready yet, or is unreachable.
func isOwnershipChange(err error) bool {
	switch result.CodeOf(err) {
	case result.NotOwner, result.Draining, result.PeerUnreachable, result.NotReady:
		return true
	default:
		return false
	}
}

// refusedNotRun reports whether an error proves that the work was not run.
func refusedNotRun(err error) bool {
	switch result.CodeOf(err) {
	case result.PeerUnreachable, result.NotOwner, result.Saturated, result.NoRunner,
		result.EngineRefused, result.Draining, result.NotReady, result.UnknownModel:
		return true
	default:
		return false
	}
}

// isStreamLost reports whether an error means that the stream may have run, in part or to
// its end, so that the response has to be resumed.
func isStreamLost(err error) bool {
	if errors.Is(err, rpc.ErrLinkLost) {
		return true
	}
	switch result.CodeOf(err) {
	case result.RunnerLost, result.OutcomeUnknown, result.EngineFailed:
		return true
	default:
		return false
	}
}

// isUnreachable reports whether the connection to a node failed or was lost.
func isUnreachable(err error) bool {
	return errors.Is(err, rpc.ErrLinkLost) || result.Is(err, result.PeerUnreachable)
}

// refusalError returns the final error of a request whose last attempt was refused. If a
// stream of the request was lost before, the error does not claim that nothing was run.
func (g *generation) refusalError(err error, continuations int) error {
	if continuations > 0 {
		return g.brokenError(err)
	}
	return err
}

// contextError returns the error of a request whose context has ended.
func (g *generation) contextError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "the deadline passed while running")
	}
	if result.CodeOf(err) == result.DeadlineExceeded {
		return err
	}
	return result.New(result.CallerGone, "the caller hung up")
}

// brokenError returns the final error of a response that cannot be resumed:
// OutcomeUnknown if no text was emitted, and StreamBroken otherwise.
func (g *generation) brokenError(cause error) error {
	if errors.Is(cause, rpc.ErrLinkLost) {
		cause = result.New(result.RunnerLost, "the owner node was lost")
	}
	message := result.FromError(cause).Message
	if g.tokens == 0 {
		return result.New(result.OutcomeUnknown, "lost after dispatch: %s", message)
	}
	return result.New(result.StreamBroken, "lost after %d tokens: %s", g.tokens, message)
}

// logBroken logs that a response whose stream was lost because of the cause is not continued,
// and why.
func (g *generation) logBroken(cause error, reason string) {
	klog.InfoS("lost response is not continued", "id", g.request.ID, "fingerprint", g.work.Fingerprint, "owner", g.ownerID, "runner", g.runner,
		"attempts", g.attempt, "tokens", g.tokens, "reason", reason, "cause", cause)
}

// noOwnerError returns the error of a request for which choose found no owner.
func (g *generation) noOwnerError() error {
	if len(g.module.runnerTables.Table().Pools[g.request.Model.Service]) == 0 {
		return result.New(result.NoRunner, "no runner serves model %s", g.request.Model.Name).WithRetryAfter(time.Second)
	}
	return result.New(result.Saturated, "every runner of model %s is full", g.request.Model.Name).WithRetryAfter(time.Second)
}
