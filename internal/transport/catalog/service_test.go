package catalog

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/state/replica"
)

// bound is the users' time for a change of the routes and for a leaving upstream to be known everywhere.
const bound = 3 * time.Second

func TestChangesReachEveryNodeInTime(t *testing.T) {
	for name, fault := range map[string]func(s *site, routes, upstreams *topic){
		"no fault":                               func(*site, *topic, *topic) {},
		"waiting reads hang":                     func(_ *site, routes, _ *topic) { routes.set(func() { routes.hang = true }) },
		"history of the routes is gone":          func(_ *site, routes, _ *topic) { routes.set(func() { routes.gone = true }) },
		"history of the upstreams is gone":       func(_ *site, _, upstreams *topic) { upstreams.set(func() { upstreams.gone = true }) },
		"reader hears no peer":                   func(s *site, _, _ *topic) { s.isolate(0) },
		"last hears no peer":                     func(s *site, _, _ *topic) { s.isolate(2) },
		"hang, and the reader hears no peer":     func(s *site, routes, _ *topic) { s.isolate(0); routes.set(func() { routes.hang = true }) },
		"the reader is heard by one only":        func(s *site, _, _ *topic) { s.lose(func(from, to int) bool { return from == 0 && to == 2 }) },
		"nobody hears the reader, who hears all": func(s *site, _, _ *topic) { s.lose(func(from, _ int) bool { return from == 0 }) },
		"the reader hears nobody, all hear it":   func(s *site, _, _ *topic) { s.lose(func(_, to int) bool { return to == 0 }) },
		"no push arrives anywhere":               func(s *site, _, _ *topic) { s.lose(func(int, int) bool { return true }) },
		"hang begins while a reader is waiting":  func(_ *site, routes, _ *topic) { time.Sleep(time.Second); routes.set(func() { routes.hang = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(s *site, routes, upstreams *topic) {
				is := is.New(t)
				fault(s, routes, upstreams)
				time.Sleep(700 * time.Millisecond)
				routes.put("config", "2")
				upstreams.put("u1", "draining")
				time.Sleep(bound)
				is.Equal(s.versions(), []int{2, 2, 2})
				is.Equal(s.leaving(), []bool{true, true, true})
			})
		})
	}
}

// TestAWatermarkNeverSkipsAChange has the reader's read on its way while a peer tells the reader of the same records, so that
// they are no news when the read returns. What the reader then tells must still carry them.
func TestAWatermarkNeverSkipsAChange(t *testing.T) {
	play(t, func(s *site, _, upstreams *topic) {
		is := is.New(t)
		s.lose(func(int, int) bool { return true })
		reader, other := s.services[0].upstreams, s.services[1].upstreams
		upstreams.put("u1", "draining")
		read, err := reader.fetch(context.Background(), 0)
		is.NoErr(err)
		is.NoErr(other.read(context.Background(), 0))
		whole, _ := other.whole()
		reader.heard(whole)
		told := reader.apply(read, time.Now())
		is.Equal(told.Next, 2)
		is.Equal(len(told.Records), 1)
	})
}

// TestAFailedReadLongAgoHoldsNoRemoval has one node fail to read the store; its peers' word since then shows it is well.
func TestAFailedReadLongAgoHoldsNoRemoval(t *testing.T) {
	play(t, func(s *site, _, upstreams *topic) {
		is := is.New(t)
		s.services[1].upstreams.failed(context.Background(), errAway, time.Now())
		time.Sleep(10 * time.Second)
		upstreams.put("u1", "")
		time.Sleep(2 * time.Second)
		is.Equal(s.leaving(), []bool{true, true, true})
	})
}

// TestADropThatTheReaderFindsInTheWholeTopicReachesAll has the record of a removal deleted before anybody read it.
func TestADropThatTheReaderFindsInTheWholeTopicReachesAll(t *testing.T) {
	play(t, func(s *site, _, upstreams *topic) {
		is := is.New(t)
		upstreams.put("u1", "")
		upstreams.set(func() { upstreams.gone = true })
		time.Sleep(bound)
		is.Equal(s.leaving(), []bool{true, true, true})
	})
}

func TestStoreAwayAndBack(t *testing.T) {
	play(t, func(s *site, routes, upstreams *topic) {
		is := is.New(t)
		for _, store := range []*topic{routes, upstreams} {
			store.set(func() { store.away = true })
		}
		time.Sleep(20 * time.Second)
		is.Equal(s.versions(), []int{1, 1, 1}) // served on by the last known
		is.Equal(s.leaving(), []bool{false, false, false})
		routes.put("config", "2")
		upstreams.put("u1", "") // lapsed while the store was away
		for _, store := range []*topic{routes, upstreams} {
			store.set(func() { store.away = false })
		}
		time.Sleep(2 * time.Second)
		is.Equal(s.leaving(), []bool{false, false, false}) // it may still come back
		time.Sleep(2500 * time.Millisecond)
		is.Equal(s.versions(), []int{2, 2, 2})
		is.Equal(s.leaving(), []bool{true, true, true})
	})
}

// TestAllStartAnewWhileTheRoutesAreAway has the store lose the routes alone, and every node start again.
func TestAllStartAnewWhileTheRoutesAreAway(t *testing.T) {
	play(t, func(s *site, routes, _ *topic) {
		is := is.New(t)
		routes.put("config", "2")
		time.Sleep(10 * time.Second)
		routes.set(func() { routes.away = true })
		first := s.services[0]
		alone := newSite() // the others are gone
		again := &Service{
			Routes:            routes,
			RoutesCopy:        first.RoutesCopy,
			Upstreams:         first.Upstreams,
			UpstreamsCopy:     first.UpstreamsCopy,
			RoutesKey:         "config",
			DecodeRoutes:      decodeVersion,
			DecodeUpstream:    decodeState,
			Peers:             sitePeers{site: alone},
			Table:             replica.NewTable(),
			OnUpstreamsChange: func() {},
			Logger:            zerolog.Nop(),
		}
		again.Prepare()
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { again.Run(ctx) })
		time.Sleep(time.Second)
		is.True(again.Ready())
		is.Equal(again.CurrentRoutes().Version(), 2)
		_, known := again.Snapshot(TopicRoutes)
		is.True(!known) // a copy is not given to peers
		routes.set(func() { routes.away = false })
		routes.put("config", "3")
		time.Sleep(bound)
		is.Equal(again.CurrentRoutes().Version(), 3)
		cancel()
		group.Wait()
	})
}

func TestVersionsNeverGoBackAndBadRecordsHarmNothing(t *testing.T) {
	play(t, func(s *site, routes, upstreams *topic) {
		is := is.New(t)
		routes.put("config", "3")
		routes.put("config", "2")
		routes.put("config", "no version")
		routes.put("other", "9")
		upstreams.put("u2", "asleep")
		upstreams.put("u3", "ready")
		time.Sleep(bound)
		is.Equal(s.versions(), []int{3, 3, 3})
		is.Equal(s.services[1].Table.Load().Len(), 2) // u1 and u3
	})
}

func TestAQuietMinuteTakesFewReads(t *testing.T) {
	play(t, func(_ *site, routes, upstreams *topic) {
		is := is.New(t)
		routesBefore, upstreamsBefore := routes.called(), upstreams.called()
		time.Sleep(time.Minute)
		is.True(routes.called()-routesBefore <= 31)       // one each 2 s, whatever the number of nodes
		is.True(upstreams.called()-upstreamsBefore <= 41) // one each 1.5 s
	})
}
