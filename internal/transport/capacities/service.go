package capacities

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/capacity"
	"lagoongw/internal/transport/schedule"
)

const (
	// interval is the time between two decisions.
	interval = time.Second
	// orderTimeout limits one call to the platform. A call without an answer may still be executed.
	orderTimeout = 2 * time.Second
	// minBackOff and maxBackOff limit the time without calls after the platform was busy or did not answer.
	minBackOff = 500 * time.Millisecond
	maxBackOff = 4 * time.Second
	// unreachableAfter is how long no call may get an answer until the platform counts as unreachable.
	unreachableAfter = 3 * time.Second
	// defaultOrdersPerSecond applies if the platform does not limit the calls.
	defaultOrdersPerSecond = 16
)

// Errors of Order. Any other error means that there was no answer, and that the order may be executed later.
var (
	// ErrRefused means that the platform refused the order because of its number or, for a spot order, because no spot
	// upstream is available.
	ErrRefused = errors.New("the platform refused the order")
	// ErrBusy means that the platform did not execute the order because there are too many calls.
	ErrBusy = errors.New("the platform is busy")
)

// Pool is a pool whose number of upstreams may be changed.
type Pool struct {
	Name     string
	Settings capacity.Settings
	Input    capacity.Input
	// Age is the age of the oldest of the inputs.
	Age time.Duration
}

// Service orders upstreams; its exported fields must be set before Run.
type Service struct {
	// Held returns the number that calls to the platform carry, and whether this node holds the duty at this moment.
	Held func() (number int, held bool)
	// Pools returns the pools with scaling and what is known of them.
	Pools func(now time.Time) []Pool
	// Order sends an order to the platform.
	Order func(ctx context.Context, number int, order capacity.Order) error
	// Refused is told that the platform refused the number, Unreachable since when it has not answered.
	Refused     func(number int)
	Unreachable func(since time.Time)
	// OrdersPerSecond is the largest number of calls a second, 0 for the usual one.
	OrdersPerSecond int
	// Logger receives the log lines.
	Logger zerolog.Logger

	mu       sync.Mutex
	planners map[string]*capacity.Planner
	states   map[string]capacity.State
	age      time.Duration
	orders   int64

	// These are used by Run alone.
	number      int
	gained      time.Time
	backOff     time.Duration
	notBefore   time.Time
	silentSince time.Time
}

// Run decides once a second until the context ends.
func (s *Service) Run(ctx context.Context) {
	schedule.Every(ctx, interval, func(now time.Time) { s.Tick(ctx, now) })
}

// Tick decides for all pools and sends the orders that are due.
func (s *Service) Tick(ctx context.Context, now time.Time) {
	number, held := s.Held()
	if !held {
		s.forget()
		return
	}
	if number != s.number || s.gained.IsZero() {
		s.forget()
		s.number, s.gained = number, now
		s.Logger.Info().Str("decision", "capacity").Int("number", number).Msg("this node decides on the number of upstreams")
	}
	var orders []planned
	for _, pool := range s.Pools(now) {
		orders = append(orders, s.plan(pool, now)...)
	}
	slices.SortStableFunc(orders, func(a, b planned) int { return cmp.Compare(b.more, a.more) })
	s.send(ctx, orders, now)
}

