package gateway_test

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/coordination/dispatch"
	"lagoongw/internal/state/prompt"
)

// suspect tells the first node of crashes of engines that had begun to answer soundPrompt.
func (c *crashSite) suspect(crashes int) {
	node := c.nodes[0].gateway.Dispatcher
	for i := range crashes {
		at := time.Now().Add(time.Duration(i) * 110 * time.Millisecond)
		suspect := dispatch.Request{
			Pool:   "s",
			Prompt: prompt.Prompt{{ID: 0xa}, {ID: 0xb}, {ID: 1}},
		}
		node.Crashed(node.Lookup(fmt.Sprintf("e%d", i)), []dispatch.Request{suspect}, at, time.Now())
	}
}

// learnedBy returns when all nodes must have learned the bad part: contactTime after the fifth crash, or after the last.
func (c *crashSite) learnedBy(is *is.I) time.Time {
	is.Helper()
	is.True(len(c.crashes) > 0)
	return c.crashes[min(len(c.crashes), 5)-1].Add(contactTime)
}

// TestPartThatCrashesEnginesIsSentNoMoreAfterTheFifthCrash guards against each node finding out anew, at one engine after
// the other, that requests with one part of the prompt crash them.
func TestPartThatCrashesEnginesIsSentNoMoreAfterTheFifthCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newCrashSite(t)
		end := time.Now().Add(30 * time.Second)
		go site.load(t, soundPrompt, 100*time.Millisecond, end, func(time.Time, callResult) {})
		time.Sleep(2 * time.Second)
		statuses := map[int]int{}
		site.load(t, badPrompt, 330*time.Millisecond, end, func(_ time.Time, r callResult) { statuses[r.status]++ })
		time.Sleep(2 * time.Second)
		learned, late := site.learnedBy(is), 0
		for _, at := range site.badSends {
			if at.After(learned) {
				late++
			}
		}
		t.Logf("%d crashes, %d late sends, answers by status: %v", len(site.crashes), late, statuses)
		is.True(late <= 3)
		is.True(len(site.crashes) <= 7)
	})
}

// TestSoundRequestsOfTheSameFirstPartGoOn guards against sound requests that share a key and parts with those that crash
// engines being refused, or finding no engine that is up.
func TestSoundRequestsOfTheSameFirstPartGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newCrashSite(t)
		end := time.Now().Add(30 * time.Second)
		go site.load(t, badPrompt, 330*time.Millisecond, end, func(time.Time, callResult) {})
		var whole, broken []time.Time
		site.load(t, soundPrompt, 100*time.Millisecond, end, func(at time.Time, r callResult) {
			if r.status == http.StatusOK && r.whole {
				whole = append(whole, at)
			} else {
				broken = append(broken, at)
			}
		})
		time.Sleep(2 * time.Second)
		learned := site.learnedBy(is)
		after := func(times []time.Time) (count int) {
			for _, at := range times {
				if at.After(learned) {
					count++
				}
			}
			return count
		}
		t.Logf("%d whole and %d broken, %d and %d of them late", len(whole), len(broken), after(whole), after(broken))
		is.True(after(whole) >= 20)
		is.True(after(broken)*20 <= after(whole))
		is.True(len(broken)*5 <= len(whole))
	})
}

// TestRequestIsNotRepeatedBeforeItsCrashIsUnderstood guards against a request crashing another engine although the part
// was suspected before: the repeat must wait until it is known that the first engine has crashed.
func TestRequestIsNotRepeatedBeforeItsCrashIsUnderstood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newCrashSite(t)
		headers := map[string]string{
			"X-Lagoongw-Prompt-Prefix": fmt.Sprintf(badPrompt, 1),
			"X-Test-Bad":               "1",
		}
		is.Equal(site.nodes[0].call(t.Context(), "/stream/x", "{}", headers).status, http.StatusBadGateway)
		time.Sleep(time.Second)
		is.Equal(site.nodes[1].call(t.Context(), "/resumable/x", "{}", headers).status, http.StatusBadGateway)
		time.Sleep(time.Second)
		is.Equal(len(site.crashes), 2)
		refused := site.nodes[2].call(t.Context(), "/resumable/x", "{}", headers)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 28 && seconds <= 30) // what is left of the quarantine
		is.Equal(len(site.crashes), 2)
	})
}

