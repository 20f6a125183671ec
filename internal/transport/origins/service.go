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
	// StableFor, if set, returns for how long all nodes that this one knows of and that have not left have been live and no other
	// has come, 0 while one is not.
	StableFor func() time.Duration
	// Tell sends reports to another node.
	Tell func(ctx context.Context, node string, reports []origin.Report) error
	// Ask asks another node for what it knows of a stream.
	Ask func(ctx context.Context, node string, stream origin.ID) (origin.Answer, error)
	// AskSighted asks another node for the software versions that it has seen in a pool.
	AskSighted func(ctx context.Context, node, pool string) (origin.Sighted, error)
	// Versions returns the software versions that serve now by pool, and whether the list of upstreams is current.
	Versions func() (byPool map[string][]string, current bool)
	// Timeouts returns the longest timeout of the resumable routes to a pool by pool, nil until the routes are known.
	Timeouts func() map[string]time.Duration
	// VersionRecord, if set, is the topic of the record of the software versions, and StreamLog, if set, that of the origins of
	// streams.
	VersionRecord Stored
	StreamLog     Stored
	// Writer returns the name of the node that reads the store for all and writes to the two topics.
	Writer func() string
	// Era, if set, returns the era of the store: how often it was restored from an older copy.
	Era func() int
	// Refresh, if set, reads the list of upstreams now, and RefreshIn returns how long that is not to be done after a failure.
	Refresh   func(ctx context.Context) error
	RefreshIn func() time.Duration
	// ListReadAt, if set, returns when the list of upstreams was last known to be current.
	ListReadAt func() time.Time
	// AskRecord, if set, has another node record versions by pool.
	AskRecord func(ctx context.Context, node string, versions map[string][]string) error
	// TellVersions, if set, tells another node of entries that this one writes to the record of the versions.
	TellVersions func(ctx context.Context, node string, entries []origin.Entry) error
	// Logger receives the log lines.
	Logger zerolog.Logger

	tasks     schedule.Tasks
	mu        sync.Mutex
	registry  origin.Registry
	announcer origin.Announcer
	sightings origin.Sightings
	record    origin.Record
	log       origin.Log
	// changed is closed when the state of the two topics changes; it is nil while nothing waits for that.
	changed chan struct{}
	// refreshing is set while the list of upstreams is read for a caller. refreshedAt is when the last such read that succeeded
	// was sent, refreshAskedAt when the last one was.
	refreshing                  bool
	refreshedAt, refreshAskedAt time.Time
	// recordReadAt is when the record was last read, and recordSentAt when that read was sent.
	recordReadAt, recordSentAt time.Time
	// postponedAt is when the list in the store last held versions that this node did not list yet.
	postponedAt time.Time
	// readingRecord and readingLog are set while a read of the topic is in flight.
	readingRecord, readingLog bool
	// logged holds the streams of the log; logReadAt is when the read that returned them was sent, logAskedAt when the last one
	// was.
	logged                map[origin.ID]origin.Answer
	logReadAt, logAskedAt time.Time
	// loggedAt is when the newest batch was taken that the store has accepted.
	loggedAt time.Time
	// writer is the node that writes to the two topics, by what this node knows, and writerSince since when it is.
	writer      string
	writerSince time.Time
	// early decides on the appends of this node's own streams, of which one is scheduled or in flight if earlyScheduled is set.
	// earlyKeys holds the keys of such batches, of all nodes, in the log as it was read.
	early          origin.EarlyLog
	earlyScheduled bool
	// earlyAt is when the last such append succeeded, zero once its batches were removed.
	earlyAt   time.Time
	earlyKeys []int
	// writing holds since when this node appends the streams of a pool to the log, by pool; logScheduled is set while an append is
	// scheduled or in flight.
	writing      map[string]time.Time
	logScheduled bool
}

// Began records that a request brought the first event of its stream, and tells the keepers without waiting for them.
func (s *Service) Began(requestID string, o origin.Origin) {
	now := time.Now()
	id := origin.NewID(requestID)
	report := origin.Report{
		Stream: id,
		Origin: o,
	}
	s.mu.Lock()
	s.registry.Record(report, now)
	s.logOwn(report, now)
	s.logStreams([]origin.Report{report})
	s.announcer.Self = s.Name
	s.announcer.SetNodes(s.Nodes())
	s.announcer.Began(id, o, now)
	due := s.announcer.Due(now)
	s.mu.Unlock()
	s.tell(due)
}

