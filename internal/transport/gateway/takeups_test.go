package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/catalog"
)

var errStoreDown = errors.New("store unavailable")

// storeDelay is the time that each call of the store takes.
const storeDelay = 5 * time.Millisecond

// siteStore holds the keyed topics of a site's store.
type siteStore struct {
	mu     sync.Mutex
	topics map[string]map[string]wire.FeedRecord
	offset int
	down   bool
	// sparse makes reads of topics fail that nothing was appended to.
	sparse bool
	// reads and appends count the calls by topic.
	reads, appends map[string]int
}

func newSiteStore() *siteStore {
	return &siteStore{
		sparse:  true,
		topics:  map[string]map[string]wire.FeedRecord{},
		reads:   map[string]int{},
		appends: map[string]int{},
	}
}

// setDown makes all calls fail, or no longer.
func (s *siteStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// storeClient is a node's way to the store, which is of no use once the node is lost.
type storeClient struct {
	store *siteStore
	lost  atomic.Bool
}

func (c *storeClient) topic(name string) *storeTopic {
	return &storeTopic{
		client: c,
		name:   name,
	}
}

type storeTopic struct {
	client *storeClient
	name   string
}

func (t *storeTopic) call(count map[string]int, appends bool, run func(records map[string]wire.FeedRecord)) error {
	time.Sleep(storeDelay)
	store := t.client.store
	store.mu.Lock()
	defer store.mu.Unlock()
	if t.client.lost.Load() {
		return errStoreDown
	}
	count[t.name]++
	if store.down {
		return errStoreDown
	}
	if store.topics[t.name] == nil {
		if store.sparse && !appends {
			return catalog.ErrNoTopic
		}
		store.topics[t.name] = map[string]wire.FeedRecord{}
	}
	run(store.topics[t.name])
	return nil
}

func (t *storeTopic) Newest(context.Context) (batch catalog.Batch, err error) {
	err = t.call(t.client.store.reads, false, func(records map[string]wire.FeedRecord) {
		for _, record := range records {
			batch.Records = append(batch.Records, record)
		}
		batch.Next = t.client.store.offset
	})
	return batch, err
}

func (t *storeTopic) Save(_ context.Context, records []wire.FeedRecord) error {
	return t.call(t.client.store.appends, true, func(known map[string]wire.FeedRecord) {
		for _, record := range records {
			record.Offset = t.client.store.offset
			t.client.store.offset++
			known[record.Key] = record
			if record.Value == "" {
				delete(known, record.Key)
			}
		}
	})
}

// loseAll ends all nodes at once, and starts new ones after a while.
func (c *crashSite) loseAll(t *testing.T, after time.Duration) {
	t.Helper()
	for number := range siteNodes {
		c.node(number).store.lost.Store(true)
	}
	time.Sleep(after)
	for number := range siteNodes {
		c.restart(t, number)
	}
}

// setVersions replaces the versions of the engines in turn, as the node that reads the store does.
func (c *crashSite) setVersions(t *testing.T, versions ...string) {
	t.Helper()
	c.node(0).origins.Admit(t.Context(), map[string][]string{"s": versions})
	c.mu.Lock()
	c.versions = versions
	c.mu.Unlock()
	rows := c.rows()
	for number := range siteNodes {
		c.node(number).upstreams.Update(rows)
	}
}

// takeUpTwice takes a stream up, and once more after the time that the first answer names.
func (s *takeUpSite) takeUpTwice(t *testing.T, number int, id string, lastEvent int) (wentOn bool) {
	got := s.takeUp(t.Context(), number, id, lastEvent)
	if got.status != http.StatusOK {
		wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
		if err != nil {
			t.Errorf("take-up refused without a time to come back: %v", err)
		}
		time.Sleep(wait)
		got = s.takeUp(t.Context(), number, id, lastEvent)
	}
	return got.status == http.StatusOK && got.whole
}

// TestStreamsGoOnAfterAllNodesWereLost guards against refusing the callers of a site whose nodes were all lost at once, and
// against joining streams of two versions there.
func TestStreamsGoOnAfterAllNodesWereLost(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		// before runs before the nodes are lost, after once they are back.
		before, after func(t *testing.T, site *takeUpSite)
		// atLeast and atMost limit the percentage of the streams that go on.
		atLeast, atMost int
	}{
		"one version": {
			versions: []string{"v1"},
			atLeast:  90,
			atMost:   100,
		},
		"two versions": {
			versions: []string{"v1", "v2"},
			atLeast:  90,
			atMost:   100,
		},
		"two versions, the first node takes a while": {
			versions: []string{"v1", "v2"},
			after:    func(*testing.T, *takeUpSite) { time.Sleep(100 * time.Millisecond) },
			atLeast:  90,
			atMost:   100,
		},
		"the second version has just come": {
			versions: []string{"v1"},
			before: func(t *testing.T, site *takeUpSite) {
				site.setVersions(t, "v1", "v2")
				time.Sleep(500 * time.Millisecond)
			},
			atLeast: 90,
			atMost:  100,
		},
		"the version has just gone": {
			versions: []string{"v1"},
			before:   func(t *testing.T, site *takeUpSite) { site.setVersions(t, "v2") },
		},
		"the version goes while no node runs": {
			versions: []string{"v1"},
			after:    func(t *testing.T, site *takeUpSite) { site.setVersions(t, "v2") },
		},
		"the store is down afterwards": {
			versions: []string{"v1", "v2"},
			after:    func(_ *testing.T, site *takeUpSite) { site.store.setDown(true) },
		},
		"the store was down before": {
			versions: []string{"v1", "v2"},
			before:   func(_ *testing.T, site *takeUpSite) { site.store.setDown(true) },
			after:    func(_ *testing.T, site *takeUpSite) { site.store.setDown(false) },
			atMost:   100,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newTakeUpSiteOf(t, c.versions...)
				time.Sleep(contactTime)
				streams := site.beginMany(t, 40)
				time.Sleep(300 * time.Millisecond)
				if c.before != nil {
					c.before(t, site)
				}
				site.loseAll(t, time.Second)
				if c.after != nil {
					c.after(t, site)
				}
				wentOn := site.takeUpMany(t, streams)
				is.Equal(site.mixed, 0)
				t.Logf("%d of %d streams went on", wentOn, len(streams))
				is.True(wentOn*100 >= c.atLeast*len(streams))
				is.True(wentOn*100 <= c.atMost*len(streams))
			})
		})
	}
}

