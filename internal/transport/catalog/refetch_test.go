package catalog

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/feed"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/route"
)

// countingPeers answers fetches after a delay and counts them.
type countingPeers struct {
	sitePeers
	delay  time.Duration
	answer wire.FeedUpdate
	err    error

	mu                      sync.Mutex
	calls, inFlight, atOnce int
}

func (p *countingPeers) Fetch(context.Context, string, string) (wire.FeedUpdate, error) {
	p.mu.Lock()
	p.calls++
	p.inFlight++
	p.atOnce = max(p.atOnce, p.inFlight)
	p.mu.Unlock()
	time.Sleep(p.delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	return p.answer, p.err
}

// TestNewerRoutesAreFetchedOnceAtATime guards against the fault that killed a process: each digest of a member with newer
// routes started another fetch of all of them, while the fetches before still ran.
func TestNewerRoutesAreFetchedOnceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &countingPeers{
			sitePeers: sitePeers{site: newSite()},
			delay:     time.Second,
			answer: wire.FeedUpdate{
				Topic:   TopicRoutes,
				Whole:   true,
				Next:    1,
				Records: []wire.FeedRecord{{Key: "config", Value: "2"}},
			},
		}
		service := newNode(peers, newTopic(), newTopic())
		service.Prepare()
		for range 40 {
			go service.FetchNewerRoutes(t.Context(), "10.0.0.1:1", 2)
			time.Sleep(10 * time.Millisecond)
		}
		synctest.Wait()
		time.Sleep(2 * time.Second)
		is.Equal(service.RoutesVersion(), 2)
		is.Equal(peers.atOnce, 1)
		is.Equal(peers.calls, 1) // those that waited have become needless
	})
}

// TestFetchThatFailsReadsTheStoreOnce checks that a node gets newer routes also if every peer that has them is busy.
func TestFetchThatFailsReadsTheStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &countingPeers{
			sitePeers: sitePeers{site: newSite()},
			delay:     100 * time.Millisecond,
			err:       errStoreUnavailable,
		}
		routes := newTopic()
		routes.put("config", "3")
		service := newNode(peers, routes, newTopic())
		service.Prepare()
		for range 40 {
			go service.FetchNewerRoutes(t.Context(), "10.0.0.1:1", 3)
		}
		time.Sleep(time.Second)
		is.Equal(service.RoutesVersion(), 3)
		is.Equal(peers.calls, 2)
		is.Equal(routes.callCount(), 1)
	})
}

// TestFailingFetchesDoNotPutOffTheRead guards against a node that never reads the store, and keeps its old routes for seconds,
// while one peer after another tells of newer ones and can't supply them.
func TestFailingFetchesDoNotPutOffTheRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peers := &countingPeers{
			sitePeers: sitePeers{site: newSite()},
			delay:     500 * time.Millisecond,
			err:       errStoreUnavailable,
		}
		routes := newTopic()
		routes.put("config", "3")
		service := newNode(peers, routes, newTopic())
		service.Prepare()
		for peer := range 40 {
			go service.FetchNewerRoutes(t.Context(), strconv.Itoa(peer), 3)
			time.Sleep(100 * time.Millisecond)
			if peer == 15 {
				is.Equal(service.RoutesVersion(), 3)
			}
		}
		time.Sleep(time.Second)
		is.Equal(peers.calls, 2)
		is.Equal(routes.callCount(), 1)
	})
}

// TestNodeThatLagsReadsOnlyTheNewestVersion checks that many versions which come at once are not read one by one.
func TestNodeThatLagsReadsOnlyTheNewestVersion(t *testing.T) {
	is := is.New(t)
	routes := newTopic()
	routes.put("config", "1")
	service := newNode(&countingPeers{}, routes, newTopic())
	decoded := 0
	service.DecodeRoutes = func(data []byte) (*route.Table, []string, error) {
		decoded++
		return decodeVersion(data)
	}
	service.Prepare()
	service.CatchUp(t.Context(), "", TopicRoutes)
	routes.maxRead = 3
	for version := 2; version <= 40; version++ {
		routes.put("config", strconv.Itoa(version))
	}
	service.CatchUp(t.Context(), "", TopicRoutes)
	is.Equal(service.RoutesVersion(), 40)
	is.Equal(decoded, 2)
}

