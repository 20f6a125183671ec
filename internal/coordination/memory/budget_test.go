package memory

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lagoongw/test/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }

func TestSharesFillTheBudget(t *testing.T) {
	is := is.New(t)
	for _, limit := range []int64{0, 4 << 20, 112 << 20, 1 << 30} {
		b, sum := NewBudget(limit), int64(0)
		for use := range Uses {
			is.True(b.Limit(use) > 0)
			sum += b.Limit(use)
		}
		if limit == 0 {
			limit = DefaultLimit
		}
		is.True(sum <= limit/4)
		is.True(sum > limit/5)
	}
}

// TestHeldBytesStayWithinTheShare compares random reservations with their sum: none goes over its share, what fits is
// never refused, and all is free again in the end.
func TestHeldBytesStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1 << 20)
		var held [Uses]int64
		reservations := make([]Reservation, 8)
		for i := range reservations {
			reservations[i] = b.NewReservation(Use(i % int(Uses)))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")
			use, r := Use(i%int(Uses)), &reservations[i]
			size := rapid.Int64Range(0, 1<<17).Draw(t, "size")
			fits := held[use]-r.Bytes()+size <= b.Limit(use) || size <= r.Bytes()
			if b.Fits(use, size) != (held[use]+size <= b.Limit(use)) {
				t.Fatalf("%s: room for %d with %d held misjudged", use, size, held[use])
			}
			before := r.Bytes()
			if r.Resize(size) != fits {
				t.Fatalf("%s: resize from %d to %d with %d held: fits is %v", use, before, size, held[use], fits)
			}
			held[use] += r.Bytes() - before
			if b.Held(use) != held[use] || held[use] > b.Limit(use) {
				t.Fatalf("%s: %d held, expected %d of %d", use, b.Held(use), held[use], b.Limit(use))
			}
		}
		for i := range reservations {
			reservations[i].Resize(0)
		}
		for use := range Uses {
			if b.Held(use) != 0 {
				t.Fatalf("%s: %d bytes never released", use, b.Held(use))
			}
		}
	})
}

func TestReservationsAtTheSameTime(t *testing.T) {
	is := is.New(t)
	b := NewBudget(1 << 20)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if b.Reserve(Events, 3000) {
					b.Release(Events, 3000)
				}
			}
		})
	}
	group.Wait()
	is.Equal(b.Held(Events), int64(0))
	is.True(b.Reserve(Events, b.Limit(Events)))
	is.True(!b.Reserve(Events, 1))
	is.True(b.Refused(Events) > 0)
}
