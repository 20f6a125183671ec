package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// bound is the users' time in which a leaving upstream has to be known everywhere.
const bound = 3 * time.Second

// site is some nodes that share a store: every node ticks each 100 ms, a read and a push take a step.
type site struct {
	turns []*ReadSchedule
	dead  map[int]bool
	// refused are nodes that the store turns away, cut are nodes that hear no peer.
	refused map[int]bool
	cut     map[int]bool
	away    bool
	reads   int
	oldest  time.Duration
}

func newSite(nodes int) *site {
	s := &site{
		dead:    map[int]bool{},
		refused: map[int]bool{},
		cut:     map[int]bool{},
	}
	for range nodes {
		s.turns = append(s.turns, &ReadSchedule{Period: 1500 * time.Millisecond})
	}
	return s
}

func (s *site) run(from time.Time, length time.Duration) time.Time {
	s.oldest = 0
	for now := from; now.Before(from.Add(length)); now = now.Add(100 * time.Millisecond) {
		for i, turn := range s.turns {
			if s.dead[i] {
				continue
			}
			if turn.Due(i, now) {
				s.read(i, now)
			}
			s.oldest = max(s.oldest, turn.Age(now))
		}
	}
	return from.Add(length)
}

func (s *site) read(reader int, now time.Time) {
	s.reads++
	if s.away || s.refused[reader] {
		s.turns[reader].MarkFailed(now)
		return
	}
	s.turns[reader].MarkCurrent(now)
	for i, turn := range s.turns {
		if !s.cut[i] && !s.cut[reader] && !s.dead[i] {
			turn.MarkCurrent(now)
		}
	}
}

func TestCopiesStayYoungThroughFaults(t *testing.T) {
	for name, fault := range map[string]func(s *site){
		"none":                          func(*site) {},
		"reader killed":                 func(s *site) { s.dead[0] = true },
		"reader and stand-in killed":    func(s *site) { s.dead[0], s.dead[1] = true, true },
		"reader turned away":            func(s *site) { s.refused[0] = true },
		"three first turned away":       func(s *site) { s.refused[0], s.refused[1], s.refused[2] = true, true, true },
		"reader hears no peer":          func(s *site) { s.cut[0] = true },
		"last node hears no peer":       func(s *site) { s.cut[7] = true },
		"first and last hear no peer":   func(s *site) { s.cut[0], s.cut[7] = true, true },
		"reader turned away, last mute": func(s *site) { s.refused[0], s.cut[7] = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(8)
			now := s.run(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC), 10*time.Second)
			fault(s)
			s.run(now, 20*time.Second)
			is.True(s.oldest < bound)
		})
	}
}

func TestOneNodeReadsForAll(t *testing.T) {
	is := is.New(t)
	s := newSite(79)
	now := s.run(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC), 2*time.Second) // the first reads
	s.reads = 0
	s.run(now, 60*time.Second)
	is.True(s.reads <= 40) // one each 1.5 s
}

func TestStoreThatIsAwayIsNotAskedMoreOften(t *testing.T) {
	is := is.New(t)
	s := newSite(8)
	now := s.run(time.Date(2026, 1, 31, 8, 0, 0, 0, time.UTC), 5*time.Second)
	s.away = true
	s.reads = 0
	now = s.run(now, 30*time.Second)
	is.True(s.reads <= 8*30) // at most one a second from each node
	s.away = false
	s.run(now, 1600*time.Millisecond)
	s.run(now.Add(1600*time.Millisecond), 10*time.Second)
	is.True(s.oldest < bound) // back within a pause
}