// TestRefusedCopyIsSentOnce guards against a copy of large routes that was sent to the store every 1.6 s for ever.
func TestRefusedCopyIsSentOnce(t *testing.T) {
	runSite(t, func(s *site, routes, _ *fakeTopic) {
		is := is.New(t)
		routesCopy := s.services[0].RoutesCopy.(*fakeTopic)
		routesCopy.set(func() {
			routesCopy.refuses = true
			routesCopy.saves = 0
		})
		routes.put("config", "2")
		time.Sleep(20 * time.Second)
		routesCopy.set(func() { is.Equal(routesCopy.saves, 1) })
		routes.put("config", "3") // may fit again
		time.Sleep(bound)
		routesCopy.set(func() { is.Equal(routesCopy.saves, 2) })
	})
}

// TestErrorsOfRemovedUpstreamsAreForgotten guards against an error kept for each upstream that ever had an invalid entry.
func TestErrorsOfRemovedUpstreamsAreForgotten(t *testing.T) {
	is := is.New(t)
	service := newNode(&countingPeers{}, newTopic(), newTopic())
	service.Prepare()
	for i := range 10 {
		service.applyUpstreams([]wire.FeedRecord{{Key: strconv.Itoa(i), Value: "asleep"}})
		is.Equal(len(service.decodeErrors), 1)
		service.applyUpstreams([]wire.FeedRecord{{Key: strconv.Itoa(i)}})
	}
	is.Equal(len(service.decodeErrors), 0)
}

// TestCatchUpFetchesOnlyWhatIsStillMissing has a peer supply the routes while the store doesn't answer: they were fetched
// once more from the reader, by all nodes at once.
func TestCatchUpFetchesOnlyWhatIsStillMissing(t *testing.T) {
	for name, c := range map[string]struct {
		supplied bool
		fetches  int
	}{
		"supplied": {supplied: true},
		"missing":  {fetches: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			routes := newTopic()
			routes.unavailable = true
			peers := &countingPeers{err: errStoreUnavailable}
			service := newNode(peers, routes, newTopic())
			service.Routes = readHook{
				fakeTopic: routes,
				before: func() {
					if c.supplied {
						service.HandleUpdate(wire.FeedUpdate{Topic: TopicRoutes, Whole: true, Next: 2})
					}
				},
				after: func() {},
			}
			service.Prepare()
			service.CatchUp(t.Context(), "", TopicRoutes)
			is.Equal(peers.calls, c.fetches)
		})
	}
}

// TestRecordsThatArePassedOnAreFetchedOnlyIfTheyDontCome guards against large routes that each node fetched although another one
// was passing them on, and against a node that waited in vain for one that had ended.
func TestRecordsThatArePassedOnAreFetchedOnlyIfTheyDontCome(t *testing.T) {
	for name, c := range map[string]struct {
		comes   bool
		fetches int
	}{
		"they come":       {comes: true},
		"they don't come": {fetches: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				whole := wire.FeedUpdate{
					Topic:   TopicRoutes,
					Whole:   true,
					Next:    2,
					Records: []wire.FeedRecord{{Key: "config", Value: "2", Offset: 1}},
				}
				peers := &countingPeers{answer: whole}
				routes := newTopic()
				service := newNode(peers, routes, newTopic())
				service.Prepare()
				if c.comes {
					time.AfterFunc(pushWait/2, func() { service.HandleUpdate(whole) })
				}
				start := time.Now()
				service.AwaitRecords(t.Context(), "10.0.0.1:1", wire.FeedUpdate{Topic: TopicRoutes, From: 2, Next: 2, Omitted: true})
				is.Equal(service.RoutesVersion(), 2)
				is.Equal(peers.calls, c.fetches)
				is.Equal(routes.callCount(), 0)
				is.True(time.Since(start) <= time.Second)
			})
		})
	}
}

