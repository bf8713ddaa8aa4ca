package catalog

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"unicode"
)

// Tenant is a customer whose requests share one rate limit.
type Tenant struct {
	Name string
	// Priority orders the tenant's requests and takes precedence over their
	// route's priority; 0 is the highest.
	Priority int
	// RatePerSecond is the maximum rate of the tenant's requests to all nodes
	// together, in requests per second; 0 means no limit. Burst is the number of
	// requests that the tenant may send at once beyond the rate.
	RatePerSecond float64
	Burst         float64
}

// TenantSpec is a tenant with its keys, as written in the configuration.
type TenantSpec struct {
	Tenant
	Keys []string
}

// KeyDigest is the SHA-256 digest of a caller's key. A Catalog contains only the
// digests; the keys are in the configuration's source text.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. Keys are looked up by digest, so that the
// duration of a look-up reveals nothing about existing keys.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// InvalidTenantError reports an invalid field of a tenant. A version with an invalid
// tenant is refused as a whole. The error text never contains a key; it identifies a
// key by its position in the tenant's list, counted from 0.
type InvalidTenantError struct {
	Tenant, Field, Found, Allowed string
}

// Error implements error.
func (e *InvalidTenantError) Error() string {
	return fmt.Sprintf("tenant %q: %s: found %s, allowed: %s", e.Tenant, e.Field, e.Found, e.Allowed)
}

// SetTenants replaces the tenants of the version. It must be called before the
// version becomes active. It returns an *InvalidTenantError for the first invalid
// tenant; the version must not be used then.
func (c *Catalog) SetTenants(specs []TenantSpec) error {
	c.tenants = map[string]*Tenant{}
	c.keys = map[KeyDigest]*Tenant{}
	for i := range specs {
		if err := c.addTenant(&specs[i]); err != nil {
			return err
		}
	}
	return nil
}

func (c *Catalog) addTenant(spec *TenantSpec) error {
	switch {
	case !validTenantName(spec.Name):
		return &InvalidTenantError{spec.Name, "name", "an invalid name", "1 to 128 printable characters without a slash, no blank at either end"}
	case c.tenants[spec.Name] != nil:
		return &InvalidTenantError{spec.Name, "name", "the name twice", "each name once"}
	case spec.RatePerSecond < 0:
		return &InvalidTenantError{spec.Name, "rate", fmt.Sprint(spec.RatePerSecond), "0 (no limit) or more"}
	case spec.Burst < 0:
		return &InvalidTenantError{spec.Name, "burst", fmt.Sprint(spec.Burst), "0 or more"}
	}
	tenant := spec.Tenant
	c.tenants[spec.Name] = &tenant
	for number, key := range spec.Keys {
		if key == "" {
			return &InvalidTenantError{spec.Name, "keys", fmt.Sprintf("an empty key at position %d", number), "keys that are not empty"}
		}
		digest := DigestKey(key)
		if other := c.keys[digest]; other != nil {
			found := fmt.Sprintf("the key at position %d also in the keys of tenant %q", number, other.Name)
			return &InvalidTenantError{spec.Name, "keys", found, "each key once"}
		}
		c.keys[digest] = &tenant
	}
	return nil
}

const maxTenantNameBytes = 128

// validTenantName reports whether a name can be used in header fields and in the
// IDs of jobs.
func validTenantName(name string) bool {
	if name == "" || len(name) > maxTenantNameBytes || strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool {
		return char == '/' || char > unicode.MaxASCII || !unicode.IsPrint(char)
	})
}

// RequiresKeys reports whether the version has tenants. Without tenants, no request
// needs a key.
func (c *Catalog) RequiresKeys() bool { return len(c.tenants) > 0 }

// TenantOf returns the tenant that has the key, or nil if no tenant has it.
func (c *Catalog) TenantOf(key string) *Tenant { return c.keys[DigestKey(key)] }

// Tenant returns the tenant with the name, or nil if there is none.
func (c *Catalog) Tenant(name string) *Tenant { return c.tenants[name] }

// TenantCount returns the number of tenants in the version.
func (c *Catalog) TenantCount() int { return len(c.tenants) }

// HasRateLimit reports whether the tenant has a rate limit. A nil tenant has none.
func (t *Tenant) HasRateLimit() bool { return t != nil && t.RatePerSecond > 0 }

// HasPublicBatchRoute reports whether the host has a batch route whose requests need
// no key.
func (c *Catalog) HasPublicBatchRoute(host string) bool {
	for _, route := range c.hosts[hostName(host)] {
		if route.Kind == Batch && route.Public {
			return true
		}
	}
	return false
}
