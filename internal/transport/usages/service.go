package usages

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/usage"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/schedule"
)

const (
	// tickInterval is the time between two looks at what is due, and ticksPerRound the number of them between two rounds of
	// calls.
	tickInterval  = 250 * time.Millisecond
	ticksPerRound = 4
	// maxCalls is the largest number of calls to nodes in flight. Those to nodes that did not answer the last call are at
	// most maxRetries of them, so that many nodes lost at once don't delay the calls to the others.
	maxCalls   = 16
	maxRetries = 4
	// heardWithin is how long a node counts as heard after its last answer: two rounds, and the time for an answer.
	heardWithin = 2500 * time.Millisecond
	// eraBits is the number of low bits of a holder's number that don't belong to the era of the store.
	eraBits = 40
)

// Service counts this node's requests and, while this node holds the duties, reports those of the whole site. Its
// exported fields must be set before Prepare.
type Service struct {
	// Name is the name of this node, and Boot differs between its starts.
	Name string
	Boot uint64
	// Window is the length of a window, Off the share by which a report may be off, and Late the time after the end of a
	// window within which it is reported.
	Window time.Duration
	Off    float64
	Late   time.Duration
	// BootTime returns the time since the machine started, including the time in which it was suspended, and WallTime the
	// wall clock.
	BootTime func() time.Duration
	WallTime func() time.Time
	// Held returns the holder's number, and whether this node holds the duties now.
	Held func() (number int, held bool)
	// Save saves a record as the holder with a number. After an error it may still be saved.
	Save func(ctx context.Context, number int, key string, value []byte) error
	// Records returns the newest records by key, as they were when this node gained the duties.
	Records func() map[string][]byte
	// Heard is called with each call of a holder.
	Heard func(holder string, number int)
	// Unreachable is called while less than half of the live nodes are heard, with the time for which that is so.
	Unreachable func(since time.Duration)
	// Report sends a report with the holder's number if this node still holds the duties. After an error it may still be
	// executed.
	Report func(ctx context.Context, number, window int, counts map[string]int) error
	// Nodes returns the nodes to call, including this one.
	Nodes func() []usage.Node
	// Call calls another node.
	Call func(ctx context.Context, node string, call wire.UsageCall) (wire.UsageCounts, error)
	// Ended reports whether the error of a call shows that the node's process has ended.
	Ended func(err error) bool
	// Logger receives a line for each window.
	Logger zerolog.Logger

	counter usage.Counter
	// places holds an element for each call in flight to a node that answered the last one, and retries for the others.
	places  chan struct{}
	retries chan struct{}
	tasks   schedule.Tasks

	mu sync.Mutex
	// seenNumber is the highest number of a holder that has called.
	seenNumber int
	// number is that of the present holdership, 0 for none; loaded reports whether the tally has its records.
	number    int
	loaded    bool
	ticks     int
	consensus usage.Consensus
	tally     usage.Tally
	nodes     map[string]*nodeCalls
	live      []string
	// majorityHeard is when half of the live nodes were last heard, by the boot-time clock.
	majorityHeard time.Duration
	// calling is the number of calls in flight.
	calling       int
	checkpointDue bool
	saving        bool
	sending       bool
	stats         Stats
}

// nodeCalls holds the holder's calls to a node.
type nodeCalls struct {
	calling bool
	// failed reports that the last call failed.
	failed bool
	// heard is when the node last answered, by the boot-time clock, 0 for never.
	heard time.Duration
	// roundTrip is the shortest round trip.
	roundTrip time.Duration
}

// Stats counts what this node did as the holder.
type Stats struct {
	// Reported is the number of windows whose reports were accepted.
	Reported int
	// LeftOut is the number of windows left out by reason.
	LeftOut map[usage.Reason]int
	// Heard is the number of nodes heard of late, 0 while this node is not the holder.
	Heard int
	// CheckpointBytes is the size of the last checkpoint.
	CheckpointBytes int
}

// Prepare initializes the service.
func (s *Service) Prepare() {
	s.counter.Boot = s.Boot
	s.counter.Window = s.Window
	s.counter.Kept = usage.KeptWindows(s.Window, s.Late)
	s.counter.BootTime = s.BootTime
	s.counter.Started = s.BootTime()
	s.tally.Window = s.Window
	s.tally.Off = s.Off
	s.tally.Late = s.Late
	s.places = make(chan struct{}, maxCalls-maxRetries)
	s.retries = make(chan struct{}, maxRetries)
	s.nodes = map[string]*nodeCalls{}
	s.stats.LeftOut = map[usage.Reason]int{}
}

// Began counts a request of a team that has just begun to run.
func (s *Service) Began(team string) { s.counter.Began(team) }

// Stats returns what this node did as the holder.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.LeftOut = make(map[usage.Reason]int, len(s.stats.LeftOut))
	for reason, windows := range s.stats.LeftOut {
		stats.LeftOut[reason] = windows
	}
	return stats
}

// Answer answers a holder's call.
func (s *Service) Answer(call wire.UsageCall) wire.UsageCounts {
	s.Heard(call.Holder, call.Number)
	return s.answer(call)
}

func (s *Service) answer(call wire.UsageCall) wire.UsageCounts {
	s.mu.Lock()
	current := call.Number >= s.seenNumber
	s.seenNumber = max(s.seenNumber, call.Number)
	s.mu.Unlock()
	// A holder that was replaced may tell a time that was right before it was frozen.
	if current && call.TimeUs > 0 {
		s.counter.Correct(time.UnixMicro(int64(call.TimeUs)))
	}
	since := call.Since
	if uint64(call.Boot) != s.Boot {
		since = 0
	}
	return encodeCounts(s.counter.Counts(since), s.WallTime())
}

