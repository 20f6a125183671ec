package origins_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
	"lagoongw/internal/transport/origins"
	"lagoongw/internal/transport/schedule"
)

// recordTopic is a topic that fails on demand.
type recordTopic struct {
	mu      sync.Mutex
	saved   []wire.FeedRecord
	saveErr error
	readErr error
	era     int
}

func (r *recordTopic) Newest(context.Context) (catalog.Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return catalog.Batch{
		Records: r.saved,
		Era:     r.era,
	}, r.readErr
}

func (r *recordTopic) Save(_ context.Context, records []wire.FeedRecord) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saveErr == nil {
		r.saved = append(r.saved, records...)
	}
	return r.saveErr
}

func (r *recordTopic) holds(version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range r.saved {
		if strings.Contains(record.Value, version) {
			return true
		}
	}
	return false
}

// newNode returns a node named a that lists version v1 of the pool s, with one peer named b, and writes to the store.
func newNode(record *recordTopic) *origins.Service {
	return &origins.Service{
		Name:  "a",
		Nodes: func() []origin.Node { return []origin.Node{{Name: "a"}, {Name: "b"}} },
		Versions: func() (map[string][]string, bool) {
			return map[string][]string{"s": {"v1"}}, true
		},
		Timeouts:      func() map[string]time.Duration { return map[string]time.Duration{"s": routeTimeout} },
		VersionRecord: record,
		Writer:        func() string { return "a" },
		AskSighted:    func(context.Context, string, string) (origin.Sighted, error) { return origin.Sighted{}, errLost },
		Logger:        zerolog.Nop(),
	}
}

// TestEraThatIsLearnedLaterRevokesWhatWasRead guards against a store without the topic, which says no era: it may have been
// restored from a copy older than the topic, so that a version that has served is missing.
func TestEraThatIsLearnedLaterRevokesWhatWasRead(t *testing.T) {
	for name, c := range map[string]struct {
		eraOfRead, eraOfList int
		told                 []origin.Entry
		known                bool
	}{
		"store was never restored":          {known: true},
		"list says that it was restored":    {eraOfList: 1},
		"the answer itself says the era":    {eraOfRead: 1},
		"told that the record is whole now": {eraOfList: 1, told: []origin.Entry{wholeRecord}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newNode(&recordTopic{
					readErr: catalog.ErrNoTopic,
					era:     c.eraOfRead,
				})
				s.Writer = func() string { return "b" }
				era := 0
				s.Era = func() int { return era }
				s.Refresh = func(context.Context) error {
					era = c.eraOfList
					return nil
				}
				tickFor(s, time.Second)
				s.ToldVersions(t.Context(), c.told)
				_, known := s.FindOnly(t.Context(), "s", routeTimeout)
				is.Equal(known, c.known)
			})
		})
	}
}

// wholeRecord is an entry of the first era after a restore whose writer knew all versions.
var wholeRecord = origin.Entry{
	Key:       "whole",
	Pool:      "s",
	Version:   "v1",
	Era:       1,
	Complete:  true,
	Confirmed: true,
}

// TestFrozenNodeDoesNotDelayANewVersion guards against an upstream that is withheld until the call of a frozen node times out
// although the store has accepted its version, also where streams of the former version are logged first.
func TestFrozenNodeDoesNotDelayANewVersion(t *testing.T) {
	for name, log := range map[string]origins.Stored{
		"no streams are logged":    nil,
		"streams are logged first": &recordTopic{},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				const peerTimeout = 5 * time.Second
				s := newNode(&recordTopic{})
				s.StreamLog = log
				s.Tell = func(context.Context, string, []origin.Report) error { return nil }
				s.TellVersions = func(context.Context, string, []origin.Entry) error {
					time.Sleep(peerTimeout)
					return errLost
				}
				tickFor(s, 8*time.Second) // it is the writer, and has recorded v1
				s.Began("r1", origin.Origin{
					Pool:    "s",
					Version: "v1",
				})
				began := time.Now()
				s.Admit(t.Context(), map[string][]string{"s": {"v2"}})
				is.True(s.Recorded("s", "v2"))
				is.True(time.Since(began) < 400*time.Millisecond)
				time.Sleep(2 * peerTimeout) // the calls end within the test
				s.Stop(t.Context())
			})
		})
	}
}

func tickFor(s *origins.Service, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		s.Tick(time.Now())
	}
}

// TestNextWriterRecordsWhatAFormerOneOnlyTold guards against a version that is never recorded, because the node that told the
// others of it was lost before the store had accepted it.
func TestNextWriterRecordsWhatAFormerOneOnlyTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		record := &recordTopic{}
		s := newNode(record)
		tickFor(s, 250*time.Millisecond)
		s.ToldVersions(t.Context(), []origin.Entry{{
			Key:      "of-b",
			Pool:     "s",
			Version:  "v1",
			Complete: true,
		}})
		tickFor(s, 5*time.Second)
		is.True(record.holds("v1"))
	})
}

