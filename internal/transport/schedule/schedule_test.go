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