// Run performs the duty whenever this node holds it, until the context ends.
func (s *Service) Run(ctx context.Context) {
	schedule.Every(ctx, tickInterval, func(time.Time) { s.Tick(ctx) })
	s.tasks.Stop(ctx)
}

// Tick does what is due; it is to be called every 250 ms. It starts calls and doesn't wait for them.
func (s *Service) Tick(ctx context.Context) {
	number, held := s.Held()
	boot := s.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !held || number != s.number {
		s.reset(number, held, boot)
	}
	if !held {
		return
	}
	_, timeKnown := s.consensus.Now(boot)
	if !timeKnown && s.consensus.Settle(s.live) {
		s.ticks = 0 // tells the nodes the time that has just become known
	}
	if s.ticks%ticksPerRound == 0 {
		s.startRound(ctx, boot)
	}
	s.checkpointDue = s.checkpointDue || s.ticks%ticksPerRound == 1 && s.calling > 0
	s.ticks++
	now, timeKnown := s.consensus.Now(boot)
	if !timeKnown {
		return
	}
	s.load(now)
	if s.loaded {
		s.act(ctx, now)
	}
}

// reset begins or ends a holdership; the caller must hold s.mu.
func (s *Service) reset(number int, held bool, boot time.Duration) {
	s.tally.Lose()
	s.stats.Heard = 0
	s.number, s.loaded, s.ticks = 0, false, 0
	if !held {
		return
	}
	s.number = number
	s.consensus = usage.Consensus{}
	s.majorityHeard = boot
	s.live = nil
	clear(s.nodes)
}

// load gives the tally the records of the store once true time is known; the caller must hold s.mu.
func (s *Service) load(now time.Time) {
	if s.loaded {
		return
	}
	records := s.Records()
	if number, held := s.Held(); !held || number != s.number {
		return // the records may be those of another holdership
	}
	s.loaded = true
	if err := s.tally.Gain(s.number>>eraBits, records, now); err != nil {
		s.Logger.Error().Err(err).Str("decision", "usage").Int("number", s.number).
			Msg("usage records of an earlier holder can't be used")
	}
}

// act does what the tally decides; the caller must hold s.mu.
func (s *Service) act(ctx context.Context, now time.Time) {
	for _, action := range s.tally.Due(now) {
		switch action.Kind {
		case usage.Fix:
			s.fix(ctx, action)
		case usage.Send:
			s.send(ctx, action)
		case usage.LeaveOut:
			s.stats.LeftOut[action.Reason] += action.Windows
			s.Logger.Warn().Str("decision", "usage").Int("number", s.number).Int("window", action.Window).
				Int("windows", action.Windows).Str("reason", string(action.Reason)).Msg("windows left out")
		}
	}
	if s.checkpointDue && !s.saving {
		s.checkpoint(ctx, now)
	}
}

// fix saves the counts of a window, unless another save is in flight; the caller must hold s.mu.
func (s *Service) fix(ctx context.Context, action usage.Action) {
	if s.saving {
		return
	}
	value, err := usage.EncodeFixed(action.Window, action.Counts)
	if err != nil {
		return
	}
	s.save(ctx, usage.FixedKey(action.Window), value, func() { s.tally.Fixed(action.Window) })
}

// checkpoint saves what is known of the open windows; the caller must hold s.mu.
func (s *Service) checkpoint(ctx context.Context, now time.Time) {
	s.checkpointDue = false
	value, err := s.tally.Checkpoint(now)
	if err != nil {
		return
	}
	s.stats.CheckpointBytes = len(value)
	s.save(ctx, usage.KeyOpen, value, nil)
}

// save saves a record and calls saved, with s.mu held, if that is confirmed within the same holdership. A checkpoint, for
// which saved is nil, is made anew if it is not confirmed.
func (s *Service) save(ctx context.Context, key string, value []byte, saved func()) {
	s.saving = true
	number := s.number
	s.tasks.Go(func(context.Context) {
		err := s.Save(ctx, number, key, value)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.saving = false
		if err != nil {
			s.checkpointDue = s.checkpointDue || saved == nil
			s.Logger.Debug().Err(err).Str("step", "save "+key).Msg("usage record not confirmed")
			return
		}
		if current, held := s.Held(); held && current == number && s.number == number && saved != nil {
			saved()
		}
	})
}

// send reports a window, unless another report is in flight; the caller must hold s.mu.
func (s *Service) send(ctx context.Context, action usage.Action) {
	if s.sending {
		return
	}
	s.sending = true
	s.tally.Sending(action.Window)
	number := s.number
	s.tasks.Go(func(context.Context) {
		err := s.Report(ctx, number, action.Window, action.Counts)
		now, _ := s.now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sending = false
		requests := 0
		for _, count := range action.Counts {
			requests += count
		}
		entry := s.Logger.Info()
		if err != nil {
			entry = s.Logger.Warn().Err(err)
			s.tally.Failed(now)
		} else {
			s.tally.Accepted(action.Window)
			s.stats.Reported++
		}
		entry.Str("decision", "usage").Int("number", number).Int("window", action.Window).
			Int("teams", len(action.Counts)).Int("requests", requests).Bool("repeated", action.Repeated).
			Bool("accepted", err == nil).Msg("window sent")
	})
}

// now returns the true time by the holder's estimate, and whether it is known.
func (s *Service) now() (time.Time, bool) {
	boot := s.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.consensus.Now(boot)
}
