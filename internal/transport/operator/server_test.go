package operator

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// TestPublishesAtTheSameTimeAreBounded guards against holding any number of rule files, which may be 8 MiB each.
func TestPublishesAtTheSameTimeAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Server{}
		publish := func(body io.Reader) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			s.publishRules(w, httptest.NewRequest(http.MethodPost, "/v1/operator/rules", body))
			return w
		}
		var group sync.WaitGroup
		var bodies []*io.PipeWriter
		for range maxPublishes {
			body, writer := io.Pipe()
			bodies = append(bodies, writer)
			group.Go(func() { publish(body) })
		}
		synctest.Wait()
		refused := publish(http.NoBody)
		is.Equal(refused.Code, http.StatusServiceUnavailable)
		is.Equal(refused.Header().Get("Retry-After"), "1")
		for _, writer := range bodies {
			is.NoErr(writer.Close())
		}
		group.Wait()
		is.Equal(publish(http.NoBody).Code, http.StatusBadRequest) // taken, though it is no publish request
	})
}
