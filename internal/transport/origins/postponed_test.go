package origins_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// TestPostponedVersionIsLookedUpInTheRecord guards against a stream that goes on at the former version at a node that does not list
// the new one yet, although another node has recorded it, listed it and was lost before anyone was told.
func TestPostponedVersionIsLookedUpInTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		topic := &recordTopic{}
		s := newNode(topic)
		s.AskSighted = sightedV1
		s.Refresh = func(context.Context) error {
			s.Postponed()
			return nil
		}
		tickFor(s, 40*time.Second)
		_, known := s.FindOnly(t.Context(), "s", routeTimeout)
		is.True(known)
		time.Sleep(300 * time.Millisecond)
		is.NoErr(topic.Save(t.Context(), []wire.FeedRecord{{Key: "k2", Value: `{"pool":"s","version":"v2"}`}}))
		_, known = s.FindOnly(t.Context(), "s", routeTimeout)
		is.True(!known)
		s.Stop(t.Context())
	})
}
