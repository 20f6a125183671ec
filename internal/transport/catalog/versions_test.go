package catalog

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/schedule"
)

// slowRecord takes a while to record a version.
type slowRecord struct {
	delay time.Duration

	mu       sync.Mutex
	recorded map[string]bool
	admits   int
	// fails makes records fail.
	fails bool
}

func (r *slowRecord) fail(fails bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = fails
}

func (r *slowRecord) Needed() bool { return true }

func (r *slowRecord) Recorded(_, version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded[version]
}

func (r *slowRecord) Load(context.Context) {}

func (r *slowRecord) Postponed() {}

func (r *slowRecord) Listed(map[string][]string) {}

func (r *slowRecord) Admit(ctx context.Context, versions map[string][]string) {
	schedule.Pause(ctx, r.delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admits++
	if r.fails {
		return
	}
	for _, version := range versions["p"] {
		r.recorded[version] = true
	}
}

// TestNewVersionsWaitForTheirRecordAndNoOthersDo guards against a stream that begins at a version that the store does not
// know, against known versions that wait with it, and against peers that never list an upstream whose push they missed.
func TestNewVersionsWaitForTheirRecordAndNoOthersDo(t *testing.T) {
	const period = upstreamsReadPeriod + pollInterval
	for name, lost := range map[string]func(from, to int) bool{
		"all pushes arrive":   func(int, int) bool { return false },
		"one node misses all": func(_, to int) bool { return to == 2 },
	} {
		t.Run(name, func(t *testing.T) {
			record := &slowRecord{
				delay:    time.Second,
				recorded: map[string]bool{"": true},
			}
			runSiteOf(t, func(s *Service) { s.Versions = record }, func(s *site, _, upstreams *fakeTopic) {
				is := is.New(t)
				upstreams.put("u3", "ready@1")
				time.Sleep(period)
				s.lose(func(from, to int) bool { return lost(from, to) })
				upstreams.put("u2", "ready@1/v2")
				upstreams.put("u3", "ready@2/v2")
				upstreams.put("u1", "draining")
				time.Sleep(period)
				is.True(s.leaving()[0])
				is.True(s.leaving()[1])
				listed := func(node int, name string) *replica.Replica {
					found, known := s.services[node].Table.Load().Replica(name)
					if !known {
						return nil
					}
					return found
				}
				record.mu.Lock()
				waiting := !record.recorded["v2"]
				record.mu.Unlock()
				if waiting {
					is.Equal(listed(0, "u2"), nil)
					is.True(listed(0, "u3").Leaving()) // it is at another version by now
				}
				s.lose(func(int, int) bool { return false })
				time.Sleep(bound)
				for node := range s.services {
					is.True(s.leaving()[node])
					is.Equal(listed(node, "u2").Version(), "v2")
					is.Equal(listed(node, "u3").Version(), "v2")
					is.True(!listed(node, "u3").Leaving())
				}
			})
		})
	}
}

// TestUnrecordedVersionsAreNotListed guards against streams that begin at a version that the store never learns of: after the loss
// of all nodes they went on at another one. Once the store has the version it is listed without delay.
func TestUnrecordedVersionsAreNotListed(t *testing.T) {
	for name, others := range map[string]string{"others serve": "ready", "no others serve": "draining"} {
		t.Run(name, func(t *testing.T) {
			record := &slowRecord{
				delay:    time.Second,
				recorded: map[string]bool{"": true},
			}
			runSiteOf(t, func(s *Service) { s.Versions = record }, func(s *site, routes, upstreams *fakeTopic) {
				is := is.New(t)
				listed := func(service *Service) bool {
					_, found := service.Table.Load().Replica("u2")
					return found
				}
				record.fail(true)
				upstreams.put("u1", others)
				upstreams.put("u2", "ready@1/v2")
				time.Sleep(5 * time.Second)
				started := newNode(sitePeers{site: newSite()}, routes, upstreams)
				started.Versions = record
				started.Prepare()
				is.NoErr(started.RefreshUpstreams(context.Background()))
				is.Equal(started.Table.Load().Len(), 1)
				for _, service := range append(s.services, started) {
					is.True(!listed(service))
				}
				record.fail(false)
				time.Sleep(2*record.delay + pollInterval)
				for _, service := range s.services {
					is.True(listed(service))
				}
				started.tasks.Stop(context.Background())
			})
		})
	}
}

// TestVersionsThatCameDuringALossWaitForCallers guards against refused streams where a version came while no node ran: recorded at
// once by the first node that starts, it leaves open at which version the streams of before had begun.
func TestVersionsThatCameDuringALossWaitForCallers(t *testing.T) {
	for name, load := range map[string]func(started, peer *Service){
		"first list from the store": func(*Service, *Service) {},
		"first list from a peer": func(started, peer *Service) {
			whole, _ := peer.Snapshot(TopicUpstreams)
			started.HandleUpdate(whole)
		},
	} {
		t.Run(name, func(t *testing.T) {
			record := &slowRecord{
				delay:    20 * time.Millisecond,
				recorded: map[string]bool{"": true},
			}
			runSiteOf(t, func(*Service) {}, func(s *site, routes, upstreams *fakeTopic) {
				is := is.New(t)
				started := newNode(sitePeers{site: newSite()}, routes, upstreams)
				started.Versions = record
				started.Prepare()
				load(started, s.services[0])
				upstreams.put("u2", "ready@1/v2")
				listed := func() bool {
					is.NoErr(started.RefreshUpstreams(context.Background()))
					time.Sleep(2 * record.delay)
					_, found := started.Table.Load().Replica("u2")
					return found
				}
				is.True(!listed())
				is.Equal(started.Table.Load().Len(), 1) // the others serve at once
				time.Sleep(returnTime - 200*time.Millisecond)
				is.True(!listed())
				is.Equal(record.admits, 0)
				time.Sleep(200 * time.Millisecond)
				is.True(listed())
			})
		})
	}
}

// TestFirstListOfUnrecordedVersionsWaitsForNobody guards against a site that starts for the first time, or whose pools have moved to
// other versions while no node ran, and that serves nobody while it waits for callers.
func TestFirstListOfUnrecordedVersionsWaitsForNobody(t *testing.T) {
	runSiteOf(t, func(*Service) {}, func(_ *site, routes, upstreams *fakeTopic) {
		is := is.New(t)
		upstreams.put("u2", "ready@1/v2")
		started := newNode(sitePeers{site: newSite()}, routes, upstreams)
		started.Versions = &slowRecord{recorded: map[string]bool{}}
		started.Prepare()
		is.NoErr(started.RefreshUpstreams(context.Background()))
		is.Equal(started.Table.Load().Len(), 2)
	})
}

// TestFirstListWaitsNoLongerThanItsVersionsTake guards against a node that starts with an empty list, and one that goes on with it
// once its versions are recorded.
func TestFirstListWaitsNoLongerThanItsVersionsTake(t *testing.T) {
	record := &slowRecord{
		delay:    time.Second,
		recorded: map[string]bool{},
	}
	runSiteOf(t, func(s *Service) { s.Versions = record }, func(s *site, _, _ *fakeTopic) {
		is := is.New(t)
		for _, service := range s.services {
			is.True(service.Ready())
			is.Equal(service.Table.Load().Len(), 1)
		}
	})
}

// TestWholeListKeepsUpstreamsWhoseNewEntryWaits guards against a listed upstream whose requests in progress are cut off because
// a read of the whole list, in the same era of the store or a new one, withholds its new entry.
func TestWholeListKeepsUpstreamsWhoseNewEntryWaits(t *testing.T) {
	for name, makeWhole := range map[string]func(topic *fakeTopic){
		"records were deleted": func(topic *fakeTopic) { topic.set(func() { topic.deleted = true }) },
		"store was restored":   func(topic *fakeTopic) { topic.set(func() { topic.era++ }) },
	} {
		t.Run(name, func(t *testing.T) {
			record := &slowRecord{
				delay:    3 * time.Second,
				recorded: map[string]bool{"": true},
			}
			runSiteOf(t, func(s *Service) { s.Versions = record }, func(s *site, _, upstreams *fakeTopic) {
				is := is.New(t)
				upstreams.put("u3", "ready@1")
				time.Sleep(upstreamsReadPeriod + pollInterval)
				upstreams.put("u3", "ready@2/v2")
				makeWhole(upstreams)
				time.Sleep(upstreamsReadPeriod + pollInterval)
				for _, service := range s.services {
					former, listed := service.Table.Load().Replica("u3")
					is.True(listed)
					is.Equal(former.Version(), "")
				}
				held, _ := s.services[0].Table.Load().Replica("u3")
				is.True(held.Leaving())
				time.Sleep(record.delay + upstreamsReadPeriod)
				for _, service := range s.services {
					next, listed := service.Table.Load().Replica("u3")
					is.True(listed)
					is.Equal(next.Version(), "v2")
					is.True(!next.Leaving())
				}
			})
		})
	}
}

// unneededRecord is the record of a site without take-ups.
type unneededRecord struct{ slowRecord }

func (*unneededRecord) Needed() bool { return false }

func (*unneededRecord) Recorded(string, string) bool { return true }

// TestEntriesAreDecodedOnceWithoutTakeUps guards against a site without take-ups that decodes each entry twice as often as one
// without a record of versions.
func TestEntriesAreDecodedOnceWithoutTakeUps(t *testing.T) {
	is := is.New(t)
	decoded := func(record VersionRecord) (count int) {
		topic := newTopic()
		topic.put("u1", "ready@1/v1")
		s := newNode(sitePeers{site: newSite()}, newTopic(), topic)
		s.Versions = record
		s.DecodeUpstream = func(name string, data []byte) (wire.Machine, error) {
			count++
			return decodeState(name, data)
		}
		s.Prepare()
		is.NoErr(s.RefreshUpstreams(t.Context()))
		return count
	}
	is.Equal(decoded(&unneededRecord{}), decoded(nil))
}
