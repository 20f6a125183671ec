package peer

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsInWorkAreLimited guards against a goroutine and an answer held for each of the requests that one peer sends
// before the first is answered.
func TestRequestsInWorkAreLimited(t *testing.T) {
	is := is.New(t)
	const calls = 200
	release := make(chan struct{})
	var inWork atomic.Int64
	address, _ := startServer(t, map[string]Handler{echo: func(context.Context, json.RawMessage) (any, error) {
		inWork.Add(1)
		<-release
		return nil, nil
	}})
	c := newClient(t, secret)
	is.NoErr(c.Call(t.Context(), address, MethodChallenge, nil, nil)) // connects
	var group sync.WaitGroup
	for range calls {
		group.Go(func() { _ = c.Call(t.Context(), address, echo, nil, nil) })
	}
	seen := int64(-1)
	for ; seen != inWork.Load(); time.Sleep(200 * time.Millisecond) {
		seen = inWork.Load()
	}
	close(release)
	group.Wait()
	is.True(seen <= 8)
}
