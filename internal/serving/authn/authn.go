// Package authn decides whose request one is, by the key that its caller sent
// and the configuration in force. Its errors hold no part of a key.
//
// It owns nothing and does no I/O; it relies on package catalog for the tenants and
// their keys. The edge runs it first; package admission then holds the tenant to its
// limit. The plain node authenticates against its bundle instead.
package authn

import (
	"time"

	"cobaltramp.example/cobaltramp/internal/app/result"
	"cobaltramp.example/cobaltramp/internal/configuration/catalog"
)

// Credentials are what a request carries: a key, or what is wrong with it.
type Credentials struct {
	Key string
	// Problem says why there is no key that could be looked up; empty if there is.
	Problem string
}

// Authenticator finds the tenants of requests.
type Authenticator struct {
	// RevokeTime is for how long the configuration may be unconfirmed before keys are
	// refused, which may have been taken away meanwhile; 0 is any time.
	RevokeTime time.Duration
	// SinceConfirmed returns how long ago the configuration in force was last known to
	// be the newest; nil where that is not known.
	SinceConfirmed func() time.Duration
}

// staleRetryAfter is when a caller should come back to a node that does not know
// whether keys still hold.
const staleRetryAfter = time.Second

// UnconfirmedFor is how long ago the configuration in force was last known to be the
// newest; 0 where that is not known.
func (a *Authenticator) UnconfirmedFor() time.Duration {
	if a.SinceConfirmed == nil {
		return 0
	}
	return a.SinceConfirmed()
}

// Authenticate returns the tenant that holds the key: nil where the configuration
// has no tenants, or the route is public and nobody holds the key.
func (a *Authenticator) Authenticate(held *catalog.Catalog, credentials Credentials, public bool) (*catalog.Tenant, error) {
	if !held.RequiresKeys() {
		return nil, nil
	}
	problem := credentials.Problem
	if problem == "" {
		if tenant := held.TenantOf(credentials.Key); tenant != nil {
			return a.fresh(held, tenant)
		}
		problem = "the key is not known"
	}
	if public {
		return nil, nil
	}
	return nil, result.New(result.Unauthenticated, "%s in version %d", problem, held.Version)
}

// fresh refuses a tenant's request if its key may have been taken away without
// this node knowing.
func (a *Authenticator) fresh(held *catalog.Catalog, tenant *catalog.Tenant) (*catalog.Tenant, error) {
	age := a.UnconfirmedFor()
	if a.RevokeTime == 0 || age <= a.RevokeTime {
		return tenant, nil
	}
	return nil, result.New(result.NotReady, "keys can't be checked: the configuration is not confirmed for %s, version %d is held",
		age.Round(time.Millisecond), held.Version).WithRetryAfter(staleRetryAfter)
}
