package entryvm

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// TestStartingNodeAsksSeedsUntilOneIsCurrent guards against a node that starts with the topic of the first seed that answers,
// which has been cut off from the store for long, and against one that waits for a seed that has gone.
func TestStartingNodeAsksSeedsUntilOneIsCurrent(t *testing.T) {
	age := func(d time.Duration) *int {
		ms := int(d / time.Millisecond)
		return &ms
	}
	young := wire.FeedUpdate{Next: 9, AgeMs: age(time.Second)}
	old := wire.FeedUpdate{Next: 5, AgeMs: age(time.Minute)}
	older := wire.FeedUpdate{Next: 4, AgeMs: age(time.Hour)}
	formerBuild := wire.FeedUpdate{Next: 7}
	errRefused := errors.New("refused")
	for name, c := range map[string]struct {
		// seeds are the answers of the seeds; a nil one never comes.
		seeds []any
		want  wire.FeedUpdate
		err   error
		asked int
		limit time.Duration
	}{
		"the first is current":         {seeds: []any{young, old, older}, want: young, asked: 1},
		"the first is old":             {seeds: []any{old, young, older}, want: young, asked: 2},
		"all are old":                  {seeds: []any{older, old, older}, want: old, asked: 3},
		"one of a former build":        {seeds: []any{old, formerBuild, older}, want: formerBuild, asked: 3},
		"a newer era":                  {seeds: []any{formerBuild, wire.FeedUpdate{Era: 1}, old}, want: wire.FeedUpdate{Era: 1}, asked: 3},
		"the first refuse":             {seeds: []any{errRefused, errRefused, young}, want: young, asked: 3},
		"the first have gone":          {seeds: []any{nil, nil, young}, want: young, asked: 3, limit: 2 * seedInterval},
		"all refuse":                   {seeds: []any{errRefused, errRefused}, err: errRefused, asked: 2},
		"there are none":               {err: errNoSeeds},
		"one has gone, another is old": {seeds: []any{nil, old}, want: old, asked: 2, limit: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var asked atomic.Int64
				addresses := make([]string, len(c.seeds))
				start := time.Now()
				got, err := askSeeds(t.Context(), addresses, func(ctx context.Context, _ string) (wire.FeedUpdate, error) {
					answer := c.seeds[asked.Add(1)-1]
					switch answer := answer.(type) {
					case error:
						return wire.FeedUpdate{}, answer
					case wire.FeedUpdate:
						return answer, nil
					}
					ctx, cancel := context.WithTimeout(ctx, time.Second)
					defer cancel()
					<-ctx.Done()
					return wire.FeedUpdate{}, ctx.Err()
				})
				is.True(errors.Is(err, c.err))
				is.Equal(got, c.want)
				is.Equal(int(asked.Load()), c.asked)
				is.True(time.Since(start) <= c.limit)
			})
		})
	}
}

// TestNearestSeedIsAskedMostOften guards against transfers between regions while a seed of the own region can answer, and against a
// node that asks only one seed, which may be unable to read the store.
func TestNearestSeedIsAskedMostOften(t *testing.T) {
	is := is.New(t)
	var times seedTimes
	_, known := times.pick(0)
	is.True(!known)
	times.note("far", 200*time.Millisecond)
	times.note("near", 5*time.Millisecond)
	times.note("next", 8*time.Millisecond)
	asked := map[string]int{}
	for round := range 12 {
		address, _ := times.pick(round)
		asked[address]++
	}
	is.Equal(asked, map[string]int{"near": 8, "next": 2, "far": 2})
	first, _ := times.pick(0)
	is.Equal(first, "near")
}