// TestRetiredWriterAppendsNoMore guards against a node that is no longer the one to write, and whose pending streams overwrite
// the batches of the new writer, which continues from the same slot.
func TestRetiredWriterAppendsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &recordTopic{}
		s := newNode(&recordTopic{})
		s.Versions = func() (map[string][]string, bool) {
			return map[string][]string{"s": {"v1", "v2"}}, true
		}
		s.Tell = func(context.Context, string, []origin.Report) error { return errLost }
		s.StreamLog = log
		writer := "a"
		s.Writer = func() string { return writer }
		began := func(id string) {
			s.Began(id, origin.Origin{
				Pool:    "s",
				Version: "v1",
			})
		}
		tickFor(s, 3*time.Second)
		began("first")
		tickFor(s, time.Second)
		is.Equal(log.count(), 1)

		log.fail(errLost)
		began("second")
		tickFor(s, time.Second)
		writer = "b"
		tickFor(s, 250*time.Millisecond)
		log.fail(nil)
		tickFor(s, 5*time.Second)
		is.Equal(log.count(), 1)

		writer = "a"
		tickFor(s, 5*time.Second)
		is.Equal(log.count(), 2) // it appends what it remembers under a slot that it has read anew
	})
}

func (r *recordTopic) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saveErr = err
}

func (r *recordTopic) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.saved)
}

// TestSitesWithoutTakeUpsRankNoNodes guards against work at every tick for streams that no pool can have taken up.
func TestSitesWithoutTakeUpsRankNoNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newNode(&recordTopic{})
		s.Timeouts = func() map[string]time.Duration { return map[string]time.Duration{} }
		ranked := 0
		s.Writer = func() string {
			ranked++
			return "a"
		}
		tickFor(s, 5*time.Second)
		is.Equal(ranked, 0)
	})
}

// slowTopic is a topic whose appends take a while.
type slowTopic struct {
	recordTopic
	delay    time.Duration
	inFlight atomic.Int32
}

func (s *slowTopic) Save(ctx context.Context, records []wire.FeedRecord) error {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	schedule.Pause(ctx, s.delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.recordTopic.Save(ctx, records)
}

// TestStopLeavesNoAppendInFlight guards against appends to the log of streams that nobody waits for when the process ends, and
// that go on or begin afterwards.
func TestStopLeavesNoAppendInFlight(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"the store answers": 20 * time.Millisecond,
		"the store hangs":   time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &slowTopic{delay: delay}
				s := newNode(&recordTopic{})
				s.StreamLog = log
				s.Versions = func() (map[string][]string, bool) {
					return map[string][]string{"s": {"v1", "v2"}}, true
				}
				s.Tell = func(context.Context, string, []origin.Report) error { return errLost }
				s.TellVersions = func(context.Context, string, []origin.Entry) error { return errLost }
				tickFor(s, 3*time.Second)
				s.Began("r1", origin.Origin{
					Pool:    "s",
					Version: "v1",
				})
				for log.inFlight.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				s.Stop(ctx)
				is.Equal(log.inFlight.Load(), int32(0))
				is.Equal(log.holds("v1"), delay < time.Hour)
				s.Began("r2", origin.Origin{
					Pool:    "s",
					Version: "v2",
				})
				time.Sleep(time.Minute)
				is.True(!log.holds("v2"))
			})
		})
	}
}

// TestNodeOutOfStepLearnsOfVersionsThatCameAndWent guards against a stream that goes on at another version: it began at one whose
// upstreams came while this node was out of step, and have left since, so that no list shows them.
func TestNodeOutOfStepLearnsOfVersionsThatCameAndWent(t *testing.T) {
	for name, c := range map[string]struct {
		outOfStep func(s *origins.Service)
		// recorded is the version that the others recorded meanwhile, empty for none.
		recorded string
		readErr  error
		known    bool
	}{
		"cut off from the others": {outOfStep: func(*origins.Service) {}, recorded: "v2"},
		"the only node that it knows": {
			outOfStep: func(s *origins.Service) { s.Nodes = func() []origin.Node { return []origin.Node{{Name: "a"}} } },
			recorded:  "v2",
		},
		"on the smaller side of a cut": {
			outOfStep: func(s *origins.Service) {
				s.StableFor = func() time.Duration { return 0 }
				s.AskSighted = sightedV1
			},
			recorded: "v2",
		},
		"record can't be read":     {outOfStep: func(*origins.Service) {}, readErr: errLost},
		"no other version came":    {outOfStep: func(*origins.Service) {}, known: true},
		"in touch with the others": {outOfStep: func(s *origins.Service) { s.AskSighted = sightedV1 }, readErr: errLost, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				topic := &recordTopic{}
				s := newNode(topic)
				s.Refresh = func(context.Context) error { return nil } // its list is current, and shows v1 alone
				c.outOfStep(s)
				tickFor(s, 40*time.Second)
				if c.recorded != "" {
					is.NoErr(topic.Save(t.Context(), []wire.FeedRecord{{Key: "k2", Value: `{"pool":"s","version":"` + c.recorded + `"}`}}))
				}
				topic.mu.Lock()
				topic.readErr = c.readErr
				topic.mu.Unlock()
				for range 3 {
					found, known := s.FindOnly(t.Context(), "s", routeTimeout)
					is.Equal(known, c.known)
					is.True(!known || found.Version == "v1")
					time.Sleep(time.Second)
				}
			})
		})
	}
}

