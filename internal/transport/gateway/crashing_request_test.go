package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// allowedLate is the number of sends of a request that crashes upstreams later than contactTime after its third crash.
const allowedLate = 3

// newServiceSite returns a site with a few plain upstreams, which answer after 30 ms.
func newServiceSite(t *testing.T, upstreams int) *crashSite {
	t.Helper()
	site := newCrashSiteOf(t, upstreams)
	site.answer = func(_ string, conn net.Conn, r *http.Request) bool {
		time.Sleep(30 * time.Millisecond)
		writeAnswer(conn, r, "HTTP/1.1 200 X\r\n"+answerHeaders+"Content-Length: 4\r\n\r\ngood")
		return true
	}
	return site
}

// callBad sends the request that crashes its upstream before the head of an answer, always with the same path and body.
func (c *crashSite) callBad(ctx context.Context, node int) callResult {
	return c.nodes[node].call(ctx, "/safe/x", "bad", map[string]string{"X-Test-Bad": beforeHead})
}

// repeatBad sends that request to one node after the other until a time, and counts the answers by status.
func (c *crashSite) repeatBad(ctx context.Context, every time.Duration, until time.Time) map[int]int {
	statuses := map[int]int{}
	var group sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		group.Go(func() {
			status := c.callBad(ctx, i%siteNodes).status
			c.mu.Lock()
			defer c.mu.Unlock()
			statuses[status]++
		})
		time.Sleep(every)
	}
	group.Wait()
	return statuses
}

// lateBadSends returns the number of sends of the request later than contactTime after its third crash.
func (c *crashSite) lateBadSends() (late int) {
	if len(c.crashes) < 3 {
		return 0
	}
	for _, at := range c.badSends {
		if at.After(c.crashes[2].Add(contactTime)) {
			late++
		}
	}
	return late
}

// TestRequestThatCrashesUpstreamsBeforeAnyHeadIsSentNoMore guards against a request that comes again and again crashing one
// upstream after the other, since an upstream that ends before the head of its answer was no evidence.
func TestRequestThatCrashesUpstreamsBeforeAnyHeadIsSentNoMore(t *testing.T) {
	for _, c := range []struct {
		upstreams int
		every     time.Duration
	}{
		{upstreams: 3, every: 700 * time.Millisecond},
		{upstreams: 3, every: 150 * time.Millisecond},
		{upstreams: 8, every: 400 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(c.upstreams, " upstreams, every ", c.every), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newServiceSite(t, c.upstreams)
				time.Sleep(time.Second)
				statuses := site.repeatBad(t.Context(), c.every, time.Now().Add(60*time.Second))
				t.Logf("%d crashes, %d late sends, answers by status: %v", len(site.crashes), site.lateBadSends(), statuses)
				is.True(site.lateBadSends() <= allowedLate)
				is.True(len(site.crashes) <= 8)
			})
		})
	}
}

// TestRequestsBesideOneThatCrashesUpstreamsAreServed guards against sound requests that ran beside it being refused, or
// broken off for good.
func TestRequestsBesideOneThatCrashesUpstreamsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newServiceSite(t, 6)
		time.Sleep(time.Second)
		begin := time.Now()
		end := begin.Add(40 * time.Second)
		go site.repeatBad(t.Context(), 700*time.Millisecond, end)
		statuses := map[int]int{}
		var group sync.WaitGroup
		for i := 0; time.Now().Before(end); i++ {
			group.Go(func() {
				body := fmt.Sprint("sound ", i%12) // sound requests come again too
				status := site.nodes[i%siteNodes].call(t.Context(), "/safe/x", body, nil).status
				site.mu.Lock()
				defer site.mu.Unlock()
				statuses[status]++
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		time.Sleep(2 * time.Second)
		t.Logf("%d crashes, answers by status: %v", len(site.crashes), statuses)
		is.True(statuses[http.StatusOK]*100 >= 99*4000)
	})
}

// TestQuarantineOfARequestConcernsNoOther guards against requests being refused that differ from a quarantined one in their
// path, caller or body, and against the quarantined one being refused without the reason and the time.
func TestQuarantineOfARequestConcernsNoOther(t *testing.T) {
	for name, c := range map[string]struct {
		path, body string
		headers    map[string]string
		status     int
	}{
		"the same":       {path: "/safe/x", body: "bad", status: http.StatusServiceUnavailable},
		"as unsafe":      {path: "/unsafe/x", body: "bad", status: http.StatusOK},
		"another path":   {path: "/safe/y", body: "bad", status: http.StatusOK},
		"another query":  {path: "/safe/x?a", body: "bad", status: http.StatusOK},
		"another body":   {path: "/safe/x", body: "bad ", status: http.StatusOK},
		"no body":        {path: "/safe/x", status: http.StatusOK},
		"another caller": {path: "/safe/x", body: "bad", headers: map[string]string{"Authorization": "Token k1"}, status: http.StatusOK},
		"another prompt": {path: "/safe/x", body: "bad", status: http.StatusServiceUnavailable,
			headers: map[string]string{"X-Lagoongw-Prompt-Prefix": "a:1,b:2"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newServiceSite(t, 8)
				for node := range siteNodes {
					status := site.callBad(t.Context(), node).status
					is.True(status == http.StatusBadGateway || status == http.StatusServiceUnavailable)
					time.Sleep(time.Second)
				}
				is.Equal(len(site.crashes), 3)
				got := site.nodes[4].call(t.Context(), c.path, c.body, c.headers)
				is.Equal(got.status, c.status)
				if c.status == http.StatusOK {
					return
				}
				is.Equal(got.body, "a request with the same path, caller and body crashes upstreams; the request has not run\n")
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(seconds > 20 && seconds <= 30) // what is left of the quarantine
			})
		})
	}
}
