package schedule

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestEveryRunsOncePerPeriodUntilTheContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+time.Millisecond)
		defer cancel()
		calls := 0
		begin := time.Now()
		Every(ctx, time.Second, func(time.Time) { calls++ })
		is.Equal(calls, 10)
		is.Equal(time.Since(begin), 10*time.Second+time.Millisecond)
	})
}

func TestPauseEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		Pause(ctx, time.Hour)
		is.Equal(time.Since(begin), time.Second)
	})
}

func TestAwaitEndsAtTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		after := func(d time.Duration) func() bool { return func() bool { return time.Since(begin) >= d } }
		is.True(Await(t.Context(), time.Second, 10*time.Millisecond, after(500*time.Millisecond)))
		is.Equal(time.Since(begin), 500*time.Millisecond)
		is.True(!Await(t.Context(), time.Second, 10*time.Millisecond, after(time.Hour)))
		is.Equal(time.Since(begin), 1500*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.True(!Await(ctx, time.Second, 10*time.Millisecond, after(time.Hour)))
		is.Equal(time.Since(begin), 1500*time.Millisecond)
	})
}
