package membudget

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Whatever responses grow and end, together they hold no more than the budget beside their free parts, and
// one is refused only if the budget does not have what it lacks.
func TestReservationsStayWithinTheBudget(t *testing.T) {
	const limit = 64 << 10
	rapid.Check(t, func(t *rapid.T) {
		budget := New(limit)
		sizes := make([]int, 4)
		reservations := make([]*Reservation, len(sizes))
		for i := range reservations {
			reservations[i] = budget.Reserve()
		}
		beyondFree := func(size int) int { return max(0, size-FreeBytes) }
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, len(sizes)-1).Draw(t, "response")
			if rapid.IntRange(0, 4).Draw(t, "ends") == 0 {
				reservations[i].Release()
				sizes[i] = 0
			}
			size := rapid.IntRange(0, 2*limit).Draw(t, "size")
			others := 0
			for j, held := range sizes {
				if j != i {
					others += beyondFree(held)
				}
			}
			err := reservations[i].GrowTo(size)
			fits := size <= sizes[i] || others+beyondFree(size) <= limit
			if (err == nil) != fits {
				t.Fatalf("%d bytes beside %d: %v", size, others, err)
			}
			if err == nil {
				sizes[i] = max(sizes[i], size)
			}
		}
	})
}

func TestNoBudgetHasNoLimit(t *testing.T) {
	is := is.New(t)
	var budget *Budget
	reservation := budget.Reserve()
	is.NoErr(reservation.GrowTo(1 << 40))
	reservation.Release()
}
