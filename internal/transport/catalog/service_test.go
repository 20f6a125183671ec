package catalog

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bound is the time within which users require every node to know a change of the routes or a leaving upstream.
const bound = 3 * time.Second

func TestChangesReachEveryNodeInTime(t *testing.T) {
	for name, fault := range map[string]func(s *site, routes, upstreams *fakeTopic){
		"no fault": func(*site, *fakeTopic, *fakeTopic) {},
		"waiting reads hang": func(_ *site, routes, _ *fakeTopic) {
			routes.set(func() { routes.hangReads = true })
		},
		"records of the routes are deleted": func(_ *site, routes, _ *fakeTopic) {
			routes.set(func() { routes.deleted = true })
		},
		"records of the upstreams are deleted": func(_ *site, _, upstreams *fakeTopic) {
			upstreams.set(func() { upstreams.deleted = true })
		},
		"the reader is isolated":    func(s *site, _, _ *fakeTopic) { s.isolate(0) },
		"the last node is isolated": func(s *site, _, _ *fakeTopic) { s.isolate(2) },
		"waiting reads hang and the reader is isolated": func(s *site, routes, _ *fakeTopic) {
			s.isolate(0)
			routes.set(func() { routes.hangReads = true })
		},
		"pushes of the reader reach one node only": func(s *site, _, _ *fakeTopic) {
			s.lose(func(from, to int) bool { return from == 0 && to == 2 })
		},
		"pushes of the reader are lost": func(s *site, _, _ *fakeTopic) {
			s.lose(func(from, _ int) bool { return from == 0 })
		},
		"pushes to the reader are lost": func(s *site, _, _ *fakeTopic) {
			s.lose(func(_, to int) bool { return to == 0 })
		},
		"all pushes are lost": func(s *site, _, _ *fakeTopic) { s.lose(func(int, int) bool { return true }) },
		"reads hang while a reader is waiting": func(_ *site, routes, _ *fakeTopic) {
			time.Sleep(time.Second)
			routes.set(func() { routes.hangReads = true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			runSite(t, func(s *site, routes, upstreams *fakeTopic) {
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

// TestRecordsThatAreTooLargeToPushAreReadFromTheStore changes the routes while pushes carry no records: each node learns
// from a push that it lacks some, and reads the store.
func TestRecordsThatAreTooLargeToPushAreReadFromTheStore(t *testing.T) {
	runSite(t, func(s *site, routes, upstreams *fakeTopic) {
		is := is.New(t)
		s.omitRecords()
		callsBefore := routes.callCount()
		routes.put("config", "2")
		upstreams.put("u1", "draining")
		time.Sleep(1700 * time.Millisecond) // one read of the upstreams; the routes are read as soon as they change
		is.Equal(s.versions(), []int{2, 2, 2})
		is.Equal(s.leaving(), []bool{true, true, true})
		is.True(routes.callCount()-callsBefore <= 4) // two reads of the reader, one of each other node
	})
}

// TestReaderPushesRecordsThatAPeerSentDuringItsRead checks that a reader pushes every record that it read. While its
// read is in flight, a peer sends it the same records, so that they are not new when the read returns; other peers may
// still lack them.
func TestReaderPushesRecordsThatAPeerSentDuringItsRead(t *testing.T) {
	runSite(t, func(s *site, _, upstreams *fakeTopic) {
		is := is.New(t)
		s.lose(func(int, int) bool { return true })
		reader, other := s.services[0].upstreams, s.services[1].upstreams
		upstreams.put("u1", "draining")
		update, err := reader.fetch(context.Background(), 0)
		is.NoErr(err)
		is.NoErr(other.read(context.Background(), 0, 0))
		snapshot, _ := other.snapshot()
		reader.handleUpdate(snapshot)
		pushed, _ := reader.applyRead(update, time.Now())
		is.Equal(pushed.Next, 2)
		is.Equal(len(pushed.Records), 1)
	})
}

// TestReadThatFailedLongAgoHoldsNoRemoval checks that a node removes an upstream at once, although its own last read of
// the store failed: the updates of its peers since then show that the store is available.
func TestReadThatFailedLongAgoHoldsNoRemoval(t *testing.T) {
	runSite(t, func(s *site, _, upstreams *fakeTopic) {
		is := is.New(t)
		s.services[1].upstreams.recordFailure(context.Background(), errStoreUnavailable, time.Now())
		time.Sleep(10 * time.Second)
		upstreams.put("u1", "")
		time.Sleep(2 * time.Second)
		is.Equal(s.leaving(), []bool{true, true, true})
	})
}

// TestRemovalFoundByReadingTheWholeTopicReachesAllNodes checks that a removal reaches all nodes although the store
// deleted its record before any node read it, so that the reader finds it only by reading the whole topic.
func TestRemovalFoundByReadingTheWholeTopicReachesAllNodes(t *testing.T) {
	runSite(t, func(s *site, _, upstreams *fakeTopic) {
		is := is.New(t)
		upstreams.put("u1", "")
		upstreams.set(func() { upstreams.deleted = true })
		time.Sleep(bound)
		is.Equal(s.leaving(), []bool{true, true, true})
	})
}

func TestStoreOutageKeepsRoutesAndHoldsRemovals(t *testing.T) {
	runSite(t, func(s *site, routes, upstreams *fakeTopic) {
		is := is.New(t)
		for _, store := range []*fakeTopic{routes, upstreams} {
			store.set(func() { store.unavailable = true })
		}
		time.Sleep(20 * time.Second)
		is.Equal(s.versions(), []int{1, 1, 1}) // the last known routes stay in force
		is.Equal(s.leaving(), []bool{false, false, false})
		routes.put("config", "2")
		upstreams.put("u1", "") // expired while the store was unavailable
		for _, store := range []*fakeTopic{routes, upstreams} {
			store.set(func() { store.unavailable = false })
		}
		time.Sleep(2 * time.Second)
		is.Equal(s.leaving(), []bool{false, false, false}) // the upstream may still register again
		time.Sleep(2500 * time.Millisecond)
		is.Equal(s.versions(), []int{2, 2, 2})
		is.Equal(s.leaving(), []bool{true, true, true})
	})
}

// TestUpstreamThatRegistersAgainAfterAnOutageStaysAtEveryNode lets an entry expire while the store is unavailable. The
// reader tells its peers of the removal, which all of them hold; it must also tell them that the entry is back, although
// that changes nothing in its own list.
func TestUpstreamThatRegistersAgainAfterAnOutageStaysAtEveryNode(t *testing.T) {
	runSite(t, func(s *site, _, upstreams *fakeTopic) {
		is := is.New(t)
		upstreams.set(func() { upstreams.unavailable = true })
		time.Sleep(6 * time.Second)
		upstreams.put("u1", "")
		upstreams.set(func() { upstreams.unavailable = false })
		time.Sleep(1900 * time.Millisecond)
		upstreams.put("u1", "ready")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			is.Equal(s.leaving(), []bool{false, false, false})
		}
	})
}

// TestRestartOfAllNodesWithoutTheRoutesTopic checks that a node can start from the copy of the routes when all nodes
// restart while the store serves every topic but the routes.
func TestRestartOfAllNodesWithoutTheRoutesTopic(t *testing.T) {
	runSite(t, func(s *site, routes, _ *fakeTopic) {
		is := is.New(t)
		routes.put("config", "2")
		time.Sleep(10 * time.Second)
		routes.set(func() { routes.unavailable = true })
		first := s.services[0]
		emptySite := newSite() // no other node is left
		restarted := newNode(sitePeers{site: emptySite}, routes, first.Upstreams.(*fakeTopic))
		restarted.RoutesCopy, restarted.UpstreamsCopy = first.RoutesCopy, first.UpstreamsCopy
		restarted.Prepare()
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { restarted.Run(ctx) })
		time.Sleep(time.Second)
		is.True(restarted.Ready())
		is.Equal(restarted.CurrentRoutes().Version(), 2)
		_, known := restarted.Snapshot(TopicRoutes)
		is.True(!known) // a copy is not passed to peers
		routes.set(func() { routes.unavailable = false })
		routes.put("config", "3")
		time.Sleep(bound)
		is.Equal(restarted.CurrentRoutes().Version(), 3)
		cancel()
		group.Wait()
	})
}

func TestVersionsNeverGoBackAndBadRecordsHarmNothing(t *testing.T) {
	runSite(t, func(s *site, routes, upstreams *fakeTopic) {
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

func TestReadsPerMinuteWithoutChanges(t *testing.T) {
	runSite(t, func(_ *site, routes, upstreams *fakeTopic) {
		is := is.New(t)
		routesBefore, upstreamsBefore := routes.callCount(), upstreams.callCount()
		time.Sleep(time.Minute)
		is.True(routes.callCount()-routesBefore <= 31)       // one every 2 s, whatever the number of nodes
		is.True(upstreams.callCount()-upstreamsBefore <= 41) // one every 1.5 s
	})
}
