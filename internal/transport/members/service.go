package members

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"lagoongw/internal/coordination/membership"
	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/transport/peer"
	"lagoongw/internal/transport/schedule"
)

const (
	tickEvery  = 200 * time.Millisecond
	maxMembers = 4096
)

// Service keeps the list of members; its exported fields are set before Run.
type Service struct {
	// Machine decides.
	Machine *membership.Machine
	// Client calls peers.
	Client *peer.Client
	// FillDigest adds this node's revision, pool rows and leaving upstreams to a digest.
	FillDigest func(digest *wire.Digest)
	// OnDigest is given every digest that another member sent.
	OnDigest func(digest wire.Digest)
	// Logger takes one line for each change of a member's state.
	Logger zerolog.Logger

	mu       sync.Mutex
	current  atomic.Pointer[[]wire.Member]
	version  int
	lastSeen map[string]int
}

// Members returns every known member, by name; the caller must not change the slice.
func (s *Service) Members() []wire.Member {
	if rows := s.current.Load(); rows != nil {
		return *rows
	}
	return nil
}

// Live returns the members believed alive, this node included while it is not leaving.
func (s *Service) Live() []wire.Member {
	var live []wire.Member
	for _, row := range s.Members() {
		if membership.State(row.State) == membership.Alive {
			live = append(live, row)
		}
	}
	return live
}

// LiveCount returns how many members are believed alive.
func (s *Service) LiveCount() int {
	count := 0
	for _, row := range s.Members() {
		if membership.State(row.State) == membership.Alive {
			count++
		}
	}
	return count
}

// LiveNames returns the names of the live members, in an availability zone when one is given.
func (s *Service) LiveNames(zone string) []string {
	var names []string
	for _, row := range s.Live() {
		if zone == "" || row.AvailabilityZone == zone {
			names = append(names, row.Name)
		}
	}
	return names
}

// Lookup returns the row of a member.
func (s *Service) Lookup(name string) (wire.Member, bool) {
	for _, row := range s.Members() {
		if row.Name == name {
			return row, true
		}
	}
	return wire.Member{}, false
}

// Seed adds members known from settings or from the platform's list.
func (s *Service) Seed(rows []wire.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Machine.Seed(rows, time.Now())
	s.refresh()
}

// SetContacts replaces the peer addresses that are tried while few members are known.
func (s *Service) SetContacts(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Machine.Contacts = addresses
}

// Announce tells a few members at once that this node has news.
func (s *Service) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Machine.Announce()
}

// Leave announces that this node leaves, to a few members at once.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.Machine.Leave()
	s.refresh()
	digest := s.Machine.Digest()
	s.mu.Unlock()
	s.fill(&digest)
	var group sync.WaitGroup
	for _, row := range s.Live() {
		group.Go(func() { _, _ = s.exchange(ctx, row.Address, digest) })
	}
	group.Wait()
}

// Run probes until the context ends.
func (s *Service) Run(ctx context.Context) {
	schedule.Every(ctx, tickEvery, func(now time.Time) {
		s.mu.Lock()
		probes := s.Machine.Tick(now)
		s.refresh()
		s.mu.Unlock()
		for _, probe := range probes {
			go s.send(ctx, probe)
		}
		s.Client.CloseIdle(now)
	})
}

func (s *Service) send(ctx context.Context, probe membership.Probe) {
	s.fill(&probe.Digest)
	if probe.Via != nil {
		s.sendIndirect(ctx, probe)
		return
	}
	answer, err := s.exchange(ctx, probe.To.Address, probe.Digest)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.Machine.HandleAnswer(probe.Sequence, answer, time.Now())
	s.refresh()
	s.mu.Unlock()
	s.OnDigest(answer)
}

func (s *Service) sendIndirect(ctx context.Context, probe membership.Probe) {
	ctx, cancel := context.WithTimeout(ctx, 2*s.Machine.ProbeTimeout)
	defer cancel()
	var answer wire.IndirectAnswer
	request := wire.IndirectProbe{
		Target: probe.To.Address,
		Digest: &probe.Digest,
	}
	if s.Client.Call(ctx, probe.Via.Address, peer.MethodIndirectProbe, request, &answer) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Machine.HandleIndirectAnswer(probe.Sequence, answer.Alive)
}

func (s *Service) exchange(ctx context.Context, address string, digest wire.Digest) (wire.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Machine.ProbeTimeout)
	defer cancel()
	var answer wire.Digest
	err := s.Client.Call(ctx, address, peer.MethodDigest, digest, &answer)
	return answer, err
}

func (s *Service) fill(digest *wire.Digest) {
	if s.FillDigest != nil {
		s.FillDigest(digest)
	}
}

// HandleDigest answers a peer's digest.
func (s *Service) HandleDigest(_ context.Context, params json.RawMessage) (any, error) {
	digest, err := decodeDigest(params)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	answer := s.Machine.HandleDigest(digest, time.Now())
	s.refresh()
	s.mu.Unlock()
	s.OnDigest(digest)
	s.fill(&answer)
	return answer, nil
}

func decodeDigest(params json.RawMessage) (wire.Digest, error) {
	var digest wire.Digest
	if err := json.Unmarshal(params, &digest); err != nil {
		return digest, eris.Wrap(err, "decode digest")
	}
	if digest.From.Name == "" || len(digest.Members) > maxMembers {
		return digest, eris.New("digest without sender or with too many members")
	}
	return digest, nil
}

// HandleIndirectProbe probes another member on behalf of a peer.
func (s *Service) HandleIndirectProbe(ctx context.Context, params json.RawMessage) (any, error) {
	var request wire.IndirectProbe
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, eris.Wrap(err, "decode indirect probe")
	}
	if request.Digest == nil {
		return nil, eris.New("indirect probe without digest")
	}
	_, err := s.exchange(ctx, request.Target, *request.Digest)
	return wire.IndirectAnswer{Alive: err == nil}, nil
}

// refresh publishes the list and logs the changes; the lock must be held.
func (s *Service) refresh() {
	if s.current.Load() != nil && s.version == s.Machine.Version() {
		return
	}
	s.version = s.Machine.Version()
	if s.lastSeen == nil {
		s.lastSeen = map[string]int{}
	}
	rows := s.Machine.Members()
	for _, row := range rows {
		before, known := s.lastSeen[row.Name]
		if known && before == row.State {
			continue
		}
		s.lastSeen[row.Name] = row.State
		s.Logger.Info().
			Str("decision", "member-state").
			Str("member", row.Name).
			Str("state", membership.State(row.State).String()).
			Int("incarnation", row.Incarnation).
			Msg("member changed")
	}
	s.current.Store(&rows)
}
