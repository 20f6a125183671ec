package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestStreamGoesOnAtItsVersionWithinAnAnswer guards against an answer that holds events of two software versions.
func TestStreamGoesOnAtItsVersionWithinAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		scripts map[string]script
		// resumedAt is the upstream that goes on with the stream, empty for none.
		resumedAt string
	}{
		"its version serves elsewhere": {
			scripts: map[string]script{
				"u1":    eventStream(3),
				"u2":    eventStream(0),
				"other": eventStream(0),
			},
			resumedAt: "u2",
		},
		"only another version serves": {
			scripts: map[string]script{
				"u1":    eventStream(3),
				"other": eventStream(0),
			},
		},
		"no version is known": {
			scripts: map[string]script{
				"u1":            eventStream(3),
				"without entry": eventStream(0),
			},
		},
		"no event has come": {
			scripts: map[string]script{
				"u1":    reset,
				"other": eventStream(0),
			},
			resumedAt: "other",
		},
	} {
		t.Run(name, func(t *testing.T) {
			for range 8 { // the choice among equal upstreams is random
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					g := newTestGateway(t, c.scripts)
					got := g.call(t.Context(), "/resumable/x", "{}", nil)
					is.Equal(got.whole, c.resumedAt != "")
					received := g.receivedRequests()
					if c.resumedAt == "" {
						is.Equal(len(received), 1)
						return
					}
					is.Equal(len(received), 2)
					is.True(strings.HasPrefix(received[1], c.resumedAt+" "))
					is.Equal(got.body, eventText(streamEvents))
				})
			}
		})
	}
}

// takeUpSite is a site whose engines run two software versions.
type takeUpSite struct {
	*crashSite
	// began holds the version that brought the first event of a stream, by the ID of its request.
	began    map[string]string
	nextID   int
	mixed    int
	takenUp  int
	finished int
}

func newTakeUpSite(t *testing.T) *takeUpSite {
	t.Helper()
	return newTakeUpSiteOf(t, "v1", "v2")
}

func newTakeUpSiteOf(t *testing.T, versions ...string) *takeUpSite {
	t.Helper()
	site := &takeUpSite{
		crashSite: newCrashSiteOf(t, siteEngines, versions...),
		began:     map[string]string{},
	}
	site.answer = site.stream
	return site
}

// stream answers as an engine, and notes whether the stream began at another version.
func (s *takeUpSite) stream(engine string, conn net.Conn, r *http.Request) bool {
	number, _ := strconv.Atoi(strings.TrimPrefix(engine, "e"))
	version := s.versionOf(number)
	id := r.Header.Get("X-Lagoongw-Attempt-Id")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Transfer-Encoding: chunked\r\n\r\n")
	for i := after + 1; i <= 20; i++ {
		time.Sleep(40 * time.Millisecond)
		if _, err := io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i))); err != nil {
			return false
		}
		if i == after+1 {
			s.noteFirst(id, r.Header.Get("Resumes"), version)
		}
	}
	writeAnswer(conn, r, "0\r\n\r\n")
	return true
}

func (s *takeUpSite) noteFirst(id, resumes, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch began, found := s.began[resumes]; {
	case resumes == "":
		s.began[id] = version
	case !found || began != version:
		s.mixed++
	default:
		s.began[id] = version
	}
}

