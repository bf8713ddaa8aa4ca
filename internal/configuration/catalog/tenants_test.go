package catalog

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const testKey = "wyy7yx5x42q492cqf75r"

func newWithTenants(specs ...TenantSpec) (*Catalog, error) {
	c, err := New(1, nil, nil, RequestLimits{})
	if err != nil {
		return nil, err
	}
	return c, c.SetTenants(specs)
}

func tenant(name string, keys ...string) TenantSpec {
	return TenantSpec{Tenant: Tenant{Name: name}, Keys: keys}
}

// Guards against a key that is accepted although it matches a tenant's key only in
// part or in another case.
func TestKeysFindTheirTenant(t *testing.T) {
	is := is.New(t)
	c, err := newWithTenants(tenant("a", testKey, "k2"), tenant("b", "k3"))
	is.NoErr(err)
	is.True(c.RequiresKeys())
	is.Equal(c.TenantOf(testKey).Name, "a")
	is.Equal(c.TenantOf("k3").Name, "b")
	for _, wrong := range []string{"", "k", "k22", "K2", testKey + " ", strings.ToUpper(testKey)} {
		is.Equal(c.TenantOf(wrong), nil)
	}
	none, err := newWithTenants()
	is.NoErr(err)
	is.True(!none.RequiresKeys())
}

// Tenants that are invalid or ambiguous must be refused with an error that contains
// no key.
func TestInvalidTenantsAreRefused(t *testing.T) {
	is := is.New(t)
	bad := map[string][]TenantSpec{
		"name":  {tenant("", testKey)},
		"slash": {tenant("a/b", testKey)},
		"line":  {tenant("a\nb", testKey)},
		"twice": {tenant("a", testKey), tenant("a", "k2")},
		"key":   {tenant("a", testKey), tenant("b", testKey)},
		"own":   {tenant("a", testKey, testKey)},
		"empty": {tenant("a", "")},
		"rate":  {{Tenant: Tenant{Name: "a", RatePerSecond: -1}, Keys: []string{testKey}}},
		"burst": {{Tenant: Tenant{Name: "a", Burst: -1}, Keys: []string{testKey}}},
	}
	for name, specs := range bad {
		_, err := newWithTenants(specs...)
		var invalid *InvalidTenantError
		is.True(errors.As(err, &invalid)) // name
		_ = name
		is.True(!strings.Contains(err.Error(), testKey))
	}
}
