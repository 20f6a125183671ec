package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoongw/internal/state/prompt"
	"lagoongw/internal/state/route"
)

// startingSite is a number of nodes that start together and tell each other their loads with a delay.
type startingSite struct {
	nodes  []*Dispatcher
	random *rand.Rand
	now    time.Time
	// ends holds the requests that end at a time.
	ends map[time.Time][]*Assignment
	// running is the number of interactive requests at each engine.
	running map[string]int
}

const (
	startingNodes   = 60
	startingEngines = 90
	startingSlots   = 64
	startingStep    = 50 * time.Millisecond
	// digestDelay is the time between two digests of a node, and that until they arrive.
	digestDelay = 500 * time.Millisecond
	// startingAnswer is the time from the first event of a short answer to its end.
	startingAnswer = 850 * time.Millisecond
)

func newStartingSite() *startingSite {
	s := &startingSite{
		random:  rand.New(rand.NewPCG(1, 2)),
		now:     start,
		ends:    map[time.Time][]*Assignment{},
		running: map[string]int{},
	}
	for i := range startingNodes {
		node := newDispatcher(startingEngines)
		node.Name = fmt.Sprintf("n%d", i)
		node.Nodes = func() int { return startingNodes }
		node.Pool = func(string) (route.Pool, bool) {
			return route.Pool{Engine: &route.Engine{
				Slots:       startingSlots,
				EventTokens: 6,
			}}, true
		}
		s.nodes = append(s.nodes, node)
	}
	return s
}

// send sends a request of a node, and lets it begin to answer at once.
func (s *startingSite) send(node *Dispatcher, request Request) {
	choice := node.Choose(request, s.random.Uint64(), s.now)
	assignment := node.Begin(choice.Replica, request, choice, s.now)
	assignment.Events(1, s.now)
	end := s.now.Add(startingAnswer)
	s.ends[end] = append(s.ends[end], assignment)
	if request.Gap == shortGap {
		s.running[choice.Replica.Name()]++
	}
}

const shortGap = 150 * time.Millisecond

// step plays the requests of all nodes in one step, each with a probability.
func (s *startingSite) step(shortShare, longShare float64) {
	for _, assignment := range s.ends[s.now] {
		if assignment.gap == shortGap {
			s.running[assignment.replica.Name()]--
		}
		assignment.End(s.now)
	}
	delete(s.ends, s.now)
	for _, node := range s.nodes {
		if s.random.Float64() < shortShare {
			s.send(node, Request{
				Pool: "p",
				Gap:  shortGap,
				Prompt: prompt.Prompt{{
					ID:     s.random.Uint64(),
					Tokens: 1200,
				}},
			})
		}
		if s.random.Float64() < longShare {
			s.send(node, Request{
				Pool:   "p",
				Gap:    time.Second,
				Prompt: newPrompt(s.random.Uint64N(400), s.random.Uint64()),
			})
		}
	}
}

// exchange delivers the digests of the nodes, which were made a while ago, and returns the next ones.
func (s *startingSite) exchange(digests []Digest) []Digest {
	for from, digest := range digests {
		for to, node := range s.nodes {
			if to != from {
				node.ReceiveDigest(s.nodes[from].Name, digest, s.now)
			}
		}
	}
	next := make([]Digest, len(s.nodes))
	for i, node := range s.nodes {
		next[i] = node.Advertise(s.now)
	}
	return next
}

// TestNodesThatStartTogetherFillNoEngineWithShortAnswers guards against engines that are set apart for short answers by the
// demand of a few nodes, before that of the others is known: all nodes then sent their short answers to two engines of 90.
func TestNodesThatStartTogetherFillNoEngineWithShortAnswers(t *testing.T) {
	is := is.New(t)
	site := newStartingSite()
	var digests []Digest
	most := 0
	for end := start.Add(6 * time.Second); site.now.Before(end); site.now = site.now.Add(startingStep) {
		if site.now.Sub(start)%digestDelay == 0 {
			digests = site.exchange(digests)
		}
		site.step(0.15, 0.11) // 180 short and 132 long requests a second
		for _, running := range site.running {
			most = max(most, running)
		}
	}
	t.Logf("most short answers at one engine: %d of %d slots", most, startingSlots)
	is.True(most <= startingSlots)
}