// begin begins a stream at a node and leaves it after a few events.
func (s *takeUpSite) begin(ctx context.Context, number int) (id string, lastEvent int) {
	s.mu.Lock()
	s.nextID++
	id = fmt.Sprintf("stream-%d", s.nextID)
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/resumable/x", strings.NewReader("{}"))
	r.Header.Set("X-Lagoongw-Attempt-Id", id)
	response, err := s.node(number).client.Do(r)
	if err != nil {
		return id, 0
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	for lastEvent < 5 && lines.Scan() {
		if n, found := strings.CutPrefix(lines.Text(), "id: "); found {
			lastEvent, _ = strconv.Atoi(n)
		}
	}
	return id, lastEvent
}

// takeUp takes a stream up at a node.
func (s *takeUpSite) takeUp(ctx context.Context, number int, id string, lastEvent int) callResult {
	s.mu.Lock()
	s.nextID++
	own := fmt.Sprintf("again-%d", s.nextID)
	s.mu.Unlock()
	got := s.node(number).call(ctx, "/resumable/x", "{}", map[string]string{
		"X-Lagoongw-Attempt-Id": own,
		"Resumes":               id,
		"Last-Event-Id":         strconv.Itoa(lastEvent),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takenUp++
	if got.status == http.StatusOK && got.whole {
		s.finished++
	}
	return got
}

// TestStreamIsTakenUpAtTheVersionThatBeganIt guards against callers whose streams go on at another software version after
// their entry VM was lost, and against refusing them although engines of theirs serve.
func TestStreamIsTakenUpAtTheVersionThatBeganIt(t *testing.T) {
	for name, fault := range map[string]struct {
		before, after func(t *testing.T, site *takeUpSite)
		// known reports whether any other node can know where the streams began.
		known bool
	}{
		"first node runs on": {known: true},
		"first node restarts": {
			after: func(t *testing.T, site *takeUpSite) { site.restart(t, 0) },
			known: true,
		},
		"first node can't be reached": {
			after: func(_ *testing.T, site *takeUpSite) { site.cut(0, time.Minute) },
			known: true,
		},
		"first node and another one restart": {
			after: func(t *testing.T, site *takeUpSite) {
				site.restart(t, 0)
				site.restart(t, 1)
			},
			known: true,
		},
		"all nodes restart": {
			after: func(t *testing.T, site *takeUpSite) { site.loseAll(t, 0) },
			known: true,
		},
		"first node could tell nobody": {
			before: func(_ *testing.T, site *takeUpSite) { site.cut(0, time.Minute) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newTakeUpSite(t)
				time.Sleep(contactTime)
				if fault.before != nil {
					fault.before(t, site)
				}
				var group sync.WaitGroup
				var mu sync.Mutex
				streams := map[string]int{}
				for range 40 {
					group.Go(func() {
						id, lastEvent := site.begin(t.Context(), 0)
						mu.Lock()
						defer mu.Unlock()
						streams[id] = lastEvent
					})
					time.Sleep(10 * time.Millisecond)
				}
				group.Wait()
				if fault.after != nil {
					fault.after(t, site)
				}
				next := 0
				for id, lastEvent := range streams {
					is.True(lastEvent > 0)
					next++
					number := 1 + next%(siteNodes-1)
					group.Go(func() { site.takeUp(t.Context(), number, id, lastEvent) })
				}
				group.Wait()
				is.Equal(site.mixed, 0)
				if fault.known {
					is.True(site.finished >= site.takenUp/2)
				} else {
					is.Equal(site.finished, 0)
				}
			})
		})
	}
}

// TestStreamOfUnknownOriginIsRefused guards against a guess where nobody knows where a stream began, and where the caller
// doesn't say which one it takes up before a node knows which versions have served.
func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	for name, headers := range map[string]map[string]string{
		"no request named":      {"Last-Event-Id": "2"},
		"unknown request named": {"Last-Event-Id": "2", "Resumes": "nobody's"},
		"no event named":        {"Resumes": "nobody's"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, map[string]script{"u1": eventStream(0)})
				got := g.call(t.Context(), "/resumable/x", "{}", headers)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.True(got.header.Get("Retry-After") != "")
				is.Equal(len(g.receivedRequests()), 0)
			})
		})
	}
}

// TestStreamOfAnUnnamedRequestGoesOnWhereOneVersionServes guards against refusing callers who don't name the request that
// began their stream, where it can have begun at one version only.
func TestStreamOfAnUnnamedRequestGoesOnWhereOneVersionServes(t *testing.T) {
	for name, c := range map[string]struct {
		versions []string
		after    func(t *testing.T, site *crashSite)
		status   int
	}{
		"one version": {
			versions: []string{"v1"},
			status:   http.StatusOK,
		},
		"one version, the node has restarted": {
			versions: []string{"v1"},
			after:    func(t *testing.T, site *crashSite) { site.restart(t, 1) },
			status:   http.StatusOK,
		},
		"one version, all nodes have restarted": {
			versions: []string{"v1"},
			after:    func(t *testing.T, site *crashSite) { site.loseAll(t, 0) },
			status:   http.StatusOK,
		},
		"two versions, one of them gone, all nodes have restarted": {
			versions: []string{"v1", "v2"},
			after: func(t *testing.T, site *crashSite) {
				site.setVersions(t, "v2")
				site.loseAll(t, 0)
			},
			status: http.StatusServiceUnavailable,
		},
		"two versions": {
			versions: []string{"v1", "v2"},
			status:   http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newCrashSiteOf(t, siteEngines, c.versions...)
				time.Sleep(20 * time.Second) // longer than the route's timeout
				if c.after != nil {
					c.after(t, site)
					time.Sleep(time.Second)
				}
				got := site.node(1).call(t.Context(), "/resumable/x", "{}", map[string]string{"Last-Event-Id": "2"})
				is.Equal(got.status, c.status)
			})
		})
	}
}