// Tick tells those keepers that have not been told yet, notes the versions that serve, and keeps the record of them; it is to be
// called several times a second.
func (s *Service) Tick(now time.Time) {
	versions, current := s.observe(now)
	s.mu.Lock()
	s.announcer.Self = s.Name
	s.announcer.SetNodes(s.Nodes())
	s.updateWriter(now)
	s.maintainRecord(versions, current, now)
	s.updateLog(now)
	s.announcer.Forget(now)
	due := s.announcer.Due(now)
	s.mu.Unlock()
	s.tell(due)
}

// observe notes the versions that serve.
func (s *Service) observe(now time.Time) (versions map[string][]string, current bool) {
	versions, current = s.Versions()
	era := 0
	if s.Era != nil {
		era = s.Era()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.NewKey = newKey
	s.record.BeginEra(era)
	s.sightings.Observe(versions, current, now)
	return versions, current
}

// bounds returns the take-up bounds by pool, nil until the routes are known.
func (s *Service) bounds() map[string]time.Duration {
	if s.Timeouts == nil {
		return nil
	}
	timeouts := s.Timeouts()
	if timeouts == nil {
		return nil
	}
	bounds := make(map[string]time.Duration, len(timeouts))
	for pool, longest := range timeouts {
		bounds[pool] = origin.Bound(longest)
	}
	return bounds
}

func (s *Service) tell(due map[string][]origin.Report) {
	for node, reports := range due {
		s.tasks.Go(func(ctx context.Context) {
			err := s.Tell(ctx, node, reports)
			if err != nil {
				s.Logger.Debug().Err(err).Str("step", "tell origins").Str("peer", node).Int("streams", len(reports)).
					Msg("peer call failed; telling it again later")
			}
			now := time.Now()
			s.mu.Lock()
			s.announcer.Done(node, err == nil, now)
			s.notifyLocked()
			next := s.announcer.Due(now)
			s.mu.Unlock()
			s.tell(next)
		})
	}
}

// Stop ends the work that goes on in the background: it starts no more calls, waits for those in flight, and cancels them once
// the context ends.
func (s *Service) Stop(ctx context.Context) { s.tasks.Stop(ctx) }

// Told records the reports of another node.
func (s *Service) Told(reports []origin.Report) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range reports {
		s.registry.Record(report, now)
	}
	s.logStreams(reports)
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

// Find returns the origin of the stream that a request began, in the given pool if only one is possible, else in any. It is
// known by what this node or the first other one remembers, unless that node was told several; or if one version alone has
// served in the pool; or by the log in the store.
func (s *Service) Find(ctx context.Context, requestID, pool string) (o origin.Origin, known bool) {
	search := &search{
		stream: origin.NewID(requestID),
		pool:   pool,
		came:   time.Now(),
	}
	for range asks {
		if answer := s.find(ctx, search); answer.Known || answer.Ambiguous {
			return answer.Origin, answer.Known
		}
		schedule.Pause(ctx, askTwiceAfter)
		if ctx.Err() != nil {
			break
		}
	}
	return origin.Origin{}, false
}

// search is the state of one Find.
type search struct {
	stream origin.ID
	pool   string
	// came is when the caller came, and deadline until when the caller waits for the store, zero before the first wait.
	came, deadline time.Time
}

// find asks all sources once for the origin of a stream, the most certain ones first.
func (s *Service) find(ctx context.Context, search *search) origin.Answer {
	if answer := s.Known(search.stream); answer.Known || answer.Ambiguous {
		return answer
	}
	if answer := s.askAll(ctx, search.stream); answer.Known || answer.Ambiguous {
		return answer
	}
	if search.deadline.IsZero() {
		search.deadline = time.Now().Add(callerTimeout)
	}
	if bound, resumable := s.bounds()[search.pool]; resumable {
		if o, known := s.findOnly(ctx, search, bound); known {
			return origin.Answer{
				Known:  true,
				Origin: o,
			}
		}
	}
	return s.findLogged(ctx, search)
}

// askAll asks the nodes that may know a stream, and returns the first answer of one that does.
func (s *Service) askAll(ctx context.Context, id origin.ID) origin.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, count := fanOut(s, id, func(node string) (origin.Answer, error) { return s.Ask(ctx, node, id) })
	for range count {
		answer := (<-answers).value
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

// FindOnly returns the origin of a stream that began in a pool up to a time ago, or up to the take-up bound of a pool that has
// one, if no other version than one has served there since.
func (s *Service) FindOnly(ctx context.Context, pool string, ago time.Duration) (o origin.Origin, known bool) {
	now := time.Now()
	if bound, resumable := s.bounds()[pool]; resumable {
		return s.findOnly(ctx, &search{
			pool:     pool,
			came:     now,
			deadline: now.Add(callerTimeout),
		}, bound)
	}
	return s.findOnlySeen(ctx, pool, ago)
}

// findOnly returns the origin of a stream of a pool by the versions that have served within a take-up bound. They are known once
// the list of upstreams was read after the caller came: another node may have listed a new version before this one, which is told
// of it unless a link is broken. A node that is not in touch with the others reads the record after that too.
func (s *Service) findOnly(ctx context.Context, search *search, bound time.Duration) (o origin.Origin, known bool) {
	if s.VersionRecord == nil {
		return s.findOnlySeen(ctx, search.pool, bound)
	}
	trusting := s.trustsNodes()
	if trusting {
		s.awaitCover(ctx, search)
	} else if !s.awaitList(ctx, search) {
		return origin.Origin{}, false
	}
	all, inTouch := s.askSighted(ctx, search.pool)
	postponed := s.postpones()
	if inTouch && !postponed {
		return onlyOrigin(search.pool, all, bound)
	}
	if trusting && !s.awaitList(ctx, search) {
		return origin.Origin{}, false
	}
	age := recordAge
	if postponed {
		age = 0
	}
	recorded, known := s.awaitRecord(ctx, search, age)
	if !known {
		return origin.Origin{}, false
	}
	all[0] = s.Sighted(search.pool) // by the list that was read since
	return onlyOrigin(search.pool, append(all, recorded), bound)
}

// trustsNodes reports whether the nodes know of all versions without a read of the list for each caller: no node has come, or been
// out of touch, for longer than all of them take to read a list. It holds on large sites only, where such reads would take up
// all that the store sends.
func (s *Service) trustsNodes() bool {
	return s.StableFor != nil && len(s.Nodes()) > refreshNodes && s.StableFor() >= stableTime
}

// findOnlySeen returns the origin of a stream that began in a pool up to a time ago, if no other version has served there since by
// what this node and the others have seen.
func (s *Service) findOnlySeen(ctx context.Context, pool string, ago time.Duration) (o origin.Origin, known bool) {
	all, _ := s.askSighted(ctx, pool)
	return onlyOrigin(pool, all, ago)
}

func onlyOrigin(pool string, all []origin.Sighted, ago time.Duration) (o origin.Origin, known bool) {
	version, known := origin.OnlyVersion(all, ago)
	return origin.Origin{
		Pool:    pool,
		Version: version,
	}, known
}

// askSighted returns the versions of a pool that this node, first, and the others have seen, and whether this node is in touch with the
// others: it knows of some, all of them are live, and those that were asked have answered. One that is not may have missed
// that a version came.
func (s *Service) askSighted(ctx context.Context, pool string) (all []origin.Sighted, inTouch bool) {
	all = []origin.Sighted{s.Sighted(pool)}
	answers, count := fanOut(s, origin.NewID(pool), func(node string) (origin.Sighted, error) {
		return s.AskSighted(ctx, node, pool)
	})
	inTouch = count > 0 && (s.StableFor == nil || s.StableFor() > 0)
	for range count {
		a := <-answers
		all = append(all, a.value)
		inTouch = inTouch && a.err == nil
	}
	return all, inTouch
}

// postpones reports whether the list in the store may hold versions that this node does not list yet.
func (s *Service) postpones() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.postponedAt) < postponedTime
}

