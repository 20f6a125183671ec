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
	// tickInterval is the time between two ticks of the membership state machine.
	tickInterval = 200 * time.Millisecond
	// maxDigestMembers is the largest number of members in a digest that a peer may send.
	maxDigestMembers = membership.MaxMembers
)

// Service maintains the list of members; its exported fields must be set before it is used.
type Service struct {
	// Machine is the state machine of the membership protocol; it must be started.
	Machine *membership.Machine
	// Client calls peers.
	Client *peer.Client
	// FillDigest, if set, sets the fields of a digest that are not part of the membership protocol, such as this node's
	// revision, before it is sent.
	FillDigest func(digest *wire.Digest)
	// OnDigest is called with the digests that other members send, and with those that answer this node's probes; it must
	// be set.
	OnDigest func(digest wire.Digest)
	// Logger receives one line for each change of a member's state.
	Logger zerolog.Logger

	// mu protects Machine, version and lastStates.
	mu      sync.Mutex
	current atomic.Pointer[[]wire.Member]
	// version is the machine's version at the last change of current.
	version int
	// lastStates holds the last logged state of each member, by name.
	lastStates map[string]int
}

// Members returns all known members, sorted by name; the caller must not modify the slice.
func (s *Service) Members() []wire.Member {
	if rows := s.current.Load(); rows != nil {
		return *rows
	}
	return nil
}

// Live returns the members in state alive, including this node unless it is leaving.
func (s *Service) Live() []wire.Member {
	var live []wire.Member
	for _, row := range s.Members() {
		if membership.State(row.State) == membership.Alive {
			live = append(live, row)
		}
	}
	return live
}

// LiveCount returns the number of live members.
func (s *Service) LiveCount() int {
	count := 0
	for _, row := range s.Members() {
		if membership.State(row.State) == membership.Alive {
			count++
		}
	}
	return count
}

// LiveNames returns the names of the live members of an availability zone, or of all zones if zone is empty.
func (s *Service) LiveNames(zone string) []string {
	var names []string
	for _, row := range s.Live() {
		if zone == "" || row.AvailabilityZone == zone {
			names = append(names, row.Name)
		}
	}
	return names
}

// Lookup returns the member with a name, and whether it is known.
func (s *Service) Lookup(name string) (wire.Member, bool) {
	for _, row := range s.Members() {
		if row.Name == name {
			return row, true
		}
	}
	return wire.Member{}, false
}

// Seed adds members known from the settings or from the platform's list of VMs.
func (s *Service) Seed(rows []wire.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Machine.Seed(rows, time.Now())
	s.publish()
}

// SetContacts replaces the peer addresses from the settings, each of which the machine probes while it belongs to no
// live member.
func (s *Service) SetContacts(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Machine.Contacts = addresses
}

// Announce sends digests to a few members at the next tick instead of with the next regular probes, for changed fields
// that FillDigest sets.
func (s *Service) Announce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Machine.Announce()
}

// Leave marks this node as leaving and announces it to all live members; it waits until each has answered or timed out.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.Machine.Leave()
	s.publish()
	digest := s.Machine.Digest()
	s.mu.Unlock()
	s.fillDigest(&digest)
	var group sync.WaitGroup
	for _, row := range s.Live() {
		group.Go(func() { _, _ = s.exchange(ctx, row.Address, digest) })
	}
	group.Wait()
}

// Run sends the probes that are due and closes idle peer connections, until the context is done.
func (s *Service) Run(ctx context.Context) {
	schedule.Every(ctx, tickInterval, func(now time.Time) {
		s.mu.Lock()
		probes := s.Machine.Tick(now)
		s.publish()
		s.mu.Unlock()
		for _, probe := range probes {
			go s.sendProbe(ctx, probe)
		}
		s.Client.CloseIdle(now)
	})
}

// sendProbe sends a probe and passes the answer, if there is one, to the machine and to OnDigest.
func (s *Service) sendProbe(ctx context.Context, probe membership.Probe) {
	s.fillDigest(&probe.Digest)
	if probe.Via != nil {
		s.sendIndirectProbe(ctx, probe)
		return
	}
	answer, err := s.exchange(ctx, probe.To.Address, probe.Digest)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.Machine.HandleAnswer(probe.Sequence, answer, time.Now())
	s.publish()
	s.mu.Unlock()
	s.OnDigest(answer)
}

// sendIndirectProbe asks another member to send a probe and passes its answer to the machine.
func (s *Service) sendIndirectProbe(ctx context.Context, probe membership.Probe) {
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

// exchange sends a digest to the peer at an address and returns its digest.
func (s *Service) exchange(ctx context.Context, address string, digest wire.Digest) (wire.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Machine.ProbeTimeout)
	defer cancel()
	var answer wire.Digest
	err := s.Client.Call(ctx, address, peer.MethodDigest, digest, &answer)
	return answer, err
}

func (s *Service) fillDigest(digest *wire.Digest) {
	if s.FillDigest != nil {
		s.FillDigest(digest)
	}
}

// HandleDigest handles a digest from a peer and answers with one of this node.
func (s *Service) HandleDigest(_ context.Context, params json.RawMessage) (any, error) {
	digest, err := decodeDigest(params)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	answer := s.Machine.HandleDigest(digest, time.Now())
	s.publish()
	s.mu.Unlock()
	s.OnDigest(digest)
	s.fillDigest(&answer)
	return answer, nil
}

func decodeDigest(params json.RawMessage) (wire.Digest, error) {
	var digest wire.Digest
	if err := json.Unmarshal(params, &digest); err != nil {
		return digest, eris.Wrap(err, "decode digest")
	}
	if digest.From.Name == "" || len(digest.Members) > maxDigestMembers {
		return digest, eris.New("digest without sender or with too many members")
	}
	return digest, nil
}

// HandleIndirectProbe probes another member on behalf of a peer and answers whether it responded.
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

// publish makes the machine's list of members the current one if it changed, and logs changes of state. The caller must
// hold s.mu.
func (s *Service) publish() {
	if s.current.Load() != nil && s.version == s.Machine.Version() {
		return
	}
	s.version = s.Machine.Version()
	if s.lastStates == nil {
		s.lastStates = map[string]int{}
	}
	rows := s.Machine.Members()
	for _, row := range rows {
		last, known := s.lastStates[row.Name]
		if known && last == row.State {
			continue
		}
		s.lastStates[row.Name] = row.State
		s.Logger.Info().
			Str("decision", "member-state").
			Str("member", row.Name).
			Str("state", membership.State(row.State).String()).
			Int("incarnation", row.Incarnation).
			Msg("member state changed")
	}
	if len(s.lastStates) > len(rows) {
		known := map[string]int{}
		for _, row := range rows {
			known[row.Name] = row.State
		}
		s.lastStates = known
	}
	s.current.Store(&rows)
}