// TestRoutesAreOutdatedWhileAPeerHasNewerOnes checks when a node may not deny a request for good.
func TestRoutesAreOutdatedWhileAPeerHasNewerOnes(t *testing.T) {
	is := is.New(t)
	service := newNode(&countingPeers{}, newTopic(), newTopic())
	service.DecodeRoutes = func(data []byte) (*route.Table, []string, error) {
		if string(data) == "7" {
			return nil, nil, errors.New("unknown field")
		}
		return decodeVersion(data)
	}
	service.Prepare()
	get := func(version string, offset int) {
		service.HandleUpdate(wire.FeedUpdate{
			Topic:   TopicRoutes,
			Whole:   true,
			Next:    offset + 1,
			Records: []wire.FeedRecord{{Key: "config", Value: version, Offset: offset}},
		})
	}
	get("5", 0)
	is.True(!service.RoutesOutdated())
	service.NoteVersion(6)
	service.NoteVersion(4) // of a member that lags
	is.True(service.RoutesOutdated())
	get("6", 1)
	is.True(!service.RoutesOutdated())
	service.NoteVersion(7)
	get("7", 2)
	is.True(!service.RoutesOutdated()) // it will never have this one
}

// readHook calls functions before and after each read of the newest records.
type readHook struct {
	*fakeTopic
	before, after func()
}

func (h readHook) Newest(ctx context.Context) (Batch, error) {
	h.before()
	defer h.after()
	return h.fakeTopic.Newest(ctx)
}

// TestUpdateDuringCatchUpIsRead guards against routes that a node didn't get until the next read of the store by all nodes:
// they were written while it read the store for the update before.
func TestUpdateDuringCatchUpIsRead(t *testing.T) {
	is := is.New(t)
	routes := newTopic()
	routes.put("config", "2")
	service := newNode(&countingPeers{}, routes, newTopic())
	service.Routes = readHook{
		fakeTopic: routes,
		before:    func() {},
		after: func() {
			routes.put("config", "3")
			service.CatchUp(t.Context(), "", TopicRoutes)
		},
	}
	service.Prepare()
	service.CatchUp(t.Context(), "", TopicRoutes)
	is.Equal(service.RoutesVersion(), 3)
}

// TestUndecodableRoutesAreFetchedOnce guards against a node that can't decode a version of the routes and fetched all of them
// again at each digest of a member that can.
func TestUndecodableRoutesAreFetchedOnce(t *testing.T) {
	is := is.New(t)
	peers := &countingPeers{answer: wire.FeedUpdate{
		Topic:   TopicRoutes,
		Whole:   true,
		Next:    1,
		Records: []wire.FeedRecord{{Key: "config", Value: "5"}},
	}}
	service := newNode(peers, newTopic(), newTopic())
	undecodable := "5"
	service.DecodeRoutes = func(data []byte) (*route.Table, []string, error) {
		if string(data) == undecodable {
			return nil, nil, errors.New("unknown field")
		}
		return decodeVersion(data)
	}
	service.Prepare()
	for range 10 {
		service.FetchNewerRoutes(t.Context(), "10.0.0.1:1", 5)
	}
	is.Equal(peers.calls, 1)
	peers.answer.Next, peers.answer.Records = 2, []wire.FeedRecord{{Key: "config", Value: "6", Offset: 1}}
	service.FetchNewerRoutes(t.Context(), "10.0.0.1:1", 6)
	is.Equal(service.RoutesVersion(), 6)
}

// TestIgnoredUpdateDoesNotMakeTheTopicCurrent guards against a node that didn't read the store, since late updates which it
// ignored made its copy look current.
func TestIgnoredUpdateDoesNotMakeTheTopicCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := newNode(&countingPeers{}, newTopic(), newTopic())
		service.Prepare()
		update := wire.FeedUpdate{Topic: TopicUpstreams, Whole: true}
		service.HandleUpdate(update)
		for i := range 2*feed.MaxTombstones + 1 {
			update.Records = append(update.Records, wire.FeedRecord{Key: strconv.Itoa(i), Offset: i})
		}
		update.Whole, update.Next = false, len(update.Records)
		service.HandleUpdate(update)
		time.Sleep(time.Second)
		service.HandleUpdate(wire.FeedUpdate{Topic: TopicUpstreams, Next: 1})
		is.Equal(service.UpstreamsAge(), time.Second)
		service.HandleUpdate(wire.FeedUpdate{Topic: TopicUpstreams, From: update.Next, Next: update.Next})
		is.Equal(service.UpstreamsAge(), time.Duration(0))
	})
}
