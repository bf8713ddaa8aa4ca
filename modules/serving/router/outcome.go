package router

import (
	"context"
	"errors"
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/transport/rpc"
)

// ownershipMoves lists refusals that end by themselves within moments: the
// owner is stopping, has just taken over, or is gone.
func ownershipMoves(err error) bool {
	switch result.CodeOf(err) {
	case result.NotOwner, result.Draining, result.PeerUnreachable, result.NotReady:
		return true
	default:
		return false
	}
}

// refusedNotRun lists the errors that prove the work was not run.
func refusedNotRun(err error) bool {
	switch result.CodeOf(err) {
	case result.PeerUnreachable, result.NotOwner, result.Saturated, result.NoRunner,
		result.EngineRefused, result.Draining, result.NotReady, result.UnknownModel:
		return true
	default:
		return false
	}
}

// lost lists the errors after which the stream may still run somewhere.
func lost(err error) bool {
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

func unreachable(err error) bool {
	return errors.Is(err, rpc.ErrLinkLost) || result.Is(err, result.PeerUnreachable)
}

// refusal is the error of a request no owner takes. "Not run" is said only if
// no earlier attempt ran.
func (g *generation) refusal(err error, continuations int) error {
	if continuations > 0 {
		return g.broken(err)
	}
	return err
}

func (g *generation) contextError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.New(result.DeadlineExceeded, "the deadline passed while running")
	}
	if result.CodeOf(err) == result.DeadlineExceeded {
		return err
	}
	return result.New(result.CallerGone, "the caller hung up")
}

// broken is the final error of an answer that cannot be carried on.
func (g *generation) broken(cause error) error {
	if errors.Is(cause, rpc.ErrLinkLost) {
		cause = result.New(result.RunnerLost, "the owner node was lost")
	}
	message := result.FromError(cause).Message
	if g.tokens == 0 {
		return result.New(result.OutcomeUnknown, "lost after dispatch: %s", message)
	}
	return result.New(result.StreamBroken, "lost after %d tokens: %s", g.tokens, message)
}

// noOwner is the refusal when no owner has a free slot.
func (g *generation) noOwner() error {
	if len(g.module.tables.Table().Pools[g.request.Model.Service]) == 0 {
		return result.New(result.NoRunner, "no runner serves model %s", g.request.Model.Name).WithRetryAfter(time.Second)
	}
	return result.New(result.Saturated, "every runner of model %s is full", g.request.Model.Name).WithRetryAfter(time.Second)
}
