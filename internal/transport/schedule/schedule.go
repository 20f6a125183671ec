package schedule

import (
	"context"
	"time"
)

// Every calls do once each period until the context ends; the first call comes after one period.
func Every(ctx context.Context, period time.Duration, do func(now time.Time)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			do(now)
		}
	}
}

// Pause waits for a time, or until the context ends.
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
