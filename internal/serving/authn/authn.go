// Package authn determines the tenant of a request from the key that the caller sent and
// from the active configuration (package catalog), which contains the tenants and their
// keys. The errors contain no part of a key. The package keeps no state and does no I/O.
//
// The edge uses this package before package admission applies the tenant's limit. The
// plain node authenticates against its bundle instead.
package authn

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

// Credentials are the credentials of a request: a key, or the reason why the request has
// no usable key.
type Credentials struct {
	Key string
	// Problem describes why there is no key to look up; empty if there is a key.
	Problem string
}

// Authenticator determines the tenants of requests.
type Authenticator struct {
	// RevokeTime is how long the configuration may be unconfirmed before valid keys are
	// refused, since they may have been revoked in the meantime; 0 disables the check.
	RevokeTime time.Duration
	// SinceConfirmed returns the time since the active configuration was last confirmed
	// to be the newest. If it is nil, the configuration counts as just confirmed.
	SinceConfirmed func() time.Duration
}

// MaxUnconfirmed is how long the configuration may be unconfirmed before what it lacks, a route or
// a key, counts as unknown and not as missing: the newest one may have it. It covers the usual time
// between two confirmations.
const MaxUnconfirmed = 3 * time.Second

// staleRetryAfter is the delay after which a caller should retry if the node does not know
// whether keys are still valid.
const staleRetryAfter = time.Second

// UnconfirmedFor returns the time since the active configuration was last confirmed to be
// the newest; 0 if SinceConfirmed is nil.
func (a *Authenticator) UnconfirmedFor() time.Duration {
	if a.SinceConfirmed == nil {
		return 0
	}
	return a.SinceConfirmed()
}

// Authenticate returns the tenant that the key belongs to. If there is no key, or it belongs
// to no tenant, the result is nil on a public route and the error Unauthenticated on others.
// If the tenant's key may have been revoked, the error is NotReady, also on a public route. So it
// is on the others if a key that is not known may belong to a newer configuration.
// If the configuration requires no keys, the result is nil in all cases.
func (a *Authenticator) Authenticate(current *catalog.Catalog, credentials Credentials, public bool) (*catalog.Tenant, error) {
	if !current.RequiresKeys() {
		return nil, nil
	}
	problem := credentials.Problem
	if problem == "" {
		if tenant := current.TenantOf(credentials.Key); tenant != nil {
			return a.checkConfirmed(current, tenant)
		}
		problem = "the key is not known"
	}
	if public {
		return nil, nil
	}
	if credentials.Problem == "" && a.UnconfirmedFor() > MaxUnconfirmed {
		return nil, a.UnconfirmedError(current, "the key is not known")
	}
	return nil, result.New(result.Unauthenticated, "%s in version %d", problem, current.Version)
}

// checkConfirmed returns the tenant, or NotReady if the configuration has been unconfirmed
// for longer than RevokeTime: the tenant's key may have been revoked since.
func (a *Authenticator) checkConfirmed(current *catalog.Catalog, tenant *catalog.Tenant) (*catalog.Tenant, error) {
	age := a.UnconfirmedFor()
	if a.RevokeTime == 0 || age <= a.RevokeTime {
		return tenant, nil
	}
	return nil, a.UnconfirmedError(current, "keys can't be checked")
}

// UnconfirmedError returns the error NotReady for a request that can't be decided, for a reason,
// because the configuration is not confirmed. The caller may retry it at another node.
func (a *Authenticator) UnconfirmedError(current *catalog.Catalog, reason string) error {
	return result.New(result.NotReady, "%s: the configuration is not confirmed for %s, version %d is held",
		reason, a.UnconfirmedFor().Round(time.Millisecond), current.Version).WithRetryAfter(staleRetryAfter)
}
