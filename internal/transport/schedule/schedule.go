package schedule

import (
	"context"
	"time"
)

// Every calls run once per period until the context ends; the first call is after one period.
func Every(ctx context.Context, period time.Duration, run func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			run(now)
		}
	}
}

// Pause blocks for d, or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Await blocks until done returns true, which it checks once per interval, for a limit at most, or until the context ends. It
// reports whether done returned true.
func Await(ctx context.Context, limit, interval time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); !done(); Pause(ctx, interval) {
		if !time.Now().Before(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}
