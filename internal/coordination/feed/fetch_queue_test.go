package feed

import (
	"testing"

	"github.com/matryer/is"
)

func TestOneFetchRunsAndOneWaits(t *testing.T) {
	is := is.New(t)
	var q FetchQueue
	is.True(q.Request(Target{Address: "a"}))
	is.True(!q.Request(Target{Address: "b"}))
	is.True(!q.Request(Target{Address: "c"})) // replaces b
	next, more := q.Done()
	is.Equal(next.Address, "c")
	is.True(more)
	is.True(!q.Request(Target{Address: "d"})) // c is in flight
	_, more = q.Done()
	is.True(more)
	_, more = q.Done()
	is.True(!more)
	is.True(q.Request(Target{Address: "e"}))
}