// TestStreamThatRanWellIsResumedDespiteAQuarantine guards against a sound stream being broken off because a part of its
// prompt was quarantined while it ran.
func TestStreamThatRanWellIsResumedDespiteAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newCrashSite(t)
		done := make(chan callResult)
		go func() { done <- site.call(t.Context(), 0, soundPrompt) }()
		time.Sleep(500 * time.Millisecond)
		site.suspect(4)
		is.Equal(site.call(t.Context(), 0, soundPrompt).status, http.StatusServiceUnavailable)
		site.mu.Lock()
		running := slices.Collect(maps.Keys(site.conns))
		site.mu.Unlock()
		is.Equal(len(running), 1)
		site.crash(running[0])
		result := <-done
		is.Equal(result.status, http.StatusOK)
		is.True(result.whole)
		is.Equal(result.body, eventText(longStreamEvents))
	})
}

// TestShortAnswersThatEndWithTheirConnectionDecide guards against a sound part staying quarantined because its answers are
// short and tell no length, and against the end of a crashed engine being taken for that of an answer.
func TestShortAnswersThatEndWithTheirConnectionDecide(t *testing.T) {
	for name, c := range map[string]struct {
		crashes bool
		next    int
	}{
		"engine lives on": {next: http.StatusOK},
		"engine crashes":  {crashes: true, next: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newCrashSite(t)
				site.answer = func(engine string, conn net.Conn, r *http.Request) bool {
					rawAnswer("HTTP/1.1 200 X\r\n"+answerHeaders+"\r\nid: 1\ndata: 1\n\n")(conn, r)
					if c.crashes {
						site.crash(engine)
					}
					return false
				}
				site.suspect(2)
				is.Equal(site.call(t.Context(), 0, soundPrompt).status, http.StatusServiceUnavailable)
				time.Sleep(31 * time.Second)
				is.Equal(site.call(t.Context(), 0, soundPrompt).status, http.StatusOK) // the probe
				time.Sleep(time.Second)
				is.Equal(site.call(t.Context(), 0, soundPrompt).status, c.next)
			})
		})
	}
}

// TestProbeIsSentToOneUpstream guards against a probe reaching one upstream after the other.
func TestProbeIsSentToOneUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newCrashSite(t)
		var sends int
		site.answer = func(_ string, conn net.Conn, r *http.Request) bool {
			sends++
			writeAnswer(conn, r, "HTTP/1.1 503 X\r\nX-Lagoongw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		site.suspect(2)
		time.Sleep(31 * time.Second)
		refused := site.call(t.Context(), 0, soundPrompt)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		is.Equal(sends, 1)
		site.answer = func(_ string, conn net.Conn, r *http.Request) bool { return longStream(conn, r) }
		time.Sleep(4 * time.Second)
		is.Equal(site.call(t.Context(), 0, soundPrompt).status, http.StatusOK)
	})
}

// TestCallerIsToldTheTimeOfAQuarantineFoundAfterARefusal guards against a caller being told to come back at once, although
// the part was quarantined while an upstream refused the request.
func TestCallerIsToldTheTimeOfAQuarantineFoundAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newCrashSite(t)
		site.answer = func(_ string, conn net.Conn, r *http.Request) bool {
			site.suspect(2)
			writeAnswer(conn, r, "HTTP/1.1 503 X\r\nX-Lagoongw-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		refused := site.call(t.Context(), 0, soundPrompt)
		is.Equal(refused.status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(seconds > 28 && seconds <= 31)
		site.answer = func(_ string, conn net.Conn, r *http.Request) bool { return longStream(conn, r) }
		time.Sleep(time.Duration(seconds * float64(time.Second)))
		is.Equal(site.call(t.Context(), 0, soundPrompt).status, http.StatusOK)
	})
}
