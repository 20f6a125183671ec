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
	listInterval   = time.Second
	reportInterval = time.Second
	reportTimeout  = 2 * time.Second
	// pollAllLimit is the number of upstreams up to which all are polled in each interval. If there are more, each
	// interval polls only the next sameZonePolls of those in this availability zone, in rotation.
	pollAllLimit  = 32
	sameZonePolls = 2
	// leavingTTL is how long peers are told that an upstream is leaving.
	leavingTTL = 30 * time.Second
)

// leavingSign is when an upstream was first known to be leaving.
type leavingSign struct {
	since time.Time
	// boot is the run of the upstream that is leaving; it is not known until the upstream is listed.
	boot      int
	bootKnown bool
}

// Service updates the table of upstreams; its exported fields must be set before Run is called.
type Service struct {
	// AvailabilityZone is this node's availability zone.
	AvailabilityZone string
	// Table holds the upstreams.
	Table *replica.Table
	// Ejector ejects slow and failing upstreams; it runs once in each report interval.
	Ejector *routing.Ejector
	// List returns the platform's list of VMs.
	List func(ctx context.Context) ([]wire.Machine, error)
	// FetchLoadReport returns the load report of the upstream at address.
	FetchLoadReport func(ctx context.Context, address string) (wire.LoadReport, error)
	// OnEntryVMs is called with the entry VMs in each list; it may be nil.
	OnEntryVMs func([]wire.Machine)
	// Logger receives one line for each upstream that is leaving.
	Logger zerolog.Logger

	mu      sync.Mutex // guards leaving and polling
	leaving map[string]leavingSign
	polling map[string]bool
	// nextPoll is a counter that selects the upstreams to poll in turn.
	nextPoll int
}

// Run refreshes the list and the load reports until ctx is done.
func (s *Service) Run(ctx context.Context) {
	s.refreshList(ctx)
	var group sync.WaitGroup
	group.Go(func() { schedule.Every(ctx, listInterval, func(time.Time) { s.refreshList(ctx) }) })
	group.Go(func() { schedule.Every(ctx, reportInterval, func(time.Time) { s.refreshReports(ctx) }) })
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
			s.recordLeaving(machine.Name, "list of VMs")
		}
	}
	s.reapplyLeaving()
	if s.OnEntryVMs != nil {
		s.OnEntryVMs(entryVMs(machines))
	}
}

func entryVMs(machines []wire.Machine) []wire.Machine {
	var entries []wire.Machine
	for _, machine := range machines {
		if machine.Kind == replica.KindEntry {
			entries = append(entries, machine)
		}
	}
	return entries
}

// refreshReports starts the polls of this interval and runs the ejector, without waiting for the polls.
func (s *Service) refreshReports(ctx context.Context) {
	snapshot := s.Table.Load()
	candidates, polls := s.selectPolls(snapshot)
	for range polls {
		s.nextPoll++
		if r := candidates[s.nextPoll%len(candidates)]; s.beginPoll(r.Name()) {
			go s.poll(ctx, r)
		}
	}
	s.Ejector.Tick(snapshot, time.Now())
}

// selectPolls returns the upstreams over which the polls rotate, and how many of them to poll now.
func (s *Service) selectPolls(snapshot *replica.Snapshot) (candidates []*replica.Replica, polls int) {
	var sameZone []*replica.Replica
	for _, pool := range snapshot.PoolNames() {
		candidates = append(candidates, snapshot.PoolReplicas(pool)...)
		sameZone = append(sameZone, snapshot.Pool(pool).InZone(s.AvailabilityZone)...)
	}
	if len(candidates) <= pollAllLimit {
		return candidates, len(candidates)
	}
	return sameZone, min(sameZonePolls, len(sameZone))
}

// beginPoll reports whether a poll may start; it may not while an earlier one of the same upstream is running.
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

// MarkLeaving marks an upstream as leaving, unless it already is, and records it for Leaving; sign says how that became
// known. An upstream that is not listed yet is marked once it is.
func (s *Service) MarkLeaving(name, sign string) {
	r, known := s.Table.Load().Replica(name)
	if known && !r.MarkLeaving() {
		return
	}
	s.recordLeaving(name, sign)
}

// recordLeaving records when an upstream was first known to be leaving, and logs it.
func (s *Service) recordLeaving(name, sign string) {
	r, listed := s.Table.Load().Replica(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving == nil {
		s.leaving = map[string]leavingSign{}
	}
	if before, known := s.leaving[name]; known && (!listed || before.boot == r.Boot()) {
		return
	}
	record := leavingSign{since: time.Now()}
	if listed {
		record.boot, record.bootKnown = r.Boot(), true
	}
	s.leaving[name] = record
	s.Logger.Info().
		Str("decision", "upstream-leaving").
		Str("upstream", name).
		Str("sign", sign).
		Msg("upstream gets no new work")
}

// reapplyLeaving marks the listed upstreams that were reported as leaving before they were listed. It forgets the signs
// that are older than leavingTTL, and those of an earlier run of an upstream that has started again.
func (s *Service) reapplyLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, sign := range s.leaving {
		r, listed := s.Table.Load().Replica(name)
		switch {
		case time.Since(sign.since) > leavingTTL, listed && sign.bootKnown && r.Boot() != sign.boot:
			delete(s.leaving, name)
		case listed:
			sign.boot, sign.bootKnown = r.Boot(), true
			s.leaving[name] = sign
			r.MarkLeaving()
		}
	}
}

// Leaving returns the names of the upstreams that were recorded as leaving within leavingTTL, to tell peers.
func (s *Service) Leaving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, sign := range s.leaving {
		if time.Since(sign.since) <= leavingTTL {
			names = append(names, name)
		}
	}
	return names
}
