package openai

import (
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/bundle"
	"cobaltramp.example/cobaltramp/internal/serving/limits"
)

// caller is an authenticated caller with the bundle its request is served by:
// one request never sees two generations.
type caller struct {
	snapshot *bundle.Snapshot
	tenant   *bundle.CompiledTenant
}

type handler func(fiber.Ctx, *caller) error

const bearer = "Bearer "

// authenticated finds the tenant of the API key in the bundle in force.
func (m *Module) authenticated(next handler) fiber.Handler {
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
		return next(c, &caller{snapshot: snapshot, tenant: tenant})
	}
}

// admit holds the tenant to this node's share of its limits; the request must
// be released.
func (m *Module) admit(who *caller) (*limits.TenantLimiter, error) {
	limit := limits.TenantLimits{
		RequestsPerSecond: who.tenant.RequestsPerSecond, Burst: who.tenant.Burst,
		Concurrent: who.tenant.Concurrent, TokensPerMinute: who.tenant.TokensPerMinute,
	}
	share := 1.0
	if limit != (limits.TenantLimits{}) {
		share = m.shares.Share(who.tenant.Name)
	}
	tenant := m.limits.Tenant(who.tenant.Name, limit, share)
	if err := tenant.Admit(time.Now()); err != nil {
		return nil, err
	}
	return tenant, nil
}
