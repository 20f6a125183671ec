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
	// readWait is how long a read of the log waits for the next record.
	readWait = 2 * time.Second
	// nonRelayPause is the pause between two reads of the log at a node that is no relay.
	nonRelayPause = 5 * time.Second
	// verdictPollInterval is the time between two reads of the log while a publish waits for its verdict.
	verdictPollInterval = 20 * time.Millisecond
)

// Log is what the service uses of the platform's log.
type Log interface {
	tail.Reader
	Append(ctx context.Context, stream string, records []string) (int, error)
}

// ErrNotReady is returned while the rule file in force is not known yet.
var ErrNotReady = eris.New("rules not read from the log yet")

// Service holds the rule file in force; its exported fields are set before Run.
type Service struct {
	// Log is the platform's log.
	Log Log
	// Fold computes the rule file in force and the verdict on each publish from the records.
	Fold *rollout.Fold
	// IsRelay reports whether this node reads the log without pauses on behalf of its availability zone.
	IsRelay func() bool
	// IsCheckpointer reports whether this node writes checkpoints.
	IsCheckpointer func() bool
	// OnInstall is called after a new rule file has come into force.
	OnInstall func()
	// CheckpointInterval is the time between checkpoints, well below half of the log's retention.
	CheckpointInterval time.Duration
	// Logger logs each revision, each checkpoint, changes of the log's reachability and failed calls to the log.
	Logger zerolog.Logger

	mu             sync.Mutex // guards Fold
	file           atomic.Pointer[rule.File]
	revision       atomic.Int64
	logReachable   atomic.Bool
	lastCheckpoint time.Time
	// startNext is the offset that followed the newest record when this node began to read; mu guards it.
	startNext int
}

// File returns the rule file in force, nil while there is none.
func (s *Service) File() *rule.File { return s.file.Load() }

// Revision returns the revision in force, which is the log offset of its publish record, or -1 if there is none.
func (s *Service) Revision() int { return int(s.revision.Load()) }

// LogReachable reports whether the log answered the last read of the rules stream.
func (s *Service) LogReachable() bool { return s.logReachable.Load() }

// Run follows the rules stream and writes due checkpoints until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.lastCheckpoint = time.Now()
	s.storeSnapshot()
	follower := &tail.Follower{
		Log:      s.Log,
		Stream:   rollout.Stream,
		Wait:     readWait,
		Pause:    s.readPause,
		OnReset:  s.setOldest,
		OnRecord: s.applyRecord,
		OnRead:   s.setLogReachable,
	}
	var group sync.WaitGroup
	group.Go(func() { follower.Run(ctx) })
	group.Go(func() { s.runCheckpoints(ctx) })
	group.Wait()
}

// readPause returns the pause between two reads of the log: none at a relay.
func (s *Service) readPause() time.Duration {
	if s.IsRelay() {
		return 0
	}
	return nonRelayPause
}

func (s *Service) setOldest(oldest, next int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fold.SetOldest(oldest)
	if s.startNext == 0 {
		s.startNext = next
	}
}

// Ready reports whether the rules are known up to the newest record at the time when this node began to read. While the log can't
// be read, those of a peer suffice.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Fold.Ready() && s.Fold.AsOf()+1 >= s.startNext
}

func (s *Service) applyRecord(entry wire.LogRecord) {
	s.mu.Lock()
	changed := s.Fold.Apply(entry)
	s.mu.Unlock()
	if changed {
		s.reportInstall("log")
	}
	s.storeSnapshot()
}

func (s *Service) setLogReachable(up bool, err error) {
	if s.logReachable.Swap(up) != up {
		s.Logger.Info().Bool("log-reachable", up).AnErr("cause", err).Str("peer", "platform").Msg("log reachability changed")
	}
}

// reportInstall makes a new rule file visible, calls OnInstall and logs where the file came from.
func (s *Service) reportInstall(source string) {
	s.storeSnapshot()
	s.OnInstall()
	s.Logger.Info().
		Str("decision", "install-rules").
		Int("revision", s.Revision()).
		Str("source", source).
		Msg("rule file in force")
}

// storeSnapshot makes the fold's file and revision visible to the request path, which reads them without the lock.
func (s *Service) storeSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Store(int64(s.Fold.Revision()))
	if s.Fold.Ready() {
		s.file.Store(s.Fold.File())
	}
}

// DeltaSince returns what a peer at an older revision needs to come up to date.
func (s *Service) DeltaSince(revision int) wire.RuleDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Fold.DeltaSince(revision)
}

// Merge installs what a peer sent, if it is newer.
func (s *Service) Merge(delta wire.RuleDelta) {
	s.mu.Lock()
	changed := s.Fold.Merge(delta)
	s.mu.Unlock()
	if changed {
		s.reportInstall("peer")
	}
}

// State returns the rule file in force and recent verdicts, or ErrNotReady.
func (s *Service) State() (wire.RuleState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Fold.Ready() {
		return wire.RuleState{}, ErrNotReady
	}
	return s.Fold.State(), nil
}

// Publish appends a publish record and waits until its verdict has been read from the log.
//
// The publish ID makes it safe to repeat: a publish whose verdict is known is not appended again.
func (s *Service) Publish(ctx context.Context, request wire.PublishRequest) (wire.RuleVerdict, error) {
	_ = s.catchUp(ctx)
	if verdict, known := s.verdict(request.PublishID); known {
		return verdict, nil
	}
	data, err := s.sealPublish(request)
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

func (s *Service) sealPublish(request wire.PublishRequest) (string, error) {
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

// awaitVerdict reads the log itself until the verdict is known, since a node that is no relay pauses between its reads.
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
		case <-time.After(verdictPollInterval):
		}
	}
}

// catchUp reads and applies the records after the fold's last one, unless the log has already dropped some of them.
func (s *Service) catchUp(ctx context.Context) error {
	s.mu.Lock()
	from := s.Fold.AsOf() + 1
	s.mu.Unlock()
	answer, err := s.Log.Read(ctx, rollout.Stream, from, 0)
	if err != nil || answer.Oldest > from {
		return err
	}
	for _, entry := range answer.Records {
		s.applyRecord(entry)
	}
	return nil
}

func (s *Service) runCheckpoints(ctx context.Context) {
	schedule.Every(ctx, s.CheckpointInterval/4, func(time.Time) { s.writeDueCheckpoint(ctx) })
}

// writeDueCheckpoint appends a checkpoint if this node is the checkpointer and one is due.
func (s *Service) writeDueCheckpoint(ctx context.Context) {
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
