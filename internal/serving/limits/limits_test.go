package limits

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
	"cobaltramp.example/cobaltramp/internal/app/result"
)

func TestRefusalsNameTheLimitAndRetryDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name  string
		limit TenantLimits
		spend func(*TenantLimiter)
		code  result.Code
	}{
		{"rate", TenantLimits{RequestsPerSecond: 1, Burst: 1}, func(t *TenantLimiter) { _ = t.Admit(now); t.Release(now, 0) }, result.TenantRate},
		{"concurrency", TenantLimits{Concurrent: 1}, func(t *TenantLimiter) { _ = t.Admit(now) }, result.TenantConcurrency},
		{"tokens", TenantLimits{TokensPerMinute: 60}, func(t *TenantLimiter) { _ = t.Admit(now); t.Release(now, 90) }, result.TenantTokens},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tenant := NewTenantLimiter(c.limit, 1)
			c.spend(tenant)
			refused := result.FromError(tenant.Admit(now))
			is.Equal(refused.Code, c.code)
			is.True(refused.RetryAfter > 0)
		})
	}
}

// Nodes with equal shares together admit at most the whole limit, apart from rounding at each
// node.
func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 20).Draw(t, "nodes")
		limit := TenantLimits{RequestsPerSecond: float64(rapid.IntRange(1, 500).Draw(t, "rate"))}
		admitted := 0
		for range nodes {
			tenant := NewTenantLimiter(limit, 1/float64(nodes))
			for ms := range 1000 {
				now := time.Unix(0, int64(ms)*int64(time.Millisecond))
				if tenant.Admit(now) == nil {
					admitted++
					tenant.Release(now, 0)
				}
			}
		}
		maxAdmitted := 2*limit.RequestsPerSecond + 2*float64(nodes) // a burst of one second, plus one second of requests
		if float64(admitted) > maxAdmitted {
			t.Fatalf("%d admitted in a second by %d nodes, limit %g", admitted, nodes, limit.RequestsPerSecond)
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	var limiters Limiters
	limit := TenantLimits{RequestsPerSecond: 1e9, Concurrent: 1000, TokensPerMinute: 1 << 30}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		tenant := limiters.Tenant("tenant", limit, 0.5)
		if tenant.Admit(now) == nil {
			tenant.Release(now, 10)
		}
	}
}
