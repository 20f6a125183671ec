package dispatch

import (
	"math"
	"time"

	"lagoongw/internal/coordination/calibration"
)

const (
	// paceInterval is the time between two updates of what is derived from the observations of a pool's engines.
	paceInterval = 500 * time.Millisecond
	// profileLogFactor is the factor by which a figure of the profile must change to be reported again.
	profileLogFactor = 1.25
	// tightShare is the share of the streams with a target gap that would be late among other prompts from which they are
	// kept apart from them; below looseShare they no longer are.
	tightShare = 0.25
	looseShare = 0.1
	// stallFactor times the target gap is the length from which a pause is taken for a stall, which other prompts do not
	// explain.
	stallFactor = 3
	// usualStreamEvents is the number of events of a stream before any has ended, and streamEventsWeight the weight of the
	// newest stream in the moving average.
	usualStreamEvents  = 32
	streamEventsWeight = 0.05
)

// pace is what the nodes have learned of the engines of a pool.
type pace struct {
	estimator calibration.Estimator
	// eventTokens is the number of tokens in an event, and slots the number of requests that an engine runs at once.
	eventTokens int
	slots       int
	// profile and evidence include what the peers observed, as of updatedAt.
	profile   calibration.Profile
	evidence  calibration.Evidence
	updatedAt time.Time
	// reported is the last profile that OnProfileChange was called with.
	reported calibration.Profile
	// streams holds what is known of the streams with a target gap, by that gap.
	streams map[time.Duration]*gapStreams
}

// gapStreams is what is known of the streams with one target gap.
type gapStreams struct {
	// events is the moving average of the number of their events.
	events float64
	// prefill is the moving average of the time to prefill their prompts.
	prefill time.Duration
	// tight reports that too many of them would be late beside other prompts, since tightSince.
	tight      bool
	tightSince time.Time
}

// pace returns what is known of the engines of a pool, creating it if needed; the lock must be held.
func (d *Dispatcher) pace(pool string) *pace {
	if d.paces == nil {
		d.paces = map[string]*pace{}
	}
	p := d.paces[pool]
	if p == nil {
		p = &pace{
			eventTokens: 1,
			slots:       1,
			profile:     calibration.Evidence{}.Profile(),
			streams:     map[time.Duration]*gapStreams{},
		}
		d.paces[pool] = p
	}
	if settings, _ := d.Pool(pool); settings.Engine != nil {
		p.eventTokens = max(settings.Engine.EventTokens, 1)
		p.slots = max(settings.Engine.Slots, 1)
	}
	return p
}

// updatedPace returns what is known of the engines of a pool, and updates it if that is due; the lock must be held.
func (d *Dispatcher) updatedPace(pool string, now time.Time) *pace {
	p := d.pace(pool)
	if now.Sub(p.updatedAt) < paceInterval {
		return p
	}
	p.updatedAt = now
	p.evidence = p.estimator.Evidence(now)
	for _, peer := range d.sortedPeers() {
		p.evidence = p.evidence.Plus(peer.Evidence[pool], 1)
	}
	p.profile = p.evidence.Profile()
	for gap, streams := range p.streams {
		streams.update(p.evidence, gap, now)
	}
	if d.OnProfileChange != nil && p.profile.Differs(p.reported, profileLogFactor) {
		p.reported = p.profile
		d.OnProfileChange(pool, p.profile)
	}
	return p
}

// Profile returns what is known of the speed of a pool's engines.
func (d *Dispatcher) Profile(pool string, now time.Time) calibration.Profile {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updatedPace(pool, now).profile
}

// streamsWith returns what is known of the streams with a target gap. Until pauses were seen, they are tight if the usual
// pause at an engine that prefills prompts all the time is longer than the target.
func (p *pace) streamsWith(gap time.Duration) *gapStreams {
	s := p.streams[gap]
	if s == nil {
		s = &gapStreams{
			events: usualStreamEvents,
			tight:  p.pauseBeside(longPrefill) >= gap,
		}
		p.streams[gap] = s
	}
	return s
}

// recordLength records the number of events of a stream that ended.
func (p *pace) recordLength(gap time.Duration, events int) {
	if gap > 0 {
		s := p.streamsWith(gap)
		s.events += streamEventsWeight * (float64(events) - s.events)
	}
}

// update sets whether the streams are tight by the share of the pauses at engines that prefill any prompt.
func (s *gapStreams) update(evidence calibration.Evidence, gap time.Duration, now time.Time) {
	share, known := evidence.PauseShare(gap, stallFactor*gap)
	if !known {
		return
	}
	late := 1 - math.Pow(1-share, s.events)
	switch {
	case late >= tightShare && !s.tight:
		s.tight, s.tightSince = true, now
	case late < looseShare:
		s.tight = false
	}
}

// recordPrefill records the time to prefill the prompt of a request of a kind.
func (p *pace) recordPrefill(kind, prefill time.Duration) {
	if kind > 0 {
		s := p.streamsWith(kind)
		s.prefill += time.Duration(streamEventsWeight * float64(prefill-s.prefill))
	}
}

// usualRunning is the number of running requests for which the pauses at an engine for interactive requests are
// predicted.
const usualRunning = 16

// interactiveCapacity returns the capacity of an engine for interactive requests of a kind. It may spend the less of its
// time on prefill, the closer the pauses that their own prompts cause come to the target gap, and generates as many
// streams as its slots allow in the rest. It returns false for other kinds.
func (p *pace) interactiveCapacity(kind time.Duration) (capacity, bool) {
	if kind <= 0 || !p.streamsWith(kind).tight {
		return capacity{}, false
	}
	streams := p.streamsWith(kind)
	share := bulkPrefillShare * max(1-float64(p.pauseBeside(streams.prefill))/float64(kind), minInteractiveShare)
	steps := max(streams.events, 1) * float64(p.eventTokens)
	streamTime := steps * p.profile.Step(usualRunning).Seconds() / (1 - share)
	return capacity{
		prefillShare:     share,
		streamsPerSecond: maxSlotShare * float64(p.slots) / streamTime,
	}, true
}

// longPrefill is longer than any chunk of a prefill.
const longPrefill = time.Minute

// pauseBeside returns the usual pause between two events at an engine that prefills one prompt after another; prefill is
// the time that each takes.
func (p *pace) pauseBeside(prefill time.Duration) time.Duration {
	return time.Duration(p.eventTokens) * (p.profile.Step(usualRunning) + p.profile.ChunkTime(prefill))
}

// demand returns how many engines of a pool this node's requests need; the lock must be held.
func (d *Dispatcher) demand(pool string, now time.Time) EngineDemand {
	s := d.splits[pool]
	if s == nil {
		return EngineDemand{}
	}
	return s.demand(d.pace(pool).interactiveCapacity, now)
}

// observePause records a pause between two events of a stream; the lock must be held.
func (d *Dispatcher) observePause(upstream *upstreamState, pause time.Duration, now time.Time) {
	pool := upstream.replica.Pool()
	p := d.pace(pool)
	if reserved := d.splits[pool]; reserved == nil || upstream.hashRank >= reserved.interactiveEngines {
		p.estimator.CountPause(pause, now)
	}
	f := &upstream.forecast
	if len(f.waiting) > 0 || upstream.peerLoad.Waiting > 0 || f.waitingUntil.After(now.Add(-pause)) {
		return
	}
	p.estimator.ObservePause(pause, p.eventTokens, f.running+upstream.peerLoad.Running)
}
