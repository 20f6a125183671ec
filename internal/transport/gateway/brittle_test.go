package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	// brittleSlots is the number of requests that an engine of a brittleSite runs at once; none waits.
	brittleSlots = 8
	// mostRefusals is the number of requests that such an engine may turn away in a second without falling over.
	mostRefusals = 3
)

// brittleSite is a site whose engines fall over when they have to turn away too many requests.
type brittleSite struct {
	*crashSite
	mu       sync.Mutex
	brittle  bool
	running  map[string]int
	refusals map[string][]time.Time
	falls    int
	most     int
}

func newBrittleSite(t *testing.T) *brittleSite {
	t.Helper()
	site := &brittleSite{
		crashSite: newCrashSite(t),
		running:   map[string]int{},
		refusals:  map[string][]time.Time{},
	}
	site.answer = site.stream
	return site
}

func (s *brittleSite) setBrittle(brittle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle = brittle
}

// headers returns the headers of all answers.
func (s *brittleSite) headers(engine string) string {
	text := fmt.Sprintf("X-Lagoongw-Server-Load: %d,0,%d\r\n", s.running[engine], brittleSlots)
	if s.brittle {
		text += fmt.Sprintf("Server-Brittle: %d\r\n", mostRefusals)
	}
	return text
}

// admit takes a slot of an engine, or turns the request away.
func (s *brittleSite) admit(engine string) (headers string, admitted, falls bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[engine] < brittleSlots {
		s.running[engine]++
		return s.headers(engine), true, false
	}
	now := time.Now()
	late := s.refusals[engine]
	for len(late) > 0 && now.Sub(late[0]) >= time.Second {
		late = late[1:]
	}
	s.refusals[engine] = append(late, now)
	s.most = max(s.most, len(s.refusals[engine]))
	if falls = s.brittle && len(s.refusals[engine]) > mostRefusals; falls {
		s.refusals[engine] = nil
		s.falls++
	}
	return s.headers(engine), false, falls
}

func (s *brittleSite) stream(engine string, conn net.Conn, r *http.Request) bool {
	headers, admitted, falls := s.admit(engine)
	switch {
	case falls:
		s.crash(engine)
		return false
	case !admitted:
		writeAnswer(conn, r, "HTTP/1.1 503 X\r\nX-Lagoongw-Not-Executed: 1\r\n"+headers+"Content-Length: 0\r\n\r\n")
		return true
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running[engine]--
	}()
	writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+headers+"Transfer-Encoding: chunked\r\n\r\n")
	for i := 1; i <= 10; i++ {
		time.Sleep(80 * time.Millisecond)
		if _, err := conn.Write([]byte(chunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)))); err != nil {
			return false
		}
	}
	writeAnswer(conn, r, "0\r\n\r\n")
	return true
}

// TestBrittleUpstreamsDoNotFallOver guards against nodes that together send brittle upstreams more than they have room for, so
// that these turn away too many requests and fall over. Callers must get what room there is.
func TestBrittleUpstreamsDoNotFallOver(t *testing.T) {
	for name, c := range map[string]struct {
		every time.Duration
		// during happens while the engines are brittle.
		during func(t *testing.T, site *brittleSite)
	}{
		"more than there is room for":             {every: 8 * time.Millisecond},
		"twice as much as there is room for":      {every: 6 * time.Millisecond},
		"little load":                             {every: 40 * time.Millisecond},
		"a node restarts":                         {every: 8 * time.Millisecond, during: func(t *testing.T, s *brittleSite) { s.restart(t, 2) }},
		"a node is cut off from the others":       {every: 8 * time.Millisecond, during: func(_ *testing.T, s *brittleSite) { s.cut(2, 4*time.Second) }},
		"a node reaches the engines through more": {every: 8 * time.Millisecond, during: func(_ *testing.T, s *brittleSite) { s.partitionFromEngines(2, partition{}) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newBrittleSite(t)
				began := time.Now().Add(2 * time.Second)
				end := began.Add(contactTime + 12*time.Second)
				time.AfterFunc(time.Until(began), func() { site.setBrittle(true) })
				served, all := 0, 0
				if c.during != nil {
					time.AfterFunc(time.Until(began.Add(contactTime+3*time.Second)), func() { c.during(t, site) })
				}
				time.AfterFunc(time.Until(began.Add(contactTime)), func() {
					site.mu.Lock()
					defer site.mu.Unlock()
					site.falls, site.most = 0, 0
				})
				site.load(t, soundPrompt, c.every, end, func(at time.Time, r callResult) {
					if at.Before(began.Add(contactTime)) {
						return
					}
					all++
					if r.status == http.StatusOK && r.whole {
						served++
					}
				})
				t.Logf("%d of %d served, %d falls, at most %d refusals a second", served, all, site.falls, site.most)
				is.True(site.falls <= 2+siteEngines/10)
				room := siteEngines * brittleSlots * 12 * 10 / 8 // streams of 0.8 s in 12 s
				is.True(served >= min(all*9/10, room/2))
			})
		})
	}
}
