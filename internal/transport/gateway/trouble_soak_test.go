package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// soakSite is a takeUpSite that counts how often orders run.
type soakSite struct {
	*takeUpSite
	orders sync.Mutex
	runs   map[string]int
	// refused holds the orders that were answered with the promise that they have not run and never will.
	refused map[string]bool
	// troubledAt is when a node was last troubled.
	troubledAt map[int]time.Time
	// begun and asked count the streams that began and that were to, wentOn and stopped those that were taken up at nodes in
	// touch and went on or didn't.
	begun, asked, wentOn, stopped int
}

// TestPromisesHoldThroughSeriesOfTroubles guards against streams that mix software versions, orders that run twice or that run
// although they were refused, and callers who are refused more than need be, while nodes restart, are cut off from each
// other or from the engines, and engines crash, in series that overlap.
func TestPromisesHoldThroughSeriesOfTroubles(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { soakPromises(t, rand.New(rand.NewPCG(seed, 32))) })
		})
	}
}

func soakPromises(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	site := &soakSite{
		takeUpSite: newTakeUpSite(t),
		runs:       map[string]int{},
		refused:    map[string]bool{},
		troubledAt: map[int]time.Time{},
	}
	site.answer = site.answerAny
	time.Sleep(contactTime)
	end := time.Now().Add(60 * time.Second)
	var group sync.WaitGroup
	group.Go(func() { site.callers(t, end) })
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		number := random.IntN(siteNodes)
		length := time.Duration(random.Int64N(int64(8 * time.Second)))
		switch random.IntN(5) {
		case 0:
			site.trouble(number, 0)
			site.restart(t, number)
		case 1:
			site.trouble(number, length)
			site.cut(number, length)
		case 2, 3:
			site.partitionFromEngines(number, partition{
				refused:  random.IntN(2) == 0,
				halfOpen: random.IntN(2) == 0,
			})
			time.AfterFunc(length, func() { site.healPartition(number) })
		case 4:
			site.crash(fmt.Sprint("e", random.IntN(siteEngines)))
		}
	}
	group.Wait()
	t.Logf("%d of %d streams began, %d of %d that were taken up in touch went on, %d orders", site.begun, site.asked,
		site.wentOn, site.wentOn+site.stopped, len(site.runs))
	is.Equal(site.mixed, 0)
	for id, runs := range site.runs {
		is.True(runs == 1)
		is.True(!site.refused[id])
	}
	is.True(site.wentOn+site.stopped > 0)
	is.True(site.wentOn*site.asked*2 >= site.begun*(site.wentOn+site.stopped))
}

// trouble notes that a node is out of touch for a while.
func (s *soakSite) trouble(number int, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubledAt[number] = time.Now().Add(length)
}

func (s *soakSite) inTouch(number int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, troubled := s.troubledAt[number]
	return !troubled || time.Since(at) >= contactTime
}

// answerAny answers orders and streams.
func (s *soakSite) answerAny(engine string, conn net.Conn, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, "/unsafe/") {
		return s.stream(engine, conn, r)
	}
	s.orders.Lock()
	s.runs[r.Header.Get("X-Lagoongw-Attempt-Id")]++
	s.orders.Unlock()
	time.Sleep(30 * time.Millisecond)
	return answer(http.StatusOK, "done")(conn, r)
}

// callers send orders, and streams of which they leave some and take them up at another node.
func (s *soakSite) callers(t *testing.T, end time.Time) {
	var group sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		number := i % siteNodes
		group.Go(func() {
			if i%2 == 0 {
				s.order(t, number, fmt.Sprint("order-", i))
				return
			}
			id, lastEvent := s.begin(t.Context(), number)
			s.mu.Lock()
			s.asked++
			if lastEvent > 0 {
				s.begun++
			}
			s.mu.Unlock()
			if lastEvent == 0 {
				return
			}
			next := (number + 1 + i/siteNodes%(siteNodes-1)) % siteNodes
			// A stream whose first node could not tell the others may be refused.
			inTouch := s.inTouch(next) && s.inTouch(number)
			got := s.takeUp(t.Context(), next, id, lastEvent)
			s.mu.Lock()
			defer s.mu.Unlock()
			switch {
			case !inTouch:
			case got.status == http.StatusOK:
				s.wentOn++
			default:
				s.stopped++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
}

func (s *soakSite) order(t *testing.T, number int, id string) {
	got := s.node(number).call(t.Context(), "/unsafe/x", "{}", map[string]string{"X-Lagoongw-Attempt-Id": id})
	if got.status != http.StatusServiceUnavailable {
		return
	}
	s.orders.Lock()
	defer s.orders.Unlock()
	s.refused[id] = true
}
