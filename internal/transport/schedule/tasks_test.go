package schedule

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStopWaitsForWorkInFlight guards against work that goes on, or that begins, after its service was stopped.
func TestStopWaitsForWorkInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var tasks Tasks
		var ended, late atomic.Int32
		tasks.Go(func(context.Context) {
			time.Sleep(time.Second)
			ended.Add(1)
			tasks.Go(func(context.Context) { late.Add(1) })
		})
		tasks.After(time.Millisecond, func(ctx context.Context) {
			Pause(ctx, time.Hour)
			ended.Add(1)
		})
		tasks.After(time.Hour, func(context.Context) { late.Add(1) })
		time.Sleep(2 * time.Millisecond)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		tasks.Stop(ctx)
		is.Equal(ended.Load(), int32(2))
		is.Equal(late.Load(), int32(0))
		is.Equal(time.Since(began), 3*time.Second) // the work that waits is cancelled then
		is.True(!tasks.Go(func(context.Context) {}))
		tasks.Stop(t.Context()) // a second call has nothing to wait for
	})
}

// TestStopOfTasksThatNeverRan guards against a service that is stopped before it has begun any work.
func TestStopOfTasksThatNeverRan(t *testing.T) {
	is := is.New(t)
	var tasks Tasks
	tasks.Stop(t.Context())
	is.True(!tasks.After(time.Millisecond, func(context.Context) {}))
}
