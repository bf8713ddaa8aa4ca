package openai

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/limits"
)

// callerIdentity is the authenticated caller of one request: its tenant, and the
// snapshot of the bundle that contains the tenant. All steps of the request use this
// snapshot, so that a request never sees two generations of the bundle.
type callerIdentity struct {
	snapshot *bundle.Snapshot
	tenant   *bundle.CompiledTenant
}

type authenticatedHandler func(fiber.Ctx, *callerIdentity) error

const bearer = "Bearer "

// authenticated wraps a handler with authentication: it looks up the tenant of the API
// key in the active bundle. Requests are refused while the node drains or has no bundle.
func (m *Module) authenticated(next authenticatedHandler) fiber.Handler {
	return func(c fiber.Ctx) error {
		if m.draining.Load() {
			return result.New(result.Draining, "this node is stopping; use another").WithRetryAfter(time.Second)
		}
		snapshot := m.snapshots.Snapshot()
		if snapshot == nil {
			return result.New(result.NotReady, "no bundle is in force on this node yet").WithRetryAfter(time.Second)
		}
		header := c.Get(fiber.HeaderAuthorization)
		key, found := strings.CutPrefix(header, bearer)
		if !found || key == "" {
			return result.New(result.Unauthenticated, "send the header Authorization: Bearer <API key>")
		}
		tenant, known := snapshot.TenantByKey(key)
		if !known {
			return result.New(result.Unauthenticated, "the API key is not of a tenant in the bundle in force")
		}
		return next(c, &callerIdentity{snapshot: snapshot, tenant: tenant})
	}
}

// admit checks a request against this node's share of its tenant's limits. If it is
// admitted, the caller must call Release on the returned limiter when the request ends.
func (m *Module) admit(caller *callerIdentity) (*limits.TenantLimiter, error) {
	limit := limits.TenantLimits{
		RequestsPerSecond: caller.tenant.RequestsPerSecond, Burst: caller.tenant.Burst,
		Concurrent: caller.tenant.Concurrent, TokensPerMinute: caller.tenant.TokensPerMinute,
	}
	share := 1.0
	if limit != (limits.TenantLimits{}) {
		share = m.shares.Share(caller.tenant.Name)
	}
	limiter := m.limits.Tenant(caller.tenant.Name, limit, share)
	if err := limiter.Admit(time.Now()); err != nil {
		return nil, err
	}
	return limiter, nil
}