func sightedV1(context.Context, string, string) (origin.Sighted, error) {
	return origin.Sighted{
		Versions: []string{"v1"},
		Observed: time.Minute,
	}, nil
}

// TestStreamsOfTheFirstSecondAreLogged guards against streams that nobody has logged when all nodes are lost again about a second
// after their return, since no node has been the one to log for long enough, and against their batches staying for ever.
func TestStreamsOfTheFirstSecondAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, record := &recordTopic{}, &recordTopic{saved: []wire.FeedRecord{
			{Key: "k1", Value: `{"pool":"s","version":"v1"}`},
			{Key: "k2", Value: `{"pool":"s","version":"v2"}`},
		}}
		started := func() *origins.Service {
			s := newNode(record)
			s.StreamLog = log
			s.Tell = func(context.Context, string, []origin.Report) error { return errLost }
			s.Ask = func(context.Context, string, origin.ID) (origin.Answer, error) { return origin.Answer{}, errLost }
			s.Versions = func() (map[string][]string, bool) { return map[string][]string{"s": {"v1", "v2"}}, true }
			return s
		}
		s := started()
		tickFor(s, 250*time.Millisecond)
		s.Began("r1", origin.Origin{
			Pool:    "s",
			Version: "v1",
		})
		time.Sleep(150 * time.Millisecond) // all nodes are lost, and once more after the next start
		between := started()
		tickFor(between, 250*time.Millisecond)
		between.Began("r2", origin.Origin{
			Pool:    "s",
			Version: "v2",
		})
		time.Sleep(150 * time.Millisecond)
		again := started()
		tickFor(again, 250*time.Millisecond)
		for id, version := range map[string]string{"r1": "v1", "r2": "v2"} {
			found, known := again.Find(t.Context(), id, "s")
			is.True(known)
			is.Equal(found.Version, version)
		}
		tickFor(again, origin.DefaultWindow+10*time.Second)
		between.Stop(t.Context())
		again.Stop(t.Context())
		emptied := 0
		log.mu.Lock()
		defer log.mu.Unlock()
		for _, saved := range log.saved {
			if number, err := strconv.Atoi(saved.Key); err == nil && origin.IsEarly(number) && saved.Value == "" {
				emptied++
			}
		}
		is.Equal(emptied, 2)
	})
}

// TestNodesOfLargeSitesReadLittleForCallers guards against a large site whose nodes read the list of upstreams from the store for
// each caller who takes a stream up, which together take up all that the store sends.
func TestNodesOfLargeSitesReadLittleForCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for nodes, most := range map[int]int{2: 30, 100: 10, 300: 2} {
			for name, stable := range map[string]time.Duration{"stable": time.Minute, "changing": time.Second, "cut off": 0} {
				inTouch, trusting := stable > 0, stable == time.Minute && nodes > 64
				reads := 0
				s := newNode(&recordTopic{})
				s.Nodes = func() []origin.Node {
					all := []origin.Node{{Name: "a"}}
					for i := range nodes - 1 {
						all = append(all, origin.Node{Name: strconv.Itoa(i)})
					}
					return all
				}
				s.Refresh = func(context.Context) error {
					reads++
					return nil
				}
				s.TellVersions = func(context.Context, string, []origin.Entry) error { return nil }
				s.StableFor = func() time.Duration { return stable }
				if inTouch {
					s.AskSighted = sightedV1
				}
				tickFor(s, 40*time.Second)
				for range 20 {
					_, known := s.FindOnly(t.Context(), "s", routeTimeout)
					is.True(known || !trusting)
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("%d nodes, %s: %d reads", nodes, name, reads)
				is.True(reads <= most)
				is.True(!trusting || reads == 0)
				s.Stop(t.Context())
			}
		}
	})
}
