package upstreams

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/routing"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/replica"
	"lagoongw/internal/transport/schedule"
)

const (
	listEvery     = time.Second
	reportEvery   = time.Second
	reportTimeout = 2 * time.Second
	// maxPolls is the number of upstreams that are all asked each second; of more, only farPolls a second are, near ones alone.
	maxPolls    = 32
	farPolls    = 2
	leavingLife = 30 * time.Second
)

// Service keeps the table; its exported fields are set before Run.
type Service struct {
	// AvailabilityZone is where this node stands.
	AvailabilityZone string
	// Table is the table to keep.
	Table *replica.Table
	// Ejector judges the upstreams after each round of reports.
	Ejector *routing.Ejector
	// List returns the platform's list of VMs.
	List func(ctx context.Context) ([]wire.Machine, error)
	// FetchLoadReport returns what an upstream says of itself.
	FetchLoadReport func(ctx context.Context, address string) (wire.LoadReport, error)
	// OnEntryVMs is given the entry VMs of the list.
	OnEntryVMs func([]wire.Machine)
	// Logger takes one line for each upstream that leaves.
	Logger zerolog.Logger

	mu      sync.Mutex
	leaving map[string]time.Time
	polling map[string]bool
	// nextPoll goes round the upstreams, where there are more than one round of polls can ask.
	nextPoll int
}

// Run refreshes the list and the reports until the context ends.
func (s *Service) Run(ctx context.Context) {
	s.refreshList(ctx)
	var group sync.WaitGroup
	group.Go(func() { schedule.Every(ctx, listEvery, func(time.Time) { s.refreshList(ctx) }) })
	group.Go(func() { schedule.Every(ctx, reportEvery, func(time.Time) { s.refreshReports(ctx) }) })
	group.Wait()
}

func (s *Service) refreshList(ctx context.Context) {
	machines, err := s.List(ctx)
	if err != nil {
		return
	}
	before := s.Table.Load()
	s.Table.Update(machines)
	for _, machine := range machines {
		if machine.State != replica.StateLeaving || machine.Kind == replica.KindEntry {
			continue
		}
		if r, known := before.Replica(machine.Name); !known || !r.Leaving() {
			s.noteLeaving(machine.Name, "list of VMs")
		}
	}
	s.markKnownLeaving()
	if s.OnEntryVMs != nil {
		s.OnEntryVMs(entriesOf(machines))
	}
}

func entriesOf(machines []wire.Machine) []wire.Machine {
	var entries []wire.Machine
	for _, machine := range machines {
		if machine.Kind == replica.KindEntry {
			entries = append(entries, machine)
		}
	}
	return entries
}

func (s *Service) refreshReports(ctx context.Context) {
	snapshot := s.Table.Load()
	list, polls := s.toPoll(snapshot)
	for range polls {
		s.nextPoll++
		if r := list[s.nextPoll%len(list)]; s.beginPoll(r.Name()) {
			go s.poll(ctx, r)
		}
	}
	s.Ejector.Tick(snapshot, time.Now())
}

// toPoll returns the upstreams that take turns to be asked, and how many of them are asked now.
func (s *Service) toPoll(snapshot *replica.Snapshot) (list []*replica.Replica, polls int) {
	var near []*replica.Replica
	for _, pool := range snapshot.PoolNames() {
		list = append(list, snapshot.PoolReplicas(pool)...)
		near = append(near, snapshot.Pool(pool).InZone(s.AvailabilityZone)...)
	}
	if len(list) <= maxPolls {
		return list, len(list)
	}
	return near, min(farPolls, len(near))
}

func (s *Service) beginPoll(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.polling == nil {
		s.polling = map[string]bool{}
	}
	if s.polling[name] {
		return false
	}
	s.polling[name] = true
	return true
}

func (s *Service) poll(ctx context.Context, r *replica.Replica) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.polling, r.Name())
	}()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := s.FetchLoadReport(ctx, r.Address())
	if err != nil {
		return
	}
	now := time.Now()
	r.ApplyLoadReport(report, now)
	r.ApplyCacheEvents(report.CacheEvents, now)
	if report.Leaving {
		s.MarkLeaving(r.Name(), "load report")
	}
}

// MarkLeaving notes the first sign that an upstream leaves, and keeps it for the peers.
func (s *Service) MarkLeaving(name, sign string) {
	r, known := s.Table.Load().Replica(name)
	if known && !r.MarkLeaving() {
		return
	}
	s.noteLeaving(name, sign)
}

func (s *Service) noteLeaving(name, sign string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == nil {
		s.leaving = map[string]time.Time{}
	}
	if _, known := s.leaving[name]; known {
		return
	}
	s.leaving[name] = time.Now()
	s.Logger.Info().
		Str("decision", "upstream-leaving").
		Str("upstream", name).
		Str("sign", sign).
		Msg("upstream gets no new work")
}

// markKnownLeaving applies signs that came before the upstream was listed.
func (s *Service) markKnownLeaving() {
	for _, name := range s.Leaving() {
		if r, known := s.Table.Load().Replica(name); known {
			r.MarkLeaving()
		}
	}
}

// Leaving returns the upstreams whose leaving is recent enough to be told to peers.
func (s *Service) Leaving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, since := range s.leaving {
		if time.Since(since) > leavingLife {
			continue
		}
		names = append(names, name)
	}
	return names
}
