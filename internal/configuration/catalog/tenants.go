package catalog

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"unicode"
)

// Tenant is a customer whose requests share limits.
type Tenant struct {
	Name string
	// Priority is the rank of the tenant's requests, ahead of their route's; 0 is
	// the highest.
	Priority int
	// RatePerSecond is how many requests a second the tenant may send over all
	// nodes together; 0 is no limit. Burst is how many more at once.
	RatePerSecond float64
	Burst         float64
}

// TenantSpec is a tenant as a configuration states it, with its keys.
type TenantSpec struct {
	Tenant
	Keys []string
}

// KeyDigest stands for a caller's key: a key itself is kept nowhere but in the
// configuration's own text.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key. Keys are found by it, so that the time
// of a look-up reveals nothing of the keys there are.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// InvalidTenantError says which tenant of a version cannot be served. It never
// holds a key.
type InvalidTenantError struct {
	Tenant, Field, Found, Allowed string
}

// Error implements error.
func (e *InvalidTenantError) Error() string {
	return fmt.Sprintf("tenant %q: %s: found %s, allowed: %s", e.Tenant, e.Field, e.Found, e.Allowed)
}

// SetTenants checks and indexes the tenants of a version that is not in force
// yet. Without any, requests carry no keys.
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
	case !cleanName(spec.Name):
		return &InvalidTenantError{spec.Name, "name", "it", "1 to 128 printable characters without a slash, no blank at either end"}
	case c.tenants[spec.Name] != nil:
		return &InvalidTenantError{spec.Name, "name", "it twice", "a name of its own for each tenant"}
	case spec.RatePerSecond < 0:
		return &InvalidTenantError{spec.Name, "rate", fmt.Sprint(spec.RatePerSecond), "0 (no limit) or more"}
	case spec.Burst < 0:
		return &InvalidTenantError{spec.Name, "burst", fmt.Sprint(spec.Burst), "0 or more"}
	}
	tenant := spec.Tenant
	c.tenants[spec.Name] = &tenant
	for number, key := range spec.Keys {
		if key == "" {
			return &InvalidTenantError{spec.Name, "keys", fmt.Sprintf("an empty one at position %d", number), "keys that are not empty"}
		}
		digest := DigestKey(key)
		if holder := c.keys[digest]; holder != nil {
			found := fmt.Sprintf("the one at position %d also at tenant %q", number, holder.Name)
			return &InvalidTenantError{spec.Name, "keys", found, "each key once"}
		}
		c.keys[digest] = &tenant
	}
	return nil
}

const maxTenantNameBytes = 128

// cleanName reports whether a tenant's name can stand in a header field and in
// the ids of jobs.
func cleanName(name string) bool {
	if name == "" || len(name) > maxTenantNameBytes || strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsFunc(name, func(char rune) bool {
		return char == '/' || char > unicode.MaxASCII || !unicode.IsPrint(char)
	})
}

// RequiresKeys reports whether requests carry keys in this version.
func (c *Catalog) RequiresKeys() bool { return len(c.tenants) > 0 }

// TenantOf returns the tenant that holds a key, nil if none does.
func (c *Catalog) TenantOf(key string) *Tenant { return c.keys[DigestKey(key)] }

// Tenant returns a tenant by name, nil if there is none.
func (c *Catalog) Tenant(name string) *Tenant { return c.tenants[name] }

// Tenants returns how many tenants the version has.
func (c *Catalog) Tenants() int { return len(c.tenants) }

// Limited reports whether the tenant's requests a second are limited.
func (t *Tenant) Limited() bool { return t != nil && t.RatePerSecond > 0 }

// PublicJobs reports whether a host has a batch route that needs no key.
func (c *Catalog) PublicJobs(host string) bool {
	for _, route := range c.hosts[hostName(host)] {
		if route.Kind == Batch && route.Public {
			return true
		}
	}
	return false
}