// forget drops what is known, as the duty is not held any more.
func (s *Service) forget() {
	s.number, s.gained = 0, time.Time{}
	s.backOff, s.notBefore, s.silentSince = 0, time.Time{}, time.Time{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planners, s.states, s.age = nil, nil, 0
}

// planned is an order of a planner.
type planned struct {
	capacity.Order
	planner *capacity.Planner
	age     time.Duration
	// more is the number of upstreams that the order adds.
	more int
}

func (s *Service) plan(pool Pool, now time.Time) []planned {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.planners == nil {
		s.planners, s.states = map[string]*capacity.Planner{}, map[string]capacity.State{}
	}
	planner := s.planners[pool.Name]
	if planner == nil {
		planner = &capacity.Planner{Pool: pool.Name}
		s.planners[pool.Name] = planner
	}
	planner.Settings = pool.Settings
	pool.Input.Gained = s.gained
	orders := planner.Plan(now, pool.Input)
	state := planner.State()
	s.states[pool.Name] = state
	s.age = pool.Age
	rows := make([]planned, len(orders))
	for i, order := range orders {
		rows[i] = planned{
			Order:   order,
			planner: planner,
			age:     pool.Age,
			more:    order.Desired - state.Count(order.Zone, order.Spot).Present,
		}
	}
	return rows
}

// send sends the orders until the platform asks for fewer calls, or the duty is lost.
func (s *Service) send(ctx context.Context, orders []planned, now time.Time) {
	limit := s.OrdersPerSecond
	if limit <= 0 {
		limit = defaultOrdersPerSecond
	}
	if now.Before(s.notBefore) {
		return
	}
	for _, order := range orders[:min(len(orders), limit)] {
		number, held := s.Held()
		if !held || number != s.number {
			return
		}
		if !s.sendOne(ctx, order, number) {
			return
		}
	}
}

// sendOne sends an order and reports whether further ones may be sent.
func (s *Service) sendOne(ctx context.Context, order planned, number int) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := time.Now()
	err := s.Order(ctx, number, order.Order)
	now := time.Now()
	outcome, more := s.judge(err, order.Spot, number, sentAt, now)
	s.mu.Lock()
	order.planner.Answered(now, order.Order, outcome)
	s.orders++
	state := order.planner.State()
	s.mu.Unlock()
	s.log(order, state, number, err)
	return more
}

// judge returns the outcome of an order by its error, and whether further orders may be sent.
func (s *Service) judge(err error, spot bool, number int, sentAt, now time.Time) (outcome capacity.Outcome, more bool) {
	switch {
	case err == nil:
		s.backOff, s.silentSince = 0, time.Time{}
		return capacity.Accepted, true
	case errors.Is(err, ErrRefused) && spot:
		s.backOff, s.silentSince = 0, time.Time{}
		return capacity.NoneAvailable, true
	case errors.Is(err, ErrRefused):
		s.Refused(number)
		return capacity.NotSent, false
	}
	s.backOff = min(max(2*s.backOff, minBackOff), maxBackOff)
	s.notBefore = now.Add(s.backOff)
	if errors.Is(err, ErrBusy) {
		s.silentSince = time.Time{}
		return capacity.NotSent, false
	}
	if s.silentSince.IsZero() {
		s.silentSince = sentAt
	}
	if now.Sub(s.silentSince) >= unreachableAfter {
		s.Unreachable(s.silentSince)
	}
	return capacity.Unknown, false
}

// countLine is a count in a log line.
type countLine capacity.Count

// MarshalZerologObject adds the count to a log line.
func (c countLine) MarshalZerologObject(e *zerolog.Event) {
	e.Str("zone", c.Zone).Bool("spot", c.Spot).Int("planned", c.Planned).Int("present", c.Present).Int("serving", c.Serving)
}

func (s *Service) log(order planned, state capacity.State, number int, err error) {
	line := s.Logger.Info()
	if err != nil {
		line = s.Logger.Warn().Err(err)
	}
	counts := zerolog.Arr()
	for _, count := range state.Counts {
		counts.Object(countLine(count))
	}
	line.Str("decision", "capacity").
		Str("pool", order.Pool).
		Str("zone", order.Zone).
		Bool("spot", order.Spot).
		Int("desired", order.Desired).
		Int("number", number).
		Str("reason", order.Reason).
		Float64("demand", state.Demand).
		Int("predicted", state.Predicted).
		Int("wanted", state.Wanted).
		Int("present", state.Present).
		Int("serving", state.Serving).
		Float64("known-share", state.KnownShare).
		Dur("input-age-ms", order.age).
		Array("upstreams", counts).
		Msg("order for upstreams sent")
}

// State returns the state of a pool's planner, zero while the duty is not held.
func (s *Service) State(pool string) capacity.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.states[pool]
}

// Total returns the sum of a figure over the states of all pools.
func (s *Service) Total(figure func(state capacity.State) float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0.0
	for _, state := range s.states {
		sum += figure(state)
	}
	return sum
}

// Orders returns the number of orders sent, and the age of the inputs of the last decision.
func (s *Service) Orders() (sent int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders, s.age
}
