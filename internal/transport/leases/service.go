package leases

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/lease"
	"lagoongw/internal/coordination/placement"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/schedule"
	"lagoongw/internal/transport/tail"
)

const (
	tickInterval = time.Second
	// readWait is how long a read of the log waits for the next record.
	readWait     = 2 * time.Second
	orderTimeout = 2 * time.Second
)

// Log is what the service uses of the platform's log.
type Log interface {
	tail.Reader
	Append(ctx context.Context, stream string, records []string) (int, error)
}

// Service acquires the lease of one engine pool and sends orders under it; its exported fields are set before Run.
type Service struct {
	// Log is the platform's log.
	Log Log
	// Holder decides when to acquire or renew the lease and whether it is valid.
	Holder *lease.Holder
	// Planner decides which orders to send.
	Planner *placement.Planner
	// IsCandidate reports whether this node should try to acquire or renew the lease.
	IsCandidate func() bool
	// FencingChecked reports whether the pool's engines refuse orders with an old fencing number.
	FencingChecked func() bool
	// Engines returns the upstreams of the pool.
	Engines func() []*replica.Replica
	// SendOrder sends an order to the engine at an address and reports whether it refused the fencing number.
	SendOrder func(ctx context.Context, address string, order wire.EngineOrder) (refused bool, err error)
	// Logger logs lease changes, orders and failed appends.
	Logger zerolog.Logger

	mu           sync.Mutex // guards Holder and Planner
	logReachable atomic.Bool
	orders       atomic.Int64
}

// OrderCount returns the number of orders sent, including those that were refused or failed.
func (s *Service) OrderCount() int64 { return s.orders.Load() }

// FencingNumber returns the fencing number of the lease and whether this node holds the lease now, even if orders still
// have to wait for Holder.MaxOrderDelay.
func (s *Service) FencingNumber() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Holder.FencingNumber(time.Now(), true)
}

// HolderName returns the Holder.Incarnation of the node that was last granted the lease, according to the log records
// read so far; it is empty if there is none.
func (s *Service) HolderName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant, _ := s.Holder.Table.Grant(s.Holder.Pool)
	return grant.Holder()
}

// Report passes a node's demand on to the planner.
func (s *Service) Report(report wire.DemandReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Planner.Report(report.From, report.Demands, time.Now())
}

// Run follows the leases stream and, once a second, appends a due lease record and sends a due order, until the context
// ends.
func (s *Service) Run(ctx context.Context) {
	follower := &tail.Follower{
		Log:    s.Log,
		Stream: lease.Stream,
		Wait:   readWait,
		OnReset: func(oldest, _ int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.Holder.Table.Restart(oldest)
		},
		OnRecord: s.applyRecord,
		OnRead:   func(up bool, _ error) { s.logReachable.Store(up) },
	}
	var group sync.WaitGroup
	group.Go(func() { follower.Run(ctx) })
	group.Go(func() { s.runTicks(ctx) })
	group.Wait()
}

func (s *Service) applyRecord(entry wire.LogRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, applied := s.Holder.Table.Apply(entry)
	if !applied {
		return
	}
	s.Holder.Observe(r, time.Now())
	if r.Type != wire.LeaseRecordTypeRenew {
		s.Logger.Info().
			Str("decision", "lease-"+string(r.Type)).
			Str("pool", r.Pool).
			Str("holder", r.Holder).
			Int("fencing-number", entry.Offset).
			Msg("lease changed")
	}
}

func (s *Service) runTicks(ctx context.Context) {
	schedule.Every(ctx, tickInterval, func(time.Time) {
		if s.logReachable.Load() && s.IsCandidate() {
			s.appendDueRecord(ctx)
		}
		s.planAndSend(ctx)
	})
}

// appendDueRecord appends the record that acquires or renews the lease, if one is due.
func (s *Service) appendDueRecord(ctx context.Context) {
	s.mu.Lock()
	r, due := s.Holder.DueRecord(time.Now())
	data, err := s.Holder.Table.Sealer.Seal(lease.Stream, r)
	s.mu.Unlock()
	if !due || err != nil {
		return
	}
	if _, err := s.Log.Append(ctx, lease.Stream, []string{data}); err != nil {
		s.Logger.Warn().Err(err).Str("step", "append lease").Str("peer", "platform").Msg("log append failed")
	}
}

// planAndSend sends the planner's next order if this node holds the lease and the log is reachable.
func (s *Service) planAndSend(ctx context.Context) {
	fencingChecked := s.FencingChecked()
	engines := s.Engines()
	s.mu.Lock()
	_, valid := s.Holder.FencingNumber(time.Now(), fencingChecked)
	var order placement.Order
	due := false
	if valid && s.logReachable.Load() {
		order, due = s.Planner.Plan(plannerEngines(engines), time.Now())
	}
	s.mu.Unlock()
	if due {
		s.send(ctx, order, engines, fencingChecked)
	}
}

// send sends an order to its engine; it checks the lease again right before that, in case it has expired since.
func (s *Service) send(ctx context.Context, order placement.Order, engines []*replica.Replica, fencingChecked bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for _, engine := range engines {
		if engine.Name() != order.Engine {
			continue
		}
		s.mu.Lock()
		number, valid := s.Holder.FencingNumber(time.Now(), fencingChecked)
		s.mu.Unlock()
		if !valid {
			return
		}
		refused, err := s.SendOrder(ctx, engine.Address(), wire.EngineOrder{
			FencingNumber: number,
			Models:        order.Models,
			Role:          "serve",
		})
		s.orders.Add(1)
		s.Logger.Info().
			Str("decision", "place").
			Str("upstream", order.Engine).
			Strs("models", order.Models).
			Int("fencing-number", number).
			Bool("refused", refused).
			AnErr("cause", err).
			Str("reason", order.Reason).
			Msg("order sent to engine")
	}
}

// plannerEngines returns what the planner needs to know of each engine.
func plannerEngines(engines []*replica.Replica) []placement.Engine {
	converted := make([]placement.Engine, 0, len(engines))
	for _, engine := range engines {
		converted = append(converted, placement.Engine{
			Name:             engine.Name(),
			AvailabilityZone: engine.AvailabilityZone(),
			Models:           engine.Models(),
			Leaving:          engine.Leaving(),
		})
	}
	return converted
}
