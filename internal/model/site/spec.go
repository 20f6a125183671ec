package site

import (
	"time"

	"github.com/rotisserie/eris"

	"lagoongw/internal/model/engine"
	"lagoongw/internal/state/route"
)

// Spec describes an installation and what befalls it.
type Spec struct {
	// Duration is how long callers send requests.
	Duration time.Duration
	// Nodes is the number of entry nodes; they, the engines and the services are spread evenly over the regions.
	Nodes   int
	Regions int
	// Engines is the number of engines, Engine what each can do.
	Engines int
	Engine  engine.Spec
	// Services is the number of plain services, ServiceSlots how many requests each runs at once.
	Services     int
	ServiceSlots int
	// InterRegionDelay is the time one way between regions, IntraRegionDelay the same within one.
	InterRegionDelay time.Duration
	IntraRegionDelay time.Duration
	// LinkMegabitsPerSecond bounds what passes from one region to another in a second; 0 sets no bound.
	LinkMegabitsPerSecond float64
	// AdvertiseInterval is how often nodes tell each other of their load; TableUpdateDelay is how long they list an
	// engine that is gone.
	AdvertiseInterval time.Duration
	TableUpdateDelay  time.Duration
	// AdvertiseFanout is how many other nodes each one tells; 0 is all.
	AdvertiseFanout int
	// Zones, when set, is the number of zones whose relays pass the loads on; AdvertiseFanout has no meaning then.
	Zones int
	// Classes are the classes of requests.
	Classes []Class
	// Disturbances are what happens at set times.
	Disturbances []Disturbance
}

// Class is what one kind of caller sends and is owed.
type Class struct {
	// Name names the class.
	Name string
	// Tier is the rank, 0 first.
	Tier int
	// RequestsPerSecond is the usual rate.
	RequestsPerSecond float64
	// SharedParts is how many shared parts its prompts begin with, each as likely; SharedTokens and OwnTokens are the
	// tokens of the shared part and the mean of the own one.
	SharedParts  int
	SharedTokens int
	OwnTokens    int
	// OutputTokens is the mean of the tokens generated, EventTokens how many one event holds.
	OutputTokens int
	EventTokens  int
	// ServiceTime is the time that a plain service needs; a class with it has no prompt.
	ServiceTime time.Duration
	// TargetLatency bounds the time to the answer or the first event, TargetGap the pauses between events.
	TargetLatency time.Duration
	TargetGap     time.Duration
	// Deadline is when callers give up.
	Deadline time.Duration
	// Worth is the worth of an answer in time, WorthLate that of a late one.
	Worth     float64
	WorthLate float64
	// MaxAttempts is how many upstreams may run one request.
	MaxAttempts int
	// Retries is how often a caller comes back after a refusal.
	Retries int
}

// Kinds of disturbances.
const (
	// Burst multiplies the rate of a class by Factor.
	Burst = "burst"
	// HotPart sends the share Factor of a class to one of its parts.
	HotPart = "hot-part"
	// Crash takes Count engines away; their memory is lost and they are back at the end.
	Crash = "crash"
	// Slow multiplies the time of Count engines by Factor.
	Slow = "slow"
	// Shed has Count engines refuse new requests, while they are listed as well.
	Shed = "shed"
)

// Disturbance is something that happens for a while.
type Disturbance struct {
	Kind string
	// Class names the class that a burst or a hot part concerns.
	Class string
	// Start and Duration say when.
	Start    time.Duration
	Duration time.Duration
	// Factor and Count say how strong; see the kinds.
	Factor float64
	Count  int
	// Skip is how many engines are left out before those that are hit.
	Skip int
}

// engine is what the nodes know of the engines.
func (s Spec) engine() *route.Engine {
	known := &route.Engine{
		Slots:       s.Engine.Slots,
		CacheTokens: s.Engine.MemoryTokens,
	}
	for _, class := range s.Classes {
		known.EventTokens = max(known.EventTokens, class.EventTokens)
	}
	return known
}

func (d Disturbance) active(at time.Duration) bool { return at >= d.Start && at < d.Start+d.Duration }

// Check returns the first fault of a description.
func (s Spec) Check() error {
	if s.Duration <= 0 || s.Nodes <= 0 || s.Regions <= 0 || s.AdvertiseInterval <= 0 {
		return eris.New("length, nodes, regions and tell-every must be positive")
	}
	if s.Zones < 0 || s.Zones > s.Nodes {
		return eris.Errorf("%d zones for %d nodes", s.Zones, s.Nodes)
	}
	if s.Engines > 0 && (s.Engine.Slots <= 0 || s.Engine.MemoryTokens <= 0) {
		return eris.New("engines need slots and memory")
	}
	known := map[string]bool{}
	for _, class := range s.Classes {
		known[class.Name] = true
		if err := s.checkClass(class); err != nil {
			return eris.Wrapf(err, "class %q", class.Name)
		}
	}
	for i, d := range s.Disturbances {
		if err := s.checkDisturbance(d, known); err != nil {
			return eris.Wrapf(err, "disturbance %d", i+1)
		}
	}
	return nil
}

func (s Spec) checkClass(class Class) error {
	switch {
	case class.RequestsPerSecond <= 0 || class.Deadline <= 0 || class.TargetLatency <= 0:
		return eris.New("rate, deadline and target must be positive")
	case class.ServiceTime > 0 && (s.Services <= 0 || s.ServiceSlots <= 0):
		return eris.New("it needs services with slots")
	case class.ServiceTime == 0 && s.Engines <= 0:
		return eris.New("it needs engines")
	case class.ServiceTime == 0 && (class.SharedParts <= 0 || class.OwnTokens <= 0 || class.OutputTokens <= 0 ||
		class.EventTokens <= 0):
		return eris.New("parts, own tokens, output tokens and event tokens must be positive")
	}
	return nil
}

func (s Spec) checkDisturbance(d Disturbance, classes map[string]bool) error {
	switch d.Kind {
	case Burst, HotPart:
		if !classes[d.Class] {
			return eris.Errorf("%s names no class: %q", d.Kind, d.Class)
		}
	case Crash, Slow, Shed:
		if d.Count <= 0 || d.Skip < 0 || d.Skip+d.Count > s.Engines {
			return eris.Errorf("%s of %d engines after %d among %d", d.Kind, d.Count, d.Skip, s.Engines)
		}
	default:
		return eris.Errorf("unknown kind %q; known are %s, %s, %s, %s and %s", d.Kind, Burst, HotPart, Crash, Slow, Shed)
	}
	if d.Kind != Crash && d.Kind != Shed && d.Factor <= 0 {
		return eris.Errorf("%s needs a factor above 0", d.Kind)
	}
	return nil
}
