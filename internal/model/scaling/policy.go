package scaling

import (
	"math"

	"lagoongw/internal/coordination/capacity"
)

// Policy decides on the orders of each second.
type Policy struct {
	Name string
	// New returns the state of the policy for a site.
	New func(s *Site) Decider
}

// Decider is the state of a policy.
type Decider interface {
	// Decide returns the orders of a second.
	Decide(s *Site) []capacity.Order
	// Answered is told the outcome of an order.
	Answered(s *Site, order capacity.Order, outcome capacity.Outcome)
}

// Policies returns the policies that are compared.
func Policies() []Policy {
	return []Policy{
		{
			Name: "fixed",
			New:  func(*Site) Decider { return fixed{} },
		},
		{
			Name: "tracking, on demand",
			New:  func(*Site) Decider { return &tracking{} },
		},
		{
			Name: "tracking, spot",
			New:  func(*Site) Decider { return &tracking{spot: true} },
		},
		{
			Name: "predicted with reserve",
			New: func(s *Site) Decider {
				// A sixth more than needed, on demand alone.
				settings := s.Settings
				settings.SpotPrice = 0
				settings.Utilization *= 1 - settings.Reserve
				return NewPlanner(settings)
			},
		},
		{
			Name: "planner",
			New:  func(s *Site) Decider { return NewPlanner(s.Settings) },
		},
	}
}

// fixed keeps the upstreams of the start.
type fixed struct{}

func (fixed) Decide(*Site) []capacity.Order { return nil }

func (fixed) Answered(*Site, capacity.Order, capacity.Outcome) {}

// tracking orders what the demand of the moment needs, and fewer once that has sufficed for trackingMemory seconds.
type tracking struct {
	spot   bool
	recent []int
}

const trackingMemory = 10

// Decide implements Decider.
func (t *tracking) Decide(s *Site) []capacity.Order {
	t.recent = append(t.recent, int(math.Ceil(s.demand/s.Settings.Utilization)))
	t.recent = t.recent[max(len(t.recent)-trackingMemory, 0):]
	most := 0
	for _, n := range t.recent {
		most = max(most, n)
	}
	if !t.spot {
		return spread(s, most, false)
	}
	return append(spread(s, most, true), spread(s, 0, false)...)
}

// Answered implements Decider.
func (t *tracking) Answered(*Site, capacity.Order, capacity.Outcome) {}

// spread orders a number of upstreams of a kind evenly over the zones.
func spread(s *Site, n int, spot bool) []capacity.Order {
	var orders []capacity.Order
	zones := s.Zones()
	for i, zone := range zones {
		desired := (n + len(zones) - 1 - i) / len(zones)
		orders = append(orders, capacity.Order{
			Zone:    zone,
			Spot:    spot,
			Desired: min(max(desired, s.Settings.Min), s.Settings.Max),
		})
	}
	return orders
}

// Planner is the policy of package capacity.
type Planner struct {
	*capacity.Planner
	// Change, if set, changes what the planner is told.
	Change func(input *capacity.Input)
}

// NewPlanner returns the policy of package capacity with the given settings.
func NewPlanner(settings capacity.Settings) *Planner {
	return &Planner{Planner: &capacity.Planner{
		Pool:     "p",
		Settings: settings,
	}}
}

// Decide implements Decider.
func (p *Planner) Decide(s *Site) []capacity.Order {
	input := s.Input()
	if p.Change != nil {
		p.Change(&input)
	}
	return p.Plan(s.Now(), input)
}

// Answered implements Decider.
func (p *Planner) Answered(s *Site, order capacity.Order, outcome capacity.Outcome) {
	p.Planner.Answered(s.Now(), order, outcome)
}
