package catalog

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/protocol/wire"
)

// pushCounter counts the updates of the upstreams that a node pushes.
type pushCounter struct {
	Peers

	mu     sync.Mutex
	pushes int
}

func (p *pushCounter) Push(update wire.FeedUpdate) {
	if update.Topic == TopicUpstreams {
		p.mu.Lock()
		p.pushes++
		p.mu.Unlock()
	}
	p.Peers.Push(update)
}

func (p *pushCounter) count() (pushes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pushes, p.pushes = p.pushes, 0
	return pushes
}

// TestRefreshesForCallersPushOnlyChanges guards against messages that grow with the square of the number of nodes, each of which
// reads the list for its callers after a loss of all nodes, and against a reader that no longer pushes because its callers' reads
// replace the regular ones.
func TestRefreshesForCallersPushOnlyChanges(t *testing.T) {
	var nodes []*pushCounter
	configure := func(s *Service) {
		counting := &pushCounter{Peers: s.Peers}
		s.Peers = counting
		nodes = append(nodes, counting)
	}
	runSiteOf(t, configure, func(s *site, _, upstreams *fakeTopic) {
		is := is.New(t)
		refresh := func(node int, length time.Duration) (pushes int) {
			nodes[node].count()
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
				is.NoErr(s.services[node].RefreshUpstreams(t.Context()))
			}
			return nodes[node].count()
		}
		is.Equal(refresh(1, 10*time.Second), 0)
		upstreams.put("u1", "ready") // repeats the entry in force
		is.Equal(refresh(1, 200*time.Millisecond), 0)
		upstreams.put("u2", "ready")
		is.Equal(refresh(1, 200*time.Millisecond), 1)
		for _, service := range s.services {
			is.Equal(service.Table.Load().Len(), 2)
		}

		nodes[2].count() // it pushed its first list
		pushes := refresh(0, 15*time.Second)
		is.True(pushes >= 10) // one in 1.5 s
		is.True(pushes <= 25)
		is.True(s.services[2].UpstreamsAge() <= upstreamsReadPeriod+pollInterval)
		is.Equal(nodes[2].count(), 0) // it never had to read the list itself
	})
}

// TestFirstListForACallerIsNotPushed guards against a whole list that each of many nodes that start together sends to all others.
func TestFirstListForACallerIsNotPushed(t *testing.T) {
	is := is.New(t)
	topic := newTopic()
	topic.put("u1", "ready")
	counting := &pushCounter{Peers: sitePeers{
		site: newSite(),
		self: 1,
	}}
	s := newNode(counting, newTopic(), topic)
	s.Prepare()
	is.NoErr(s.RefreshUpstreams(t.Context()))
	is.Equal(s.Table.Load().Len(), 1)
	is.Equal(counting.count(), 0)
}
