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

// Claims records idempotency keys durably.
type Claims interface {
	Claim(context.Context, uint32, *wirev1.Command) (*wirev1.CommandResult, error)
}

const (
	// claimTimeout bounds the recording of a claim, before its request is run.
	claimTimeout = 5 * time.Second
	// resolveTimeout bounds the recording of an answer; the caller gets its
	// answer whether or not it was recorded in time.
	resolveTimeout = 10 * time.Second
	// claimGrace is how long after its deadline a claim without an answer is
	// held to be running.
	claimGrace = 5 * time.Second
	statusOK   = 200
)

// generateOnce runs work that must not run twice. The key is claimed in the
// replicated store before the first byte goes to an engine; a resend through
// any node finds the claim and gets the same answer, "in progress" or "outcome
// unknown".
func (m *Module) generateOnce(c fiber.Ctx, request *online) error {
	if request.stream {
		return result.New(result.InvalidRequest, "work of class once is answered whole; leave out stream")
	}
	shards := m.batch.HomeShards(request.who.tenant.HomeRegion)
	if len(shards) == 0 {
		return result.New(result.StoreUnavailable, "no storage in the tenant's home region is known yet").WithRetryAfter(time.Second)
	}
	tenant, err := m.admit(request.who)
	if err != nil {
		return err
	}
	shard := claimShard(request, shards)
	record, granted, err := m.claim(request, shard)
	if err != nil {
		tenant.Release(time.Now(), 0)
		return err
	}
	if !granted {
		tenant.Release(time.Now(), 0)
		return replay(c, record)
	}
	return m.runClaimed(c, request, shard, tenant)
}

// claimShard is the same at every node, so that a resend meets the claim.
func claimShard(request *online, shards []uint32) uint32 {
	return shards[xxhash.Sum64String(request.who.tenant.Name+"\x00"+request.key)%uint64(len(shards))]
}

// claim asks for the key. A claim whose fate is unknown counts as not granted:
// nothing was dispatched, so the request was not run, and the claim it may
// have left behind blocks only its own key until it expires as unknown.
func (m *Module) claim(request *online, shard uint32) (*wirev1.ClaimRecord, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	now := time.Now()
	fingerprint := sha256.Sum256(append([]byte(request.asked+"\x00"), request.body...))
	answer, err := m.claims.Claim(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_Claim{Claim: &wirev1.Claim{
		Tenant: request.who.tenant.Name, Key: request.key, Fingerprint: fingerprint[:], RequestId: request.id,
		AtUnixMs: now.UnixMilli(), ExpiresUnixMs: now.Add(request.timeout + claimGrace).UnixMilli(),
	}}})
	if result.Is(err, result.CommitUnknown) {
		m.resolveLater(request, shard, &wirev1.ResolveClaim{State: wirev1.ClaimState_CLAIM_STATE_NOT_RUN})
		return nil, false, result.New(result.StoreUnavailable, "the idempotency key could not be recorded").WithRetryAfter(time.Second)
	}
	if err != nil {
		return nil, false, err
	}
	return answer.Claim, answer.Accepted == 1, nil
}

// replay answers a resend from the claim's record.
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

func (m *Module) runClaimed(c fiber.Ctx, request *online, shard uint32, tenant *limits.TenantLimiter) error {
	// Work that was claimed goes on when its caller hangs up: a resend fetches
	// the answer.
	ctx, cancel := context.WithTimeout(context.Background(), request.timeout)
	defer cancel()
	collected, err := m.collect(ctx, request)
	tenant.Release(time.Now(), collected.usage.CompletionTokens)
	if err != nil {
		failure := result.FromError(err)
		m.resolveLater(request, shard, resolutionOf(failure))
		return failure
	}
	body, err := collected.encodeWhole(request)
	if err != nil {
		return result.New(result.Internal, "encoding the answer: %v", err)
	}
	m.resolve(context.Background(), request, shard, &wirev1.ResolveClaim{State: wirev1.ClaimState_CLAIM_STATE_ANSWERED, HttpStatus: statusOK, Answer: body})
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(body)
}

// resolutionOf says what a failure means for the key: free again if the work
// provably did not run, the same refusal if the engine rejected it, else
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

// resolve records what became of the work under a key. If that fails, the claim stays
// in progress until it expires; the outcome is unknown from then on.
func (m *Module) resolve(ctx context.Context, request *online, shard uint32, resolution *wirev1.ResolveClaim) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	resolution.Tenant, resolution.Key, resolution.RequestId = request.who.tenant.Name, request.key, request.id
	resolution.AtUnixMs = time.Now().UnixMilli()
	_, err := m.claims.Claim(ctx, shard, &wirev1.Command{Kind: &wirev1.Command_ResolveClaim{ResolveClaim: resolution}})
	if err != nil {
		klog.InfoS("claim not resolved", "node", m.settings.Node.ID, "id", request.id, "shard", shard, "err", err)
	}
}

func (m *Module) resolveLater(request *online, shard uint32, resolution *wirev1.ResolveClaim) {
	m.background.Go(func() { m.resolve(m.lifetime, request, shard, resolution) })
}
