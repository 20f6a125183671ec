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

// TestBetterTargetWaits guards against a fetch of version 9 or of missing records that was forgotten for one of version 4,
// so that the routes came seconds later.
func TestBetterTargetWaits(t *testing.T) {
	is := is.New(t)
	var q FetchQueue
	is.True(q.Request(Target{Address: "a"}))
	for _, target := range []Target{
		{Address: "nine", Version: 9},
		{Address: "four", Version: 4},
		{Address: "gap"},
		{Address: "five", Version: 5},
	} {
		is.True(!q.Request(target))
	}
	next, _ := q.Done()
	is.Equal(next.Address, "gap")
	next, _ = q.Done()
	is.Equal(next.Address, "nine")
	_, more := q.Done()
	is.True(!more)
}
