package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/origin"
	"lagoongw/internal/transport/schedule"
)

const (
	// askTwiceAfter is the time before the nodes are asked again for a stream that none of them knew, whose origin may still
	// be on its way to them.
	askTwiceAfter = 200 * time.Millisecond
	asks          = 2
)

// Service keeps the origins of streams; its exported fields must be set before it is used.
type Service struct {
	// Name is the name of this node.
	Name string
	// Nodes returns the live nodes, including this one.
	Nodes func() []origin.Node
	// Tell sends reports to another node.
	Tell func(ctx context.Context, node string, reports []origin.Report) error
	// Ask asks another node for what it knows of a stream.
	Ask func(ctx context.Context, node string, stream origin.ID) (origin.Answer, error)
	// AskSighted asks another node for the software versions that it has seen in a pool.
	AskSighted func(ctx context.Context, node, pool string) (origin.Sighted, error)
	// Versions returns the software versions that serve now by pool, and whether the list of upstreams is current.
	Versions func() (byPool map[string][]string, current bool)
	// Logger receives the log lines.
	Logger zerolog.Logger

	mu        sync.Mutex
	registry  origin.Registry
	announcer origin.Announcer
	sightings origin.Sightings
}

// Began records that a request brought the first event of its stream, and tells the keepers without waiting for them.
func (s *Service) Began(requestID string, o origin.Origin) {
	now := time.Now()
	id := origin.NewID(requestID)
	s.mu.Lock()
	s.registry.Record(origin.Report{
		Stream: id,
		Origin: o,
	}, now)
	s.announcer.Self = s.Name
	s.announcer.SetNodes(s.Nodes())
	s.announcer.Began(id, o, now)
	due := s.announcer.Due(now)
	s.mu.Unlock()
	s.tell(due)
}

// Tick tells those keepers that have not been told yet, and notes the versions that serve; it is to be called several times a second.
func (s *Service) Tick(now time.Time) {
	versions, current := s.Versions()
	s.mu.Lock()
	s.sightings.Observe(versions, current, now)
	s.announcer.Self = s.Name
	s.announcer.SetNodes(s.Nodes())
	s.announcer.Forget(now)
	due := s.announcer.Due(now)
	s.mu.Unlock()
	s.tell(due)
}

func (s *Service) tell(due map[string][]origin.Report) {
	for node, reports := range due {
		go func() {
			err := s.Tell(context.Background(), node, reports)
			if err != nil {
				s.Logger.Debug().Err(err).Str("step", "tell origins").Str("peer", node).Int("streams", len(reports)).
					Msg("peer call failed; telling it again later")
			}
			now := time.Now()
			s.mu.Lock()
			s.announcer.Done(node, err == nil, now)
			next := s.announcer.Due(now)
			s.mu.Unlock()
			s.tell(next)
		}()
	}
}

// Told records the reports of another node.
func (s *Service) Told(reports []origin.Report) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range reports {
		s.registry.Record(report, now)
	}
}

// Known returns what this node knows of a stream.
func (s *Service) Known(stream origin.ID) origin.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Find(stream, time.Now())
}

// Count returns the number of streams whose origins this node keeps, and of those whose keepers it has still to tell.
func (s *Service) Count() (kept, untold int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Len(), s.announcer.Unfinished()
}

// Find returns the origin of the stream that a request began, by what this node knows or the first other one that does. It
// is unknown if that node was told several.
func (s *Service) Find(ctx context.Context, requestID string) (o origin.Origin, known bool) {
	id := origin.NewID(requestID)
	if answer := s.Known(id); answer.Known || answer.Ambiguous {
		return answer.Origin, answer.Known
	}
	for range asks {
		if answer := s.askAll(ctx, id); answer.Known || answer.Ambiguous {
			return answer.Origin, answer.Known
		}
		schedule.Pause(ctx, askTwiceAfter)
		if ctx.Err() != nil {
			break
		}
	}
	return origin.Origin{}, false
}

// askAll asks the nodes that may know a stream, and returns the first answer of one that does.
func (s *Service) askAll(ctx context.Context, id origin.ID) origin.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, count := fanOut(s, id, func(node string) (origin.Answer, error) { return s.Ask(ctx, node, id) })
	for range count {
		answer := <-answers
		if answer.Known {
			s.Told([]origin.Report{{
				Stream: id,
				Origin: answer.Origin,
			}})
		}
		if answer.Known || answer.Ambiguous {
			return answer
		}
	}
	return origin.Answer{}
}

// FindOnly returns the origin of a stream that began in a pool up to a time ago, if no other version than one has served
// there since.
func (s *Service) FindOnly(ctx context.Context, pool string, ago time.Duration) (o origin.Origin, known bool) {
	all := []origin.Sighted{s.Sighted(pool)}
	answers, count := fanOut(s, origin.NewID(pool), func(node string) (origin.Sighted, error) {
		return s.AskSighted(ctx, node, pool)
	})
	for range count {
		all = append(all, <-answers)
	}
	version, known := origin.OnlyVersion(all, ago)
	return origin.Origin{
		Pool:    pool,
		Version: version,
	}, known
}

// fanOut calls ask for the other nodes that may know a stream, and returns the channel of their answers and their number.
// The answer of a node that can't be asked is zero.
func fanOut[A any](s *Service, id origin.ID, ask func(node string) (A, error)) (answers <-chan A, count int) {
	candidates := slices.DeleteFunc(origin.Candidates(id, s.Nodes()), func(name string) bool { return name == s.Name })
	all := make(chan A, len(candidates))
	for _, node := range candidates {
		go func() {
			answer, err := ask(node)
			if err != nil {
				var none A
				answer = none
			}
			all <- answer
		}()
	}
	return all, len(candidates)
}

// Sighted returns the software versions that this node has seen in a pool.
func (s *Service) Sighted(pool string) origin.Sighted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sightings.Sighted(pool, time.Now())
}
