package catalog

import (
	"testing"

	"github.com/matryer/is"
)

// TestNewsHoldOnlyWhatIsNewer guards against a whole topic for each node that only asks whether its copy is current.
func TestNewsHoldOnlyWhatIsNewer(t *testing.T) {
	runSite(t, func(s *site, _, _ *fakeTopic) {
		is := is.New(t)
		node := s.services[0]
		at := node.upstreams.position()
		news, known, err := node.News(TopicUpstreams, at)
		is.NoErr(err)
		is.True(known && news.AgeMs != nil)
		is.Equal(news.Packed, "")
		is.Equal(len(news.Records), 0)
		is.True(!s.services[1].upstreams.applyUpdate(news, node.UpstreamsReadAt())) // no gap

		for _, older := range []Position{{Era: at.Era, Next: at.Next - 1}, {Era: at.Era + 1, Next: at.Next}} {
			news, _, err := node.News(TopicUpstreams, older)
			is.NoErr(err)
			is.True(news.Packed != "")
		}
	})
}

// TestNewsOfAnUnknownTopic checks that a node which hasn't loaded a topic, or doesn't know it, returns nothing.
func TestNewsOfAnUnknownTopic(t *testing.T) {
	is := is.New(t)
	node := newNode(sitePeers{site: newSite()}, newTopic(), newTopic())
	node.Prepare()
	for _, topic := range []string{TopicRoutes, TopicUpstreams, "another"} {
		_, known, err := node.News(topic, Position{})
		is.NoErr(err)
		is.True(!known)
	}
}
