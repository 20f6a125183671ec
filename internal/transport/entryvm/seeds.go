package entryvm

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

// seedInterval is how long a starting node waits for a seed before it asks the next one as well. A seed in the same region answers
// within milliseconds. Where all nodes have ended, it soon knows that all seeds refuse, and reads the store.
const seedInterval = 50 * time.Millisecond

var errNoSeeds = eris.New("the settings name no other node")

// seedAnswer is a seed's answer to a fetch.
type seedAnswer struct {
	update wire.FeedUpdate
	err    error
}

// askSeeds fetches a topic from seeds, one after the other, until one returns a snapshot that is young enough to start with. If
// none does, it returns the one that has come furthest, or the last error.
func askSeeds(
	ctx context.Context, seeds []string, fetch func(ctx context.Context, address string) (wire.FeedUpdate, error),
) (furthest wire.FeedUpdate, err error) {
	var group sync.WaitGroup
	defer group.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan seedAnswer, len(seeds))
	known := false
	err = errNoSeeds
	for asked, answered := 0, 0; answered < len(seeds); {
		var nextDue <-chan time.Time
		if asked < len(seeds) {
			address := seeds[asked]
			group.Go(func() {
				update, err := fetch(ctx, address)
				answers <- seedAnswer{
					update: update,
					err:    err,
				}
			})
			asked++
			nextDue = time.After(seedInterval)
		}
		select {
		case <-nextDue:
			continue
		case answer := <-answers:
			answered++
			if answer.err != nil {
				err = answer.err
				continue
			}
			if !known || isFurther(answer.update, furthest) {
				furthest = answer.update
			}
			known = true
			if isYoung(answer.update) {
				return answer.update, nil
			}
		}
	}
	if known {
		return furthest, nil
	}
	return furthest, err
}

// isFurther reports whether a snapshot has come further than another one.
func isFurther(a, b wire.FeedUpdate) bool {
	return a.Era > b.Era || a.Era == b.Era && a.Next > b.Next
}

// isYoung reports whether a snapshot is young enough to start with. Nodes of former builds don't tell how old theirs are.
func isYoung(update wire.FeedUpdate) bool {
	return update.AgeMs != nil && time.Duration(*update.AgeMs)*time.Millisecond <= catalog.MaxStartAge
}

// seedTimes holds how long the seeds that refuse take to answer, which tells the near ones from those in other regions.
type seedTimes struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

// note records that a seed has answered within a time.
func (s *seedTimes) note(address string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		s.times = map[string]time.Duration{}
	}
	s.times[address] = took
}

// roundsPerFarSeed is the number of rounds in which a seed is picked that is not the nearest: that one may be the only one that
// can't reach the store.
const roundsPerFarSeed = 3

// pick returns the seed to ask in a round: the nearest one, and one of the others in each roundsPerFarSeed-th round.
func (s *seedTimes) pick(round int) (address string, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.times) == 0 {
		return "", false
	}
	addresses := slices.SortedFunc(maps.Keys(s.times), func(a, b string) int { return cmp.Compare(s.times[a], s.times[b]) })
	turn := (round + 1) / roundsPerFarSeed
	if (round+1)%roundsPerFarSeed != 0 || len(addresses) == 1 {
		return addresses[0], true
	}
	return addresses[1+turn%(len(addresses)-1)], true
}
