package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// countedTeam counts the requests of team t1.
type countedTeam struct {
	t1, others atomic.Int64
}

func (c *countedTeam) Began(team string) {
	if team == "t1" {
		c.t1.Add(1)
		return
	}
	c.others.Add(1)
}

// TestRequestsThatRanAreCountedOnce guards against usage reports that count a request for each upstream, requests that
// have not run, or those of no team.
func TestRequestsThatRanAreCountedOnce(t *testing.T) {
	key := map[string]string{"Authorization": "Token k1"}
	for name, c := range map[string]struct {
		scripts map[string]script
		path    string
		headers map[string]string
		counted int64
	}{
		"plain":                {scripts: map[string]script{"u1": answer(http.StatusOK, "a")}, path: "/keyed/x", headers: key, counted: 1},
		"server error":         {scripts: map[string]script{"u1": answer(http.StatusInternalServerError, "a")}, path: "/keyed/x", headers: key, counted: 1},
		"not executed":         {scripts: map[string]script{"u1": shed}, path: "/keyed/x", headers: key},
		"no answer":            {scripts: map[string]script{"u1": reset}, path: "/keyed/x", headers: key},
		"other upstream":       {scripts: map[string]script{"u1": misdirected, "u2": answer(http.StatusOK, "a")}, path: "/safe/x", headers: key, counted: 1},
		"answered twice":       {scripts: map[string]script{"u1": answer(http.StatusInternalServerError, "a"), "u2": answer(http.StatusOK, "a")}, path: "/safe/x", headers: key, counted: 1},
		"stream":               {scripts: map[string]script{"u1": eventStream(0)}, path: "/stream/x", headers: key, counted: 1},
		"stream that goes on":  {scripts: map[string]script{"u1": eventStream(3), "u2": eventStream(0)}, path: "/resumable/x", headers: key, counted: 1},
		"stream without event": {scripts: map[string]script{"u1": reset}, path: "/stream/x", headers: key},
		"stream with an error": {scripts: map[string]script{"u1": answer(http.StatusInternalServerError, "a")}, path: "/stream/x", headers: key},
		"no team":              {scripts: map[string]script{"u1": answer(http.StatusOK, "a")}, path: "/safe/x"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newTestGateway(t, c.scripts)
				var counted countedTeam
				g.gateway.Usage = &counted
				g.call(t.Context(), c.path, "{}", c.headers)
				is.Equal(counted.t1.Load(), c.counted)
				is.Equal(counted.others.Load(), int64(0))
			})
		})
	}
}
