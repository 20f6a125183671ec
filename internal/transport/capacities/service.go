package capacities

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/capacity"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/duties"
	"lagoongw/internal/transport/schedule"
)

const (
	// interval is the time between two decisions.
	interval = time.Second
	// parallelOrders is the number of orders in flight: a slow platform must not delay the last of a dozen orders by the
	// sum of their times.
	parallelOrders = 4
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
	// Order sends an order to the platform, within its limit of calls and the back-off after failures. It returns
	// duties.ErrRefused, duties.ErrRejected, duties.ErrBusy or duties.ErrNotHolder for an order that is not executed; after any
	// other error it may be.
	Order func(ctx context.Context, number int, order capacity.Order) error
	// Refused is told that the platform refused an order because of its number.
	Refused func(number int)
	// Save saves a record as the holder, and Records returns those that were saved when this node gained the duty. Both are nil
	// if ordered numbers are not to be taken over by the next holder.
	Save    func(ctx context.Context, key string, value []byte) error
	Records func() map[string][]byte
	// OrdersPerTick is the largest number of orders in a second, 0 for no limit.
	OrdersPerTick int
	// Logger receives the log lines.
	Logger zerolog.Logger

	mu       sync.Mutex
	planners map[string]*capacity.Planner
	states   map[string]capacity.State
	age      time.Duration
	orders   int64
	// check is the refused spot order after which the number is to be checked, nil if there is none, and checkedNumber the
	// number that was checked last.
	check         *planned
	checkedNumber int

	// These are used by Run alone.
	number int
	gained time.Time
	// former holds the numbers that were last ordered, by the former holder or under formerNumber, and saved the record
	// that was last saved.
	former       []wire.CapacityOrder
	formerNumber int
	saved        []byte
}

// Run decides once a second until the context ends.
func (s *Service) Run(ctx context.Context) {
	// The time of a tick that waited for slow orders is too old.
	schedule.Every(ctx, interval, func(time.Time) { s.Tick(ctx, time.Now()) })
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
		s.takeOver(number)
		s.Logger.Info().Str("decision", "capacity").Int("number", number).Msg("this node decides on the number of upstreams")
	}
	var orders []planned
	listed := map[string]bool{}
	for _, pool := range s.Pools(now) {
		listed[pool.Name] = true
		orders = append(orders, s.plan(pool, now)...)
	}
	s.prune(listed)
	slices.SortStableFunc(orders, func(a, b planned) int { return cmp.Compare(b.more, a.more) })
	if s.OrdersPerTick > 0 {
		orders = orders[:min(len(orders), s.OrdersPerTick)]
	}
	if s.Save == nil {
		s.send(ctx, orders)
		return
	}
	// The numbers are saved while the orders are under way: a holder that dies then must not leave orders that the next one
	// does not know of, and a slow store must not delay them.
	s.note(orders)
	var group sync.WaitGroup
	group.Go(func() { s.save(ctx) })
	s.send(ctx, orders)
	group.Wait()
}

// forget drops what is known, as the duty is not held any more.
func (s *Service) forget() {
	s.number, s.gained = 0, time.Time{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planners, s.states, s.age, s.check = nil, nil, 0, nil
}

// prune drops the pools that have no scaling any more.
func (s *Service) prune(listed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.planners, func(pool string, _ *capacity.Planner) bool { return !listed[pool] })
	maps.DeleteFunc(s.states, func(pool string, _ capacity.State) bool { return !listed[pool] })
}

// planned is an order of a planner.
type planned struct {
	capacity.Order
	planner *capacity.Planner
	age     time.Duration
	// more is the number of upstreams that the order adds.
	more int
	// checks tells that the order only checks the number.
	checks bool
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
	pool.Input.Gained, pool.Input.Former = s.gained, s.formerOrders(pool.Name)
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

// send sends the orders until the platform asks for fewer calls, or the duty is lost. The check of the number goes before
// further orders and counts to their limit.
func (s *Service) send(ctx context.Context, orders []planned) {
	for sent := 0; ; {
		check, due := s.dueCheck()
		if due && s.OrdersPerTick > 0 {
			orders = orders[:max(min(len(orders), s.OrdersPerTick-sent-1), 0)]
			due = sent < s.OrdersPerTick
		}
		if due {
			if !s.sendCheck(ctx, check) {
				return
			}
			sent++
			continue
		}
		batch := orders[:min(len(orders), parallelOrders)]
		if len(batch) == 0 || !s.sendBatch(ctx, batch) {
			return
		}
		orders = orders[len(batch):]
		sent += len(batch)
	}
}

// sendBatch sends orders at the same time and reports whether further ones may be sent.
func (s *Service) sendBatch(ctx context.Context, batch []planned) bool {
	var group sync.WaitGroup
	var stop atomic.Bool
	for _, order := range batch {
		group.Go(func() {
			if !s.sendOne(ctx, order) {
				stop.Store(true)
			}
		})
	}
	group.Wait()
	return !stop.Load()
}

// sendOne sends an order and reports whether further ones may be sent.
func (s *Service) sendOne(ctx context.Context, order planned) bool {
	if number, held := s.Held(); !held || number != s.number {
		return false
	}
	err := s.Order(ctx, s.number, order.Order)
	if errors.Is(err, duties.ErrRefused) && !order.Spot {
		s.Refused(s.number)
	}
	outcome := judge(err, order.Spot)
	s.mu.Lock()
	order.planner.Answered(time.Now(), order.Order, outcome)
	s.orders++
	s.noteAnswer(order, err)
	state := order.planner.State()
	s.mu.Unlock()
	s.log(order, state, err)
	return outcome != capacity.NotSent && outcome != capacity.Unknown
}

// judge returns the outcome of an order by its error. A refused spot order means that none is available, since a refused
// number is noticed by the check that follows the first such order.
func judge(err error, spot bool) capacity.Outcome {
	switch {
	case err == nil:
		return capacity.Accepted
	case errors.Is(err, duties.ErrRefused) && spot:
		return capacity.NoneAvailable
	case errors.Is(err, duties.ErrRefused), errors.Is(err, duties.ErrBusy), errors.Is(err, duties.ErrNotHolder):
		return capacity.NotSent
	case errors.Is(err, duties.ErrRejected):
		return capacity.Rejected
	case errors.Is(err, duties.ErrFailed):
		return capacity.Failed
	}
	return capacity.Unknown
}

// countLine is a count in a log line.
type countLine capacity.Count

// MarshalZerologObject adds the count to a log line.
func (c countLine) MarshalZerologObject(e *zerolog.Event) {
	e.Str("zone", c.Zone).Bool("spot", c.Spot).Int("planned", c.Planned).Int("present", c.Present).Int("serving", c.Serving)
}

func (s *Service) log(order planned, state capacity.State, err error) {
	line, message := s.Logger.Info(), "upstreams ordered"
	switch {
	case errors.Is(err, duties.ErrBusy):
		line, message = s.Logger.Debug().Err(err), "upstreams not ordered yet"
	case err != nil:
		line, message = s.Logger.Warn().Err(err), "upstreams not ordered"
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
		Int("number", s.number).
		Str("reason", order.Reason).
		Float64("demand", state.Demand).
		Int("predicted", state.Predicted).
		Int("wanted", state.Wanted).
		Int("present", state.Present).
		Int("serving", state.Serving).
		Float64("known-share", state.KnownShare).
		Dur("input-age-ms", order.age).
		Array("upstreams", counts).
		Msg(message)
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
