package schedule

import (
	"context"
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
		ended, late := 0, 0
		tasks.Go(func(context.Context) {
			time.Sleep(time.Second)
			ended++
			tasks.Go(func(context.Context) { late++ })
		})
		tasks.After(time.Millisecond, func(ctx context.Context) {
			Pause(ctx, time.Hour)
			ended++
		})
		tasks.After(time.Hour, func(context.Context) { late++ })
		time.Sleep(2 * time.Millisecond)
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		tasks.Stop(ctx)
		is.Equal(ended, 2)
		is.Equal(late, 0)
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
