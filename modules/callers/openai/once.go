package openai

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"k8s.io/klog/v2"

	wirev1 "cobaltramp.example/cobaltramp/api/wire/v1"
	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/serving/limits"
)

// Claims stores claims of idempotency keys durably. Claim sends a command to a shard.
type Claims interface {
	Claim(context.Context, uint32, *wirev1.Command) (*wirev1.CommandResult, error)
}

const (
	// claimTimeout is the timeout for storing a claim before its request is run.
	claimTimeout = 5 * time.Second
	// resolveTimeout is the timeout for storing the outcome of a request. The caller
	// gets the response even if its outcome is not stored in time.
	resolveTimeout = 10 * time.Second
	// claimGrace is how long after the request's timeout a claim without an outcome
	// still counts as running.
	claimGrace = 5 * time.Second
	statusOK   = 200
)

// generateOnce runs a request of work class once, which must not run twice. It claims the
// request's idempotency key in the replicated store before anything is sent to an engine.
// A request with the same key that arrives later, at any node, finds the claim. It gets
// the stored response or error, InProgress while the first request runs, or
// OutcomeUnknown, or KeyReused if its model or body differs. If the first request
// certainly did not run, the later one is run.
func (m *Module) generateOnce(c fiber.Ctx, request *onlineRequest) error {
	if request.stream {
		return result.New(result.InvalidRequest, "work of class once is answered whole; leave out stream")
	}
	shards := m.batch.HomeShards(request.caller.tenant.HomeRegion)
	if len(shards) == 0 {
		return result.New(result.StoreUnavailable, "no storage in the tenant's home region is known yet").WithRetryAfter(time.Second)
	}
	limiter, err := m.admit(request.caller)
	if err != nil {
		return err
	}
	shard := claimShard(request, shards)
	record, granted, err := m.claim(request, shard)
	if err != nil {
		limiter.Release(time.Now(), 0)
		return err
	}
	if !granted {
		limiter.Release(time.Now(), 0)
		return replay(c, record)
	}
	return m.runClaimed(c, request, shard, limiter)
}

// claimShard returns the shard of a request's claim. Nodes that know the same shards
// choose the same shard for a key, so that a repeated request finds the claim.
func claimShard(request *onlineRequest, shards []uint32) uint32 {
	return shards[xxhash.Sum64String(request.caller.tenant.Name+"\x00"+request.idempotencyKey)%uint64(len(shards))]
}

// claim claims the request's idempotency key, and returns the key's record and whether
// the claim was granted. If it is unknown whether the claim was stored, claim returns
// StoreUnavailable and releases the key in the background: the request has not been
// dispatched and may be sent again. A claim that was stored blocks its key until it is
// resolved or expires.
func (m *Module) claim(request *onlineRequest, shard uint32) (*wirev1.ClaimRecord, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	now := time.Now()
	fingerprint := sha256.Sum256(append([]byte(request.requestedModel+"\x00"), request.body...))
	reply, err := m.claims.Claim(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_Claim{Claim: &wirev1.Claim{
		Tenant: request.caller.tenant.Name, Key: request.idempotencyKey, Fingerprint: fingerprint[:], RequestId: request.id,
		AtUnixMs: now.UnixMilli(), ExpiresUnixMs: now.Add(request.timeout + claimGrace).UnixMilli(),
	}}})
	if result.Is(err, result.CommitUnknown) {
		m.resolveLater(request, shard, &wirev1.ResolveClaim{State: wirev1.ClaimState_CLAIM_STATE_NOT_RUN})
		return nil, false, result.New(result.StoreUnavailable, "the idempotency key could not be recorded").WithRetryAfter(time.Second)
	}
	if err != nil {
		return nil, false, err
	}
	return reply.Claim, reply.Accepted == 1, nil
}

// replay responds to a repeated request from the record of its claim.
func replay(c fiber.Ctx, record *wirev1.ClaimRecord) error {
	switch record.State {
	case wirev1.ClaimState_CLAIM_STATE_ANSWERED:
		if record.Code != 0 {
			return result.New(result.Code(record.Code), "%s", record.Answer)
		}
		c.Set("X-Idempotent-Replay", "true")
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Status(int(record.HttpStatus)).Send(record.Answer)
	case wirev1.ClaimState_CLAIM_STATE_UNKNOWN:
		return result.New(result.OutcomeUnknown, "the request under this key was dispatched and its outcome is not known")
	default:
		return result.New(result.InProgress, "the request under this key is running").WithRetryAfter(time.Second)
	}
}

func (m *Module) runClaimed(c fiber.Ctx, request *onlineRequest, shard uint32, limiter *limits.TenantLimiter) error {
	// The request continues when its caller disconnects, because the caller can fetch
	// the response by repeating the request.
	ctx, cancel := context.WithTimeout(context.Background(), request.timeout)
	defer cancel()
	response, err := m.collectResponse(ctx, request)
	limiter.Release(time.Now(), response.usage.CompletionTokens)
	if err != nil {
		failure := result.FromError(err)
		m.resolveLater(request, shard, resolutionOf(failure))
		return failure
	}
	body, err := response.encodeJSON(request)
	if err != nil {
		return result.New(result.Internal, "encoding the answer: %v", err)
	}
	m.resolve(context.Background(), request, shard, &wirev1.ResolveClaim{State: wirev1.ClaimState_CLAIM_STATE_ANSWERED, HttpStatus: statusOK, Answer: body})
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

// resolutionOf returns the outcome to store for the claim of a failed request. If the
// engine rejected the request, repeated requests get the same error. If the request
// certainly did not run, the key can be claimed again. In all other cases the outcome is
// unknown.
func resolutionOf(failure *result.Error) *wirev1.ResolveClaim {
	entry := failure.Code.Entry()
	switch {
	case failure.Code == result.EngineRejected:
		return &wirev1.ResolveClaim{State: wirev1.ClaimState_CLAIM_STATE_ANSWERED, HttpStatus: uint32(entry.HTTPStatus), Code: uint32(failure.Code), Answer: []byte(failure.Message)}
	case entry.Ran == result.RanNo:
		return &wirev1.ResolveClaim{State: wirev1.ClaimState_CLAIM_STATE_NOT_RUN}
	default:
		return &wirev1.ResolveClaim{State: wirev1.ClaimState_CLAIM_STATE_UNKNOWN, Code: uint32(failure.Code)}
	}
}

// resolve stores the outcome of a claimed request. If resolve cannot store the outcome,
// the claim remains in progress until it expires, and its outcome is unknown from then on.
func (m *Module) resolve(ctx context.Context, request *onlineRequest, shard uint32, resolution *wirev1.ResolveClaim) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	resolution.Tenant, resolution.Key, resolution.RequestId = request.caller.tenant.Name, request.idempotencyKey, request.id
	resolution.AtUnixMs = time.Now().UnixMilli()
	_, err := m.claims.Claim(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_ResolveClaim{ResolveClaim: resolution}})
	if err != nil {
		klog.InfoS("cannot store the outcome of a claim", "node", m.settings.Node.ID, "id", request.id, "shard", shard, "err", err)
	}
}

func (m *Module) resolveLater(request *onlineRequest, shard uint32, resolution *wirev1.ResolveClaim) {
	m.background.Go(func() { m.resolve(m.startContext, request, shard, resolution) })
}
