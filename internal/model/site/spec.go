package site

import (
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/model/engine"
	"lagoongw/internal/state/route"
)

// Spec describes an installation, the requests that it receives, and the disturbances during a run.
type Spec struct {
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// Nodes is the number of entry VMs. Nodes, engines and services are distributed evenly over the regions.
	Nodes   int
	Regions int
	// Engines is the number of engines, and Engine the speed and the size of each.
	Engines int
	Engine  engine.Spec
	// Services is the number of plain services, and ServiceSlots the number of requests that each runs at once.
	Services     int
	ServiceSlots int
	// InterRegionDelay is the one-way network delay between regions, and IntraRegionDelay that within a region.
	InterRegionDelay time.Duration
	IntraRegionDelay time.Duration
	// LinkMegabitsPerSecond is the bandwidth from one region to another; 0 means unlimited.
	LinkMegabitsPerSecond float64
	// AdvertiseInterval is the interval at which nodes advertise their load. TableUpdateDelay is the time from the crash
	// or restart of an engine to the update of the upstream table.
	AdvertiseInterval time.Duration
	TableUpdateDelay  time.Duration
	// AdvertiseFanout is the number of other nodes to which each node advertises its load; 0 means all.
	AdvertiseFanout int
	// Zones is the number of zones whose relays forward the loads; AdvertiseFanout is then ignored. 0 means no relays. The
	// nodes are distributed evenly over these zones, whatever their regions; within a zone, IntraRegionDelay applies.
	Zones int
	// Classes lists the classes of requests.
	Classes []Class
	// Disturbances lists the load changes and faults during the run.
	Disturbances []Disturbance
}

// Class describes one class of requests and its latency targets.
type Class struct {
	// Name is the name of the class.
	Name string
	// Tier is the priority tier; 0 is the highest priority.
	Tier int
	// RequestsPerSecond is the mean arrival rate outside of bursts.
	RequestsPerSecond float64
	// SharedParts is the number of shared prompt parts. Each prompt begins with one of them, chosen at random, and ends
	// with a part of its own. SharedTokens is the length of a shared part, and OwnTokens the mean length of the own
	// part.
	SharedParts  int
	SharedTokens int
	OwnTokens    int
	// OutputTokens is the mean length of a response, and EventTokens the number of tokens in an event.
	OutputTokens int
	EventTokens  int
	// ServiceTime is the time that a plain service needs for a request. A class for engines has none.
	ServiceTime time.Duration
	// TargetLatency is the latency objective for the response of a plain service or the first event of a stream.
	// TargetGap is that for the longest pause between events, 0 for no objective.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Deadline is the time after which callers cancel a request.
	Deadline time.Duration
	// Worth is the value of a response within the targets, and WorthLate that of a late response.
	Worth     float64
	WorthLate float64
	// MaxAttempts is the largest number of upstreams that may run a request.
	MaxAttempts int
	// Retries is the number of times that a caller retries a refused request.
	Retries int
}

// Kinds of disturbances.
const (
	// Burst multiplies the rate of a class by Factor.
	Burst = "burst"
	// HotPart gives a fraction of the prompts of a class, Factor, the same shared part.
	HotPart = "hot-part"
	// Crash stops Count engines. They lose their cache and their requests, and restart at the end.
	Crash = "crash"
	// Slow multiplies the iteration times of Count engines by Factor.
	Slow = "slow"
	// Shed makes Count engines refuse new requests while they stay in the upstream table.
	Shed = "shed"
)

// Disturbance is a load change or a fault that lasts for some time.
type Disturbance struct {
	Kind string
	// Class is the name of the class that Burst and HotPart apply to.
	Class string
	// Start is the time since the start of the run.
	Start    time.Duration
	Duration time.Duration
	// Factor and Count depend on the kind.
	Factor float64
	Count  int
	// Skip is the index of the first affected engine.
	Skip int
}

// routeEngine returns the settings of the engine pool. A pool has one number of tokens per event, so it gets the
// largest of the classes.
func (s Spec) routeEngine() *route.Engine {
	settings := &route.Engine{
		Slots:       s.Engine.Slots,
		CacheTokens: s.Engine.MemoryTokens,
	}
	for _, class := range s.Classes {
		settings.EventTokens = max(settings.EventTokens, class.EventTokens)
	}
	return settings
}

func (d Disturbance) active(at time.Duration) bool { return at >= d.Start && at < d.Start+d.Duration }

// Check returns an error for the first invalid setting. It names settings as experiment files do.
func (s Spec) Check() error {
	if s.Duration <= 0 || s.Nodes <= 0 || s.Regions <= 0 || s.AdvertiseInterval <= 0 {
		return eris.New("length, nodes, regions and tell-every must be positive")
	}
	if s.Zones < 0 || s.Zones > s.Nodes {
		return eris.Errorf("zones is %d, expected 0 to the number of nodes, %d", s.Zones, s.Nodes)
	}
	if s.Engines > 0 && (s.Engine.Slots <= 0 || s.Engine.MemoryTokens <= 0) {
		return eris.New("slots and memory-tokens must be positive if there are engines")
	}
	if e := s.Engine; s.Engines > 0 && (e.StepBaseTime <= 0 || e.PrefillTokensPerMillisecond <= 0 || e.ChunkTokens <= 0 ||
		e.StepTimePerRequest < 0 || e.StepTimePerThousandTokens < 0 || e.PrefillDelay < 0 || e.PrefillSetupTime < 0) {
		return eris.New("step, prefill-tokens-per-ms and chunk-tokens of the engine must be positive, its other times 0 or more")
	}
	classes := map[string]bool{}
	for _, class := range s.Classes {
		classes[class.Name] = true
		if err := s.checkClass(class); err != nil {
			return eris.Wrapf(err, "class %q", class.Name)
		}
	}
	for i, d := range s.Disturbances {
		if err := s.checkDisturbance(d, classes); err != nil {
			return eris.Wrapf(err, "disturbance %d", i+1)
		}
	}
	return nil
}

func (s Spec) checkClass(class Class) error {
	switch {
	case class.RequestsPerSecond <= 0 || class.Deadline <= 0 || class.TargetLatency <= 0:
		return eris.New("per-second, deadline and within must be positive")
	case class.ServiceTime > 0 && (s.Services <= 0 || s.ServiceSlots <= 0):
		return eris.New("services and service-slots must be positive for a class with work")
	case class.ServiceTime == 0 && s.Engines <= 0:
		return eris.New("engines must be positive for a class without work")
	case class.ServiceTime == 0 && (class.SharedParts <= 0 || class.OwnTokens <= 0 || class.OutputTokens <= 0 ||
		class.EventTokens <= 0):
		return eris.New("parts, own-tokens, output-tokens and event-tokens must be positive")
	}
	return nil
}

func (s Spec) checkDisturbance(d Disturbance, classes map[string]bool) error {
	switch d.Kind {
	case Burst, HotPart:
		if !classes[d.Class] {
			return eris.Errorf("%s: class %q does not exist", d.Kind, d.Class)
		}
	case Crash, Slow, Shed:
		if d.Count <= 0 || d.Skip < 0 || d.Skip+d.Count > s.Engines {
			return eris.Errorf("%s: count %d and skip %d are out of range for %d engines", d.Kind, d.Count, d.Skip, s.Engines)
		}
	default:
		return eris.Errorf("unknown kind %q, expected %s, %s, %s, %s or %s", d.Kind, Burst, HotPart, Crash, Slow, Shed)
	}
	if d.Kind != Crash && d.Kind != Shed && d.Factor <= 0 {
		return eris.Errorf("%s: factor must be positive", d.Kind)
	}
	return nil
}
