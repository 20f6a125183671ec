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
	tickEvery    = time.Second
	readWait     = 2 * time.Second
	orderTimeout = 2 * time.Second
)

// Log is the part of the platform's log that leases need.
type Log interface {
	tail.Reader
	Append(ctx context.Context, stream string, records []string) (int, error)
}

// Service seeks and uses the lease of one engine pool; its exported fields are set before Run.
type Service struct {
	// Log is the platform's log.
	Log Log
	// Holder decides about the lease.
	Holder *lease.Holder
	// Planner decides about the orders.
	Planner *placement.Planner
	// IsCandidate reports whether this node should seek the lease.
	IsCandidate func() bool
	// FencingChecked reports whether the pool's engines refuse old fencing numbers.
	FencingChecked func() bool
	// Engines returns the pool's upstreams.
	Engines func() []*replica.Replica
	// SendOrder sends an order to an engine.
	SendOrder func(ctx context.Context, address string, order wire.EngineOrder) (refused bool, err error)
	// Logger takes one line for each placement decision.
	Logger zerolog.Logger

	mu     sync.Mutex
	logUp  atomic.Bool
	orders atomic.Int64
}

// OrderCount returns the number of orders sent.
func (s *Service) OrderCount() int64 { return s.orders.Load() }

// FencingNumber returns the fencing number of the lease, if this node holds it now.
func (s *Service) FencingNumber() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Holder.FencingNumber(time.Now(), true)
}

// HolderName returns the incarnation that holds the lease, as far as the log was read.
func (s *Service) HolderName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant, _ := s.Holder.Table.Grant(s.Holder.Pool)
	return grant.Holder()
}

// Report takes in a node's demand.
func (s *Service) Report(report wire.DemandReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Planner.Report(report.From, report.Demands, time.Now())
}

// Run follows the leases stream and acts each second until the context ends.
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
		OnRecord: s.record,
		OnRead:   func(up bool, _ error) { s.logUp.Store(up) },
	}
	var group sync.WaitGroup
	group.Go(func() { follower.Run(ctx) })
	group.Go(func() { s.act(ctx) })
	group.Wait()
}

func (s *Service) record(entry wire.LogRecord) {
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

func (s *Service) act(ctx context.Context) {
	schedule.Every(ctx, tickEvery, func(time.Time) {
		if s.logUp.Load() && s.IsCandidate() {
			s.seek(ctx)
		}
		s.place(ctx)
	})
}

func (s *Service) seek(ctx context.Context) {
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

func (s *Service) place(ctx context.Context) {
	checked := s.FencingChecked()
	engines := s.Engines()
	s.mu.Lock()
	_, valid := s.Holder.FencingNumber(time.Now(), checked)
	var order placement.Order
	due := false
	if valid && s.logUp.Load() {
		order, due = s.Planner.Plan(viewOf(engines), time.Now())
	}
	s.mu.Unlock()
	if due {
		s.send(ctx, order, engines, checked)
	}
}

// send checks the lease once more, as close to the sending as can be.
func (s *Service) send(ctx context.Context, order placement.Order, engines []*replica.Replica, checked bool) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for _, engine := range engines {
		if engine.Name() != order.Engine {
			continue
		}
		s.mu.Lock()
		number, valid := s.Holder.FencingNumber(time.Now(), checked)
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
			Msg("engine ordered")
	}
}

func viewOf(engines []*replica.Replica) []placement.Engine {
	view := make([]placement.Engine, 0, len(engines))
	for _, engine := range engines {
		view = append(view, placement.Engine{
			Name:             engine.Name(),
			AvailabilityZone: engine.AvailabilityZone(),
			Models:           engine.Models(),
			Leaving:          engine.Leaving(),
		})
	}
	return view
}