// awaitRecord returns the versions of the caller's pool in the record, once that was read since an age before the caller came.
func (s *Service) awaitRecord(ctx context.Context, search *search, age time.Duration) (recorded origin.Sighted, known bool) {
	known = s.await(ctx, time.Until(search.deadline), func(now time.Time) bool {
		if search.came.Sub(s.recordSentAt) <= age {
			recorded.Versions = s.record.Versions()[search.pool]
			return true
		}
		s.startRecordRead(now)
		return false
	})
	return recorded, known
}

// answered is the answer of a node, zero with the error if it can't be asked.
type answered[A any] struct {
	value A
	err   error
}

// fanOut calls ask for the other nodes that may know a stream, and returns the channel of their answers and their number.
func fanOut[A any](s *Service, id origin.ID, ask func(node string) (A, error)) (answers <-chan answered[A], count int) {
	candidates := slices.DeleteFunc(origin.Candidates(id, s.Nodes()), func(name string) bool { return name == s.Name })
	all := make(chan answered[A], len(candidates))
	for _, node := range candidates {
		go func() {
			value, err := ask(node)
			if err != nil {
				var none A
				value = none
			}
			all <- answered[A]{
				value: value,
				err:   err,
			}
		}()
	}
	return all, len(candidates)
}

// Sighted returns the software versions that this node has seen in a pool.
func (s *Service) Sighted(pool string) origin.Sighted {
	window := origin.DefaultWindow
	if bound, resumable := s.bounds()[pool]; resumable {
		window = origin.Window(bound)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sightings.Sighted(pool, window, time.Now())
}
