package stops

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"lagoongw/internal/transport/schedule"
	"lagoongw/platform"
)

// The upstreams of a pool fall silent together, for up to longestSilence, with up to longestPause between.
const (
	longestSilence = 1300 * time.Millisecond
	longestPause   = 6 * time.Second
)

// silence makes the upstreams of one pool after another, or some of them, stand still for about a second, while the routes change.
func (f *fixture) silence(ctx context.Context, random *rand.Rand) {
	for version := 2; ctx.Err() == nil; version++ {
		schedule.Pause(ctx, time.Duration(random.Int64N(int64(longestPause))))
		f.upstreams.store.Put(platform.TopicOperator, platform.ManifestKey,
			strings.Replace(manifest, `"version": 1,`, fmt.Sprintf(`"version": %d,`, version), 1))
		schedule.Pause(ctx, 600*time.Millisecond)
		pool := []string{poolModels, poolOrders}[random.IntN(2)]
		f.upstreams.mu.Lock()
		for _, u := range f.upstreams.all {
			if u.pool == pool && random.IntN(4) > 0 {
				u.silentUntil = time.Now().Add(longestSilence - time.Duration(random.Int64N(int64(longestSilence/2))))
			}
		}
		f.upstreams.mu.Unlock()
	}
}

// await waits for the end of a silence.
func (u *upstream) await() {
	for {
		u.upstreams.mu.Lock()
		until := u.silentUntil
		u.upstreams.mu.Unlock()
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(time.Until(until))
	}
}
