package fairshare

import (
	"math"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "cobaltramp.example/cobaltramp/internal/app/fixedseed"
)

// slotError is the rounding error that sums of slots may have.
const slotError = 1e-6

func drawClaims(t *rapid.T) []Claim {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
		return Claim{
			Priority: rapid.Uint32Range(0, 2).Draw(t, "priority"),
			Weight:   rapid.SampledFrom([]float64{0, 1, 1, 5, 40}).Draw(t, "weight"),
			Demand:   rapid.Float64Range(0, 100).Draw(t, "demand"),
		}
	}), 0, 40).Draw(t, "claims")
}

// granted returns the slots that a claim gets.
func granted(division *Division, claim *Claim) float64 {
	return min(claim.Demand, division.Share(claim.Priority, claim.Weight))
}

// All slots are used while any claim is not satisfied, and no more than all.
func TestDivisionIsWorkConserving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, claims := rapid.Float64Range(0, 400).Draw(t, "slots"), drawClaims(t)
		division := Divide(slots, slices.Clone(claims))
		demand, sum := 0.0, 0.0
		for i := range claims {
			demand += claims[i].Demand
			sum += granted(&division, &claims[i])
		}
		if math.Abs(sum-min(slots, demand)) > slotError {
			t.Fatalf("granted %v of %v slots, wanted are %v", sum, slots, demand)
		}
	})
}

// While a claim is not satisfied, no claim of its priority has more for each unit of weight,
// and no claim of a lower priority has anything.
func TestDivisionIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, claims := rapid.Float64Range(0, 400).Draw(t, "slots"), drawClaims(t)
		division := Divide(slots, slices.Clone(claims))
		for i := range claims {
			claim := &claims[i]
			own := granted(&division, claim)
			if own >= claim.Demand-slotError {
				continue
			}
			for j := range claims {
				other := granted(&division, &claims[j])
				switch {
				case claims[j].Priority == claim.Priority && other/claims[j].weight() > own/claim.weight()+slotError:
					t.Fatalf("%+v has %v, but %+v has %v", *claim, own, claims[j], other)
				case claims[j].Priority > claim.Priority && other > slotError:
					t.Fatalf("%+v has %v, but %+v has %v", *claim, own, claims[j], other)
				}
			}
		}
	})
}

// The division does not depend on the order of the claims.
func TestDivisionIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, claims := rapid.Float64Range(0, 400).Draw(t, "slots"), drawClaims(t)
		division := Divide(slots, slices.Clone(claims))
		shuffled := Divide(slots, rapid.Permutation(claims).Draw(t, "shuffled"))
		for i := range claims {
			if math.Abs(granted(&division, &claims[i])-granted(&shuffled, &claims[i])) > slotError {
				t.Fatalf("%+v: %v, in another order %v", claims[i], granted(&division, &claims[i]), granted(&shuffled, &claims[i]))
			}
		}
	})
}

// A priority gets only what higher ones leave, also if its claims are satisfied, or if it has
// no claim yet, so that its first requests do not count as under their share.
func TestShareOfLowerPriority(t *testing.T) {
	is := is.New(t)
	division := Divide(30, []Claim{{0, 1, 18}, {2, 1, 4}})
	is.Equal(division.Share(0, 1), 30.0)
	is.Equal(division.Share(1, 1), 12.0)
	is.Equal(division.Share(2, 1), 12.0)
	is.Equal(division.Share(3, 1), 8.0)
	full := Divide(30, []Claim{{1, 1, 40}})
	is.Equal(full.Share(0, 1), 30.0)
	is.Equal(full.Share(2, 1), 0.0)
}

// Divisions that are easy to verify by hand.
func TestDivisionExamples(t *testing.T) {
	for _, test := range []struct {
		name   string
		slots  float64
		claims []Claim
		shares []float64
	}{
		{"equal weights", 30, []Claim{{0, 1, 20}, {0, 1, 20}, {0, 1, 20}}, []float64{10, 10, 10}},
		{"what one does not want goes to the others", 30, []Claim{{0, 1, 4}, {0, 1, 20}, {0, 1, 20}}, []float64{13, 13, 13}},
		{"by weight", 30, []Claim{{0, 2, 90}, {0, 1, 90}}, []float64{20, 10}},
		{"lower priorities get the rest", 30, []Claim{{0, 1, 20}, {1, 1, 20}, {1, 1, 20}}, []float64{30, 5, 5}},
		{"no slots", 0, []Claim{{0, 1, 5}}, []float64{0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			division := Divide(test.slots, slices.Clone(test.claims))
			for i, claim := range test.claims {
				is.Equal(division.Share(claim.Priority, claim.Weight), test.shares[i])
			}
		})
	}
}
