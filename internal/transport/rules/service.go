package rules

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/rollout"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
	"lagoongw/internal/transport/platform"
	"lagoongw/internal/transport/schedule"
	"lagoongw/internal/transport/tail"
)

const (
	relayWait    = 2 * time.Second
	otherPause   = 5 * time.Second
	verdictPause = 20 * time.Millisecond
)

// Log is the part of the platform's log that rules need.
type Log interface {
	tail.Reader
	Append(ctx context.Context, stream string, records []string) (int, error)
}

// ErrNotReady is returned before the rule file in force is known.
var ErrNotReady = eris.New("rules not read from the log yet")

// Service holds the rule file in force; its exported fields are set before Run.
type Service struct {
	// Log is the platform's log.
	Log Log
	// Fold judges the records.
	Fold *rollout.Fold
	// IsRelay reports whether this node follows the log closely on behalf of its availability zone.
	IsRelay func() bool
	// IsCheckpointer reports whether this node writes the checkpoints.
	IsCheckpointer func() bool
	// OnInstall is called after a new rule file came into force.
	OnInstall func()
	// CheckpointInterval is the time between checkpoints, well below half of the log's retention.
	CheckpointInterval time.Duration
	// Logger takes one line for each revision and each refused publish.
	Logger zerolog.Logger

	mu             sync.Mutex
	file           atomic.Pointer[rule.File]
	revision       atomic.Int64
	logUp          atomic.Bool
	lastCheckpoint time.Time
}

// File returns the rule file in force, nil while there is none.
func (s *Service) File() *rule.File { return s.file.Load() }

// Revision returns the revision in force.
func (s *Service) Revision() int { return int(s.revision.Load()) }

// LogReachable reports whether the log answered the last read.
func (s *Service) LogReachable() bool { return s.logUp.Load() }

// Run follows the rules stream until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.lastCheckpoint = time.Now()
	s.publishSnapshot()
	follower := &tail.Follower{
		Log:      s.Log,
		Stream:   rollout.Stream,
		Wait:     relayWait,
		Pause:    s.pause,
		OnReset:  s.begin,
		OnRecord: s.record,
		OnRead:   s.health,
	}
	var group sync.WaitGroup
	group.Go(func() { follower.Run(ctx) })
	group.Go(func() { s.checkpoints(ctx) })
	group.Wait()
}

func (s *Service) pause() time.Duration {
	if s.IsRelay() {
		return 0
	}
	return otherPause
}

func (s *Service) begin(oldest, _ int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fold.SetOldest(oldest)
}

func (s *Service) record(entry wire.LogRecord) {
	s.mu.Lock()
	changed := s.Fold.Apply(entry)
	s.mu.Unlock()
	if changed {
		s.announce("log")
	}
	s.publishSnapshot()
}

func (s *Service) health(up bool, err error) {
	if s.logUp.Swap(up) != up {
		s.Logger.Info().Bool("log-reachable", up).AnErr("cause", err).Str("peer", "platform").Msg("log reachability changed")
	}
}

func (s *Service) announce(source string) {
	s.publishSnapshot()
	s.OnInstall()
	s.Logger.Info().
		Str("decision", "install-rules").
		Int("revision", s.Revision()).
		Str("source", source).
		Msg("rule file in force")
}

// publishSnapshot makes the fold's file visible to the request path.
func (s *Service) publishSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Store(int64(s.Fold.Revision()))
	if s.Fold.Ready() {
		s.file.Store(s.Fold.File())
	}
}

// DeltaSince answers a peer that asks for the records after a revision.
func (s *Service) DeltaSince(revision int) wire.RuleDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Fold.DeltaSince(revision)
}

// Merge takes in a peer's answer.
func (s *Service) Merge(delta wire.RuleDelta) {
	s.mu.Lock()
	changed := s.Fold.Merge(delta)
	s.mu.Unlock()
	if changed {
		s.announce("peer")
	}
}

// State returns the rule file in force for operators, or ErrNotReady.
func (s *Service) State() (wire.RuleState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Fold.Ready() {
		return wire.RuleState{}, ErrNotReady
	}
	return s.Fold.State(), nil
}

// Publish appends a publish record and waits for the verdict that the log's order gives it.
func (s *Service) Publish(ctx context.Context, request wire.PublishRequest) (wire.RuleVerdict, error) {
	_ = s.catchUp(ctx)
	if verdict, known := s.verdict(request.PublishID); known {
		return verdict, nil
	}
	data, err := s.seal(request)
	if err != nil {
		return wire.RuleVerdict{}, err
	}
	_, appendErr := s.Log.Append(ctx, rollout.Stream, []string{data})
	if errors.Is(appendErr, platform.ErrNotAppended) {
		return wire.RuleVerdict{}, appendErr
	}
	verdict, err := s.awaitVerdict(ctx, request.PublishID)
	if err != nil && appendErr != nil {
		return verdict, appendErr
	}
	return verdict, err
}

func (s *Service) seal(request wire.PublishRequest) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Fold.Ready() {
		return "", ErrNotReady
	}
	return s.Fold.Sealer.Seal(rollout.Stream, s.Fold.PublishRecord(request.PublishID, request.Base, request.Text))
}

func (s *Service) verdict(publishID string) (wire.RuleVerdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Fold.Verdict(publishID)
}

// awaitVerdict reads the log itself, since a node that is no relay reads it only now and then.
func (s *Service) awaitVerdict(ctx context.Context, publishID string) (wire.RuleVerdict, error) {
	for {
		if verdict, known := s.verdict(publishID); known {
			return verdict, nil
		}
		if err := s.catchUp(ctx); err != nil && ctx.Err() == nil {
			s.Logger.Warn().Err(err).Str("step", "read verdict").Str("peer", "platform").Msg("log read failed")
		}
		select {
		case <-ctx.Done():
			return wire.RuleVerdict{}, eris.Wrap(ctx.Err(), "verdict not read from the log; ask again with the same publish ID")
		case <-time.After(verdictPause):
		}
	}
}

func (s *Service) catchUp(ctx context.Context) error {
	s.mu.Lock()
	from := s.Fold.AsOf() + 1
	s.mu.Unlock()
	answer, err := s.Log.Read(ctx, rollout.Stream, from, 0)
	if err != nil || answer.Oldest > from {
		return err
	}
	for _, entry := range answer.Records {
		s.record(entry)
	}
	return nil
}

func (s *Service) checkpoints(ctx context.Context) {
	schedule.Every(ctx, s.CheckpointInterval/4, func(time.Time) { s.checkpoint(ctx) })
}

func (s *Service) checkpoint(ctx context.Context) {
	if !s.IsCheckpointer() || time.Since(s.lastCheckpoint) < s.CheckpointInterval {
		return
	}
	if err := s.catchUp(ctx); err != nil {
		return
	}
	s.mu.Lock()
	due := s.Fold.Ready() && s.Fold.Revision() >= 0
	data, err := s.Fold.Sealer.Seal(rollout.Stream, s.Fold.CheckpointRecord())
	s.mu.Unlock()
	if !due || err != nil {
		return
	}
	if _, err := s.Log.Append(ctx, rollout.Stream, []string{data}); err != nil {
		s.Logger.Warn().Err(err).Str("step", "checkpoint").Str("peer", "platform").Msg("log append failed")
		return
	}
	s.lastCheckpoint = time.Now()
	s.Logger.Info().Int("revision", s.Revision()).Msg("rules checkpoint written")
}
