package gateway_test

import (
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"weak"

	"github.com/matryer/is"

	"lagoongw/internal/state/route"
	"lagoongw/platform"
)

// TestRequestInFlightHoldsNoRoutes guards against versions of the routes that stay in memory for as long as a request that began
// with them: one of 2,500 routes takes half a megabyte, and several may come within the time of a request.
func TestRequestInFlightHoldsNoRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		g := newTestGateway(t, map[string]script{"u1": func(conn net.Conn, r *http.Request) bool {
			<-release
			return answer(http.StatusOK, "done")(conn, r)
		}})
		var current atomic.Pointer[route.Table]
		setRoutes := func() weak.Pointer[route.Table] {
			table, _, err := platform.ParseManifest([]byte(manifest))
			is.NoErr(err)
			current.Store(table)
			return weak.Make(table)
		}
		replaced := setRoutes()
		g.gateway.Routes = current.Load
		answered := make(chan callResult)
		go func() { answered <- g.call(t.Context(), "/safe/x", "", nil) }()
		synctest.Wait()
		setRoutes()
		runtime.GC()
		is.True(replaced.Value() == nil)
		close(release)
		is.Equal((<-answered).status, http.StatusOK)
	})
}
