package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

func routeAt(host, prefix string, parts ...WeightedService) *Route {
	return &Route{Name: host + prefix, Host: host, PathPrefix: prefix, Services: append(parts, WeightedService{"s", 1})}
}

func TestMatchPicksLongestPrefixOfHost(t *testing.T) {
	is := is.New(t)
	c, err := New(1, []*Route{routeAt("a", "/x/"), routeAt("a", "/x/y/"), routeAt("b", "/")}, nil, RequestLimits{})
	is.NoErr(err)
	is.Equal(c.Match("a", "/x/y/z").PathPrefix, "/x/y/")
	is.Equal(c.Match("A:80", "/x/z").PathPrefix, "/x/")
	is.Equal(c.Match("b", "/q").PathPrefix, "/")
	is.True(c.Match("a", "/y/") == nil)
	is.True(c.Match("c", "/x/") == nil)
}

// Guards against an older version replacing a newer one when versions arrive out
// of order.
func TestActiveVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := NewHolder()
		highest := uint64(0)
		for _, version := range rapid.SliceOfN(rapid.Uint64Range(1, 50), 1, 30).Draw(t, "versions") {
			next, err := New(version, nil, nil, RequestLimits{})
			if err != nil {
				t.Fatal(err)
			}
			updated := holder.UpdateIfNewer(next, nil, 0, time.Now())
			if updated != (version > highest) {
				t.Fatalf("version %d after %d activated: %v", version, highest, updated)
			}
			highest = max(highest, version)
			if holder.Current().Version != highest {
				t.Fatalf("version %d is active, want %d", holder.Current().Version, highest)
			}
		}
	})
}

// Each service must get requests in proportion to its weight, and the same
// request must always go to the same service.
func TestServicesGetRequestsByWeight(t *testing.T) {
	is := is.New(t)
	route := &Route{Name: "r", Services: []WeightedService{{"a", 70}, {"b", 30}, {"none", 0}}}
	counts := map[string]int{}
	for i := range 20000 {
		id := fmt.Sprintf("%016x", i*7919)
		service := route.ServiceFor(id)
		is.Equal(route.ServiceFor(id), service)
		counts[service]++
	}
	is.Equal(counts["none"], 0)
	is.True(counts["a"] > 13700 && counts["a"] < 14300)
}

func TestMayRepeatByRouteKind(t *testing.T) {
	is := is.New(t)
	is.True((&Route{Kind: Repeatable}).MayRepeat())
	is.True(!(&Route{Kind: Once}).MayRepeat())
	is.True(!(&Route{Kind: Streaming}).MayRepeat())
	is.True((&Route{Kind: Streaming, Resumable: true}).MayRepeat())
}

func TestInvalidRoutesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, route := range []*Route{
		{Name: "no prefix", Services: []WeightedService{{"s", 1}}},
		{Name: "no service", PathPrefix: "/"},
		{Name: "negative", PathPrefix: "/", Services: []WeightedService{{"s", -1}}},
	} {
		_, err := New(1, []*Route{route}, nil, RequestLimits{})
		is.True(err != nil)
	}
}
