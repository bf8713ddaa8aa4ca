package catalog

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const secret = "wyy7yx5x42q492cqf75r"

func withTenants(specs ...TenantSpec) (*Catalog, error) {
	c, err := New(1, nil, nil, RequestLimits{})
	if err != nil {
		return nil, err
	}
	return c, c.SetTenants(specs)
}

func tenant(name string, keys ...string) TenantSpec {
	return TenantSpec{Tenant: Tenant{Name: name}, Keys: keys}
}

// A key opens what its one tenant may do, whole and only as it is written.
func TestKeysFindTheirTenant(t *testing.T) {
	is := is.New(t)
	c, err := withTenants(tenant("a", secret, "k2"), tenant("b", "k3"))
	is.NoErr(err)
	is.True(c.RequiresKeys())
	is.Equal(c.TenantOf(secret).Name, "a")
	is.Equal(c.TenantOf("k3").Name, "b")
	for _, wrong := range []string{"", "k", "k22", "K2", secret + " ", strings.ToUpper(secret)} {
		is.Equal(c.TenantOf(wrong), nil)
	}
	none, err := withTenants()
	is.NoErr(err)
	is.True(!none.RequiresKeys())
}

// A configuration whose tenants can't be told apart is refused, and the error
// names the tenant and never a key.
func TestTenantsAreChecked(t *testing.T) {
	is := is.New(t)
	bad := map[string][]TenantSpec{
		"name":  {tenant("", secret)},
		"slash": {tenant("a/b", secret)},
		"line":  {tenant("a\nb", secret)},
		"twice": {tenant("a", secret), tenant("a", "k2")},
		"key":   {tenant("a", secret), tenant("b", secret)},
		"own":   {tenant("a", secret, secret)},
		"empty": {tenant("a", "")},
		"rate":  {{Tenant: Tenant{Name: "a", RatePerSecond: -1}, Keys: []string{secret}}},
		"burst": {{Tenant: Tenant{Name: "a", Burst: -1}, Keys: []string{secret}}},
	}
	for name, specs := range bad {
		_, err := withTenants(specs...)
		var invalid *InvalidTenantError
		is.True(errors.As(err, &invalid)) // name
		_ = name
		is.True(!strings.Contains(err.Error(), secret))
	}
}