// beginMany begins streams at all nodes and returns the last events that arrived by ID.
func (s *takeUpSite) beginMany(t *testing.T, count int) map[string]int {
	t.Helper()
	var group sync.WaitGroup
	var mu sync.Mutex
	streams := map[string]int{}
	for i := range count {
		group.Go(func() {
			id, lastEvent := s.begin(t.Context(), i%siteNodes)
			mu.Lock()
			defer mu.Unlock()
			streams[id] = lastEvent
		})
		time.Sleep(10 * time.Millisecond)
	}
	group.Wait()
	return streams
}

// takeUpMany takes streams up at all nodes at once and returns how many went on at the first or second ask.
func (s *takeUpSite) takeUpMany(t *testing.T, streams map[string]int) int {
	t.Helper()
	var group sync.WaitGroup
	var wentOn atomic.Int32
	next := 0
	for id, lastEvent := range streams {
		next++
		number := next % siteNodes
		group.Go(func() {
			if s.takeUpTwice(t, number, id, lastEvent) {
				wentOn.Add(1)
			}
		})
	}
	group.Wait()
	return int(wentOn.Load())
}

// TestTakeUpOfATakeUpGoesOn guards against a stream that is lost with all nodes once more after it was taken up: its caller names
// the request that took it up.
func TestTakeUpOfATakeUpGoesOn(t *testing.T) {
	for name, versions := range map[string][]string{
		"one version":  {"v1"},
		"two versions": {"v1", "v2"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newTakeUpSiteOf(t, versions...)
				time.Sleep(contactTime)
				id, lastEvent := site.begin(t.Context(), 0)
				for range 3 {
					time.Sleep(3 * time.Second)
					site.loseAll(t, time.Second)
					time.Sleep(2 * time.Second)
					is.True(site.takeUpTwice(t, 1, id, lastEvent))
					id = site.lastTakeUp()
				}
				is.Equal(site.mixed, 0)
			})
		})
	}
}

// lastTakeUp returns the ID of the last request that took a stream up.
func (s *takeUpSite) lastTakeUp() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("again-%d", s.nextID)
}

// TestStreamsOfTheLastSecondGoOn guards against a log of streams that is written too late: all that began more than 300 ms before
// the loss of all nodes must go on.
func TestStreamsOfTheLastSecondGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newTakeUpSite(t)
		time.Sleep(contactTime)
		var ids []string
		for i := range 14 { // in 700 ms
			id := fmt.Sprint("late-", i)
			site.node(i%siteNodes).origins.Began(id, origin.Origin{
				Pool:    "s",
				Version: site.versionOf(i),
			})
			site.noteFirst(id, "", site.versionOf(i))
			ids = append(ids, id)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		site.loseAll(t, time.Second)
		for i, id := range ids {
			is.True(site.takeUpTwice(t, i%siteNodes, id, 1))
		}
		is.Equal(site.mixed, 0)
	})
}

// TestNodeThatHasJustStartedNamesATimeToComeBack guards against callers who are told to come back before the node can know, or long
// after it does.
func TestNodeThatHasJustStartedNamesATimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newTestGateway(t, map[string]script{"u1": eventStream(0)})
		store := &storeClient{store: newSiteStore()}
		loadedAt := time.Now().Add(2 * time.Second)
		g.origins.VersionRecord = store.topic("versions")
		g.origins.StreamLog = store.topic("origins")
		g.origins.Timeouts = func() map[string]time.Duration { return map[string]time.Duration{"s": 15 * time.Second} }
		g.origins.Versions = func() (map[string][]string, bool) {
			return map[string][]string{"s": {defaultVersion}}, time.Now().After(loadedAt)
		}
		g.origins.Refresh = func(context.Context) error {
			if time.Now().Before(loadedAt) {
				return errStoreDown
			}
			return nil
		}
		g.origins.RefreshIn = func() time.Duration { return max(time.Until(loadedAt), 0) }
		headers := map[string]string{
			"Last-Event-Id": "2",
			"Resumes":       "first",
		}
		got := g.call(t.Context(), "/resumable/x", "{}", headers)
		is.Equal(got.status, http.StatusServiceUnavailable)
		wait, err := time.ParseDuration(got.header.Get("Retry-After") + "s")
		is.NoErr(err)
		is.True(time.Now().Add(wait).After(loadedAt))
		is.True(wait < 3*time.Second)
		time.Sleep(wait)
		is.Equal(g.call(t.Context(), "/resumable/x", "{}", headers).status, http.StatusOK)
	})
}
